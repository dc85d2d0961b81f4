#include "sassafrasknot/flows/silence.hpp"

#include <algorithm>

namespace sassafrasknot::flows {
namespace {

Liveness
Judge(const Silence& aSilence, state::TimePoint aProof)
{
  const bool isProven = aProof > aSilence.mUnansweredSince + kProofLead;
  if ((aSilence.mRepeated >= kSilentAfter && isProven) || aSilence.mTold) {
    return Liveness::Silent;
  }
  if (aSilence.mRepeated > 0 || aSilence.mUnseen >= kSuspectedAfterUnseen) {
    return Liveness::Suspected;
  }
  return Liveness::Answers;
}

/// Only a sign of life improves the liveness.
bool
Update(Silence& aSilence, state::TimePoint aProof, state::TimePoint aNow)
{
  const auto judged = std::max(Judge(aSilence, aProof), aSilence.mLiveness);
  if (judged == aSilence.mLiveness) {
    return false;
  }
  if (aSilence.mLiveness == Liveness::Answers) {
    aSilence.mNextTrial = aNow + kTrialPause;
  }
  aSilence.mLiveness = judged;
  return true;
}

/// Takes an unanswered packet as evidence unless a later one was answered.
bool
IsEvidence(Silence& aSilence, state::TimePoint aSent, state::TimePoint aNow)
{
  if (aSent < aSilence.mLastSign || aNow - aSent < kAnswerTime) {
    return false;
  }
  auto& since = aSilence.mUnansweredSince;
  if (since != state::TimePoint{} && aSent - since > kEvidenceWindow) {
    aSilence.mRepeated = 0;
    aSilence.mUnseen = 0;
    since = aSent;
  }
  since = since == state::TimePoint{} ? aSent : std::min(since, aSent);
  return true;
}

} // namespace

bool
NoteSign(Silence& aSilence, state::TimePoint aSent)
{
  aSilence.mLastSign = std::max(aSilence.mLastSign, aSent);
  if (aSent <= aSilence.mUnansweredSince) {
    return false;
  }
  aSilence.mRepeated = 0;
  aSilence.mUnseen = 0;
  aSilence.mTold = false;
  aSilence.mUnansweredSince = {};
  const bool isChanged = aSilence.mLiveness != Liveness::Answers;
  aSilence.mLiveness = Liveness::Answers;
  return isChanged;
}

bool
NoteRepeated(Silence& aSilence,
             state::TimePoint aSent,
             state::TimePoint aProof,
             state::TimePoint aNow)
{
  if (!IsEvidence(aSilence, aSent, aNow)) {
    return false;
  }
  ++aSilence.mRepeated;
  return Update(aSilence, aProof, aNow);
}

bool
NoteUnseen(Silence& aSilence, state::TimePoint aSent, state::TimePoint aNow)
{
  if (!IsEvidence(aSilence, aSent, aNow)) {
    return false;
  }
  ++aSilence.mUnseen;
  return Update(aSilence, {}, aNow);
}

bool
NoteSilent(Silence& aSilence, state::TimePoint aNow)
{
  if (aNow - aSilence.mLastSign < kFreshSign) {
    return false;
  }
  aSilence.mTold = true;
  if (aSilence.mUnansweredSince == state::TimePoint{}) {
    aSilence.mUnansweredSince = aNow;
  }
  return Update(aSilence, {}, aNow);
}

bool
AdmitsFlow(const Silence& aSilence, state::TimePoint aNow)
{
  return aSilence.mLiveness == Liveness::Answers || aNow >= aSilence.mNextTrial;
}

void
NoteTrial(Silence& aSilence, state::TimePoint aNow)
{
  if (aSilence.mLiveness != Liveness::Answers) {
    aSilence.mNextTrial = aNow + kTrialPause;
  }
}

} // namespace sassafrasknot::flows
