#include "sassafrasknot/flows/data_centre_reachability.hpp"

#include <algorithm>

namespace sassafrasknot::flows {

bool
IsDataCentreUnreachable(const UpstreamTable& aTable,
                        const state::DataCentreId& aDataCentre,
                        state::TimePoint aProof)
{
  std::uint32_t upstreams = 0;
  std::uint32_t unanswered = 0;
  auto firstUnanswered = state::TimePoint::max() - kLinkVerificationMargin;
  state::TimePoint lastSign;
  for (const auto& [token, record] : aTable.mByToken) {
    if (record.mUpstream.mDataCentre != aDataCentre ||
        record.mPresence == Presence::Removed) {
      continue;
    }
    ++upstreams;
    lastSign = std::max(lastSign, record.mFailureDetector.mLastAnsweredSent);
    if (record.mFailureDetector.mRetransmittingFlows > 0) {
      ++unanswered;
      firstUnanswered =
        std::min(firstUnanswered, record.mFailureDetector.mUnansweredSince);
    }
  }
  const auto needed = std::max(kUnreachableMinUpstreams,
                               (upstreams + kUnreachableMinShareDivisor - 1) /
                                 kUnreachableMinShareDivisor);
  return unanswered >= needed && lastSign < firstUnanswered &&
         aProof > firstUnanswered + kLinkVerificationMargin;
}

} // namespace sassafrasknot::flows
