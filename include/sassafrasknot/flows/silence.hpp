#ifndef SASSAFRASKNOT_FLOWS_SILENCE_HPP
#define SASSAFRASKNOT_FLOWS_SILENCE_HPP

#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>

namespace sassafrasknot::flows {

/// Unanswered packets of different flows without any sign of life in between
/// that make an upstream silent. One alone may be a lost packet.
constexpr std::uint32_t kSilentAfterFlows = 2;
/// Pause until a silent upstream is tried with one flow; doubles with each
/// failed trial. Close to the callers' retransmission time of 200 ms.
constexpr std::chrono::milliseconds kFirstTrial{ 500 };
/// Longest pause between trials; an upstream that returns is used again within
/// this time.
constexpr std::chrono::milliseconds kLongestTrial{ 2000 };

/// @brief Signs of life of one upstream, as callers' packets show them. Answers
/// go to callers directly, so that silence is all an instance can see.
struct Silence
{
  /// Last time at which a packet proved that the upstream answers.
  state::TimePoint mLastSign;
  /// Unanswered packets since then.
  std::uint32_t mUnanswered = 0;
  bool mSilent = false;
  /// This instance has found it silent itself.
  bool mSeenHere = false;
  state::TimePoint mSilentSince;
  /// Next time at which a new flow tries it.
  state::TimePoint mNextTrial;
  std::chrono::milliseconds mTrialPause{ 0 };
};

/// @brief Notes a packet that proves that the upstream answers.
/// @param aSilence the upstream's signs
/// @param aNow the time
/// @return whether the upstream was silent until now
bool
NoteSign(Silence& aSilence, state::TimePoint aNow);

/// @brief Notes that a flow got no answer.
/// @param aSilence the upstream's signs
/// @param aSent when the packet without an answer was sent; a later sign of
/// life makes it worthless
/// @param aNow the time
/// @return whether the upstream has just become silent
bool
NoteUnanswered(Silence& aSilence,
               state::TimePoint aSent,
               state::TimePoint aNow);

/// @brief Makes the upstream silent at once, as others have found it so.
/// @param aSilence the upstream's signs
/// @param aNow the time
void
MakeSilent(Silence& aSilence, state::TimePoint aNow);

/// @brief Returns whether a new flow may go there: always if it is not silent,
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
