#include "sassafrasknot/flows/data_centre_reachability.hpp"

#include <algorithm>

namespace sassafrasknot::flows {

bool
IsDataCentreUnreachable(const UpstreamTable& aTable,
                        const state::DataCentreId& aDataCentre,
                        state::TimePoint aLinkVerifiedAt)
{
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
