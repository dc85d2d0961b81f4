#ifndef SASSAFRASKNOT_SRC_COORDINATION_UPSTREAM_PACKETS_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_UPSTREAM_PACKETS_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Decides on a packet of an upstream. Segments that open, finish or reset a
/// flow go through the owner of the upstream's shard; others are rewritten
/// here.
void
OnUpstreamPacket(TrafficState& aState,
                 state::TimePoint aNow,
                 const PacketEvent& aPacket);

/// Takes what an answer says of a flow whose upstream's shard this instance
/// owns.
void
ApplyAnswerReport(TrafficState& aState,
                  state::TimePoint aNow,
                  const AnswerReport& aReport);

} // namespace sassafrasknot::coordination

#endif
