#ifndef SASSAFRASKNOT_SRC_COORDINATION_ACTION_INVARIANTS_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_ACTION_INVARIANTS_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Checks the invariants on all actions that are about to be returned: packets
/// stay within their service, and "not run" is only said of flows without
/// payload.
/// @param aPacket the packet at hand, or null
void
CheckActionInvariants(TrafficState& aState, const PacketEvent* aPacket);

} // namespace sassafrasknot::coordination

#endif
