#ifndef SASSAFRASKNOT_FLOWS_ROUTER_WORK_HPP
#define SASSAFRASKNOT_FLOWS_ROUTER_WORK_HPP

#include "sassafrasknot/flows/flow_router.hpp"

#include <string_view>

/// How the router learns the work of requests and the speed of upstreams, and
/// keeps their backlogs.
namespace sassafrasknot::flows {

/// Returns the expected work of a new request of a flow, in units of the mean
/// work of its service; 1 while nothing is learned.
double
ExpectedRequestWork(const FlowRouter& aRouter,
                    const state::FlowKey& aFlow,
                    std::string_view aService,
                    state::TimePoint aNow);

/// Records a handshake's time.
void
RecordShortestHandshake(RecentHandshakes& aHandshakes,
                        state::Duration aDuration,
                        state::TimePoint aNow);

/// Records new data of a request: whether it finds a free slot and, if it
/// begins the request, its expected work. To be called while the flow is not
/// counted in its upstream's load.
void
RecordRequestData(const FlowRouter& aRouter,
                  const UpstreamRecord& aRecord,
                  const state::FlowKey& aFlow,
                  FlowEntry& aEntry,
                  bool aBeginsRequest,
                  state::TimePoint aNow);

/// Learns from the first answer to a request, unless its time says little about
/// the upstream: a retransmission, a congested link or a stall of this
/// instance, or a cold upstream.
/// @param aFoundFreeSlot whether the request did not wait in the queue
void
LearnFromResponse(FlowRouter& aRouter,
                  UpstreamRecord& aRecord,
                  const state::FlowKey& aFlow,
                  const PacketFindings& aFindings,
                  bool aFoundFreeSlot,
                  state::TimePoint aNow);

/// Updates the expected remaining work of a flow's active request.
void
UpdateRemainingWork(const FlowRouter& aRouter,
                    UpstreamRecord& aRecord,
                    const state::FlowKey& aFlow,
                    FlowEntry& aEntry,
                    state::TimePoint aNow);

/// Advances the averages of peers' active requests.
void
UpdateReportAverages(FlowRouter& aRouter,
                     state::Duration aElapsed,
                     state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
