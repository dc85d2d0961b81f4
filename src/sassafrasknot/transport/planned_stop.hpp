#ifndef SASSAFRASKNOT_TRANSPORT_PLANNED_STOP_HPP
#define SASSAFRASKNOT_TRANSPORT_PLANNED_STOP_HPP

#include "sassafrasknot/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace sassafrasknot::transport {

/// Progress of a planned stop, in which an instance hands over its flows before
/// it ends.
struct PlannedStop
{
  bool mBegun = false;
  /// Whether all flows were handed over to other instances.
  bool mHandedOver = false;
  state::TimePoint mStart;
  /// Start of the stop, or the last report that showed newly received packets.
  state::TimePoint mLastPacket;
  state::TimePoint mLastReport;
  /// Packets received since the start of the process, at the last report.
  std::uint64_t mPackets = 0;
  /// Open flows at the last report.
  std::size_t mFlows = 0;
};

/// Whether and why a stop ends.
enum class StopDecision : std::uint8_t
{
  Wait,
  Completed,
  TimedOut,
};

/// Time without packets after which an instance that has handed over its flows
/// assumes that the fabric no longer sends packets to it.
constexpr std::chrono::seconds kIdleTimeBeforeExit{ 2 };

/// Decides whether a stop that has begun continues, is completed or has reached
/// its maximum time.
inline StopDecision
EvaluateStop(const PlannedStop& aStop,
             state::TimePoint aNow,
             state::Duration aMaxStopTime)
{
  if (aStop.mHandedOver && aNow - aStop.mLastPacket >= kIdleTimeBeforeExit) {
    return StopDecision::Completed;
  }
  return aNow - aStop.mStart >= aMaxStopTime ? StopDecision::TimedOut
                                             : StopDecision::Wait;
}

} // namespace sassafrasknot::transport

#endif
