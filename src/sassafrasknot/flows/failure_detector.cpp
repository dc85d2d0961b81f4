#include "sassafrasknot/flows/failure_detector.hpp"

#include <algorithm>
#include <utility>

namespace sassafrasknot::flows {
namespace {

/// Returns the liveness that the evidence stands for.
Liveness
ComputeLiveness(const FailureDetector& aDetector,
                state::TimePoint aLinkVerifiedAt)
{
  const bool isLinkVerified =
    aLinkVerifiedAt > aDetector.mUnansweredSince + kLinkVerificationMargin;
  if ((aDetector.mRetransmittingFlows >= kUnresponsiveAfterFlows ||
       aDetector.mOverdueOpenFlows >= kFailedAfterOverdueFlows) &&
      isLinkVerified) {
    return Liveness::Unresponsive;
  }
  if (aDetector.mReported || aDetector.mDataCentreUnreachable) {
    return Liveness::Reported;
  }
  if (aDetector.mRetransmittingFlows > 0 ||
      aDetector.mUnansweredOpens >= kSuspectedAfterUnansweredOpens) {
    return Liveness::Suspected;
  }
  return Liveness::Responsive;
}

/// Lowers the liveness as far as the evidence requires and schedules the first
/// trial. Only an answer raises it again.
bool
UpdateLiveness(FailureDetector& aDetector,
               state::TimePoint aLinkVerifiedAt,
               state::TimePoint aNow)
{
  const auto liveness =
    std::max(ComputeLiveness(aDetector, aLinkVerifiedAt), aDetector.mLiveness);
  if (liveness == aDetector.mLiveness) {
    return false;
  }
  if (aDetector.mLiveness == Liveness::Responsive) {
    aDetector.mNextTrial = aNow + kTrialInterval;
  }
  aDetector.mLiveness = liveness;
  return true;
}

bool
HasAnsweredRecently(const FailureDetector& aDetector, state::TimePoint aNow)
{
  return aNow - aDetector.mLastAnsweredSent < kRecentAnswerAge;
}

/// Lowers the liveness because of own unanswered packets. After a probe has
/// made the upstream responsive, they show that its answers mean nothing.
bool
ApplyDirectEvidence(FailureDetector& aDetector,
                    state::TimePoint aLinkVerifiedAt,
                    state::TimePoint aNow)
{
  const bool hasChanged = UpdateLiveness(aDetector, aLinkVerifiedAt, aNow);
  if (hasChanged && aDetector.mProbeTrust == ProbeTrust::OnTrial) {
    aDetector.mProbeTrust = ProbeTrust::Distrusted;
  }
  return hasChanged;
}

/// Clears all evidence if a packet or probe was answered that was sent after
/// the first unanswered packet, or if that packet itself was answered late.
bool
ClearEvidence(FailureDetector& aDetector, state::TimePoint aSent)
{
  aDetector.mLastAnsweredSent = std::max(aDetector.mLastAnsweredSent, aSent);
  if (aSent < aDetector.mUnansweredSince) {
    return false;
  }
  aDetector.mRetransmittingFlows = 0;
  aDetector.mRetransmittingOpenFlows = 0;
  aDetector.mOverdueOpenFlows = 0;
  aDetector.mUnansweredOpens = 0;
  aDetector.mReported = false;
  aDetector.mDataCentreUnreachable = false;
  aDetector.mUnansweredSince = {};
  const bool hasChanged = aDetector.mLiveness != Liveness::Responsive;
  aDetector.mLiveness = Liveness::Responsive;
  return hasChanged;
}

/// Lowers the liveness because of evidence other than own unanswered packets.
bool
ApplyIndirectEvidence(FailureDetector& aDetector, state::TimePoint aNow)
{
  if (aDetector.mUnansweredSince == state::TimePoint{}) {
    aDetector.mUnansweredSince = aNow;
  }
  return UpdateLiveness(aDetector, {}, aNow);
}

/// Extends the period of evidence by an unanswered packet and returns whether
/// the packet counts: it has timed out and no later one was answered. If it was
/// forwarded more than kEvidenceWindow after the first one of the period, a new
/// period begins and earlier evidence is cleared.
bool
RecordEvidence(FailureDetector& aDetector,
               state::TimePoint aSent,
               state::TimePoint aLastAnsweredSent,
               state::TimePoint aNow)
{
  if (aSent <= aLastAnsweredSent || aNow - aSent < kAnswerTimeout) {
    return false;
  }
  auto& unansweredSince = aDetector.mUnansweredSince;
  if (unansweredSince != state::TimePoint{} &&
      aSent - unansweredSince > kEvidenceWindow) {
    aDetector.mRetransmittingFlows = 0;
    aDetector.mRetransmittingOpenFlows = 0;
    aDetector.mOverdueOpenFlows = 0;
    aDetector.mUnansweredOpens = 0;
    unansweredSince = aSent;
  }
  unansweredSince = unansweredSince == state::TimePoint{}
                      ? aSent
                      : std::min(unansweredSince, aSent);
  return true;
}

} // namespace

bool
RecordAnswer(FailureDetector& aDetector, state::TimePoint aSent)
{
  // An answer to a packet from before the last probe says nothing of it.
  if (aSent > aDetector.mLastAnsweredSent) {
    aDetector.mProbeTrust = ProbeTrust::Trusted;
  }
  aDetector.mLastFlowAnsweredSent =
    std::max(aDetector.mLastFlowAnsweredSent, aSent);
  return ClearEvidence(aDetector, aSent);
}

bool
RecordProbeAnswer(FailureDetector& aDetector, state::TimePoint aSent)
{
  if (aDetector.mProbeTrust == ProbeTrust::Distrusted) {
    return false;
  }
  const bool hasChanged = ClearEvidence(aDetector, aSent);
  if (hasChanged) {
    aDetector.mProbeTrust = ProbeTrust::OnTrial;
  }
  return hasChanged;
}

bool
RecordRetransmission(FailureDetector& aDetector,
                     RetransmittedPacket aPacket,
                     state::TimePoint aSent,
                     state::TimePoint aLinkVerifiedAt,
                     state::TimePoint aNow)
{
  if (!RecordEvidence(aDetector, aSent, aDetector.mLastAnsweredSent, aNow)) {
    return false;
  }
  ++aDetector.mRetransmittingFlows;
  if (aPacket == RetransmittedPacket::Data) {
    ++aDetector.mRetransmittingOpenFlows;
  }
  return ApplyDirectEvidence(aDetector, aLinkVerifiedAt, aNow);
}

bool
RecordOverdueRequest(FailureDetector& aDetector,
                     state::TimePoint aSent,
                     state::TimePoint aLinkVerifiedAt,
                     state::TimePoint aNow)
{
  if (!RecordEvidence(
        aDetector, aSent, aDetector.mLastFlowAnsweredSent, aNow)) {
    return false;
  }
  ++aDetector.mOverdueOpenFlows;
  return ApplyDirectEvidence(aDetector, aLinkVerifiedAt, aNow);
}

bool
RecordUnansweredOpen(FailureDetector& aDetector,
                     state::TimePoint aSent,
                     state::TimePoint aNow)
{
  if (!RecordEvidence(aDetector, aSent, aDetector.mLastAnsweredSent, aNow)) {
    return false;
  }
  ++aDetector.mUnansweredOpens;
  return ApplyDirectEvidence(aDetector, {}, aNow);
}

bool
ClearUnansweredOpens(FailureDetector& aDetector)
{
  aDetector.mUnansweredOpens = 0;
  const bool hasOtherEvidence =
    aDetector.mRetransmittingFlows > 0 || aDetector.mOverdueOpenFlows > 0 ||
    aDetector.mReported || aDetector.mDataCentreUnreachable;
  if (hasOtherEvidence) {
    return false;
  }
  aDetector.mUnansweredSince = {};
  aDetector.mProbeTrust = ProbeTrust::Trusted;
  return std::exchange(aDetector.mLiveness, Liveness::Responsive) !=
         Liveness::Responsive;
}

bool
RecordReport(FailureDetector& aDetector, state::TimePoint aNow)
{
  if (HasAnsweredRecently(aDetector, aNow)) {
    return false;
  }
  aDetector.mReported = true;
  return ApplyIndirectEvidence(aDetector, aNow);
}

bool
RecordUnreachableDataCentre(FailureDetector& aDetector, state::TimePoint aNow)
{
  if (HasAnsweredRecently(aDetector, aNow)) {
    return false;
  }
  aDetector.mDataCentreUnreachable = true;
  return ApplyIndirectEvidence(aDetector, aNow);
}

bool
IsAbandoned(const FailureDetector& aDetector,
            std::uint32_t aMissingAnswers,
            state::Duration aUnansweredFor)
{
  if (aDetector.mLiveness < Liveness::Reported || aMissingAnswers == 0) {
    return false;
  }
  const bool hasOpenFlowEvidence =
    aDetector.mLiveness == Liveness::Unresponsive &&
    aDetector.mRetransmittingOpenFlows >= kUnresponsiveAfterFlows;
  return HasFailed(aDetector) || aMissingAnswers >= kAbandonedAfterMissing ||
         (hasOpenFlowEvidence && aUnansweredFor >= kOverdueAfter);
}

bool
HasFailed(const FailureDetector& aDetector)
{
  return aDetector.mLiveness == Liveness::Unresponsive &&
         aDetector.mOverdueOpenFlows >= kFailedAfterOverdueFlows;
}

bool
AdmitsFlow(const FailureDetector& aDetector, state::TimePoint aNow)
{
  return aDetector.mLiveness == Liveness::Responsive ||
         aNow >= aDetector.mNextTrial;
}

void
RecordTrial(FailureDetector& aDetector, state::TimePoint aNow)
{
  if (aDetector.mLiveness != Liveness::Responsive) {
    aDetector.mNextTrial = aNow + kTrialInterval;
  }
}

} // namespace sassafrasknot::flows
