#include "sassafrasknot/coordination/stall_detector.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

constexpr std::size_t kAnswersWanted = 2;
constexpr std::chrono::seconds kIsolationTimeout{ 2 };

} // namespace

bool
RecordTick(StallDetector& aGuard, state::TimePoint aNow)
{
  const bool stalled = aNow - aGuard.mLastTick > kFailureTimeout;
  aGuard.mLastTick = aNow;
  if (stalled) {
    aGuard.mTrusted = false;
    aGuard.mUntrustedSince = aNow;
    aGuard.mResponders.clear();
  }
  return stalled;
}

void
RecordAcknowledgement(StallDetector& aGuard, const state::InstanceId& aPeer)
{
  if (!aGuard.mTrusted) {
    aGuard.mResponders.insert(aPeer);
  }
}

bool
UpdateTrust(StallDetector& aGuard, std::size_t aPeers, state::TimePoint aNow)
{
  if (aGuard.mTrusted) {
    return false;
  }
  const auto heard = aGuard.mResponders.size();
  const bool isolated =
    heard == 0 && aNow - aGuard.mUntrustedSince >= kIsolationTimeout;
  aGuard.mTrusted =
    isolated || (heard > 0 && heard >= std::min(kAnswersWanted, aPeers));
  return aGuard.mTrusted;
}

} // namespace sassafrasknot::coordination
