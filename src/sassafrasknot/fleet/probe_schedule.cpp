#include "sassafrasknot/fleet/probe_schedule.hpp"

#include <algorithm>

namespace sassafrasknot::fleet {

std::vector<flows::UpstreamToken>
NextProbes(ProbeSchedule& aSchedule,
           const std::vector<flows::UpstreamToken>& aCandidates,
           state::TimePoint aNow)
{
  // Entries that are due need not be kept, since a new entry is due at once.
  std::erase_if(aSchedule.mEntries, [&](const auto& aItem) {
    return !aItem.second.mRunning &&
           aNow - aItem.second.mNextProbe > kProbeInterval;
  });
  auto running = static_cast<std::size_t>(
    std::ranges::count_if(aSchedule.mEntries, [](const auto& aItem) {
      return aItem.second.mRunning;
    }));
  std::vector<flows::UpstreamToken> due;
  for (const auto token : aCandidates) {
    auto& entry = aSchedule.mEntries[token];
    if (entry.mRunning || aNow < entry.mNextProbe ||
        running >= kMaxConcurrentProbes) {
      continue;
    }
    entry.mRunning = true;
    ++running;
    due.push_back(token);
  }
  return due;
}

void
RecordProbeEnd(ProbeSchedule& aSchedule,
               flows::UpstreamToken aToken,
               state::TimePoint aNow)
{
  aSchedule.mEntries[aToken] = { aNow + kProbeInterval, false };
}

} // namespace sassafrasknot::fleet
