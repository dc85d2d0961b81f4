#ifndef SASSAFRASKNOT_TRANSPORT_PLANNED_STOP_HPP
#define SASSAFRASKNOT_TRANSPORT_PLANNED_STOP_HPP

#include "sassafrasknot/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace sassafrasknot::transport {

/// Progress of a planned stop.
struct PlannedStop
{
  bool mBegun = false;
  bool mHandedOver = false;
  state::TimePoint mStart;
  /// Last time that a packet was received.
  state::TimePoint mLastPacket;
  state::TimePoint mLastReport;
  std::uint64_t mPackets = 0;
  /// Open flows at the last report.
  std::size_t mFlows = 0;
};

/// Whether and how a stop ends.
enum class StopDecision : std::uint8_t
{
  Wait,
  Completed,
  TimedOut,
};

/// Time without packets after which an instance that has handed over its flows
/// is taken to be out of the fabric's rotation.
constexpr std::chrono::seconds kIdleTimeBeforeExit{ 2 };

/// Decides whether a stop that has begun goes on.
inline StopDecision
EvaluateStop(const PlannedStop& aStop,
             state::TimePoint aNow,
             state::Duration aBound)
{
  if (aStop.mHandedOver && aNow - aStop.mLastPacket >= kIdleTimeBeforeExit) {
    return StopDecision::Completed;
  }
  return aNow - aStop.mStart >= aBound ? StopDecision::TimedOut
                                       : StopDecision::Wait;
}

} // namespace sassafrasknot::transport

#endif
