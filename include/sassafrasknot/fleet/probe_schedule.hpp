#ifndef SASSAFRASKNOT_FLEET_PROBE_SCHEDULE_HPP
#define SASSAFRASKNOT_FLEET_PROBE_SCHEDULE_HPP

#include "sassafrasknot/flows/upstream.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace sassafrasknot::fleet {

/// Pause between probes of one upstream. A probe costs far less than a caller's
/// flow that tries an upstream in vain.
constexpr std::chrono::milliseconds kProbeInterval{ 700 };
/// Probes that run at the same time, so that a cut of many upstreams uses few
/// descriptors.
constexpr std::size_t kMaxConcurrentProbes = 16;

/// @brief When upstreams that do not answer are probed.
struct ProbeSchedule
{
  struct Entry
  {
    state::TimePoint mNext;
    bool mRunning = false;
  };

  std::map<flows::UpstreamToken, Entry> mEntries;
};

/// @brief Decides which upstreams to probe.
/// @param aSchedule the schedule
/// @param aSilent upstreams that do not answer
/// @param aNow the time
/// @return upstreams to probe now
std::vector<flows::UpstreamToken>
NextProbes(ProbeSchedule& aSchedule,
           const std::vector<flows::UpstreamToken>& aSilent,
           state::TimePoint aNow);

/// @brief Notes the end of a probe.
/// @param aSchedule the schedule
/// @param aToken the upstream
/// @param aNow the time
void
RecordProbeEnd(ProbeSchedule& aSchedule,
               flows::UpstreamToken aToken,
               state::TimePoint aNow);

} // namespace sassafrasknot::fleet

#endif
