#include "sassafrasknot/flows/data_centre_reachability.hpp"

#include <algorithm>

namespace sassafrasknot::flows {
namespace {

/// Returns whether enough upstreams have retransmissions for any data centre to
/// count as unreachable. Unlike the full check, this does not pass over all
/// upstreams for each retransmission while a single one has failed.
bool
HasEnoughRetransmissions(const UpstreamTable& aTable)
{
  return std::ranges::count_if(aTable.mObserved, [&](UpstreamToken aToken) {
           const auto found = aTable.mByToken.find(aToken);
           return found != aTable.mByToken.end() &&
                  found->second.mFailureDetector.mRetransmittingFlows > 0;
         }) >= kUnreachableMinUpstreams;
}

} // namespace

bool
IsDataCentreUnreachable(const UpstreamTable& aTable,
                        const state::DataCentreId& aDataCentre,
                        state::TimePoint aLinkVerifiedAt)
{
  if (!HasEnoughRetransmissions(aTable)) {
    return false;
  }
  std::uint32_t upstreams = 0;
  std::uint32_t unanswered = 0;
  auto firstUnanswered = state::TimePoint::max() - kLinkVerificationMargin;
  state::TimePoint lastAnsweredSent;
  for (const auto& [token, record] : aTable.mByToken) {
    if (record.mUpstream.mDataCentre != aDataCentre ||
        record.mPresence == Presence::Removed) {
      continue;
    }
    ++upstreams;
    lastAnsweredSent =
      std::max(lastAnsweredSent, record.mFailureDetector.mLastAnsweredSent);
    if (record.mFailureDetector.mRetransmittingFlows > 0) {
      ++unanswered;
      firstUnanswered =
        std::min(firstUnanswered, record.mFailureDetector.mUnansweredSince);
    }
  }
  const auto minUnanswered =
    std::max(kUnreachableMinUpstreams,
             (upstreams + kUnreachableMinShareDivisor - 1) /
               kUnreachableMinShareDivisor);
  return unanswered >= minUnanswered && lastAnsweredSent < firstUnanswered &&
         aLinkVerifiedAt > firstUnanswered + kLinkVerificationMargin;
}

} // namespace sassafrasknot::flows
