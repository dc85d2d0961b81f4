#ifndef SASSAFRASKNOT_FLEET_PROBE_SCHEDULE_HPP
#define SASSAFRASKNOT_FLEET_PROBE_SCHEDULE_HPP

#include "sassafrasknot/flows/upstream.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace sassafrasknot::fleet {

/// Time between the end of a probe of an upstream and the next probe of it. A
/// probe costs far less than a caller's flow that is sent to an upstream which
/// does not answer.
constexpr std::chrono::milliseconds kProbeInterval{ 700 };
/// Maximum number of simultaneous probes, so that the loss of many upstreams in
/// a network partition uses few file descriptors.
constexpr std::size_t kMaxConcurrentProbes = 16;

/// @brief Times of the probes of suspected and unresponsive upstreams.
struct ProbeSchedule
{
  struct Entry
  {
    /// Earliest time of the next probe.
    state::TimePoint mNextProbe;
    bool mRunning = false;
  };

  std::map<flows::UpstreamToken, Entry> mEntries;
};

/// @brief Selects the upstreams to probe now and marks their probes as running.
/// @param aSchedule schedule to update
/// @param aCandidates suspected and unresponsive upstreams
/// @param aNow current time on the steady clock
/// @return upstreams whose probes have to be started; RecordProbeEnd has to
/// follow for each
std::vector<flows::UpstreamToken>
NextProbes(ProbeSchedule& aSchedule,
           const std::vector<flows::UpstreamToken>& aCandidates,
           state::TimePoint aNow);

/// @brief Records the end of a probe, whether it succeeded or failed.
/// @param aSchedule schedule to update
/// @param aToken probed upstream
/// @param aNow current time on the steady clock
void
RecordProbeEnd(ProbeSchedule& aSchedule,
               flows::UpstreamToken aToken,
               state::TimePoint aNow);

} // namespace sassafrasknot::fleet

#endif
