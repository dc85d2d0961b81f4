#ifndef SASSAFRASKNOT_SRC_COORDINATION_ACTION_INVARIANTS_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_ACTION_INVARIANTS_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Checks the invariants of all actions that are about to be returned: packets
/// and probes are sent only between a service and its own upstreams, and a
/// caller receives the verdict NotRun only if none of its payload was
/// forwarded.
/// @param aPacket the packet that is being processed, or null
void
CheckActionInvariants(TrafficState& aState, const PacketEvent* aPacket);

} // namespace sassafrasknot::coordination

#endif
