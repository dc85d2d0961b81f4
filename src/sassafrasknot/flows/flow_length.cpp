#include "sassafrasknot/flows/flow_length.hpp"

namespace sassafrasknot::flows {
namespace {

/// Number of flows over which the share of feeds is averaged. A new route's
/// flows, a few per second at an instance, correct a wrong first estimate
/// within a second or two.
constexpr double kAveragedFlows = 16;

} // namespace

FlowLengthEstimate
MakeFlowLengthEstimate(RequestKind aKind)
{
  return { aKind == RequestKind::Idempotent ? 1.0 : 0.0 };
}

void
RecordFlowLength(FlowLengthEstimate& aEstimate, FlowLength aLength)
{
  const double observed = aLength == FlowLength::ManyRequests ? 1 : 0;
  aEstimate.mShareOfFeeds +=
    (observed - aEstimate.mShareOfFeeds) / kAveragedFlows;
}

FlowLength
ExpectedFlowLength(const FlowLengthEstimate& aEstimate)
{
  constexpr double kMajority = 0.5;
  return aEstimate.mShareOfFeeds >= kMajority ? FlowLength::ManyRequests
                                              : FlowLength::SingleRequest;
}

} // namespace sassafrasknot::flows
