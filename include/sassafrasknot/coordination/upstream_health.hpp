#ifndef SASSAFRASKNOT_COORDINATION_UPSTREAM_HEALTH_HPP
#define SASSAFRASKNOT_COORDINATION_UPSTREAM_HEALTH_HPP

#include "sassafrasknot/state/time.hpp"

#include <cstdint>

namespace sassafrasknot::coordination {

/// @brief How a flow failed at its upstream.
enum class FailureKind : std::uint8_t
{
  Refused,    ///< The upstream answered the opening packet with a reset.
  Reset,      ///< The upstream reset an established flow.
  Unanswered, ///< The upstream did not answer in time.
};

/// @brief State of the outlier ejection of an upstream. Outlier ejection keeps
/// new flows away from an upstream whose flows fail too often, and tests it
/// with a trial flow before it is used again.
enum class HealthPhase : std::uint8_t
{
  Healthy,
  /// Would be ejected, but the limit on ejections is reached. It takes a new
  /// flow only if no other upstream has room.
  LastResort,
  Ejected,      ///< Takes no new flow.
  HalfOpen,     ///< Ejection time is over; takes one trial flow.
  TrialPending, ///< Waits for the result of the trial; takes no other flow.
};

/// @brief Observed health of one upstream.
struct UpstreamHealth
{
  HealthPhase mPhase = HealthPhase::Healthy;
  /// End of LastResort, Ejected or TrialPending.
  state::TimePoint mPhaseEnd;
  /// Exponentially decaying numbers of failed and of accepted flows.
  double mFailures = 0;
  double mSuccesses = 0;
  /// Time up to which the decay has been applied.
  state::TimePoint mLastDecay;
  /// Failures since the last success.
  std::uint32_t mConsecutiveFailures = 0;
  /// Ejections without 60 s of health in between, at most 6; each doubles the
  /// length of the next one, up to 64 s.
  std::uint32_t mConsecutiveEjections = 0;
  /// When the upstream last became Healthy after an ejection or LastResort.
  state::TimePoint mLastEjectionEnd;
};

/// @brief Records a failed flow. In LastResort, Ejected and HalfOpen it has no
/// effect; in TrialPending it counts as a failed trial.
/// @param aHealth health of the upstream
/// @param aKind how the flow failed
/// @param aNow current time on the steady clock
/// @return true if the upstream is to be ejected
bool
RecordFailure(UpstreamHealth& aHealth,
              FailureKind aKind,
              state::TimePoint aNow);

/// @brief Records an accepted flow. In LastResort, Ejected and HalfOpen it has
/// no effect; in TrialPending it counts as a successful trial.
/// @param aHealth health of the upstream
/// @param aNow current time on the steady clock
/// @return true if it ended an ejection
bool
RecordSuccess(UpstreamHealth& aHealth, state::TimePoint aNow);

/// @brief Ejects the upstream, for 2 s at first and for 64 s at most.
/// @param aHealth health of the upstream
/// @param aNow current time on the steady clock
/// @param aAllowed false if the limit on ejections is reached; the phase is
/// LastResort then, for the same time
void
Eject(UpstreamHealth& aHealth, state::TimePoint aNow, bool aAllowed);

/// @brief Ends a phase whose time is over: Ejected and TrialPending become
/// HalfOpen, LastResort becomes Healthy.
/// @param aHealth health of the upstream
/// @param aNow current time on the steady clock
/// @return true if the phase changed
bool
AdvanceHealth(UpstreamHealth& aHealth, state::TimePoint aNow);

/// @brief Records that a flow was placed on the upstream. In HalfOpen, the flow
/// becomes the trial flow.
/// @param aHealth health of the upstream
/// @param aNow current time on the steady clock
void
RecordPlacement(UpstreamHealth& aHealth, state::TimePoint aNow);

/// @brief Returns whether the upstream counts towards the limit on ejections.
/// @param aHealth health of the upstream
/// @return true in Ejected, HalfOpen and TrialPending
bool
CountsAsEjected(const UpstreamHealth& aHealth);

/// @brief Returns whether the phase allows a new flow.
/// @param aHealth health of the upstream
/// @return false if Ejected or TrialPending
bool
Admits(const UpstreamHealth& aHealth);

} // namespace sassafrasknot::coordination

#endif
