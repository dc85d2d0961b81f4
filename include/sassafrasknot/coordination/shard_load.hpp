#ifndef SASSAFRASKNOT_COORDINATION_SHARD_LOAD_HPP
#define SASSAFRASKNOT_COORDINATION_SHARD_LOAD_HPP

#include "sassafrasknot/state/flow.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief Load of a shard as its owner tells the owners of the service's other
/// shards.
struct ShardLoad
{
  std::uint64_t mConnections = 0;
  std::uint64_t mConnectionsUsed = 0;
  std::uint32_t mFreeSlots = 0;
  std::uint32_t mQueued = 0;
};

/// @brief Chooses the shard of a new flow; to be called by the owner of its
/// first shard. A feed leaves its first shard when that holds more than 1.05
/// times its part of the connections plus one, work when its first shard has no
/// free slot and another one has.
/// @param aRanked loads of the flow's shards in rendezvous order; the first one
/// is exact, the others may be old
/// @param aFlowClass class of the flow
/// @return index into aRanked; zero if no other shard is better
std::size_t
ChooseShard(const std::vector<ShardLoad>& aRanked, state::FlowClass aFlowClass);

} // namespace sassafrasknot::coordination

#endif
