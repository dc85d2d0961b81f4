#include "sassafrasknot/coordination/upstream_packets.hpp"

#include "sassafrasknot/coordination/flow_lifecycle.hpp"
#include "sassafrasknot/coordination/flow_placement.hpp"
#include "sassafrasknot/coordination/recovery.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// Drops a control segment of an upstream that is not the flow's upstream, for
/// instance after the flow was reassigned, or of a flow that is queued again.
/// If the segment is an opening answer, the upstream is reset, so that it
/// closes its end.
void
DropLateSegment(TrafficState& aState, const state::FlowEvent& aEvent)
{
  if (aEvent.mKind == state::SegmentKind::OpenAnswer) {
    AddAction(
      aState,
      ResetUpstream{ aEvent.mKey, aEvent.mUpstream, aEvent.mAcknowledged });
  }
  DropPacket(aState, "packets_dropped_late_answer_total");
}

/// Processes a reset of a flow's upstream: an opening flow is reassigned, an
/// established or closed one is closed and the reset is sent to the caller.
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
    // The flow is known from a record only, which may be that of an earlier
    // flow with the same endpoints. The caller's next segment starts a look-up.
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

/// Processes a control segment of a flow in the flow table.
void
OnControlSegment(TrafficState& aState,
                 state::TimePoint aNow,
                 const state::FlowEvent& aEvent,
                 FlowEntry& aEntry)
{
  if (aEntry.mStage == FlowStage::Queued ||
      aEntry.mUpstream != aEvent.mUpstream) {
    DropLateSegment(aState, aEvent);
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

/// Processes an opening answer or a finish of a flow that is not in the table.
/// The flow was placed by an earlier owner and is adopted.
void
OnUnknownControlSegment(TrafficState& aState,
                        state::TimePoint aNow,
                        const state::FlowEvent& aEvent,
                        std::uint32_t aService,
                        std::uint64_t aShard)
{

  if (aEvent.mKind == state::SegmentKind::Finish &&
      !MayAdopt(aState, aNow, aEvent.mKey, aShard)) {
    // A retransmitted segment of a flow that has ended.
    AddAction(aState, SendToCaller{ aEvent.mKey.mService });
    return;
  }
  auto& entry = AdoptLocatedFlow(
    aState, aNow, aEvent.mKey, aEvent.mUpstream, aService, aShard);
  OnControlSegment(aState, aNow, aEvent, entry);
}

/// Forwards an upstream's reset of a flow that is not in the table to the first
/// owner of the flow, which may be looking it up. Drops the reset if this
/// instance is the first owner, if the first owner has forwarded it already, or
/// if the flow's highest-ranked shard has no owner.
void
OnUnknownReset(TrafficState& aState,
               const PacketEvent& aPacket,
               std::uint32_t aService)
{
  const auto rankedShards = RankedShardsOfFlow(
    aState.mIndex, aService, state::Hash(aPacket.mFlow.mKey));
  const auto* const nextShard = NextShard(rankedShards, aPacket.mHops);
  if (nextShard == nullptr || nextShard->mRank > 0 ||
      IsSelf(aState.mIndex, nextShard->mOwner) ||
      aPacket.mHops.size() >= kMaxHops) {
    DropPacket(aState, "packets_dropped_unverified_reset_total");
    return;
  }
  AddAction(aState, Forward{ nextShard->mOwner->mId });
}

/// Processes a control segment if its flow is in the table, is being looked up
/// or belongs to a shard of this instance; otherwise forwards it to the shard's
/// owner.
/// @param aShard hash of the upstream's shard
void
RouteControlSegment(TrafficState& aState,
                    state::TimePoint aNow,
                    const PacketEvent& aPacket,
                    std::uint32_t aService,
                    std::uint64_t aShard)
{
  const auto& event = aPacket.mFlow;
  if (const auto found = aState.mFlows.find(event.mKey);
      found != aState.mFlows.end() &&
      found->second.mStage != FlowStage::Redirected) {
    OnControlSegment(aState, aNow, event, found->second);
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
    OnUnknownControlSegment(aState, aNow, event, aService, aShard);
    return;
  }
  const bool hasForwarded = HasForwarded(aPacket.mHops, owner->mId);
  if (hasForwarded || aPacket.mHops.size() >= kMaxHops) {
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
  const auto binding = snapshot.mUpstreamBindings.find(aPacket.mFlow.mUpstream);
  if (binding == snapshot.mUpstreamBindings.end()) {
    DropPacket(aState, "packets_dropped_unknown_upstream_total");
    return;
  }
  const auto service = binding->second.mService;
  PacketEvent packet = aPacket;
  packet.mFlow.mKey.mService = { snapshot.mServices[service].mService.mAddress,
                                 binding->second.mListenerPort };
  const auto shard =
    ShardOfUpstream(aState.mIndex, service, packet.mFlow.mUpstream.mAddress);
  if (!shard) {
    DropPacket(aState, "packets_dropped_unknown_upstream_total");
    return;
  }
  if (packet.mFlow.mKind != state::SegmentKind::Data) {
    RouteControlSegment(aState, aNow, packet, service, *shard);
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
