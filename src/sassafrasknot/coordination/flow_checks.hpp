#ifndef SASSAFRASKNOT_SRC_COORDINATION_FLOW_CHECKS_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_FLOW_CHECKS_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// A flow whose caller retransmits for this long without progress is reset if
/// other flows of its upstream progress. At the minimum retransmission timeout
/// of 1 s (RFC 6298) the caller retransmits three times within it (after 1, 3
/// and 7 s), so that one lost packet does not end a flow.
constexpr auto kRetransmissionTimeout = std::chrono::seconds{ 10 };

/// Runs the scheduled checks that are due, at most 2,000 per call: removes
/// flows that no upstream accepted, and closed and redirected flows after their
/// retention; resets unresponsive flows; closes half-closed and UDP flows
/// without packets; counts idle work as feeds; sends keepalive probes to idle
/// ends.
void
CheckFlows(TrafficState& aState, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
