#ifndef SASSAFRASKNOT_SRC_COORDINATION_FLOW_PLACEMENT_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_FLOW_PLACEMENT_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Sends the opening packet at hand to an upstream, to the owner of one of the
/// flow's shards, or refuses it.
void
OpenFlow(TrafficState& aState,
         state::TimePoint aNow,
         const PacketEvent& aPacket,
         std::uint32_t aService);

/// Carries out the decision on a flow that was queued.
void
ApplyQueueDecision(TrafficState& aState,
                   state::TimePoint aNow,
                   const PlacementDecision& aDecision);

/// Places a flow again whose upstream did not accept it, or refuses it.
/// Nothing but the opening segment may have been forwarded.
void
RetryPlacement(TrafficState& aState,
               state::TimePoint aNow,
               const state::FlowKey& aKey,
               FailureKind aFailure);

} // namespace sassafrasknot::coordination

#endif
