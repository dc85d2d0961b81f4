#include "sassafrasknot/flows/router_liveness.hpp"

#include "sassafrasknot/flows/data_centre_reachability.hpp"

#include <chrono>
#include <cmath>
#include <utility>

namespace sassafrasknot::flows {
namespace {

/// Abandons the flows whose idempotent requests an unresponsive upstream has
/// not answered in time, so that their callers try again at once instead of
/// after their next retransmission.
void
AbandonRequests(FlowRouter& aRouter,
                const UpstreamRecord& aRecord,
                std::vector<AbandonedFlow>& aAbandoned)
{
  const auto& detector = aRecord.mFailureDetector;
  // Overdue requests outweigh answers to probes.
  const auto answeredSent = HasFailed(detector) ? detector.mLastFlowAnsweredSent
                                                : detector.mLastAnsweredSent;
  for (auto it = aRouter.mFlows.begin(); it != aRouter.mFlows.end();) {
    const auto& [key, entry] = *it;
    const bool isUnanswered =
      entry.mToken == aRecord.mToken && entry.mEstablished &&
      entry.mRequestActive && IsIdempotent(entry.mKind) &&
      entry.mNewDataSent > answeredSent &&
      IsAbandoned(detector, entry.mMissingAnswers, entry.mUnansweredFor);
    if (!isUnanswered) {
      ++it;
      continue;
    }
    CallerPacket packet;
    packet.mFlow = key;
    packet.mAcknowledged = entry.mAcknowledged;
    aAbandoned.push_back({ packet, entry.mToken });
    ReleaseLoad(aRouter, entry);
    it = aRouter.mFlows.erase(it);
  }
}

/// Keeps new flows away from all upstreams of another data centre if it appears
/// to be unreachable.
void
CheckDataCentre(FlowRouter& aRouter,
                const state::DataCentreId& aDataCentre,
                state::TimePoint aNow)
{
  if (aDataCentre == aRouter.mSettings.mDataCentre ||
      !IsDataCentreUnreachable(
        aRouter.mUpstreams, aDataCentre, aRouter.mLinkVerifiedAt)) {
    return;
  }
  for (auto& [token, record] : aRouter.mUpstreams.mByToken) {
    if (record.mUpstream.mDataCentre == aDataCentre &&
        record.mPresence != Presence::Removed) {
      RecordLivenessChange(
        aRouter,
        record,
        RecordUnreachableDataCentre(record.mFailureDetector, aNow));
    }
  }
}

} // namespace

void
AddLoad(UpstreamRecord& aRecord, const FlowEntry& aEntry, int aSign)
{
  if (aEntry.mCountedInLoad && aEntry.mLength == FlowLength::ManyRequests) {
    aRecord.mOwnLoad.mFeeds += aSign;
  }
  if (aEntry.mRequestActive) {
    aRecord.mOwnLoad.mActiveRequests += aSign;
    aRecord.mExcessBacklog +=
      aSign * (static_cast<double>(aEntry.mBacklog) - 1);
    // Removes rounding errors.
    if (aRecord.mOwnLoad.mActiveRequests == 0) {
      aRecord.mExcessBacklog = 0;
    }
  }
}

void
ReleaseLoad(FlowRouter& aRouter, const FlowEntry& aEntry)
{
  if (auto* record = FindUpstream(aRouter.mUpstreams, aEntry.mToken)) {
    AddLoad(*record, aEntry, -1);
  }
}

void
RecordLivenessChange(FlowRouter& aRouter,
                     UpstreamRecord& aRecord,
                     bool aChanged)
{
  if (!aChanged) {
    return;
  }
  MarkObserved(aRouter.mUpstreams, aRecord);
  aRouter.mLivenessChanges.push_back(
    { aRecord.mToken, aRecord.mFailureDetector.mLiveness });
  if (aRecord.mFailureDetector.mLiveness >= Liveness::Reported) {
    aRouter.mNewlyUnresponsive.push_back(aRecord.mToken);
  }
}

void
HandleRetransmission(FlowRouter& aRouter,
                     UpstreamRecord& aRecord,
                     RetransmittedPacket aPacket,
                     state::TimePoint aSent,
                     state::TimePoint aNow)
{
  if (aSent < aRouter.mIgnoreEvidenceBefore) {
    return;
  }
  MarkObserved(aRouter.mUpstreams, aRecord);
  RecordLivenessChange(
    aRouter,
    aRecord,
    RecordRetransmission(
      aRecord.mFailureDetector, aPacket, aSent, aRouter.mLinkVerifiedAt, aNow));
  CheckDataCentre(aRouter, aRecord.mUpstream.mDataCentre, aNow);
}

void
HandleOverdueRequest(FlowRouter& aRouter,
                     UpstreamRecord& aRecord,
                     state::TimePoint aSent,
                     state::TimePoint aNow)
{
  if (aSent < aRouter.mIgnoreEvidenceBefore) {
    return;
  }
  auto& detector = aRecord.mFailureDetector;
  const bool hadFailed = HasFailed(detector);
  const bool hasChanged =
    RecordOverdueRequest(detector, aSent, aRouter.mLinkVerifiedAt, aNow);
  RecordLivenessChange(aRouter, aRecord, hasChanged);
  if (!hadFailed && !hasChanged && HasFailed(detector)) {
    aRouter.mNewlyUnresponsive.push_back(aRecord.mToken);
  }
}

void
DecayOpenOutcomes(OpenOutcomes& aOutcomes, state::Duration aElapsed)
{
  const double factor =
    std::exp(-std::chrono::duration<double>(aElapsed) / kOpenOutcomesMemory);
  aOutcomes.mAnswered *= factor;
  aOutcomes.mUnanswered *= factor;
}

void
DiscardWidespreadUnansweredOpens(FlowRouter& aRouter)
{
  // More than the share of upstreams that fail at once, and less than that of
  // callers which routers move when an instance joins or leaves.
  constexpr double kMaxUnansweredShare = 0.3;
  if (aRouter.mOpens.mUnanswered < kSuspectedAfterUnansweredOpens) {
    return;
  }
  for (const auto token : aRouter.mUpstreams.mObserved) {
    auto* record = FindUpstream(aRouter.mUpstreams, token);
    if (record == nullptr) {
      continue;
    }
    const double own = record->mFailureDetector.mUnansweredOpens;
    const double unanswered = aRouter.mOpens.mUnanswered - own;
    const double all = unanswered + aRouter.mOpens.mAnswered;
    if (own > 0 && unanswered >= kSuspectedAfterUnansweredOpens &&
        unanswered > kMaxUnansweredShare * all) {
      RecordLivenessChange(
        aRouter, *record, ClearUnansweredOpens(record->mFailureDetector));
    }
  }
}

std::vector<AbandonedFlow>
AbandonUnansweredRequests(FlowRouter& aRouter)
{
  std::vector<AbandonedFlow> abandoned;
  for (const auto token : std::exchange(aRouter.mNewlyUnresponsive, {})) {
    const auto* record = FindUpstream(aRouter.mUpstreams, token);
    if (record != nullptr &&
        record->mFailureDetector.mLiveness >= Liveness::Reported) {
      AbandonRequests(aRouter, *record, abandoned);
    }
  }
  return abandoned;
}

void
OnReportedUnresponsive(FlowRouter& aRouter,
                       const std::set<UpstreamToken>& aTokens,
                       state::TimePoint aNow)
{
  for (const auto token : aTokens) {
    if (auto* record = FindUpstream(aRouter.mUpstreams, token)) {
      RecordLivenessChange(
        aRouter, *record, RecordReport(record->mFailureDetector, aNow));
    }
  }
}

void
OnProbeSuccess(FlowRouter& aRouter,
               UpstreamToken aToken,
               state::TimePoint aSent)
{
  if (auto* record = FindUpstream(aRouter.mUpstreams, aToken)) {
    RecordLivenessChange(
      aRouter, *record, RecordProbeAnswer(record->mFailureDetector, aSent));
  }
}

} // namespace sassafrasknot::flows
