#ifndef SASSAFRASKNOT_SRC_COORDINATION_FLOW_SHARDS_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_FLOW_SHARDS_HPP

#include "sassafrasknot/coordination/snapshot_index.hpp"

#include <cstdint>
#include <vector>

namespace sassafrasknot::coordination {

/// Shards that a flow may be placed in, at most; the first one that can be
/// reached owns its look-up.
constexpr std::size_t kShardsPerFlow = 3;

/// Instances that may forward one packet, at most.
constexpr std::size_t kMaxHops = 3;

/// A shard of a flow and its owner.
struct RankedShard
{
  const state::ShardTable* mShard = nullptr;
  const state::InstanceView* mOwner = nullptr;
  /// Rank of the shard for this flow; 0 is its first one.
  std::size_t mRank = 0;
};

/// Lists the shards of a flow whose data centre can be reached and that have an
/// owner, best first.
std::vector<RankedShard>
RankedShardsOfFlow(const SnapshotIndex& aIndex,
                   std::uint32_t aService,
                   std::uint64_t aFlowHash);

/// Whether an instance is among those that have forwarded a packet.
bool
HasForwarded(const std::vector<state::InstanceId>& aHops,
             const state::InstanceId& aInstance);

/// Returns the first step whose owner has not forwarded the packet yet, or
/// null. Steps before aFrom are passed over.
const RankedShard*
NextShard(const std::vector<RankedShard>& aRoute,
          const std::vector<state::InstanceId>& aHops,
          std::size_t aFrom = 0);

/// Whether this instance owns the first shard of a flow that can be reached.
bool
IsFirstOwner(const SnapshotIndex& aIndex,
             std::uint32_t aService,
             const state::FlowKey& aKey);

/// Returns the upstreams that the table history gives for a flow, newest first
/// and without duplicates, as far as packets may be sent to them now.
std::vector<state::Endpoint>
CandidateUpstreams(const SnapshotIndex& aIndex,
                   std::uint32_t aService,
                   const state::FlowKey& aKey);

} // namespace sassafrasknot::coordination

#endif
