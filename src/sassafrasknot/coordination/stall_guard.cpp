#include "sassafrasknot/coordination/stall_guard.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

constexpr std::size_t kAnswersWanted = 2;
constexpr std::chrono::seconds kIsolationTimeout{ 2 };

} // namespace

bool
NoteTick(StallGuard& aGuard, state::TimePoint aNow)
{
  const bool stalled = aNow - aGuard.mLastTick > kFailureTimeout;
  aGuard.mLastTick = aNow;
  if (stalled) {
    aGuard.mTrusted = false;
    aGuard.mDistrustedSince = aNow;
    aGuard.mHeard.clear();
  }
  return stalled;
}

void
NoteAnswer(StallGuard& aGuard, const state::InstanceId& aPeer)
{
  if (!aGuard.mTrusted) {
    aGuard.mHeard.insert(aPeer);
  }
}

bool
RestoreTrust(StallGuard& aGuard, std::size_t aPeers, state::TimePoint aNow)
{
  if (aGuard.mTrusted) {
    return false;
  }
  const auto heard = aGuard.mHeard.size();
  const bool isolated =
    heard == 0 && aNow - aGuard.mDistrustedSince >= kIsolationTimeout;
  aGuard.mTrusted =
    isolated || (heard > 0 && heard >= std::min(kAnswersWanted, aPeers));
  return aGuard.mTrusted;
}

} // namespace sassafrasknot::coordination
