#ifndef SASSAFRASKNOT_FLOWS_FLOW_LENGTH_HPP
#define SASSAFRASKNOT_FLOWS_FLOW_LENGTH_HPP

#include "sassafrasknot/flows/routing.hpp"

#include <cstdint>

namespace sassafrasknot::flows {

/// @brief How much work a flow brings to its upstream.
enum class FlowLength : std::uint8_t
{
  SingleRequest, ///< One request, with which the flow opens.
  ManyRequests,  ///< Requests over a long time, with pauses. Such a flow is
                 ///< called a feed.
};

/// @brief Estimate of the length of a route's new flows, learned from the
/// route's earlier ones. Whether a caller keeps its flow for further requests
/// does not follow from the kind of the requests.
struct FlowLengthEstimate
{
  /// Share of recent flows that carried more than one request.
  double mShareOfFeeds = 0;
};

/// @brief Makes the estimate for a route without earlier flows. Idempotent
/// flows are taken for feeds, since an unbalanced feed does more harm than an
/// unbalanced request.
/// @param aKind kind of the route's requests
/// @return the estimate
FlowLengthEstimate
MakeFlowLengthEstimate(RequestKind aKind);

/// @brief Records the length of one of the route's flows.
/// @param aEstimate the route's estimate
/// @param aLength length of a flow that has ended, or that has sent its second
/// request
void
RecordFlowLength(FlowLengthEstimate& aEstimate, FlowLength aLength);

/// @brief Returns the length that is expected of a new flow.
/// @param aEstimate the route's estimate
/// @return the length of most recent flows
FlowLength
ExpectedFlowLength(const FlowLengthEstimate& aEstimate);

} // namespace sassafrasknot::flows

#endif
