#ifndef SASSAFRASKNOT_SRC_COORDINATION_CALLER_PACKETS_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_CALLER_PACKETS_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Decides on a packet of a caller.
void
OnCallerPacket(TrafficState& aState,
               state::TimePoint aNow,
               const PacketEvent& aPacket);

} // namespace sassafrasknot::coordination

#endif
