#ifndef SASSAFRASKNOT_FLOWS_ROUTER_PLACEMENT_HPP
#define SASSAFRASKNOT_FLOWS_ROUTER_PLACEMENT_HPP

#include "sassafrasknot/flows/flow_router.hpp"

namespace sassafrasknot::flows {

/// Makes a decision without an upstream.
Decision
MakeRefusal(PacketAction aAction, Reason aReason, state::Verdict aVerdict);

/// Returns the route of a service address, or null if there is none.
const Route*
FindRoute(const FlowRouter& aRouter, const state::Endpoint& aService);

/// Returns the estimate of a route, which is made when first needed.
FlowLengthEstimate&
FindOrAddEstimate(FlowRouter& aRouter, const Route& aRoute);

/// Removes a flow's entry, if there is one, and its load.
void
RemoveFlow(FlowRouter& aRouter, const state::FlowKey& aKey);

/// Decides on an opening packet. A retransmission goes to the same upstream
/// until the answer is overdue or the upstream is no longer known; then the
/// flow is reassigned. A late copy of an established flow goes to the flow's
/// upstream. Any other opening packet is placed as a new flow, also if an entry
/// of an earlier flow with the same key exists.
Decision
OnOpen(FlowRouter& aRouter, const CallerPacket& aPacket, state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
