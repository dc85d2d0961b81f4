#include "sassafrasknot/coordination/upstream_packets.hpp"

#include "sassafrasknot/coordination/flow_lifecycle.hpp"
#include "sassafrasknot/coordination/flow_placement.hpp"
#include "sassafrasknot/coordination/recovery.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// Resets the upstream's side of a flow that is placed elsewhere.
void
DropLateAnswer(TrafficState& aState, const state::FlowEvent& aEvent)
{
  if (aEvent.mKind == state::SegmentKind::OpenAnswer) {
    AddAction(
      aState,
      ResetUpstream{ aEvent.mKey, aEvent.mUpstream, aEvent.mAcknowledged });
  }
  DropPacket(aState, "packets_dropped_late_answer_total");
}

void
OnUpstreamReset(TrafficState& aState,
                state::TimePoint aNow,
                const state::FlowEvent& aEvent,
                FlowEntry& aEntry)
{
  if (aEntry.mStage == FlowStage::Opening) {
    DropPacket(aState, "packets_dropped_opening_refused_total");
    RetryPlacement(aState, aNow, aEvent.mKey, FailureKind::Refused);
    return;
  }
  if (!aEntry.mVerified) {
    // The record may be one of an earlier flow with the same addresses; the
    // caller's next segment starts a look-up.
    DropPacket(aState, "packets_dropped_unverified_reset_total");
    aState.mBackupRecords.erase(aEvent.mKey);
    RemoveFlowEntry(aState, aNow, aEvent.mKey);
    return;
  }
  if (aEntry.mStage == FlowStage::Established) {
    OnFailed(*FindOrAddOwnedShard(aState, aEntry.mShard, aNow).mShard,
             aEvent.mUpstream.mAddress,
             FailureKind::Reset,
             aNow);
    state::Increment(aState.mCounters, "flows_broken_upstream_reset_total");
  }
  AddAction(aState, SendToCaller{ aEvent.mKey.mService });
  CloseFlow(aState, aNow, aEvent.mKey, aEntry);
}

/// Decides on an opening, finishing or resetting answer of a known flow.
void
OnControlAnswer(TrafficState& aState,
                state::TimePoint aNow,
                const state::FlowEvent& aEvent,
                FlowEntry& aEntry)
{
  if (aEntry.mStage == FlowStage::Queued ||
      aEntry.mUpstream != aEvent.mUpstream) {
    DropLateAnswer(aState, aEvent);
    return;
  }
  if (aEvent.mKind == state::SegmentKind::Reset) {
    OnUpstreamReset(aState, aNow, aEvent, aEntry);
    return;
  }
  if (aEntry.mStage == FlowStage::Opening) {
    AcceptFlow(aState, aNow, aEvent.mKey, aEntry);
  }
  aEntry.mLastUpstreamActivity = aNow;
  aEntry.mVerified = true;
  aEntry.mAnswered |= aEvent.mPayloadBytes > 0;
  AddAction(aState, SendToCaller{ aEvent.mKey.mService });
  if (aEvent.mKind == state::SegmentKind::Finish) {
    aEntry.mUpstreamFinished = true;
    if (aEntry.mCallerFinished) {
      CloseFlow(aState, aNow, aEvent.mKey, aEntry);
    }
  }
}

/// Decides on such an answer of a flow that this owner does not know: the flow
/// was placed by an owner before it.
void
OnUnknownControlAnswer(TrafficState& aState,
                       state::TimePoint aNow,
                       const state::FlowEvent& aEvent,
                       std::uint32_t aService,
                       std::uint64_t aShard)
{

  if (aEvent.mKind == state::SegmentKind::Finish &&
      !MayAdopt(aState, aNow, aEvent.mKey, aShard)) {
    // A repeated segment of a flow that has ended.
    AddAction(aState, SendToCaller{ aEvent.mKey.mService });
    return;
  }
  auto& entry = AdoptLocatedFlow(
    aState, aNow, aEvent.mKey, aEvent.mUpstream, aService, aShard);
  OnControlAnswer(aState, aNow, aEvent, entry);
}

/// Forwards the reset of a flow that this owner does not know to the owner of
/// the flow's first shard, which may be looking it up.
void
OnUnknownReset(TrafficState& aState,
               const PacketEvent& aPacket,
               std::uint32_t aService)
{
  const auto route = RankedShardsOfFlow(
    aState.mIndex, aService, state::Hash(aPacket.mFlow.mKey));
  const auto* const first = NextShard(route, aPacket.mHops);
  if (first == nullptr || first->mRank > 0 ||
      IsSelf(aState.mIndex, first->mOwner) ||
      aPacket.mHops.size() >= kMaxHops) {
    DropPacket(aState, "packets_dropped_unverified_reset_total");
    return;
  }
  AddAction(aState, Forward{ first->mOwner->mId });
}

/// Sends an opening, finishing or resetting answer to the flow's owner, or
/// decides on it if this instance knows the flow or owns the shard.
void
RouteControlAnswer(TrafficState& aState,
                   state::TimePoint aNow,
                   const PacketEvent& aPacket,
                   std::uint32_t aService,
                   std::uint64_t aShard)
{
  const auto& event = aPacket.mFlow;
  if (const auto found = aState.mFlows.find(event.mKey);
      found != aState.mFlows.end() &&
      found->second.mStage != FlowStage::Redirected) {
    OnControlAnswer(aState, aNow, event, found->second);
    return;
  }
  if (event.mKind == state::SegmentKind::Reset &&
      aState.mPendingLookups.contains(event.mKey)) {
    RuleOutCandidate(aState, event.mKey, event.mUpstream);
    DropPacket(aState, "packets_dropped_unverified_reset_total");
    return;
  }
  const auto* const owner = OwnerOf(aState.mIndex, aShard);
  if (owner == nullptr) {
    DropPacket(aState, "packets_dropped_no_owner_total");
    return;
  }
  if (IsSelf(aState.mIndex, owner)) {
    if (event.mKind == state::SegmentKind::Reset) {
      OnUnknownReset(aState, aPacket, aService);
      return;
    }
    OnUnknownControlAnswer(aState, aNow, event, aService, aShard);
    return;
  }
  const bool visited = HasForwarded(aPacket.mHops, owner->mId);
  if (visited || aPacket.mHops.size() >= kMaxHops) {
    DropPacket(aState, "packets_dropped_unknown_flow_total");
    return;
  }
  AddAction(aState, Forward{ owner->mId });
}

} // namespace

void
OnUpstreamPacket(TrafficState& aState,
                 state::TimePoint aNow,
                 const PacketEvent& aPacket)
{
  const auto& snapshot = *aState.mIndex.mSnapshot;
  const auto bound = snapshot.mUpstreamBindings.find(aPacket.mFlow.mUpstream);
  if (bound == snapshot.mUpstreamBindings.end()) {
    DropPacket(aState, "packets_dropped_unknown_upstream_total");
    return;
  }
  const auto service = bound->second.mService;
  PacketEvent packet = aPacket;
  packet.mFlow.mKey.mService = { snapshot.mServices[service].mService.mAddress,
                                 bound->second.mListenerPort };
  const auto shard =
    ShardOfUpstream(aState.mIndex, service, packet.mFlow.mUpstream.mAddress);
  if (!shard) {
    DropPacket(aState, "packets_dropped_unknown_upstream_total");
    return;
  }
  if (packet.mFlow.mKind != state::SegmentKind::Data) {
    RouteControlAnswer(aState, aNow, packet, service, *shard);
    return;
  }
  AddAction(aState, SendToCaller{ packet.mFlow.mKey.mService });
  const AnswerReport report{ packet.mFlow.mKey,
                             packet.mFlow.mUpstream,
                             packet.mFlow.mKind,
                             packet.mFlow.mPayloadBytes > 0,
                             packet.mFlow.mSequence +
                               packet.mFlow.mPayloadBytes };
  if (IsSelf(aState.mIndex, OwnerOf(aState.mIndex, *shard))) {
    ApplyAnswerReport(aState, aNow, report);
    return;
  }
  ReportAnswer(aState.mReporter, *shard, report, aNow, aState.mCounters);
}

void
ApplyAnswerReport(TrafficState& aState,
                  state::TimePoint aNow,
                  const AnswerReport& aReport)
{
  const auto service = ServiceOfFlow(aState.mIndex, aReport.mKey);
  if (!service ||
      !IsBoundToService(aState.mIndex, *service, aReport.mUpstream)) {
    state::Increment(aState.mCounters, "answer_reports_unbound_total");
    return;
  }
  const auto shard =
    ShardOfUpstream(aState.mIndex, *service, aReport.mUpstream.mAddress);
  if (!shard) {
    return;
  }
  auto found = aState.mFlows.find(aReport.mKey);
  if (found == aState.mFlows.end() ||
      found->second.mStage == FlowStage::Redirected) {
    if (IsSelf(aState.mIndex, OwnerOf(aState.mIndex, *shard)) &&
        MayAdopt(aState, aNow, aReport.mKey, *shard)) {
      AdoptLocatedFlow(
        aState, aNow, aReport.mKey, aReport.mUpstream, *service, *shard);
    }
    return;
  }
  auto& entry = found->second;
  if (entry.mUpstream != aReport.mUpstream ||
      entry.mStage != FlowStage::Established) {
    return;
  }
  entry.mLastUpstreamActivity = aNow;
  entry.mVerified = true;
  entry.mUnansweredProbes = 0;
  entry.mAnswered |= aReport.mHasPayload;
  FindOrAddOwnedShard(aState, entry.mShard, aNow)
    .mLastProgress[entry.mUpstream.mAddress] = aNow;
}

} // namespace sassafrasknot::coordination
