#include "sassafrasknot/coordination/upstream_health.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace sassafrasknot::coordination {
namespace {

/// Time in which counted successes and failures lose half of their weight, so
/// that a short fault has no lasting effect.
constexpr std::chrono::seconds kHalfLife{ 5 };
/// Failures that eject an upstream if they are at least half of the recent
/// flows. Fewer could be ordinary refusals of an upstream that sheds load.
constexpr double kFailuresToEject = 4;
/// Consecutive failures that eject an upstream whose traffic is too low for the
/// rule above.
constexpr std::uint32_t kConsecutiveToEject = 5;
constexpr std::chrono::seconds kFirstEjection{ 2 };
/// Limits the length of an ejection to 64 s.
constexpr std::uint32_t kMaxDoublings = 5;
/// Time after which another trial flow is allowed if one gave no result.
constexpr std::chrono::seconds kTrialTimeout{ 5 };
/// After an upstream was healthy for longer than this, the next ejection has
/// the length of a first one.
constexpr std::chrono::seconds kEjectionBackoffReset{ 60 };

/// Applies the exponential decay of both counts up to aNow.
void
Decay(UpstreamHealth& aHealth, state::TimePoint aNow)
{
  if (aNow <= aHealth.mLastDecay) {
    return;
  }
  const std::chrono::duration<double> elapsed = aNow - aHealth.mLastDecay;
  const std::chrono::duration<double> halfLife = kHalfLife;
  const double factor = std::exp2(-elapsed.count() / halfLife.count());
  aHealth.mFailures *= factor;
  aHealth.mSuccesses *= factor;
  aHealth.mLastDecay = aNow;
}

} // namespace

bool
RecordFailure(UpstreamHealth& aHealth, FailureKind aKind, state::TimePoint aNow)
{
  if (aHealth.mPhase == HealthPhase::TrialPending) {
    return true;
  }
  if (aHealth.mPhase != HealthPhase::Healthy) {
    return false;
  }
  Decay(aHealth, aNow);
  aHealth.mFailures += 1;
  ++aHealth.mConsecutiveFailures;
  if (aKind == FailureKind::Reset) {
    // The flow was counted as a success when it was accepted.
    aHealth.mSuccesses = std::max(0.0, aHealth.mSuccesses - 1);
  }
  return (aHealth.mFailures >= kFailuresToEject &&
          aHealth.mFailures >= aHealth.mSuccesses) ||
         (aHealth.mConsecutiveFailures >= kConsecutiveToEject &&
          aHealth.mSuccesses < 1);
}

bool
RecordSuccess(UpstreamHealth& aHealth, state::TimePoint aNow)
{
  if (aHealth.mPhase == HealthPhase::TrialPending) {
    aHealth.mPhase = HealthPhase::Healthy;
    aHealth.mFailures = 0;
    aHealth.mSuccesses = 1;
    aHealth.mLastDecay = aNow;
    aHealth.mConsecutiveFailures = 0;
    aHealth.mLastEjectionEnd = aNow;
    return true;
  }
  if (aHealth.mPhase == HealthPhase::Healthy) {
    Decay(aHealth, aNow);
    aHealth.mSuccesses += 1;
    aHealth.mConsecutiveFailures = 0;
  }
  return false;
}

void
Eject(UpstreamHealth& aHealth, state::TimePoint aNow, bool aAllowed)
{
  if (aHealth.mPhase == HealthPhase::Healthy &&
      aNow - aHealth.mLastEjectionEnd > kEjectionBackoffReset) {
    aHealth.mConsecutiveEjections = 0;
  }
  const auto doublings = std::min(aHealth.mConsecutiveEjections, kMaxDoublings);
  aHealth.mPhase = aAllowed ? HealthPhase::Ejected : HealthPhase::LastResort;
  aHealth.mPhaseEnd = aNow + kFirstEjection * (1U << doublings);
  aHealth.mConsecutiveEjections = doublings + 1;
}

bool
AdvanceHealth(UpstreamHealth& aHealth, state::TimePoint aNow)
{
  if (aHealth.mPhase == HealthPhase::Healthy ||
      aHealth.mPhase == HealthPhase::HalfOpen || aNow < aHealth.mPhaseEnd) {
    return false;
  }
  if (aHealth.mPhase == HealthPhase::LastResort) {
    // Keeps it one failure below ejection. A success resets the consecutive
    // failures; the others decay.
    aHealth.mPhase = HealthPhase::Healthy;
    aHealth.mLastEjectionEnd = aNow;
    aHealth.mFailures = kFailuresToEject - 1;
    aHealth.mSuccesses = 0;
    aHealth.mLastDecay = aNow;
    aHealth.mConsecutiveFailures = kConsecutiveToEject - 1;
  } else {
    aHealth.mPhase = HealthPhase::HalfOpen;
  }
  return true;
}

void
RecordPlacement(UpstreamHealth& aHealth, state::TimePoint aNow)
{
  if (aHealth.mPhase == HealthPhase::HalfOpen) {
    aHealth.mPhase = HealthPhase::TrialPending;
    aHealth.mPhaseEnd = aNow + kTrialTimeout;
  }
}

bool
CountsAsEjected(const UpstreamHealth& aHealth)
{
  return aHealth.mPhase == HealthPhase::Ejected ||
         aHealth.mPhase == HealthPhase::HalfOpen ||
         aHealth.mPhase == HealthPhase::TrialPending;
}

bool
Admits(const UpstreamHealth& aHealth)
{
  return aHealth.mPhase != HealthPhase::Ejected &&
         aHealth.mPhase != HealthPhase::TrialPending;
}

} // namespace sassafrasknot::coordination
