#ifndef SASSAFRASKNOT_COORDINATION_SHARD_LOAD_HPP
#define SASSAFRASKNOT_COORDINATION_SHARD_LOAD_HPP

#include "sassafrasknot/state/flow.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief Load of a shard, for comparison with the service's other shards.
/// Connections and slots are sums over the usable upstreams.
struct ShardLoad
{
  /// Limit on open connections.
  std::uint64_t mConnections = 0;
  std::uint64_t mConnectionsUsed = 0;
  std::uint32_t mFreeSlots = 0;
  /// Number of flows that wait for a slot.
  std::uint32_t mQueued = 0;
};

/// @brief Chooses the shard of a new flow by load; to be called by the owner of
/// the flow's highest-ranked shard. The traffic core does not use it: it tries
/// the shards in order of rank. A feed goes to the first shard that has a free
/// connection and uses at most 1.01 times its part of all used connections;
/// that part is in proportion to the shards' limits. Work goes to the first
/// shard with a free slot and an empty queue.
/// @param aRanked loads of the flow's shards in rendezvous order; the first one
/// is exact, the others may be outdated
/// @param aFlowClass class of the flow
/// @return index into aRanked; zero if no shard meets the condition
std::size_t
ChooseShard(const std::vector<ShardLoad>& aRanked, state::FlowClass aFlowClass);

} // namespace sassafrasknot::coordination

#endif
