#include "sassafrasknot/fleet/probe_schedule.hpp"

#include <algorithm>

namespace sassafrasknot::fleet {

std::vector<flows::FlowToken>
NextProbes(ProbeSchedule& aSchedule,
           const std::vector<flows::FlowToken>& aSilent,
           state::TimePoint aNow)
{
  std::erase_if(aSchedule.mEntries, [&](const auto& aItem) {
    return !aItem.second.mRunning && aNow - aItem.second.mNext > kProbePause;
  });
  auto running = static_cast<std::size_t>(
    std::ranges::count_if(aSchedule.mEntries, [](const auto& aItem) {
      return aItem.second.mRunning;
    }));
  std::vector<flows::FlowToken> due;
  for (const auto token : aSilent) {
    auto& entry = aSchedule.mEntries[token];
    if (entry.mRunning || aNow < entry.mNext || running >= kProbesAtOnce) {
      continue;
    }
    entry.mRunning = true;
    ++running;
    due.push_back(token);
  }
  return due;
}

void
NoteProbed(ProbeSchedule& aSchedule,
           flows::FlowToken aToken,
           state::TimePoint aNow)
{
  aSchedule.mEntries[aToken] = { aNow + kProbePause, false };
}

} // namespace sassafrasknot::fleet
