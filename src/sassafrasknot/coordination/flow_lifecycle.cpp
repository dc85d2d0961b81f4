#include "sassafrasknot/coordination/flow_lifecycle.hpp"

#include "sassafrasknot/coordination/flow_shares.hpp"

namespace sassafrasknot::coordination {
namespace {

/// Late segments of an ended flow arrive within this time.
constexpr auto kClosedRetention = std::chrono::seconds{ 5 };
/// Above the longest keepalive interval, so that a flow with traffic keeps its
/// pointer.
constexpr auto kElsewhereRetention = std::chrono::minutes{ 15 };
constexpr auto kFirstCheck = std::chrono::seconds{ 5 };

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
  if (!aEntry.mAccounted) {
    return;
  }
  aEntry.mAccounted = false;
  auto& account = FindOrAddOwnedShard(aState, aEntry.mShard, aNow);
  --account.mFlows;
  aState.mFreedShards.insert(aEntry.mShard);
  OnEnded(*account.mShard,
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
  // An established flow may have sent payload that this instance did not see,
  // through an owner before it.
  const bool untouched =
    aEntry.mStage == FlowStage::Queued || aEntry.mStage == FlowStage::Opening;
  return untouched && !aEntry.mPayloadForwarded ? state::Verdict::NotRun
                                                : state::Verdict::MayHaveRun;
}

FlowEntry&
AdoptFlow(TrafficState& aState,
          state::TimePoint aNow,
          const FlowRecord& aRecord,
          std::uint32_t aService,
          std::uint64_t aShard)
{
  auto& account = FindOrAddOwnedShard(aState, aShard, aNow);
  FlowEntry entry;
  entry.mShard = aShard;
  entry.mUpstream = aRecord.mUpstream;
  entry.mFlowClass = aRecord.mFlowClass;
  entry.mPayloadForwarded = aRecord.mPayloadForwarded;
  entry.mAnswered = aRecord.mAnswered;
  entry.mStage = FlowStage::Established;
  entry.mVerified = false;
  entry.mAccounted = true;
  entry.mStarted = aNow;
  entry.mLastCallerActivity = aNow;
  entry.mLastUpstreamActivity = aNow;
  entry.mOffDefault =
    IsOffDefault(aState, aService, aRecord.mKey, aRecord.mUpstream);
  Adopt(*account.mShard, aRecord.mUpstream.mAddress, aRecord.mFlowClass);
  ++account.mFlows;
  AddToShare(aState, entry);
  state::Increment(aState.mCounters, "flows_adopted_total");
  auto& stored = aState.mFlows[aRecord.mKey] = entry;
  if (entry.mOffDefault || entry.mFlowClass != state::FlowClass::Feed) {
    QueueReplication(
      aState.mReplication, aRecord.mKey, aShard, entry.mFlowClass, aNow);
  }
  ScheduleCheck(aState, aRecord.mKey, stored, aNow + kFirstCheck);
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
  ScheduleCheck(aState, aKey, entry, aNow + kElsewhereRetention);
}

void
NotifyFirstOwner(TrafficState& aState, const FlowRecord& aRecord)
{
  const auto service = ServiceOfFlow(aState.mIndex, aRecord.mKey);
  if (!service) {
    return;
  }
  const auto route =
    RankedShardsOfFlow(aState.mIndex, *service, state::Hash(aRecord.mKey));
  if (!route.empty() && !IsSelf(aState.mIndex, route.front().mOwner)) {
    AddAction(
      aState,
      SendToPeer{ route.front().mOwner->mId, FlowRecords{ { aRecord } } });
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
  auto& account = FindOrAddOwnedShard(aState, aEntry.mShard, aNow);
  OnAccepted(*account.mShard, aEntry.mUpstream.mAddress, aNow);
  account.mLastProgress[aEntry.mUpstream.mAddress] = aNow;
  AddAction(aState, DropHeld{ aEntry.mHoldId });
  NotifyFirstOwner(aState, RecordOf(aKey, aEntry));
  if (aEntry.mOffDefault || aEntry.mFlowClass != state::FlowClass::Feed) {
    QueueReplication(
      aState.mReplication, aKey, aEntry.mShard, aEntry.mFlowClass, aNow);
  }
  ScheduleCheck(aState, aKey, aEntry, aNow + kFirstCheck);
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
  if (!aEntry.mAccounted || aEntry.mFlowClass == aTo) {
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
