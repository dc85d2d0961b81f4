#include "sassafrasknot/coordination/snapshot_change.hpp"

#include "sassafrasknot/coordination/flow_lifecycle.hpp"
#include "sassafrasknot/coordination/flow_shares.hpp"
#include "sassafrasknot/coordination/handover.hpp"
#include "sassafrasknot/coordination/invariant.hpp"
#include "sassafrasknot/coordination/recovery.hpp"

namespace sassafrasknot::coordination {
namespace {

bool
SameInstance(const state::InstanceView* aFirst,
             const state::InstanceView* aSecond)
{
  if (aFirst == nullptr || aSecond == nullptr) {
    return aFirst == aSecond;
  }
  return aFirst->mId == aSecond->mId;
}

/// Whether this instance may be asked for a copy: it is the backup of the
/// shard, or owns the flow's first shard.
bool
KeepsCopy(const TrafficState& aState,
          const FlowRecord& aRecord,
          std::uint32_t aService,
          std::uint64_t aShard)
{
  return IsSelf(aState.mIndex, InstanceAtRank(aState.mIndex, aShard, 1)) ||
         IsFirstOwner(aState.mIndex, aService, aRecord.mKey);
}

/// Adopts the flows of the shards that this instance now owns from the copies
/// of the owner before, and drops copies that it holds for nobody any more: the
/// owner tells only its present backup when a flow ends.
void
AdoptBackups(TrafficState& aState, state::TimePoint aNow)
{
  for (auto next = aState.mBackupRecords.begin();
       next != aState.mBackupRecords.end();) {
    const auto record = next->second;
    const auto service = ServiceOfFlow(aState.mIndex, record.mKey);
    const auto shard =
      service
        ? ShardOfUpstream(aState.mIndex, *service, record.mUpstream.mAddress)
        : std::nullopt;
    const bool owns =
      shard && IsSelf(aState.mIndex, OwnerOf(aState.mIndex, *shard));
    if (!owns) {
      const bool keeps = shard && KeepsCopy(aState, record, *service, *shard);
      next = keeps ? std::next(next) : aState.mBackupRecords.erase(next);
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

/// Copies the flows of a shard to its new backup.
void
CopyAgain(TrafficState& aState, state::TimePoint aNow, std::uint64_t aShard)
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

void
UpdateAccounts(TrafficState& aState, state::TimePoint aNow)
{
  for (auto& [hash, owned] : aState.mShards) {
    const auto place = aState.mIndex.mShards.find(hash);
    if (place == aState.mIndex.mShards.end()) {
      continue;
    }
    owned.mService = place->second.mService;
    const auto& service =
      aState.mIndex.mSnapshot->mServices[owned.mService].mService;
    UpdateShard(*owned.mShard, *place->second.mTable, service.mLimits, aNow);
  }
  std::erase_if(aState.mShards, [&](const auto& aShard) {
    return aShard.second.mFlows == 0 &&
           !IsSelf(aState.mIndex, OwnerOf(aState.mIndex, aShard.first));
  });
}

void
CompareOwners(TrafficState& aState,
              state::TimePoint aNow,
              const SnapshotIndex& aBefore)
{
  for (const auto& [hash, place] : aState.mIndex.mShards) {
    const auto* const owner = OwnerOf(aState.mIndex, hash);
    if (!IsSelf(aState.mIndex, owner)) {
      continue;
    }
    const auto* const before = OwnerOf(aBefore, hash);
    if (!SameInstance(owner, before)) {
      auto& account = FindOrAddOwnedShard(aState, hash, aNow);
      account.mAdoptUntil = aNow + kAdoptionWindow;
      if (before != nullptr) {
        account.mPreviousOwners.insert(before->mId);
      }
      aState.mReportRequests.insert(hash);
    }
    if (!SameInstance(InstanceAtRank(aState.mIndex, hash, 1),
                      InstanceAtRank(aBefore, hash, 1))) {
      CopyAgain(aState, aNow, hash);
    }
  }
}

std::uint64_t
FirstShardOf(const SnapshotIndex& aIndex, const state::FlowKey& aKey)
{
  const auto service = ServiceOfFlow(aIndex, aKey);
  if (!service) {
    return 0;
  }
  const auto route = RankedShardsOfFlow(aIndex, *service, state::Hash(aKey));
  return route.empty() ? 0 : route.front().mShard->mHash;
}

/// Forgets the queued flows whose first shard has changed: the repeated opening
/// segments of their callers now go to another owner, and a flow must not be
/// placed twice.
void
ForgetMovedQueued(TrafficState& aState,
                  state::TimePoint aNow,
                  const SnapshotIndex& aBefore)
{
  std::vector<state::FlowKey> moved;
  for (const auto& [token, key] : aState.mQueuedFlows) {
    if (FirstShardOf(aBefore, key) != FirstShardOf(aState.mIndex, key)) {
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
  ForgetMovedQueued(aState, aNow, before);
  UpdateAccounts(aState, aNow);
  UpdateShares(aState, aNow);
  CompareOwners(aState, aNow, before);
  AdoptBackups(aState, aNow);
  UpdateHandovers(aState, aNow);
}

} // namespace sassafrasknot::coordination
