#include "sassafrasknot/coordination/snapshot_index.hpp"

#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// Returns the key of SnapshotIndex::mShardOfUpstream.
std::uint64_t
UpstreamKey(std::uint32_t aService, state::Ipv4Address aUpstream)
{
  return (static_cast<std::uint64_t>(aService) << 32) | aUpstream.mValue;
}

/// Adds the shards and upstreams of a table that no newer table holds.
void
AddTable(SnapshotIndex& aIndex,
         std::uint32_t aService,
         const state::ServiceTable& aTable)
{
  for (const auto& shard : aTable.mShards) {
    const auto [entry, isNew] = aIndex.mShards.try_emplace(shard.mHash);
    if (isNew) {
      entry->second.mService = aService;
      entry->second.mTable = &shard;
      entry->second.mRankedInstances =
        shard.mOwners.empty() ? state::RankOwners(aIndex.mSnapshot->mInstances,
                                                  shard,
                                                  aIndex.mSnapshot->mReachable,
                                                  state::kMaxOwnersPerShard)
                              : shard.mOwners;
    }
    for (const auto& upstream : shard.mUpstreams) {
      aIndex.mShardOfUpstream.try_emplace(
        UpstreamKey(aService, upstream.mAddress), shard.mHash);
    }
  }
}

} // namespace

SnapshotIndex
MakeSnapshotIndex(std::shared_ptr<const state::Snapshot> aSnapshot)
{
  SnapshotIndex index;
  index.mSnapshot = std::move(aSnapshot);
  const auto& snapshot = *index.mSnapshot;
  for (std::uint32_t service = 0; service < snapshot.mServices.size();
       ++service) {
    for (const auto& table : snapshot.mServices[service].mTables) {
      AddTable(index, service, table);
    }
  }
  for (std::uint32_t instance = 0; instance < snapshot.mInstances.size();
       ++instance) {
    index.mInstances[snapshot.mInstances[instance].mId.mValue] = instance;
  }
  return index;
}

std::optional<std::uint64_t>
ShardOfUpstream(const SnapshotIndex& aIndex,
                std::uint32_t aService,
                state::Ipv4Address aUpstream)
{
  const auto found =
    aIndex.mShardOfUpstream.find(UpstreamKey(aService, aUpstream));
  if (found == aIndex.mShardOfUpstream.end()) {
    return std::nullopt;
  }
  return found->second;
}

const state::InstanceView*
InstanceAtRank(const SnapshotIndex& aIndex,
               std::uint64_t aShard,
               std::size_t aRank)
{
  const auto found = aIndex.mShards.find(aShard);
  if (found == aIndex.mShards.end() ||
      found->second.mRankedInstances.size() <= aRank) {
    return nullptr;
  }
  return &aIndex.mSnapshot->mInstances[found->second.mRankedInstances[aRank]];
}

const state::InstanceView*
OwnerOf(const SnapshotIndex& aIndex, std::uint64_t aShard)
{
  return InstanceAtRank(aIndex, aShard, 0);
}

bool
IsSelf(const SnapshotIndex& aIndex, const state::InstanceView* aInstance)
{
  return aInstance != nullptr && aInstance->mId == aIndex.mSnapshot->mSelf;
}

std::optional<std::uint32_t>
ServiceOfFlow(const SnapshotIndex& aIndex, const state::FlowKey& aKey)
{
  const auto& listeners = aIndex.mSnapshot->mServiceByEndpoint;
  const auto found = listeners.find(aKey.mService);
  if (found == listeners.end() ||
      ListenerOfFlow(aIndex, found->second, aKey) == nullptr) {
    return std::nullopt;
  }
  return found->second;
}

const state::Listener*
ListenerOfFlow(const SnapshotIndex& aIndex,
               std::uint32_t aService,
               const state::FlowKey& aKey)
{
  const auto& listeners =
    aIndex.mSnapshot->mServices[aService].mService.mListeners;
  const auto found =
    std::ranges::find_if(listeners, [&](const state::Listener& aListener) {
      return aListener.mPort == aKey.mService.mPort &&
             aListener.mProtocol == aKey.mProtocol;
    });
  return found == listeners.end() ? nullptr : &*found;
}

bool
IsBoundToService(const SnapshotIndex& aIndex,
                 std::uint32_t aService,
                 const state::Endpoint& aUpstream)
{
  const auto& bindings = aIndex.mSnapshot->mUpstreamBindings;
  const auto found = bindings.find(aUpstream);
  return found != bindings.end() && found->second.mService == aService;
}

} // namespace sassafrasknot::coordination
