#include "sassafrasknot/coordination/flow_shards.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// The first two shards of a flow hold nearly all flows; the third is reached
/// only when two data centres were cut off or full.
constexpr std::size_t kCandidateShards = 2;

void
AddCandidate(std::vector<state::Endpoint>& aCandidates,
             const state::Endpoint& aUpstream)
{
  if (std::ranges::find(aCandidates, aUpstream) == aCandidates.end()) {
    aCandidates.push_back(aUpstream);
  }
}

} // namespace

std::vector<RankedShard>
RankedShardsOfFlow(const SnapshotIndex& aIndex,
                   std::uint32_t aService,
                   std::uint64_t aFlowHash)
{
  const auto& snapshot = *aIndex.mSnapshot;
  std::vector<RankedShard> route;
  const auto& tables = snapshot.mServices[aService].mTables;
  if (tables.empty()) {
    return route;
  }
  const auto& table = tables.front();
  const auto ranked = state::RankShards(table, aFlowHash, table.mShards.size());
  for (std::size_t rank = 0;
       rank < ranked.size() && route.size() < kShardsPerFlow;
       ++rank) {
    const auto& shard = table.mShards[ranked[rank]];
    const auto* const owner = OwnerOf(aIndex, shard.mHash);
    if (owner != nullptr) {
      route.push_back({ &shard, owner, rank });
    }
  }
  return route;
}

bool
HasForwarded(const std::vector<state::InstanceId>& aHops,
             const state::InstanceId& aInstance)
{
  return std::ranges::find(aHops, aInstance) != aHops.end();
}

const RankedShard*
NextShard(const std::vector<RankedShard>& aRoute,
          const std::vector<state::InstanceId>& aHops,
          std::size_t aFrom)
{
  for (std::size_t index = aFrom; index < aRoute.size(); ++index) {
    if (!HasForwarded(aHops, aRoute[index].mOwner->mId)) {
      return &aRoute[index];
    }
  }
  return nullptr;
}

bool
IsFirstOwner(const SnapshotIndex& aIndex,
             std::uint32_t aService,
             const state::FlowKey& aKey)
{
  const auto route = RankedShardsOfFlow(aIndex, aService, state::Hash(aKey));
  return !route.empty() && IsSelf(aIndex, route.front().mOwner);
}

std::vector<state::Endpoint>
CandidateUpstreams(const SnapshotIndex& aIndex,
                   std::uint32_t aService,
                   const state::FlowKey& aKey)
{
  std::vector<state::Endpoint> candidates;
  const auto* const listener = ListenerOfFlow(aIndex, aService, aKey);
  if (listener == nullptr) {
    return candidates;
  }
  const auto hash = state::Hash(aKey);
  for (const auto& table : aIndex.mSnapshot->mServices[aService].mTables) {
    for (const auto index : state::RankShards(table, hash, kCandidateShards)) {
      const auto& shard = table.mShards[index];
      const auto chosen = state::DefaultUpstream(shard, hash);
      if (!chosen) {
        continue;
      }
      const state::Endpoint upstream{ shard.mUpstreams[*chosen].mAddress,
                                      listener->mUpstreamPort };
      if (IsBoundToService(aIndex, aService, upstream)) {
        AddCandidate(candidates, upstream);
      }
    }
  }
  return candidates;
}

} // namespace sassafrasknot::coordination
