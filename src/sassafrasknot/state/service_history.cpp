#include "sassafrasknot/state/snapshot_builder.hpp"

#include <algorithm>
#include <unordered_map>

namespace sassafrasknot::state {
namespace {

/// Flows may stay open for days; what they need is kept for a week.
constexpr std::chrono::hours kRetention{ 7 * 24 };
constexpr std::chrono::minutes kTableAge{ 10 };
constexpr std::size_t kTablesKept = 4;
/// Bounds the tables of a service that changes more often than every minute.
constexpr std::size_t kTablesAtMost = 16;

using LeavingUpstreams =
  std::map<DataCentreId, std::unordered_map<std::uint32_t, UpstreamState>>;

LeavingUpstreams
ListedUpstreams(const ConfigurationStore& aStore)
{
  LeavingUpstreams listed;
  for (auto at = aStore.mRecords.lower_bound("upstreams/");
       at != aStore.mRecords.end() && at->first.starts_with("upstreams/");
       ++at) {
    const auto* document =
      std::get_if<UpstreamListDocument>(at->second.mDocument.get());
    if (document == nullptr) {
      continue;
    }
    for (const auto& upstream : document->mUpstreams) {
      listed[document->mDataCentre][upstream.mAddress.mValue] = upstream.mState;
    }
  }
  return listed;
}

void
JoinStates(Service& aService, const LeavingUpstreams& aListed)
{
  for (auto& upstream : aService.mUpstreams) {
    const auto list = aListed.find(upstream.mDataCentre);
    if (list == aListed.end()) {
      continue;
    }
    const auto found = list->second.find(upstream.mAddress.mValue);
    if (found != list->second.end() &&
        found->second == UpstreamState::Leaving) {
      upstream.mState = UpstreamState::Leaving;
    }
  }
}

/// Leaves out upstreams that still belong to the flows of another service.
void
RemoveQuarantined(Service& aService, const Quarantine& aQuarantine)
{
  if (aQuarantine.mReleased.empty()) {
    return;
  }
  std::erase_if(aService.mUpstreams, [&](const Upstream& aUpstream) {
    return std::any_of(aService.mListeners.begin(),
                       aService.mListeners.end(),
                       [&](const Listener& aListener) {
                         return IsQuarantined(
                           aQuarantine,
                           { aUpstream.mAddress, aListener.mUpstreamPort });
                       });
  });
}

/// Returns whether all flows have the same default upstreams in both tables.
bool
HaveSameDefaults(const ServiceTable& aFirst, const ServiceTable& aSecond)
{
  const auto sameEntry = [](const TableUpstream& aLeft,
                            const TableUpstream& aRight) {
    return aLeft.mAddress == aRight.mAddress && aLeft.mSlots == aRight.mSlots;
  };
  const auto sameShard = [&](const ShardTable& aLeft,
                             const ShardTable& aRight) {
    return aLeft.mId == aRight.mId && std::equal(aLeft.mUpstreams.begin(),
                                                 aLeft.mUpstreams.end(),
                                                 aRight.mUpstreams.begin(),
                                                 aRight.mUpstreams.end(),
                                                 sameEntry);
  };
  return std::equal(aFirst.mShards.begin(),
                    aFirst.mShards.end(),
                    aSecond.mShards.begin(),
                    aSecond.mShards.end(),
                    sameShard);
}

void
LimitHistory(ServiceHistory& aHistory, TimePoint aNow)
{
  auto& tables = aHistory.mView.mTables;
  auto& replaced = aHistory.mReplacedAt;
  while (
    tables.size() > kTablesKept + 1 &&
    (tables.size() > kTablesAtMost || aNow - replaced.back() > kTableAge)) {
    tables.pop_back();
    replaced.pop_back();
  }
}

void
SetTable(ServiceHistory& aHistory, ServiceTable aTable, TimePoint aNow)
{
  auto& tables = aHistory.mView.mTables;
  auto& replaced = aHistory.mReplacedAt;
  if (!tables.empty() && HaveSameDefaults(tables.front(), aTable)) {
    tables.front() = std::move(aTable);
  } else {
    if (!replaced.empty()) {
      replaced.front() = aNow;
    }
    tables.insert(tables.begin(), std::move(aTable));
    replaced.insert(replaced.begin(), aNow);
  }
  LimitHistory(aHistory, aNow);
}

void
SetService(SnapshotBuilder& aBuilder,
           const ServiceId& aId,
           const Organisation& aOrganisation,
           Service aService,
           Revision aRevision,
           TimePoint aNow)
{
  auto& history = aBuilder.mServices[aId];
  auto& view = history.mView;
  const bool same = !view.mTables.empty() && !view.mRemoved &&
                    view.mService == aService && view.mRevision == aRevision &&
                    view.mOrganisationWeight == aOrganisation.mWeight;
  if (same) {
    return;
  }
  view.mId = aId;
  view.mRevision = aRevision;
  view.mOrganisationWeight = aOrganisation.mWeight;
  view.mRemoved = false;
  view.mService = std::move(aService);
  SetTable(history, MakeServiceTable(view.mService, aId, aRevision), aNow);
}

using Upstreams = std::map<Endpoint, std::pair<ServiceId, std::uint16_t>>;

struct Endpoints
{
  std::map<Endpoint, ServiceId> mHolders;
  Upstreams mUpstreams;
};

Endpoints
EndpointsInForce(const ConfigurationStore& aStore)
{
  Endpoints endpoints;
  for (const auto& [key, state] : aStore.mOrganisations) {
    if (!state.mInForce) {
      continue;
    }
    for (const auto& service : state.mInForce->mServices) {
      const ServiceId id{ state.mInForce->mId, service.mName };
      for (const auto& listener : service.mListeners) {
        endpoints.mHolders.insert_or_assign(
          Endpoint{ service.mAddress, listener.mPort }, id);
        for (const auto& upstream : service.mUpstreams) {
          const Endpoint at{ upstream.mAddress, listener.mUpstreamPort };
          endpoints.mHolders.insert_or_assign(at, id);
          endpoints.mUpstreams.insert_or_assign(at,
                                                std::pair(id, listener.mPort));
        }
      }
    }
  }
  return endpoints;
}

/// Keeps the old binding of upstreams that left their service.
void
RetainUpstreams(SnapshotBuilder& aBuilder, Upstreams aCurrent, TimePoint aNow)
{
  for (const auto& [endpoint, bound] : aBuilder.mUpstreamBindings) {
    const auto found = aCurrent.find(endpoint);
    if (found == aCurrent.end() || found->second.first != bound.first) {
      aBuilder.mRetained.try_emplace(
        endpoint, RetainedUpstream{ bound.first, bound.second, aNow });
    }
  }
  aBuilder.mUpstreamBindings = std::move(aCurrent);
  std::erase_if(aBuilder.mRetained, [&](const auto& aEntry) {
    const auto& [endpoint, retained] = aEntry;
    const bool reused = aBuilder.mUpstreamBindings.contains(endpoint) &&
                        !IsQuarantined(aBuilder.mQuarantine, endpoint);
    return reused || aNow - retained.mRemovedAt > kRetention;
  });
}

void
RemoveServices(SnapshotBuilder& aBuilder,
               const std::set<ServiceId>& aCurrent,
               TimePoint aNow)
{
  for (auto& [id, history] : aBuilder.mServices) {
    if (!aCurrent.contains(id) && !history.mView.mRemoved) {
      history.mView.mRemoved = true;
      history.mRemovedAt = aNow;
    }
  }
  std::erase_if(aBuilder.mServices, [&](const auto& aEntry) {
    const auto& history = aEntry.second;
    return history.mView.mRemoved && aNow - history.mRemovedAt > kRetention;
  });
}

} // namespace

void
UpdateServices(SnapshotBuilder& aBuilder,
               const ConfigurationStore& aStore,
               TimePoint aNow)
{
  auto endpoints = EndpointsInForce(aStore);
  UpdateHolders(aBuilder.mQuarantine,
                std::move(endpoints.mHolders),
                aStore.mHighestRevision,
                aNow);
  const auto listed = ListedUpstreams(aStore);
  std::set<ServiceId> current;
  for (const auto& [key, state] : aStore.mOrganisations) {
    if (!state.mInForce) {
      continue;
    }
    const auto& pair = *state.mInForcePair;
    const auto revision =
      std::max(pair.mOrganisation.mRevision, pair.mTemplate.mRevision);
    for (const auto& service : state.mInForce->mServices) {
      const ServiceId id{ state.mInForce->mId, service.mName };
      auto joined = service;
      JoinStates(joined, listed);
      RemoveQuarantined(joined, aBuilder.mQuarantine);
      current.insert(id);
      SetService(
        aBuilder, id, *state.mInForce, std::move(joined), revision, aNow);
    }
  }
  RemoveServices(aBuilder, current, aNow);
  RetainUpstreams(aBuilder, std::move(endpoints.mUpstreams), aNow);
}

} // namespace sassafrasknot::state
