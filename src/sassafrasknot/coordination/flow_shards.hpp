#ifndef SASSAFRASKNOT_SRC_COORDINATION_FLOW_SHARDS_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_FLOW_SHARDS_HPP

#include "sassafrasknot/coordination/snapshot_index.hpp"

#include <cstdint>
#include <vector>

namespace sassafrasknot::coordination {

/// Maximum number of shards that a flow may be placed in. The owner of the
/// highest-ranked one that has an owner is the flow's first owner, which looks
/// up the flow if it is unknown.
constexpr std::size_t kShardsPerFlow = 3;

/// Maximum number of instances that may forward one packet.
constexpr std::size_t kMaxHops = 3;

/// A shard in which a flow may be placed, and its owner.
struct RankedShard
{
  const state::ShardTable* mShard = nullptr;
  const state::InstanceView* mOwner = nullptr;
  /// Rank of the shard for this flow among all shards of the service, including
  /// those without an owner; 0 is the highest.
  std::size_t mRank = 0;
};

/// Returns up to kShardsPerFlow shards for a flow, highest-ranked first, from
/// the current table. Shards without a reachable live owner are left out.
/// @param aService index into Snapshot::mServices
/// @param aFlowHash state::Hash of the flow's key
std::vector<RankedShard>
RankedShardsOfFlow(const SnapshotIndex& aIndex,
                   std::uint32_t aService,
                   std::uint64_t aFlowHash);

/// Returns whether an instance is among those that have forwarded a packet.
bool
HasForwarded(const std::vector<state::InstanceId>& aHops,
             const state::InstanceId& aInstance);

/// Returns the first shard whose owner has not forwarded the packet yet, or
/// null.
/// @param aFrom index of the first shard to consider
const RankedShard*
NextShard(const std::vector<RankedShard>& aRankedShards,
          const std::vector<state::InstanceId>& aHops,
          std::size_t aFrom = 0);

/// Returns whether this instance is the first owner of a flow: the owner of the
/// flow's highest-ranked shard that has an owner.
/// @param aService index into Snapshot::mServices
bool
IsFirstOwner(const SnapshotIndex& aIndex,
             std::uint32_t aService,
             const state::FlowKey& aKey);

/// Returns the default upstreams of a flow in its two highest-ranked shards,
/// according to the current table and earlier ones (newest first), without
/// duplicates. Upstreams that are not bound to the service now are left out.
/// @param aService index into Snapshot::mServices
std::vector<state::Endpoint>
CandidateUpstreams(const SnapshotIndex& aIndex,
                   std::uint32_t aService,
                   const state::FlowKey& aKey);

} // namespace sassafrasknot::coordination

#endif
