#include "sassafrasknot/state/snapshot_builder.hpp"

#include <utility>

namespace sassafrasknot::state {
namespace {

const std::vector<std::uint32_t>&
OwnersOf(OwnerCache& aCache,
         const std::vector<InstanceView>& aLive,
         const ShardTable& aShard)
{
  auto [at, inserted] = aCache.mOwners.try_emplace(aShard.mHash);
  if (inserted) {
    ServiceTable table{ 0, { aShard } };
    AssignOwners(table, aLive);
    at->second = table.mShards.front().mOwners;
  }
  return at->second;
}

struct LiveInstances
{
  std::vector<InstanceView> mViews;
  std::vector<std::uint32_t> mIndices;
};

std::map<DataCentreId, LiveInstances>
GroupLive(const std::vector<InstanceView>& aInstances)
{
  std::map<DataCentreId, LiveInstances> groups;
  for (std::uint32_t index = 0; index < aInstances.size(); ++index) {
    if (aInstances[index].mState == InstanceState::Live) {
      auto& group = groups[aInstances[index].mDataCentre];
      group.mViews.push_back(aInstances[index]);
      group.mIndices.push_back(index);
    }
  }
  return groups;
}

/// Ranks owners again only in data centres whose live instances changed: a
/// full ranking of 590 instances takes too long for each membership change.
void
SetOwners(SnapshotBuilder& aBuilder, Snapshot& aSnapshot)
{
  const auto groups = GroupLive(aSnapshot.mInstances);
  for (const auto& [dataCentre, group] : groups) {
    auto& cache = aBuilder.mOwners[dataCentre];
    std::vector<InstanceId> live;
    live.reserve(group.mViews.size());
    for (const auto& view : group.mViews) {
      live.push_back(view.mId);
    }
    if (live != cache.mLive) {
      cache = { std::move(live), {} };
    }
  }
  for (auto& service : aSnapshot.mServices) {
    for (auto& table : service.mTables) {
      for (auto& shard : table.mShards) {
        const auto group = groups.find(shard.mId.mDataCentre);
        shard.mOwners.clear();
        if (group == groups.end()) {
          continue;
        }
        for (const auto owner : OwnersOf(
               aBuilder.mOwners[group->first], group->second.mViews, shard)) {
          shard.mOwners.push_back(group->second.mIndices[owner]);
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
          aSnapshot.mListeners.try_emplace(endpoint, index);
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
      aSnapshot.mReverse.try_emplace(aEndpoint,
                                     ReverseEntry{ at->second, aPort });
    }
  };
  for (const auto& [endpoint, bound] : aBuilder.mUpstreams) {
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
