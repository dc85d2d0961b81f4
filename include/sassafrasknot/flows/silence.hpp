#ifndef SASSAFRASKNOT_FLOWS_SILENCE_HPP
#define SASSAFRASKNOT_FLOWS_SILENCE_HPP

#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>

namespace sassafrasknot::flows {

/// Time after which a packet without an answer proves something. Callers send
/// again after 200 ms; an upstream acknowledges within a few round trips.
constexpr std::chrono::milliseconds kAnswerTime{ 150 };
/// How much later than an unanswered packet one to another upstream must have
/// been sent on, to prove by its answer that the fault is not a queue on this
/// instance's link.
constexpr std::chrono::milliseconds kProofLead{ 100 };
/// Flows without an answer that make an upstream silent; one alone may be a
/// lost packet.
constexpr std::uint32_t kSilentAfter = 2;
/// Flows that did not come back to this instance and make an upstream
/// suspected. They may have moved to another instance.
constexpr std::uint32_t kSuspectedAfterUnseen = 2;
/// Packets without an answer count together if they were sent within this time:
/// several times that in which callers repeat one. An instance that has few
/// flows at an upstream sees few signs of its life in between.
constexpr std::chrono::milliseconds kEvidenceWindow{ 2000 };
/// A sign of this age outweighs what other instances or other upstreams of the
/// data centre tell; it covers the age of their news.
constexpr std::chrono::milliseconds kFreshSign{ 300 };
/// Pause between flows that try a suspected upstream although no probe has
/// found it alive: several times the pause of probes.
constexpr std::chrono::milliseconds kTrialPause{ 3000 };

/// @brief What the missing answers of an upstream mean.
enum class Liveness : std::uint8_t
{
  Answers,
  Suspected, ///< New flows go elsewhere, but for trials.
  Silent,    ///< Open flows there may be given up, too.
};

/// @brief Signs of life of one upstream, as callers' packets show them. Answers
/// go to callers directly, so that silence is all an instance can see.
struct Silence
{
  Liveness mLiveness = Liveness::Answers;
  /// When the newest packet was sent on that the upstream is known to have
  /// answered. Answers to earlier packets may come later and prove less.
  state::TimePoint mLastSign;
  /// When the first of the packets was sent on that are counted as unanswered.
  state::TimePoint mUnansweredSince;
  /// Flows whose caller repeats a packet.
  std::uint32_t mRepeated = 0;
  /// Flows whose caller did not come back.
  std::uint32_t mUnseen = 0;
  /// Others tell that it is silent.
  bool mTold = false;
  /// Next time at which a new flow tries it.
  state::TimePoint mNextTrial;
};

/// @brief Notes that the upstream has answered a packet.
/// @param aSilence the upstream's signs
/// @param aSent when the packet was sent on
/// @return whether its liveness changed
bool
NoteSign(Silence& aSilence, state::TimePoint aSent);

/// @brief Notes that a caller repeats a packet that was sent on at least
/// kAnswerTime ago.
/// @param aSilence the upstream's signs
/// @param aSent when the packet was first sent on; a later sign of life makes
/// it worthless
/// @param aProof when the newest packet was sent on that any upstream has
/// answered. Without a later proof the fault may be on this instance's side,
/// and the upstream is suspected at most.
/// @param aNow the time
/// @return whether its liveness changed
bool
NoteRepeated(Silence& aSilence,
             state::TimePoint aSent,
             state::TimePoint aProof,
             state::TimePoint aNow);

/// @brief Notes that a caller did not come back within kAnswerTime of its
/// opening packet.
/// @param aSilence the upstream's signs
/// @param aSent when that packet was sent on
/// @param aNow the time
/// @return whether its liveness changed
bool
NoteUnseen(Silence& aSilence, state::TimePoint aSent, state::TimePoint aNow);

/// @brief Notes that another instance has found the upstream silent, or that
/// its whole data centre is. It counts unless this instance has a fresh sign.
/// @param aSilence the upstream's signs
/// @param aNow the time
/// @return whether its liveness changed
bool
NoteSilent(Silence& aSilence, state::TimePoint aNow);

/// @brief Returns whether a new flow may go there: always if it answers,
/// otherwise once per trial.
/// @param aSilence the upstream's signs
/// @param aNow the time
/// @return whether it may
bool
AdmitsFlow(const Silence& aSilence, state::TimePoint aNow);

/// @brief Notes that a new flow was sent there, which uses up a trial.
/// @param aSilence the upstream's signs
/// @param aNow the time
void
NoteTrial(Silence& aSilence, state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
