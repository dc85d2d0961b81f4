#include "sassafrasknot/flows/data_centre_silence.hpp"

#include <algorithm>

namespace sassafrasknot::flows {

bool
IsCutOff(const UpstreamTable& aTable,
         const state::DataCentreId& aDataCentre,
         state::TimePoint aProof)
{
  std::uint32_t upstreams = 0;
  std::uint32_t unanswered = 0;
  auto firstUnanswered = state::TimePoint::max() - kProofLead;
  state::TimePoint lastSign;
  for (const auto& [token, record] : aTable.mByToken) {
    if (record.mUpstream.mDataCentre != aDataCentre ||
        record.mPresence == Presence::Gone) {
      continue;
    }
    ++upstreams;
    lastSign = std::max(lastSign, record.mSilence.mLastSign);
    if (record.mSilence.mRepeated > 0) {
      ++unanswered;
      firstUnanswered =
        std::min(firstUnanswered, record.mSilence.mUnansweredSince);
    }
  }
  const auto needed = std::max(
    kCutAfterUpstreams, (upstreams + kCutAfterOneIn - 1) / kCutAfterOneIn);
  return unanswered >= needed && lastSign < firstUnanswered &&
         aProof > firstUnanswered + kProofLead;
}

} // namespace sassafrasknot::flows
