#ifndef SASSAFRASKNOT_SRC_COORDINATION_FLOW_PLACEMENT_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_FLOW_PLACEMENT_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Processes the opening packet of an unknown flow, trying its shards in order
/// of rank: places or queues the flow in a shard of this instance, or forwards
/// the packet to a shard's owner that has not forwarded it yet. Refuses the
/// flow if no shard is left or its service was removed. Drops the packet while
/// this instance may not place flows.
/// @param aService index into Snapshot::mServices
void
OpenFlow(TrafficState& aState,
         state::TimePoint aNow,
         const PacketEvent& aPacket,
         std::uint32_t aService);

/// Applies a shard's decision on a queued flow: sends its held opening packet,
/// or refuses it.
void
ApplyQueueDecision(TrafficState& aState,
                   state::TimePoint aNow,
                   const PlacementDecision& aDecision);

/// Reassigns or queues a flow whose upstream did not accept it, within the
/// retry budget of its shard, or refuses it. Nothing but the opening segment
/// may have been sent to the upstream.
/// @param aFailure how the upstream failed; recorded in its observed health
void
RetryPlacement(TrafficState& aState,
               state::TimePoint aNow,
               const state::FlowKey& aKey,
               FailureKind aFailure);

} // namespace sassafrasknot::coordination

#endif
