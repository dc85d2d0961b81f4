#ifndef SASSAFRASKNOT_SRC_COORDINATION_UPSTREAM_PACKETS_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_UPSTREAM_PACKETS_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Processes a packet of an upstream. Control segments (segments that open,
/// finish or reset a flow, and UDP datagrams) are processed by the owner of the
/// upstream's shard; data segments are rewritten on any instance and reported
/// to the owner.
void
OnUpstreamPacket(TrafficState& aState,
                 state::TimePoint aNow,
                 const PacketEvent& aPacket);

/// Updates a flow from a report that its upstream has sent a packet. A flow
/// that is not in the table is adopted if this instance owns the upstream's
/// shard and MayAdopt allows it.
void
ApplyAnswerReport(TrafficState& aState,
                  state::TimePoint aNow,
                  const AnswerReport& aReport);

} // namespace sassafrasknot::coordination

#endif
