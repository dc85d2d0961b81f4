#include "sassafrasknot/flows/failure_detector.hpp"

#include <algorithm>

namespace sassafrasknot::flows {
namespace {

Liveness
Judge(const FailureDetector& aSilence, state::TimePoint aProof)
{
  const bool isProven =
    aProof > aSilence.mUnansweredSince + kLinkVerificationMargin;
  if ((aSilence.mRetransmittingFlows >= kUnresponsiveAfterFlows && isProven) ||
      aSilence.mMarkedUnresponsive) {
    return Liveness::Unresponsive;
  }
  if (aSilence.mRetransmittingFlows > 0 ||
      aSilence.mUnansweredOpens >= kSuspectedAfterUnansweredOpens) {
    return Liveness::Suspected;
  }
  return Liveness::Responsive;
}

/// Only a sign of life improves the liveness.
bool
Update(FailureDetector& aSilence,
       state::TimePoint aProof,
       state::TimePoint aNow)
{
  const auto judged = std::max(Judge(aSilence, aProof), aSilence.mLiveness);
  if (judged == aSilence.mLiveness) {
    return false;
  }
  if (aSilence.mLiveness == Liveness::Responsive) {
    aSilence.mNextTrial = aNow + kTrialInterval;
  }
  aSilence.mLiveness = judged;
  return true;
}

/// Takes an unanswered packet as evidence unless a later one was answered.
bool
IsEvidence(FailureDetector& aSilence,
           state::TimePoint aSent,
           state::TimePoint aNow)
{
  if (aSent < aSilence.mLastAnsweredSent || aNow - aSent < kAnswerTimeout) {
    return false;
  }
  auto& since = aSilence.mUnansweredSince;
  if (since != state::TimePoint{} && aSent - since > kEvidenceWindow) {
    aSilence.mRetransmittingFlows = 0;
    aSilence.mUnansweredOpens = 0;
    since = aSent;
  }
  since = since == state::TimePoint{} ? aSent : std::min(since, aSent);
  return true;
}

} // namespace

bool
RecordAnswer(FailureDetector& aSilence, state::TimePoint aSent)
{
  aSilence.mLastAnsweredSent = std::max(aSilence.mLastAnsweredSent, aSent);
  if (aSent <= aSilence.mUnansweredSince) {
    return false;
  }
  aSilence.mRetransmittingFlows = 0;
  aSilence.mUnansweredOpens = 0;
  aSilence.mMarkedUnresponsive = false;
  aSilence.mUnansweredSince = {};
  const bool isChanged = aSilence.mLiveness != Liveness::Responsive;
  aSilence.mLiveness = Liveness::Responsive;
  return isChanged;
}

bool
RecordRetransmission(FailureDetector& aSilence,
                     state::TimePoint aSent,
                     state::TimePoint aProof,
                     state::TimePoint aNow)
{
  if (!IsEvidence(aSilence, aSent, aNow)) {
    return false;
  }
  ++aSilence.mRetransmittingFlows;
  return Update(aSilence, aProof, aNow);
}

bool
RecordUnansweredOpen(FailureDetector& aSilence,
                     state::TimePoint aSent,
                     state::TimePoint aNow)
{
  if (!IsEvidence(aSilence, aSent, aNow)) {
    return false;
  }
  ++aSilence.mUnansweredOpens;
  return Update(aSilence, {}, aNow);
}

bool
MarkUnresponsive(FailureDetector& aSilence, state::TimePoint aNow)
{
  if (aNow - aSilence.mLastAnsweredSent < kRecentAnswerAge) {
    return false;
  }
  aSilence.mMarkedUnresponsive = true;
  if (aSilence.mUnansweredSince == state::TimePoint{}) {
    aSilence.mUnansweredSince = aNow;
  }
  return Update(aSilence, {}, aNow);
}

bool
AdmitsFlow(const FailureDetector& aSilence, state::TimePoint aNow)
{
  return aSilence.mLiveness == Liveness::Responsive ||
         aNow >= aSilence.mNextTrial;
}

void
RecordTrial(FailureDetector& aSilence, state::TimePoint aNow)
{
  if (aSilence.mLiveness != Liveness::Responsive) {
    aSilence.mNextTrial = aNow + kTrialInterval;
  }
}

} // namespace sassafrasknot::flows
