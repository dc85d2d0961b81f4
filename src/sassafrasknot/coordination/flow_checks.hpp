#ifndef SASSAFRASKNOT_SRC_COORDINATION_FLOW_CHECKS_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_FLOW_CHECKS_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// A flow whose data is retransmitted for this long without progress, while
/// others of its upstream progress, is silent. Longer than five doublings of
/// the shortest retransmission timeout (RFC 6298).
constexpr auto kRetransmissionTimeout = std::chrono::seconds{ 10 };

/// Checks the flows that are due: openings without an answer, silent flows,
/// idle flows, work that has become idle, and ended flows.
void
CheckFlows(TrafficState& aState, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
