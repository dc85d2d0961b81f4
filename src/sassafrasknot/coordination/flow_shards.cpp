#include "sassafrasknot/coordination/flow_shards.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// Nearly all flows are in one of their two highest-ranked shards; the third is
/// used only if two data centres were unreachable or full.
constexpr std::size_t kCandidateShards = 2;

/// Adds an upstream unless it is in the list.
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
  std::vector<RankedShard> rankedShards;
  const auto& tables = snapshot.mServices[aService].mTables;
  if (tables.empty()) {
    return rankedShards;
  }
  const auto& table = tables.front();
  const auto ranked = state::RankShards(table, aFlowHash, table.mShards.size());
  for (std::size_t rank = 0;
       rank < ranked.size() && rankedShards.size() < kShardsPerFlow;
       ++rank) {
    const auto& shard = table.mShards[ranked[rank]];
    const auto* const owner = OwnerOf(aIndex, shard.mHash);
    if (owner != nullptr) {
      rankedShards.push_back({ &shard, owner, rank });
    }
  }
  return rankedShards;
}

bool
HasForwarded(const std::vector<state::InstanceId>& aHops,
             const state::InstanceId& aInstance)
{
  return std::ranges::find(aHops, aInstance) != aHops.end();
}

const RankedShard*
NextShard(const std::vector<RankedShard>& aRankedShards,
          const std::vector<state::InstanceId>& aHops,
          std::size_t aFrom)
{
  for (std::size_t index = aFrom; index < aRankedShards.size(); ++index) {
    if (!HasForwarded(aHops, aRankedShards[index].mOwner->mId)) {
      return &aRankedShards[index];
    }
  }
  return nullptr;
}

bool
IsFirstOwner(const SnapshotIndex& aIndex,
             std::uint32_t aService,
             const state::FlowKey& aKey)
{
  const auto rankedShards =
    RankedShardsOfFlow(aIndex, aService, state::Hash(aKey));
  return !rankedShards.empty() && IsSelf(aIndex, rankedShards.front().mOwner);
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
