#include "sassafrasknot/state/snapshot_builder.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sassafrasknot::state {
namespace {

/// Live instances of some data centres, and their indices into
/// Snapshot::mInstances.
struct LiveInstances
{
  std::vector<InstanceView> mViews;
  std::vector<std::uint32_t> mIndices;
};

LiveInstances
FindLiveInstances(const std::vector<InstanceView>& aInstances,
                  const std::vector<DataCentreId>& aDataCentres)
{
  LiveInstances live;
  for (std::uint32_t index = 0; index < aInstances.size(); ++index) {
    const auto& instance = aInstances[index];
    if (instance.mState == InstanceState::Live &&
        std::ranges::binary_search(aDataCentres, instance.mDataCentre)) {
      live.mViews.push_back(instance);
      live.mIndices.push_back(index);
    }
  }
  return live;
}

/// Returns the reachable data centres among those of a shard's upstreams.
std::vector<DataCentreId>
ReachableDataCentres(const ShardTable& aShard,
                     const std::set<DataCentreId>& aReachable)
{
  std::vector<DataCentreId> reachable;
  std::ranges::copy_if(
    aShard.mDataCentres,
    std::back_inserter(reachable),
    [&](const auto& aDataCentre) { return aReachable.contains(aDataCentre); });
  return reachable;
}

/// Clears a cache if the live instances have changed.
void
ClearIfChanged(OwnerCache& aCache, const LiveInstances& aLive)
{
  std::vector<InstanceId> live;
  live.reserve(aLive.mViews.size());
  for (const auto& view : aLive.mViews) {
    live.push_back(view.mId);
  }
  if (live != aCache.mLiveInstances) {
    aCache = { std::move(live), {} };
  }
}

/// Sets TableUpstream::mReachable and ShardTable::mOwners of all shards. Owners
/// are cached by reachable data centres and ranked again only where the live
/// instances have changed, because ranking 590 instances for all shards takes
/// too long for each membership change.
void
SetReachableAndOwners(SnapshotBuilder& aBuilder, Snapshot& aSnapshot)
{
  std::map<std::vector<DataCentreId>, LiveInstances> groups;
  for (auto& service : aSnapshot.mServices) {
    for (auto& table : service.mTables) {
      for (auto& shard : table.mShards) {
        UpdateReachability(shard, aSnapshot.mReachable);
        const auto key = ReachableDataCentres(shard, aSnapshot.mReachable);
        auto& cache = aBuilder.mOwnerCaches[key];
        const auto [group, isNew] = groups.try_emplace(key);
        auto& live = group->second;
        if (isNew) {
          live = FindLiveInstances(aSnapshot.mInstances, key);
          ClearIfChanged(cache, live);
        }
        const auto [owners, isMissing] = cache.mOwners.try_emplace(shard.mHash);
        if (isMissing) {
          owners->second = RankOwners(
            live.mViews, shard, aSnapshot.mReachable, kMaxOwnersPerShard);
        }
        shard.mOwners.clear();
        for (const auto owner : owners->second) {
          shard.mOwners.push_back(live.mIndices[owner]);
        }
      }
    }
  }
}

/// Fills Snapshot::mServiceByEndpoint except for quarantined endpoints. A
/// removed service keeps an endpoint unless a current service uses it.
void
BindServiceEndpoints(const SnapshotBuilder& aBuilder, Snapshot& aSnapshot)
{
  for (const bool removed : { false, true }) {
    for (std::uint32_t index = 0; index < aSnapshot.mServices.size(); ++index) {
      const auto& view = aSnapshot.mServices[index];
      if (view.mRemoved != removed) {
        continue;
      }
      for (const auto& listener : view.mService.mListeners) {
        const Endpoint endpoint{ view.mService.mAddress, listener.mPort };
        if (!IsQuarantined(aBuilder.mQuarantine, endpoint)) {
          aSnapshot.mServiceByEndpoint.try_emplace(endpoint, index);
        }
      }
    }
  }
}

/// Fills Snapshot::mUpstreamBindings. An endpoint that was removed from a
/// service stays bound to it until another service may use it.
void
BindUpstreamEndpoints(const SnapshotBuilder& aBuilder,
                      const std::map<ServiceId, std::uint32_t>& aIndices,
                      Snapshot& aSnapshot)
{
  const auto bind = [&](const Endpoint& aEndpoint,
                        const ServiceId& aService,
                        std::uint16_t aPort) {
    if (const auto at = aIndices.find(aService); at != aIndices.end()) {
      aSnapshot.mUpstreamBindings.try_emplace(
        aEndpoint, UpstreamBinding{ at->second, aPort });
    }
  };
  for (const auto& [endpoint, bound] : aBuilder.mUpstreamBindings) {
    if (!IsQuarantined(aBuilder.mQuarantine, endpoint)) {
      bind(endpoint, bound.first, bound.second);
    }
  }
  for (const auto& [endpoint, retained] : aBuilder.mRetained) {
    bind(endpoint, retained.mService, retained.mListenerPort);
  }
}

} // namespace

std::shared_ptr<const Snapshot>
BuildSnapshot(SnapshotBuilder& aBuilder, SnapshotInput aInput)
{
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->mSelf = std::move(aInput.mSelf);
  snapshot->mDataCentre = std::move(aInput.mDataCentre);
  snapshot->mRevision = aInput.mRevision;
  snapshot->mSequence = ++aBuilder.mSequence;
  snapshot->mInstances = std::move(aInput.mInstances);
  snapshot->mReachable = std::move(aInput.mReachable);
  snapshot->mReachable.insert(snapshot->mDataCentre);
  snapshot->mTrusted = aInput.mTrusted;
  snapshot->mStopping = aInput.mStopping;
  std::map<ServiceId, std::uint32_t> indices;
  snapshot->mServices.reserve(aBuilder.mServices.size());
  for (const auto& [id, history] : aBuilder.mServices) {
    indices.emplace(id, static_cast<std::uint32_t>(indices.size()));
    snapshot->mServices.push_back(history.mView);
  }
  SetReachableAndOwners(aBuilder, *snapshot);
  BindServiceEndpoints(aBuilder, *snapshot);
  BindUpstreamEndpoints(aBuilder, indices, *snapshot);
  return snapshot;
}

} // namespace sassafrasknot::state
