#ifndef SASSAFRASKNOT_FLOWS_ROUTER_LIVENESS_HPP
#define SASSAFRASKNOT_FLOWS_ROUTER_LIVENESS_HPP

#include "sassafrasknot/flows/flow_router.hpp"

namespace sassafrasknot::flows {

/// Adds a flow to its upstream's load (aSign 1) or removes it (aSign -1). What
/// is added or removed depends on the entry, so that a flow has to be removed
/// before its entry changes and added again afterwards.
void
AddLoad(UpstreamRecord& aRecord, const FlowEntry& aEntry, int aSign);

/// Removes a flow from its upstream's load.
void
ReleaseLoad(FlowRouter& aRouter, const FlowEntry& aEntry);

/// If aChanged, records the upstream's new liveness as a change to report, and
/// that its requests are to be abandoned if it is unresponsive now.
void
RecordLivenessChange(FlowRouter& aRouter,
                     UpstreamRecord& aRecord,
                     bool aChanged);

/// Records that a caller has retransmitted a packet that was first forwarded at
/// aSent, and checks whether the upstream's data centre is unreachable. Packets
/// from before the end of a stall are ignored.
void
HandleRetransmission(FlowRouter& aRouter,
                     UpstreamRecord& aRecord,
                     RetransmittedPacket aPacket,
                     state::TimePoint aSent,
                     state::TimePoint aNow);

/// Records that a caller has retransmitted a request, first forwarded at aSent,
/// for the first time since it is overdue. Packets from before the end of a
/// stall are ignored.
void
HandleOverdueRequest(FlowRouter& aRouter,
                     UpstreamRecord& aRecord,
                     state::TimePoint aSent,
                     state::TimePoint aNow);

/// Lets outcomes of opening packets count less as time passes.
void
DecayOpenOutcomes(OpenOutcomes& aOutcomes, state::Duration aElapsed);

/// Clears the unanswered opens of upstreams if many of the others' are
/// unanswered too: the callers then probably reach another instance, as after a
/// change of the instances that routers use.
void
DiscardWidespreadUnansweredOpens(FlowRouter& aRouter);

} // namespace sassafrasknot::flows

#endif
