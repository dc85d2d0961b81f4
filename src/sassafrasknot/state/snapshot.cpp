#include "sassafrasknot/state/snapshot.hpp"

#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>
#include <numeric>

namespace sassafrasknot::state {
namespace {

std::uint64_t
HashAddress(Ipv4Address aAddress)
{
  return CombineHashes(aAddress.mValue, 0);
}

std::uint64_t
HashShard(const ShardId& aId)
{
  const auto organisation = HashBytes(aId.mService.mOrganisation.mValue);
  const auto service = HashBytes(aId.mService.mName, organisation);
  return CombineHashes(service, aId.mIndex);
}

/// Returns the aCount candidates with the highest scores, best first; of equal
/// scores the lower index comes first.
template<typename Index, typename Score>
std::vector<Index>
RankByScore(const std::vector<Index>& aCandidates,
            std::size_t aCount,
            const Score& aScore)
{
  std::vector<std::pair<double, Index>> scored;
  scored.reserve(aCandidates.size());
  for (const auto candidate : aCandidates) {
    scored.emplace_back(-aScore(candidate), candidate);
  }
  const auto count = std::min(aCount, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end());
  std::vector<Index> ranked;
  for (std::size_t rank = 0; rank < count; ++rank) {
    ranked.push_back(scored[rank].second);
  }
  return ranked;
}

std::vector<std::size_t>
AllIndices(std::size_t aCount)
{
  std::vector<std::size_t> indices(aCount);
  std::iota(indices.begin(), indices.end(), std::size_t{ 0 });
  return indices;
}

void
InsertSorted(std::vector<DataCentreId>& aSorted, const DataCentreId& aValue)
{
  const auto position = std::ranges::lower_bound(aSorted, aValue);
  if (position == aSorted.end() || *position != aValue) {
    aSorted.insert(position, aValue);
  }
}

/// Returns the weight of a shard: the slots of its upstreams, at least one
/// each.
double
SlotsOfShard(const ShardTable& aShard)
{
  double slots = 0;
  for (const auto& upstream : aShard.mUpstreams) {
    slots += std::max<std::uint32_t>(upstream.mSlots, 1);
  }
  return slots;
}

} // namespace

ServiceTable
MakeServiceTable(const Service& aService,
                 const ServiceId& aId,
                 Revision aRevision)
{
  const std::uint32_t count = std::max<std::uint32_t>(aService.mShards, 1);
  std::map<ShardId, ShardTable> shards;
  for (const auto& upstream : aService.mUpstreams) {
    const auto hash = HashAddress(upstream.mAddress);
    const ShardId id{ aId, static_cast<std::uint32_t>(hash % count) };
    auto& shard = shards[id];
    shard.mId = id;
    shard.mHash = HashShard(id);
    shard.mUpstreams.push_back({ upstream.mAddress,
                                 upstream.mSlots,
                                 upstream.mConnections,
                                 upstream.mState,
                                 hash,
                                 upstream.mDataCentre,
                                 true });
    InsertSorted(shard.mDataCentres, upstream.mDataCentre);
  }
  ServiceTable table{ aRevision, {} };
  for (auto& [id, shard] : shards) {
    table.mShards.push_back(std::move(shard));
  }
  return table;
}

void
AssignOwners(ServiceTable& aTable,
             const std::vector<InstanceView>& aInstances,
             const std::set<DataCentreId>& aReachable)
{
  for (auto& shard : aTable.mShards) {
    UpdateReachability(shard, aReachable);
    shard.mOwners =
      RankOwners(aInstances, shard, aReachable, kMaxOwnersPerShard);
  }
}

void
UpdateReachability(ShardTable& aShard, const std::set<DataCentreId>& aReachable)
{
  for (auto& upstream : aShard.mUpstreams) {
    upstream.mReachable = aReachable.contains(upstream.mDataCentre);
  }
}

std::vector<std::size_t>
RankShards(const ServiceTable& aTable,
           std::uint64_t aFlowHash,
           std::size_t aCount)
{
  return RankByScore(
    AllIndices(aTable.mShards.size()), aCount, [&](std::size_t aIndex) {
      const auto& shard = aTable.mShards[aIndex];
      return RendezvousScore(aFlowHash, shard.mHash, SlotsOfShard(shard));
    });
}

std::optional<std::size_t>
DefaultUpstream(const ShardTable& aShard, std::uint64_t aFlowHash)
{
  std::optional<std::size_t> best;
  double highest = 0;
  for (std::size_t index = 0; index < aShard.mUpstreams.size(); ++index) {
    const auto& upstream = aShard.mUpstreams[index];
    const double weight = std::max<std::uint32_t>(upstream.mSlots, 1);
    if (const double score = RendezvousScore(aFlowHash, upstream.mHash, weight);
        !best || score > highest) {
      best = index;
      highest = score;
    }
  }
  return best;
}

std::vector<std::uint32_t>
RankOwners(const std::vector<InstanceView>& aInstances,
           const ShardTable& aShard,
           const std::set<DataCentreId>& aReachable,
           std::size_t aCount)
{
  std::vector<std::uint32_t> live;
  for (std::uint32_t index = 0; index < aInstances.size(); ++index) {
    const auto& instance = aInstances[index];
    if (instance.mState == InstanceState::Live &&
        aReachable.contains(instance.mDataCentre) &&
        std::ranges::binary_search(aShard.mDataCentres, instance.mDataCentre)) {
      live.push_back(index);
    }
  }
  return RankByScore(live, aCount, [&](std::uint32_t aIndex) {
    return RendezvousScore(aShard.mHash, aInstances[aIndex].mHash);
  });
}

} // namespace sassafrasknot::state
