#ifndef SASSAFRASKNOT_SRC_COORDINATION_CALLER_PACKETS_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_CALLER_PACKETS_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Processes a packet of a caller: sends it to the flow's upstream, places a
/// new flow, forwards it to another owner, looks the flow up or drops the
/// packet.
void
OnCallerPacket(TrafficState& aState,
               state::TimePoint aNow,
               const PacketEvent& aPacket);

} // namespace sassafrasknot::coordination

#endif
