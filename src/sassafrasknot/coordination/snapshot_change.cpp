#include "sassafrasknot/coordination/snapshot_change.hpp"

#include "sassafrasknot/coordination/flow_lifecycle.hpp"
#include "sassafrasknot/coordination/flow_shares.hpp"
#include "sassafrasknot/coordination/handover.hpp"
#include "sassafrasknot/coordination/invariant.hpp"
#include "sassafrasknot/coordination/recovery.hpp"

namespace sassafrasknot::coordination {
namespace {

/// Returns whether both are null or have the same id.
bool
IsSameInstance(const state::InstanceView* aFirst,
               const state::InstanceView* aSecond)
{
  if (aFirst == nullptr || aSecond == nullptr) {
    return aFirst == aSecond;
  }
  return aFirst->mId == aSecond->mId;
}

/// Returns whether this instance is to keep a flow's record: it is the backup
/// of the flow's shard or the flow's first owner.
bool
KeepsBackupRecord(const TrafficState& aState,
                  const FlowRecord& aRecord,
                  std::uint32_t aService,
                  std::uint64_t aShard)
{
  return IsSelf(aState.mIndex, InstanceAtRank(aState.mIndex, aShard, 1)) ||
         IsFirstOwner(aState.mIndex, aService, aRecord.mKey);
}

/// Adopts the flows of shards that this instance now owns from the records of
/// the previous owner. Removes records that this instance keeps neither as
/// backup nor as first owner, since an owner reports the end of a flow to its
/// present backup only.
void
AdoptBackupRecords(TrafficState& aState, state::TimePoint aNow)
{
  for (auto next = aState.mBackupRecords.begin();
       next != aState.mBackupRecords.end();) {
    const auto record = next->second;
    const auto service = ServiceOfFlow(aState.mIndex, record.mKey);
    const auto shard =
      service
        ? ShardOfUpstream(aState.mIndex, *service, record.mUpstream.mAddress)
        : std::nullopt;
    const bool isOwned =
      shard && IsSelf(aState.mIndex, OwnerOf(aState.mIndex, *shard));
    if (!isOwned) {
      const bool isKept =
        shard && KeepsBackupRecord(aState, record, *service, *shard);
      next = isKept ? std::next(next) : aState.mBackupRecords.erase(next);
      continue;
    }
    next = aState.mBackupRecords.erase(next);
    const auto known = aState.mFlows.find(record.mKey);
    if (known == aState.mFlows.end() ||
        known->second.mStage == FlowStage::Redirected) {
      AdoptFlow(aState, aNow, record, *service, *shard);
      ResolveLookup(aState, record.mKey, record.mUpstream, true);
      state::Increment(aState.mCounters, "flows_recovered_from_backup_total");
    }
  }
}

/// Queues the replication of all flows of a shard that need it, after a change
/// of the shard's backup.
void
ReplicateToNewBackup(TrafficState& aState,
                     state::TimePoint aNow,
                     std::uint64_t aShard)
{
  for (auto& [key, entry] : aState.mFlows) {
    if (entry.mShard == aShard && entry.mStage == FlowStage::Established &&
        (entry.mOffDefault || entry.mFlowClass != state::FlowClass::Feed)) {
      entry.mReplicated = false;
      QueueReplication(
        aState.mReplication, key, aShard, entry.mFlowClass, aNow);
    }
  }
}

/// Updates each shard from its table. Removes shards without flows that this
/// instance does not own.
void
UpdateOwnedShards(TrafficState& aState, state::TimePoint aNow)
{
  for (auto& [hash, ownedShard] : aState.mShards) {
    const auto indexed = aState.mIndex.mShards.find(hash);
    if (indexed == aState.mIndex.mShards.end()) {
      continue;
    }
    ownedShard.mService = indexed->second.mService;
    const auto& service =
      aState.mIndex.mSnapshot->mServices[ownedShard.mService].mService;
    UpdateShard(
      *ownedShard.mShard, *indexed->second.mTable, service.mLimits, aNow);
  }
  std::erase_if(aState.mShards, [&](const auto& aEntry) {
    return aEntry.second.mFlows == 0 &&
           !IsSelf(aState.mIndex, OwnerOf(aState.mIndex, aEntry.first));
  });
}

/// Compares the owners and backups of this instance's shards with those of the
/// previous snapshot. For a shard that it newly owns, flows may be adopted for
/// kAdoptionWindow and reports are requested; a new backup receives the flow
/// records.
void
ApplyOwnerChanges(TrafficState& aState,
                  state::TimePoint aNow,
                  const SnapshotIndex& aBefore)
{
  for (const auto& [hash, indexed] : aState.mIndex.mShards) {
    const auto* const owner = OwnerOf(aState.mIndex, hash);
    if (!IsSelf(aState.mIndex, owner)) {
      continue;
    }
    const auto* const before = OwnerOf(aBefore, hash);
    if (!IsSameInstance(owner, before)) {
      auto& ownedShard = FindOrAddOwnedShard(aState, hash, aNow);
      ownedShard.mAdoptUntil = aNow + kAdoptionWindow;
      if (before != nullptr) {
        ownedShard.mPreviousOwners.insert(before->mId);
      }
      aState.mReportRequests.insert(hash);
    }
    if (!IsSameInstance(InstanceAtRank(aState.mIndex, hash, 1),
                        InstanceAtRank(aBefore, hash, 1))) {
      ReplicateToNewBackup(aState, aNow, hash);
    }
  }
}

/// Returns the hash of the flow's highest-ranked shard that has an owner, or 0.
std::uint64_t
FirstShardHash(const SnapshotIndex& aIndex, const state::FlowKey& aKey)
{
  const auto service = ServiceOfFlow(aIndex, aKey);
  if (!service) {
    return 0;
  }
  const auto rankedShards =
    RankedShardsOfFlow(aIndex, *service, state::Hash(aKey));
  return rankedShards.empty() ? 0 : rankedShards.front().mShard->mHash;
}

/// Removes the queued flows whose highest-ranked shard has changed. The opening
/// segments that their callers retransmit now go to another shard, and a flow
/// must not be placed twice.
void
RemoveMovedQueuedFlows(TrafficState& aState,
                       state::TimePoint aNow,
                       const SnapshotIndex& aBefore)
{
  std::vector<state::FlowKey> moved;
  for (const auto& [holdId, key] : aState.mQueuedFlows) {
    if (FirstShardHash(aBefore, key) != FirstShardHash(aState.mIndex, key)) {
      moved.push_back(key);
    }
  }
  for (const auto& key : moved) {
    RemoveFlowEntry(aState, aNow, key);
  }
}

} // namespace

void
ApplySnapshot(TrafficState& aState,
              state::TimePoint aNow,
              std::shared_ptr<const state::Snapshot> aSnapshot)
{
  CheckInvariant(aSnapshot->mRevision >= aState.mIndex.mSnapshot->mRevision,
                 "revision_went_back",
                 aState.mCounters);
  const auto before =
    std::exchange(aState.mIndex, MakeSnapshotIndex(std::move(aSnapshot)));
  RemoveMovedQueuedFlows(aState, aNow, before);
  UpdateOwnedShards(aState, aNow);
  UpdateShares(aState, aNow);
  ApplyOwnerChanges(aState, aNow, before);
  AdoptBackupRecords(aState, aNow);
  UpdateHandovers(aState, aNow);
}

} // namespace sassafrasknot::coordination
