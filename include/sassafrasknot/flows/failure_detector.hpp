#ifndef SASSAFRASKNOT_FLOWS_FAILURE_DETECTOR_HPP
#define SASSAFRASKNOT_FLOWS_FAILURE_DETECTOR_HPP

#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>

namespace sassafrasknot::flows {

/// Time after which a packet without an answer proves something. Callers send
/// again after 200 ms; an upstream acknowledges within a few round trips.
constexpr std::chrono::milliseconds kAnswerTimeout{ 150 };
/// How much later than an unanswered packet one to another upstream must have
/// been sent on, to prove by its answer that the fault is not a queue on this
/// instance's link.
constexpr std::chrono::milliseconds kLinkVerificationMargin{ 100 };
/// Flows without an answer that make an upstream silent; one alone may be a
/// lost packet.
constexpr std::uint32_t kUnresponsiveAfterFlows = 2;
/// Flows that did not come back to this instance and make an upstream
/// suspected. They may have moved to another instance.
constexpr std::uint32_t kSuspectedAfterUnansweredOpens = 2;
/// Packets without an answer count together if they were sent within this time:
/// several times that in which callers repeat one. An instance that has few
/// flows at an upstream sees few signs of its life in between.
constexpr std::chrono::milliseconds kEvidenceWindow{ 2000 };
/// A sign of this age outweighs what other instances or other upstreams of the
/// data centre tell; it covers the age of their news.
constexpr std::chrono::milliseconds kRecentAnswerAge{ 300 };
/// Pause between flows that try a suspected upstream although no probe has
/// found it alive: several times the pause of probes.
constexpr std::chrono::milliseconds kTrialInterval{ 3000 };

/// @brief What the missing answers of an upstream mean.
enum class Liveness : std::uint8_t
{
  Responsive,
  Suspected,    ///< New flows go elsewhere, but for trials.
  Unresponsive, ///< Open flows there may be given up, too.
};

/// @brief Signs of life of one upstream, as callers' packets show them. Answers
/// go to callers directly, so that silence is all an instance can see.
struct FailureDetector
{
  Liveness mLiveness = Liveness::Responsive;
  /// When the newest packet was sent on that the upstream is known to have
  /// answered. Answers to earlier packets may come later and prove less.
  state::TimePoint mLastAnsweredSent;
  /// When the first of the packets was sent on that are counted as unanswered.
  state::TimePoint mUnansweredSince;
  /// Flows whose caller repeats a packet.
  std::uint32_t mRetransmittingFlows = 0;
  /// Flows whose caller did not come back.
  std::uint32_t mUnansweredOpens = 0;
  /// Others tell that it is silent.
  bool mMarkedUnresponsive = false;
  /// Next time at which a new flow tries it.
  state::TimePoint mNextTrial;
};

/// @brief Notes that the upstream has answered a packet.
/// @param aSilence the upstream's signs
/// @param aSent when the packet was sent on
/// @return whether its liveness changed
bool
RecordAnswer(FailureDetector& aSilence, state::TimePoint aSent);

/// @brief Notes that a caller repeats a packet that was sent on at least
/// kAnswerTimeout ago.
/// @param aSilence the upstream's signs
/// @param aSent when the packet was first sent on; a later sign of life makes
/// it worthless
/// @param aProof when the newest packet was sent on that any upstream has
/// answered. Without a later proof the fault may be on this instance's side,
/// and the upstream is suspected at most.
/// @param aNow the time
/// @return whether its liveness changed
bool
RecordRetransmission(FailureDetector& aSilence,
                     state::TimePoint aSent,
                     state::TimePoint aProof,
                     state::TimePoint aNow);

/// @brief Notes that a caller did not come back within kAnswerTimeout of its
/// opening packet.
/// @param aSilence the upstream's signs
/// @param aSent when that packet was sent on
/// @param aNow the time
/// @return whether its liveness changed
bool
RecordUnansweredOpen(FailureDetector& aSilence,
                     state::TimePoint aSent,
                     state::TimePoint aNow);

/// @brief Notes that another instance has found the upstream silent, or that
/// its whole data centre is. It counts unless this instance has a fresh sign.
/// @param aSilence the upstream's signs
/// @param aNow the time
/// @return whether its liveness changed
bool
MarkUnresponsive(FailureDetector& aSilence, state::TimePoint aNow);

/// @brief Returns whether a new flow may go there: always if it answers,
/// otherwise once per trial.
/// @param aSilence the upstream's signs
/// @param aNow the time
/// @return whether it may
bool
AdmitsFlow(const FailureDetector& aSilence, state::TimePoint aNow);

/// @brief Notes that a new flow was sent there, which uses up a trial.
/// @param aSilence the upstream's signs
/// @param aNow the time
void
RecordTrial(FailureDetector& aSilence, state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
