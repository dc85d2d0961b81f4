#include "sassafrasknot/coordination/traffic_core.hpp"

#include "sassafrasknot/coordination/action_invariants.hpp"
#include "sassafrasknot/coordination/caller_packets.hpp"
#include "sassafrasknot/coordination/flow_checks.hpp"
#include "sassafrasknot/coordination/flow_lifecycle.hpp"
#include "sassafrasknot/coordination/flow_placement.hpp"
#include "sassafrasknot/coordination/flow_shares.hpp"
#include "sassafrasknot/coordination/handover.hpp"
#include "sassafrasknot/coordination/peer_messages.hpp"
#include "sassafrasknot/coordination/recovery.hpp"
#include "sassafrasknot/coordination/snapshot_change.hpp"
#include "sassafrasknot/coordination/upstream_packets.hpp"

namespace sassafrasknot::coordination {
namespace {

/// A thread that was not called for longer than this has stalled and its state
/// is untrusted: other instances may have counted this one as dead meanwhile
/// and replaced it as owner. Equal to kFailureTimeout.
constexpr auto kStallTimeout = std::chrono::milliseconds{ 2700 };
/// Within this time the control thread detects the same stall and publishes a
/// snapshot with mTrusted == false.
constexpr auto kStallGrace = std::chrono::milliseconds{ 300 };
/// Flow records and reports are collected for this long, so that several share
/// the headers of one message.
constexpr auto kFlushInterval = std::chrono::milliseconds{ 100 };

/// Removes all queued flows, since their callers may have given up during a
/// stall.
void
RemoveAllQueuedFlows(TrafficState& aState, state::TimePoint aNow)
{
  const auto queued = aState.mQueuedFlows;
  for (const auto& [holdId, key] : queued) {
    RemoveFlowEntry(aState, aNow, key);
  }
}

/// Records a call of the core. If the previous call was longer ago than
/// kStallTimeout, this thread has stalled: packets are dropped for kStallGrace.
void
RecordCall(TrafficState& aState, state::TimePoint aNow)
{
  if (aState.mLastCall != state::TimePoint{} &&
      aNow - aState.mLastCall > kStallTimeout) {
    state::Increment(aState.mCounters, "stalls_total");
    aState.mUntrustedUntil = aNow + kStallGrace;
    RemoveAllQueuedFlows(aState, aNow);
  }
  aState.mLastCall = aNow;
}

/// Serves the queues of the shards in mShardsToServe. While no flow may be
/// placed, the shards stay in it.
void
ServeQueues(TrafficState& aState, state::TimePoint aNow)
{
  while (!aState.mShardsToServe.empty() && MayPlace(aState, aNow)) {
    const auto shards = std::exchange(aState.mShardsToServe, {});
    for (const auto hash : shards) {
      if (const auto found = aState.mShards.find(hash);
          found != aState.mShards.end()) {
        for (const auto& decision : ServeQueue(*found->second.mShard, aNow)) {
          ApplyQueueDecision(aState, aNow, decision);
        }
      }
    }
  }
}

/// Serves queues, checks the invariants of the collected actions and returns
/// the actions.
/// @param aPacket the packet that was processed, or null
TrafficActions
FinishCall(TrafficState& aState,
           state::TimePoint aNow,
           const PacketEvent* aPacket = nullptr)
{
  ServeQueues(aState, aNow);
  CheckActionInvariants(aState, aPacket);
  return std::exchange(aState.mActions, {});
}

/// Returns the state of a shard for a dump.
OwnedShardStatus
StatusOfShard(const TrafficState& aState,
              std::uint64_t aHash,
              const OwnedShard& aOwnedShard,
              state::TimePoint aNow)
{
  OwnedShardStatus status;
  if (const auto found = aState.mIndex.mShards.find(aHash);
      found != aState.mIndex.mShards.end()) {
    status.mId = found->second.mTable->mId;
  }
  if (const auto* const backup = InstanceAtRank(aState.mIndex, aHash, 1)) {
    status.mBackup = backup->mId;
  }
  status.mFlows = aOwnedShard.mFlows;
  status.mShard = StatusOf(*aOwnedShard.mShard, aNow);
  return status;
}

} // namespace

OwnedShard&
FindOrAddOwnedShard(TrafficState& aState,
                    std::uint64_t aShard,
                    state::TimePoint aNow)
{
  const auto [found, isNew] = aState.mShards.try_emplace(aShard);
  auto& ownedShard = found->second;
  if (isNew) {
    const auto indexed = aState.mIndex.mShards.find(aShard);
    const state::ShardTable empty;
    const bool known = indexed != aState.mIndex.mShards.end();
    ownedShard.mService = known ? indexed->second.mService : 0;
    ownedShard.mAdoptUntil = aNow + kAdoptionWindow;
    if (known) {
      ownedShard.mOrganisation =
        aState.mIndex.mSnapshot->mServices[ownedShard.mService]
          .mId.mOrganisation;
    }
    const auto limits =
      known ? aState.mIndex.mSnapshot->mServices[ownedShard.mService]
                .mService.mLimits
            : state::ServiceLimits{};
    ownedShard.mShard =
      MakeShard(known ? *indexed->second.mTable : empty, limits, aNow);
  }
  return ownedShard;
}

void
ScheduleCheck(TrafficState& aState,
              const state::FlowKey& aKey,
              FlowEntry& aEntry,
              state::TimePoint aAt)
{
  aEntry.mNextCheck = aAt;
  aState.mScheduledChecks.push({ aAt, aKey });
}

bool
MayPlace(const TrafficState& aState, state::TimePoint aNow)
{
  return aState.mIndex.mSnapshot->mTrusted && aNow >= aState.mUntrustedUntil;
}

struct TrafficCore::Impl
{
  TrafficState mState;
};

TrafficCore::TrafficCore(std::shared_ptr<const state::Snapshot> aSnapshot,
                         std::uint64_t aSeed)
  : mImpl(std::make_unique<Impl>())
{
  auto& state = mImpl->mState;
  state.mIndex = MakeSnapshotIndex(std::move(aSnapshot));
  state.mReplication = MakeReplicationQueue({});
  state.mReporter = MakeAnswerReporter({});
  state.mShares = MakeCoreShares({});
  UpdateShares(state, {});
  // The acknowledgement of a batch of an earlier process of this instance must
  // not match a batch of this one.
  state.mNextBatch = aSeed | 1;
}

TrafficCore::~TrafficCore() = default;
TrafficCore::TrafficCore(TrafficCore&&) noexcept = default;
TrafficCore&
TrafficCore::operator=(TrafficCore&&) noexcept = default;

TrafficActions
TrafficCore::OnPacket(state::TimePoint aNow, const PacketEvent& aPacket)
{
  auto& state = mImpl->mState;
  RecordCall(state, aNow);
  if (aNow < state.mUntrustedUntil) {
    DropPacket(state, "packets_dropped_stalled_total");
  } else if (aPacket.mFlow.mDirection == state::Direction::FromCaller) {
    OnCallerPacket(state, aNow, aPacket);
  } else {
    OnUpstreamPacket(state, aNow, aPacket);
  }
  return FinishCall(state, aNow, &aPacket);
}

TrafficActions
TrafficCore::OnPeerMessage(state::TimePoint aNow,
                           const state::InstanceId& aFrom,
                           const TrafficMessage& aMessage)
{
  auto& state = mImpl->mState;
  RecordCall(state, aNow);
  OnTrafficMessage(state, aNow, aFrom, aMessage);
  return FinishCall(state, aNow);
}

TrafficActions
TrafficCore::OnSnapshot(state::TimePoint aNow,
                        std::shared_ptr<const state::Snapshot> aSnapshot)
{
  auto& state = mImpl->mState;
  RecordCall(state, aNow);
  ApplySnapshot(state, aNow, std::move(aSnapshot));
  return FinishCall(state, aNow);
}

TrafficActions
TrafficCore::OnTick(state::TimePoint aNow)
{
  auto& state = mImpl->mState;
  RecordCall(state, aNow);
  CheckFlows(state, aNow);
  CheckLookups(state, aNow);
  ReallocateShares(state.mShares, aNow);
  ContinueHandovers(state, aNow);
  if (aNow >= state.mNextFlush) {
    state.mNextFlush = aNow + kFlushInterval;
    FlushPeerMessages(state, aNow);
  }
  for (const auto& [hash, ownedShard] : state.mShards) {
    state.mShardsToServe.insert(hash);
  }
  return FinishCall(state, aNow);
}

bool
TrafficCore::AreHandoversDone() const
{
  return HandoversDone(mImpl->mState);
}

const state::Counters&
TrafficCore::Counters() const
{
  return mImpl->mState.mCounters;
}

TrafficStatus
TrafficCore::Status(state::TimePoint aNow) const
{
  const auto& state = mImpl->mState;
  TrafficStatus status;
  for (const auto& [hash, ownedShard] : state.mShards) {
    status.mOwned.push_back(StatusOfShard(state, hash, ownedShard, aNow));
  }
  status.mFlows = state.mFlows.size();
  status.mBackupRecords = state.mBackupRecords.size();
  status.mPendingLookups = state.mPendingLookups.size();
  status.mPendingReplications =
    state.mReplication.mWork.size() + state.mReplication.mFeeds.size();
  return status;
}

} // namespace sassafrasknot::coordination
