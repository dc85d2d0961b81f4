#include "sassafrasknot/coordination/stall_detector.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

constexpr std::size_t kResponsesRequired = 2;
/// An instance that reaches no peer must serve again in the end.
constexpr std::chrono::seconds kIsolationTimeout{ 2 };

} // namespace

bool
RecordTick(StallDetector& aDetector, state::TimePoint aNow)
{
  const bool stalled = aNow - aDetector.mLastTick > kFailureTimeout;
  aDetector.mLastTick = aNow;
  if (stalled) {
    aDetector.mTrusted = false;
    aDetector.mUntrustedSince = aNow;
    aDetector.mResponders.clear();
  }
  return stalled;
}

void
RecordAcknowledgement(StallDetector& aDetector, const state::InstanceId& aPeer)
{
  if (!aDetector.mTrusted) {
    aDetector.mResponders.insert(aPeer);
  }
}

bool
UpdateTrust(StallDetector& aDetector, std::size_t aPeers, state::TimePoint aNow)
{
  if (aDetector.mTrusted) {
    return false;
  }
  const auto responses = aDetector.mResponders.size();
  const bool isolated =
    responses == 0 && aNow - aDetector.mUntrustedSince >= kIsolationTimeout;
  aDetector.mTrusted =
    isolated ||
    (responses > 0 && responses >= std::min(kResponsesRequired, aPeers));
  return aDetector.mTrusted;
}

} // namespace sassafrasknot::coordination
