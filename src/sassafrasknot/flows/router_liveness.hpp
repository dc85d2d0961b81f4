#ifndef SASSAFRASKNOT_FLOWS_ROUTER_LIVENESS_HPP
#define SASSAFRASKNOT_FLOWS_ROUTER_LIVENESS_HPP

#include "sassafrasknot/flows/flow_router.hpp"

namespace sassafrasknot::flows {

/// Adds a flow to its upstream's load, or removes it with a sign of -1.
void
AddLoad(UpstreamRecord& aRecord, const FlowEntry& aEntry, int aSign);

/// Removes a flow from its upstream's load.
void
ReleaseLoad(FlowRouter& aRouter, const FlowEntry& aEntry);

/// Remembers a change of an upstream's liveness.
void
RecordLivenessChange(FlowRouter& aRouter,
                     const UpstreamRecord& aRecord,
                     bool aChanged);

/// Notes that a caller repeats a packet that was sent on at aSent, and what it
/// shows about the upstream's data centre.
void
HandleRetransmission(FlowRouter& aRouter,
                     UpstreamRecord& aRecord,
                     state::TimePoint aSent,
                     state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
