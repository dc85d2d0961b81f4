#ifndef SASSAFRASKNOT_SRC_COORDINATION_SNAPSHOT_INDEX_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_SNAPSHOT_INDEX_HPP

#include "sassafrasknot/state/snapshot.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sassafrasknot::coordination {

/// Where a shard stands in a snapshot.
struct ShardIndexEntry
{
  std::uint32_t mService = 0;
  const state::ShardTable* mTable = nullptr;
  /// Owner, backup and one more, as indices into Snapshot::mInstances.
  std::vector<std::uint32_t> mRankedInstances;
};

/// A snapshot with the look-ups that a traffic core needs.
struct SnapshotIndex
{
  std::shared_ptr<const state::Snapshot> mSnapshot;
  /// All shards of all tables by hash; the newest table wins.
  std::unordered_map<std::uint64_t, ShardIndexEntry> mShards;
  /// Hash of service index and upstream address to shard hash.
  std::unordered_map<std::uint64_t, std::uint64_t> mShardOfUpstream;
  std::unordered_map<std::string, std::uint32_t> mInstances;
};

SnapshotIndex
MakeSnapshotIndex(std::shared_ptr<const state::Snapshot> aSnapshot);

/// Returns the shard that accounts the flows of an upstream, or nothing.
std::optional<std::uint64_t>
ShardOfUpstream(const SnapshotIndex& aIndex,
                std::uint32_t aService,
                state::Ipv4Address aUpstream);

/// Returns the owner of a shard, or null.
const state::InstanceView*
OwnerOf(const SnapshotIndex& aIndex, std::uint64_t aShard);

/// Returns the instance that ranks at aRank (0 owner, 1 backup), or null.
const state::InstanceView*
InstanceAtRank(const SnapshotIndex& aIndex,
               std::uint64_t aShard,
               std::size_t aRank);

bool
IsSelf(const SnapshotIndex& aIndex, const state::InstanceView* aInstance);

/// Returns the service of a flow by its listener, or nothing.
std::optional<std::uint32_t>
ServiceOfFlow(const SnapshotIndex& aIndex, const state::FlowKey& aKey);

/// Returns the listener of a flow; its service must be known.
const state::Listener*
ListenerOfFlow(const SnapshotIndex& aIndex,
               std::uint32_t aService,
               const state::FlowKey& aKey);

/// Whether packets of the service may be sent to the upstream endpoint now.
bool
IsBoundToService(const SnapshotIndex& aIndex,
                 std::uint32_t aService,
                 const state::Endpoint& aUpstream);

} // namespace sassafrasknot::coordination

#endif
