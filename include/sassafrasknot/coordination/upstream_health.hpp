#ifndef SASSAFRASKNOT_COORDINATION_UPSTREAM_HEALTH_HPP
#define SASSAFRASKNOT_COORDINATION_UPSTREAM_HEALTH_HPP

#include "sassafrasknot/state/time.hpp"

#include <cstdint>

namespace sassafrasknot::coordination {

/// @brief How a flow failed at its upstream.
enum class FailureKind : std::uint8_t
{
  Refused,  ///< A reset in answer to the opening segment.
  Reset,    ///< A reset of an established flow.
  NoAnswer, ///< Nothing came back in time.
};

/// @brief What observation says about an upstream.
enum class HealthPhase : std::uint8_t
{
  Healthy,
  LastResort,   ///< Would be ejected if the cap allowed it; used last.
  Ejected,      ///< Takes no new flow.
  HalfOpen,     ///< Takes one new flow.
  TrialPending, ///< Waits for the result of that flow; takes no other.
};

/// @brief Observed health of one upstream.
struct UpstreamHealth
{
  HealthPhase mPhase = HealthPhase::Healthy;
  /// End of LastResort, Ejected and TrialPending.
  state::TimePoint mPhaseEnd;
  /// Decaying numbers of failed and of accepted flows.
  double mFailures = 0;
  double mSuccesses = 0;
  state::TimePoint mLastDecay;
  /// Failures since the last success.
  std::uint32_t mConsecutiveFailures = 0;
  /// Ejections in a row; each doubles the next one's length.
  std::uint32_t mConsecutiveEjections = 0;
  /// End of the last ejection.
  state::TimePoint mLastEjectionEnd;
};

/// @brief Notes a failed flow.
/// @param aHealth the upstream's health
/// @param aKind the failure
/// @param aNow the time
/// @return true if the upstream is to be ejected
bool
RecordFailure(UpstreamHealth& aHealth,
              FailureKind aKind,
              state::TimePoint aNow);

/// @brief Notes an accepted flow.
/// @param aHealth the upstream's health
/// @param aNow the time
/// @return true if it ended an ejection
bool
RecordSuccess(UpstreamHealth& aHealth, state::TimePoint aNow);

/// @brief Ejects the upstream, for 2 s at first and at most for 64 s.
/// @param aHealth the upstream's health
/// @param aNow the time
/// @param aAllowed false if the cap forbids it; it is LastResort then
void
Eject(UpstreamHealth& aHealth, state::TimePoint aNow, bool aAllowed);

/// @brief Moves on what is due: Ejected and TrialPending become HalfOpen,
/// LastResort becomes Healthy.
/// @param aHealth the upstream's health
/// @param aNow the time
/// @return true if the phase changed
bool
AdvanceHealth(UpstreamHealth& aHealth, state::TimePoint aNow);

/// @brief Notes that a flow was placed there, which uses up a trial.
/// @param aHealth the upstream's health
/// @param aNow the time
void
RecordPlacement(UpstreamHealth& aHealth, state::TimePoint aNow);

/// @brief Returns whether the phase counts against the cap on ejections.
/// @param aHealth the upstream's health
/// @return true from ejection until its end
bool
CountsAsEjected(const UpstreamHealth& aHealth);

/// @brief Returns whether the phase allows a new flow.
/// @param aHealth the upstream's health
/// @return false if Ejected or TrialPending
bool
Admits(const UpstreamHealth& aHealth);

} // namespace sassafrasknot::coordination

#endif
