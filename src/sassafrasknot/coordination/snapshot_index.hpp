#ifndef SASSAFRASKNOT_SRC_COORDINATION_SNAPSHOT_INDEX_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_SNAPSHOT_INDEX_HPP

#include "sassafrasknot/state/snapshot.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sassafrasknot::coordination {

/// A shard of a snapshot.
struct ShardIndexEntry
{
  /// Index into Snapshot::mServices.
  std::uint32_t mService = 0;
  const state::ShardTable* mTable = nullptr;
  /// Owner, backup and one more, as indices into Snapshot::mInstances.
  std::vector<std::uint32_t> mRankedInstances;
};

/// A snapshot with indices for the searches of a traffic core.
struct SnapshotIndex
{
  std::shared_ptr<const state::Snapshot> mSnapshot;
  /// All shards of all tables by shard hash; of a shard in several tables, the
  /// newest.
  std::unordered_map<std::uint64_t, ShardIndexEntry> mShards;
  /// Service index (upper 32 bits) and upstream address (lower 32 bits) to
  /// shard hash.
  std::unordered_map<std::uint64_t, std::uint64_t> mShardOfUpstream;
  /// Instance id to index into Snapshot::mInstances.
  std::unordered_map<std::string, std::uint32_t> mInstances;
};

/// Makes the index of a snapshot.
SnapshotIndex
MakeSnapshotIndex(std::shared_ptr<const state::Snapshot> aSnapshot);

/// Returns the hash of the shard that an upstream belongs to, or nothing if no
/// table holds the upstream.
/// @param aService index into Snapshot::mServices
std::optional<std::uint64_t>
ShardOfUpstream(const SnapshotIndex& aIndex,
                std::uint32_t aService,
                state::Ipv4Address aUpstream);

/// Returns the owner of a shard, or null.
/// @param aShard hash of the shard
const state::InstanceView*
OwnerOf(const SnapshotIndex& aIndex, std::uint64_t aShard);

/// Returns the instance at a rank of a shard's rendezvous order, or null.
/// @param aShard hash of the shard
/// @param aRank 0 is the owner, 1 the backup
const state::InstanceView*
InstanceAtRank(const SnapshotIndex& aIndex,
               std::uint64_t aShard,
               std::size_t aRank);

/// Returns whether aInstance is this instance; false for null.
bool
IsSelf(const SnapshotIndex& aIndex, const state::InstanceView* aInstance);

/// Returns the index of the service with a listener for the flow's endpoint and
/// protocol, or nothing.
std::optional<std::uint32_t>
ServiceOfFlow(const SnapshotIndex& aIndex, const state::FlowKey& aKey);

/// Returns the listener of a flow in a service, or null.
/// @param aService index into Snapshot::mServices
const state::Listener*
ListenerOfFlow(const SnapshotIndex& aIndex,
               std::uint32_t aService,
               const state::FlowKey& aKey);

/// Returns whether the upstream endpoint is bound to the service, so that
/// packets of the service may be sent to it.
/// @param aService index into Snapshot::mServices
bool
IsBoundToService(const SnapshotIndex& aIndex,
                 std::uint32_t aService,
                 const state::Endpoint& aUpstream);

} // namespace sassafrasknot::coordination

#endif
