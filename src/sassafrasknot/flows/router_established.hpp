#ifndef SASSAFRASKNOT_FLOWS_ROUTER_ESTABLISHED_HPP
#define SASSAFRASKNOT_FLOWS_ROUTER_ESTABLISHED_HPP

#include "sassafrasknot/flows/flow_router.hpp"

namespace sassafrasknot::flows {

/// Decides on a packet of an established flow and records what it shows. The
/// packet goes to the upstream that its token names. Reset instead are flows
/// whose route was dropped, and idempotent flows that retransmit to a reported
/// or unresponsive upstream; see IsAbandoned.
Decision
OnEstablished(FlowRouter& aRouter,
              const CallerPacket& aPacket,
              state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
