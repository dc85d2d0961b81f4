#include "sassafrasknot/coordination/flow_lifecycle.hpp"

#include "sassafrasknot/coordination/flow_shares.hpp"

namespace sassafrasknot::coordination {
namespace {

/// Late segments of a closed flow arrive within this time.
constexpr auto kClosedRetention = std::chrono::seconds{ 5 };
/// How long a redirect stays in the flow table after it was recorded, also if
/// packets arrive. Much longer than the default keepalive interval (30 s). A
/// later packet starts a look-up.
constexpr auto kRedirectRetention = std::chrono::minutes{ 15 };
constexpr auto kFirstCheckDelay = std::chrono::seconds{ 5 };

} // namespace

bool
IsOffDefault(const TrafficState& aState,
             std::uint32_t aService,
             const state::FlowKey& aKey,
             const state::Endpoint& aUpstream)
{
  const auto candidates = CandidateUpstreams(aState.mIndex, aService, aKey);
  return candidates.empty() || candidates.front() != aUpstream;
}

void
ReleaseResources(TrafficState& aState, state::TimePoint aNow, FlowEntry& aEntry)
{
  RemoveFromShare(aState, aEntry);
  if (!aEntry.mHoldsConnection) {
    return;
  }
  aEntry.mHoldsConnection = false;
  auto& ownedShard = FindOrAddOwnedShard(aState, aEntry.mShard, aNow);
  --ownedShard.mFlows;
  aState.mShardsToServe.insert(aEntry.mShard);
  OnEnded(*ownedShard.mShard,
          aEntry.mUpstream.mAddress,
          aEntry.mFlowClass,
          aEntry.mStarted,
          aNow);
}

state::Verdict
VerdictOf(const FlowEntry& aEntry)
{
  if (aEntry.mAnswered) {
    return state::Verdict::Answered;
  }
  // Payload of an established flow may have been sent by an earlier owner.
  const bool isUnaccepted =
    aEntry.mStage == FlowStage::Queued || aEntry.mStage == FlowStage::Opening;
  return isUnaccepted && !aEntry.mPayloadForwarded ? state::Verdict::NotRun
                                                   : state::Verdict::MayHaveRun;
}

FlowEntry&
AdoptFlow(TrafficState& aState,
          state::TimePoint aNow,
          const FlowRecord& aRecord,
          std::uint32_t aService,
          std::uint64_t aShard)
{
  auto& ownedShard = FindOrAddOwnedShard(aState, aShard, aNow);
  FlowEntry entry;
  entry.mShard = aShard;
  entry.mUpstream = aRecord.mUpstream;
  entry.mFlowClass = aRecord.mFlowClass;
  entry.mPayloadForwarded = aRecord.mPayloadForwarded;
  entry.mAnswered = aRecord.mAnswered;
  entry.mStage = FlowStage::Established;
  entry.mVerified = false;
  entry.mHoldsConnection = true;
  entry.mStarted = aNow;
  entry.mLastCallerActivity = aNow;
  entry.mLastUpstreamActivity = aNow;
  entry.mOffDefault =
    IsOffDefault(aState, aService, aRecord.mKey, aRecord.mUpstream);
  Adopt(*ownedShard.mShard, aRecord.mUpstream.mAddress, aRecord.mFlowClass);
  ++ownedShard.mFlows;
  AddToShare(aState, entry);
  state::Increment(aState.mCounters, "flows_adopted_total");
  auto& stored = aState.mFlows[aRecord.mKey] = entry;
  if (entry.mOffDefault || entry.mFlowClass != state::FlowClass::Feed) {
    QueueReplication(
      aState.mReplication, aRecord.mKey, aShard, entry.mFlowClass, aNow);
  }
  ScheduleCheck(aState, aRecord.mKey, stored, aNow + kFirstCheckDelay);
  return stored;
}

void
RecordRedirect(TrafficState& aState,
               state::TimePoint aNow,
               const state::FlowKey& aKey,
               const state::Endpoint& aUpstream,
               std::uint64_t aShard)
{
  auto& entry = aState.mFlows[aKey];
  entry.mStage = FlowStage::Redirected;
  entry.mUpstream = aUpstream;
  entry.mShard = aShard;
  entry.mStarted = aNow;
  entry.mLastCallerActivity = aNow;
  ScheduleCheck(aState, aKey, entry, aNow + kRedirectRetention);
}

void
NotifyFirstOwner(TrafficState& aState, const FlowRecord& aRecord)
{
  const auto service = ServiceOfFlow(aState.mIndex, aRecord.mKey);
  if (!service) {
    return;
  }
  const auto rankedShards =
    RankedShardsOfFlow(aState.mIndex, *service, state::Hash(aRecord.mKey));
  if (!rankedShards.empty() &&
      !IsSelf(aState.mIndex, rankedShards.front().mOwner)) {
    AddAction(aState,
              SendToPeer{ rankedShards.front().mOwner->mId,
                          FlowRecords{ { aRecord } } });
  }
}

void
AcceptFlow(TrafficState& aState,
           state::TimePoint aNow,
           const state::FlowKey& aKey,
           FlowEntry& aEntry)
{
  aEntry.mStage = FlowStage::Established;
  aEntry.mLastUpstreamActivity = aNow;
  auto& ownedShard = FindOrAddOwnedShard(aState, aEntry.mShard, aNow);
  OnAccepted(*ownedShard.mShard, aEntry.mUpstream.mAddress, aNow);
  ownedShard.mLastProgress[aEntry.mUpstream.mAddress] = aNow;
  AddAction(aState, DropHeld{ aEntry.mHoldId });
  NotifyFirstOwner(aState, RecordOf(aKey, aEntry));
  if (aEntry.mOffDefault || aEntry.mFlowClass != state::FlowClass::Feed) {
    QueueReplication(
      aState.mReplication, aKey, aEntry.mShard, aEntry.mFlowClass, aNow);
  }
  ScheduleCheck(aState, aKey, aEntry, aNow + kFirstCheckDelay);
}

void
CloseFlow(TrafficState& aState,
          state::TimePoint aNow,
          const state::FlowKey& aKey,
          FlowEntry& aEntry)
{
  if (aEntry.mStage == FlowStage::Closed) {
    return;
  }
  if (aEntry.mStage == FlowStage::Opening) {
    AddAction(aState, DropHeld{ aEntry.mHoldId });
  }
  aEntry.mStage = FlowStage::Closed;
  if (aEntry.mReplicated) {
    QueueRemoval(
      aState.mReplication, RecordOf(aKey, aEntry), aEntry.mShard, aNow);
  }
  ReleaseResources(aState, aNow, aEntry);
  state::Increment(aState.mCounters, "flows_closed_total");
  ScheduleCheck(aState, aKey, aEntry, aNow + kClosedRetention);
}

void
RemoveFlowEntry(TrafficState& aState,
                state::TimePoint aNow,
                const state::FlowKey& aKey)
{
  const auto found = aState.mFlows.find(aKey);
  if (found == aState.mFlows.end()) {
    return;
  }
  if (found->second.mStage == FlowStage::Queued) {
    CancelQueued(
      *FindOrAddOwnedShard(aState, found->second.mShard, aNow).mShard,
      found->second.mHoldId);
    aState.mQueuedFlows.erase(found->second.mHoldId);
    AddAction(aState, DropHeld{ found->second.mHoldId });
  }
  ReleaseResources(aState, aNow, found->second);
  aState.mFlows.erase(found);
}

void
ReclassifyFlow(TrafficState& aState,
               state::TimePoint aNow,
               FlowEntry& aEntry,
               state::FlowClass aTo)
{
  if (!aEntry.mHoldsConnection || aEntry.mFlowClass == aTo) {
    return;
  }
  Reclassify(*FindOrAddOwnedShard(aState, aEntry.mShard, aNow).mShard,
             aEntry.mUpstream.mAddress,
             aEntry.mFlowClass,
             aTo);
  aEntry.mFlowClass = aTo;
  state::Increment(aState.mCounters, "flows_reclassified_total");
}

} // namespace sassafrasknot::coordination
