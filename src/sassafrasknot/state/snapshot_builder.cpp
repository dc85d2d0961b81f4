#include "sassafrasknot/state/snapshot_builder.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sassafrasknot::state {
namespace {

/// Live instances of some data centres.
struct LiveInstances
{
  std::vector<InstanceView> mViews;
  std::vector<std::uint32_t> mIndices;
};

LiveInstances
LiveIn(const std::vector<InstanceView>& aInstances,
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

std::vector<DataCentreId>
ReachableOf(const ShardTable& aShard, const std::set<DataCentreId>& aReachable)
{
  std::vector<DataCentreId> reachable;
  std::ranges::copy_if(
    aShard.mDataCentres,
    std::back_inserter(reachable),
    [&](const auto& aDataCentre) { return aReachable.contains(aDataCentre); });
  return reachable;
}

/// Empties a cache whose live instances have changed.
void
Refresh(OwnerCache& aCache, const LiveInstances& aLive)
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

/// Ranks owners again only for data centres whose live instances changed: a
/// full ranking of 590 instances takes too long for each membership change.
void
SetOwners(SnapshotBuilder& aBuilder, Snapshot& aSnapshot)
{
  std::map<std::vector<DataCentreId>, LiveInstances> groups;
  for (auto& service : aSnapshot.mServices) {
    for (auto& table : service.mTables) {
      for (auto& shard : table.mShards) {
        MarkReachable(shard, aSnapshot.mReachable);
        const auto key = ReachableOf(shard, aSnapshot.mReachable);
        auto& cache = aBuilder.mOwnerCaches[key];
        const auto [group, isNew] = groups.try_emplace(key);
        auto& live = group->second;
        if (isNew) {
          live = LiveIn(aSnapshot.mInstances, key);
          Refresh(cache, live);
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

/// Binds service endpoints; a removed service keeps those that are free.
void
SetListeners(const SnapshotBuilder& aBuilder, Snapshot& aSnapshot)
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

/// Binds upstream endpoints; those that left a service stay bound to it until
/// another service may use them.
void
SetReverse(const SnapshotBuilder& aBuilder,
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
  SetOwners(aBuilder, *snapshot);
  SetListeners(aBuilder, *snapshot);
  SetReverse(aBuilder, indices, *snapshot);
  return snapshot;
}

} // namespace sassafrasknot::state
