#include "sassafrasknot/flows/silence.hpp"

#include <algorithm>

namespace sassafrasknot::flows {
namespace {

Liveness
Judge(const Silence& aSilence, state::TimePoint aNow)
{
  const bool hasPeerWord = aNow < aSilence.mPeerWord;
  if (aSilence.mRepeated >= kSilentAfter ||
      (aSilence.mRepeated > 0 && hasPeerWord)) {
    return Liveness::Silent;
  }
  if (aSilence.mRepeated > 0 || aSilence.mUnseen >= kSuspectedAfterUnseen ||
      hasPeerWord) {
    return Liveness::Suspected;
  }
  return Liveness::Answers;
}

/// Only a sign of life improves the liveness.
bool
Update(Silence& aSilence, state::TimePoint aNow)
{
  const auto judged = std::max(Judge(aSilence, aNow), aSilence.mLiveness);
  if (judged == aSilence.mLiveness) {
    return false;
  }
  if (aSilence.mLiveness == Liveness::Answers) {
    aSilence.mTrialPause = kFirstTrial;
    aSilence.mNextTrial = aNow + kFirstTrial;
  }
  aSilence.mLiveness = judged;
  return true;
}

} // namespace

bool
NoteSign(Silence& aSilence, state::TimePoint aNow)
{
  aSilence.mLastSign = aNow;
  aSilence.mRepeated = 0;
  aSilence.mUnseen = 0;
  aSilence.mPeerWord = {};
  const bool isChanged = aSilence.mLiveness != Liveness::Answers;
  aSilence.mLiveness = Liveness::Answers;
  return isChanged;
}

bool
NoteRepeated(Silence& aSilence, state::TimePoint aSent, state::TimePoint aNow)
{
  if (aSent < aSilence.mLastSign || aNow - aSent < kAnswerTime) {
    return false;
  }
  ++aSilence.mRepeated;
  return Update(aSilence, aNow);
}

bool
NoteUnseen(Silence& aSilence, state::TimePoint aSent, state::TimePoint aNow)
{
  if (aSent < aSilence.mLastSign || aNow - aSent < kAnswerTime) {
    return false;
  }
  ++aSilence.mUnseen;
  return Update(aSilence, aNow);
}

bool
NotePeerWord(Silence& aSilence, state::TimePoint aNow)
{
  // What this instance has just seen itself counts more than a message that
  // was sent before.
  if (aNow - aSilence.mLastSign < kPeerWord / 2) {
    return false;
  }
  aSilence.mPeerWord = aNow + kPeerWord;
  return Update(aSilence, aNow);
}

bool
AdmitsFlow(const Silence& aSilence, state::TimePoint aNow)
{
  return aSilence.mLiveness == Liveness::Answers ||
         aNow >= aSilence.mNextTrial;
}

void
NoteTrial(Silence& aSilence, state::TimePoint aNow)
{
  if (aSilence.mLiveness == Liveness::Answers) {
    return;
  }
  aSilence.mTrialPause = std::min(2 * aSilence.mTrialPause, kLongestTrial);
  aSilence.mNextTrial = aNow + aSilence.mTrialPause;
}

} // namespace sassafrasknot::flows
