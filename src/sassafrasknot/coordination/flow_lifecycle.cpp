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
IsException(const TrafficState& aState,
            std::uint32_t aService,
            const state::FlowKey& aKey,
            const state::Endpoint& aUpstream)
{
  const auto candidates = CandidatesOfFlow(aState.mIndex, aService, aKey);
  return candidates.empty() || candidates.front() != aUpstream;
}

void
FreeAccount(TrafficState& aState, state::TimePoint aNow, FlowEntry& aEntry)
{
  LeaveShare(aState, aEntry);
  if (!aEntry.mAccounted) {
    return;
  }
  aEntry.mAccounted = false;
  auto& account = AccountOf(aState, aEntry.mShard, aNow);
  --account.mFlows;
  aState.mFreed.insert(aEntry.mShard);
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
  auto& account = AccountOf(aState, aShard, aNow);
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
  entry.mLastCaller = aNow;
  entry.mLastUpstream = aNow;
  entry.mException =
    IsException(aState, aService, aRecord.mKey, aRecord.mUpstream);
  Adopt(*account.mShard, aRecord.mUpstream.mAddress, aRecord.mFlowClass);
  ++account.mFlows;
  JoinShare(aState, entry);
  state::Increment(aState.mCounters, "flows_adopted_total");
  auto& stored = aState.mFlows[aRecord.mKey] = entry;
  if (entry.mException || entry.mFlowClass != state::FlowClass::Feed) {
    QueueCopy(aState.mCopies, aRecord.mKey, aShard, entry.mFlowClass, aNow);
  }
  CheckAt(aState, aRecord.mKey, stored, aNow + kFirstCheck);
  return stored;
}

void
NoteElsewhere(TrafficState& aState,
              state::TimePoint aNow,
              const state::FlowKey& aKey,
              const state::Endpoint& aUpstream,
              std::uint64_t aShard)
{
  auto& entry = aState.mFlows[aKey];
  entry.mStage = FlowStage::Elsewhere;
  entry.mUpstream = aUpstream;
  entry.mShard = aShard;
  entry.mStarted = aNow;
  entry.mLastCaller = aNow;
  CheckAt(aState, aKey, entry, aNow + kElsewhereRetention);
}

void
TellFirstOwner(TrafficState& aState, const FlowRecord& aRecord)
{
  const auto service = ServiceOfFlow(aState.mIndex, aRecord.mKey);
  if (!service) {
    return;
  }
  const auto route =
    RouteOfFlow(aState.mIndex, *service, state::Hash(aRecord.mKey));
  if (!route.empty() && !IsSelf(aState.mIndex, route.front().mOwner)) {
    Act(aState,
        SendPeer{ route.front().mOwner->mId, FlowCopies{ { aRecord } } });
  }
}

void
AcceptFlow(TrafficState& aState,
           state::TimePoint aNow,
           const state::FlowKey& aKey,
           FlowEntry& aEntry)
{
  aEntry.mStage = FlowStage::Established;
  aEntry.mLastUpstream = aNow;
  auto& account = AccountOf(aState, aEntry.mShard, aNow);
  OnAccepted(*account.mShard, aEntry.mUpstream.mAddress, aNow);
  account.mProgress[aEntry.mUpstream.mAddress] = aNow;
  Act(aState, DropHeld{ aEntry.mToken });
  TellFirstOwner(aState, RecordOf(aKey, aEntry));
  if (aEntry.mException || aEntry.mFlowClass != state::FlowClass::Feed) {
    QueueCopy(aState.mCopies, aKey, aEntry.mShard, aEntry.mFlowClass, aNow);
  }
  CheckAt(aState, aKey, aEntry, aNow + kFirstCheck);
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
    Act(aState, DropHeld{ aEntry.mToken });
  }
  aEntry.mStage = FlowStage::Closed;
  if (aEntry.mCopied) {
    QueueEnd(aState.mCopies, RecordOf(aKey, aEntry), aEntry.mShard, aNow);
  }
  FreeAccount(aState, aNow, aEntry);
  state::Increment(aState.mCounters, "flows_closed_total");
  CheckAt(aState, aKey, aEntry, aNow + kClosedRetention);
}

void
ForgetFlow(TrafficState& aState,
           state::TimePoint aNow,
           const state::FlowKey& aKey)
{
  const auto found = aState.mFlows.find(aKey);
  if (found == aState.mFlows.end()) {
    return;
  }
  if (found->second.mStage == FlowStage::Queued) {
    CancelQueued(*AccountOf(aState, found->second.mShard, aNow).mShard,
                 found->second.mToken);
    aState.mQueued.erase(found->second.mToken);
    Act(aState, DropHeld{ found->second.mToken });
  }
  FreeAccount(aState, aNow, found->second);
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
  Reclassify(*AccountOf(aState, aEntry.mShard, aNow).mShard,
             aEntry.mUpstream.mAddress,
             aEntry.mFlowClass,
             aTo);
  aEntry.mFlowClass = aTo;
  state::Increment(aState.mCounters, "flows_reclassified_total");
}

} // namespace sassafrasknot::coordination
