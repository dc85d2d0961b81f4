#include "sassafrasknot/state/snapshot_builder.hpp"

#include <algorithm>
#include <unordered_map>

namespace sassafrasknot::state {
namespace {

/// Removed services and upstreams are kept for a week, because established
/// flows, which may stay open for days, still use them.
constexpr std::chrono::hours kRetention{ 7 * 24 };
/// Time after its replacement for which a table is kept beyond
/// kMinEarlierTables.
constexpr std::chrono::minutes kTableRetention{ 10 };
/// Earlier tables that are kept regardless of their age.
constexpr std::size_t kMinEarlierTables = 4;
/// Maximum number of tables, including the current one, of a service that
/// changes many times within kTableRetention.
constexpr std::size_t kMaxTables = 16;

/// States of upstreams in the published lists, by data centre and address.
using ListedStates =
  std::map<DataCentreId, std::unordered_map<std::uint32_t, UpstreamState>>;

/// Returns the states in all published lists of upstreams.
ListedStates
CollectListedStates(const ConfigurationStore& aStore)
{
  ListedStates listed;
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

/// Sets upstreams to leaving that are leaving in the published lists.
void
ApplyListedStates(Service& aService, const ListedStates& aListed)
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

/// Removes upstreams that are quarantined: they moved from another service,
/// whose flows may still use them.
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

/// Returns whether each flow has the same default upstream in both tables,
/// because shards, addresses and slots are equal.
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

/// Removes the oldest tables beyond the limits.
void
LimitHistory(ServiceHistory& aHistory, TimePoint aNow)
{
  auto& tables = aHistory.mView.mTables;
  auto& replaced = aHistory.mReplacedAt;
  while (
    tables.size() > kMinEarlierTables + 1 &&
    (tables.size() > kMaxTables || aNow - replaced.back() > kTableRetention)) {
    tables.pop_back();
    replaced.pop_back();
  }
}

/// Makes a table the current one. It replaces the current one if no flow gets
/// another default upstream; otherwise the current one becomes an earlier
/// table.
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

/// Updates a service if its configuration has changed.
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
  const bool isUnchanged = !view.mTables.empty() && !view.mRemoved &&
                           view.mService == aService &&
                           view.mRevision == aRevision &&
                           view.mOrganisationWeight == aOrganisation.mWeight;
  if (isUnchanged) {
    return;
  }
  view.mId = aId;
  view.mRevision = aRevision;
  view.mOrganisationWeight = aOrganisation.mWeight;
  view.mRemoved = false;
  view.mService = std::move(aService);
  SetTable(history, MakeServiceTable(view.mService, aId, aRevision), aNow);
}

/// Service and listener port of each upstream endpoint.
using UpstreamListeners =
  std::map<Endpoint, std::pair<ServiceId, std::uint16_t>>;

/// Holders of all endpoints in force, and the listeners of upstream endpoints.
struct Endpoints
{
  std::map<Endpoint, ServiceId> mHolders;
  UpstreamListeners mUpstreams;
};

/// Returns the endpoints of all organisations in force.
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

/// Keeps the old binding of upstream endpoints that were removed from their
/// service, until a service uses them again and they are not quarantined, or
/// until kRetention has passed.
void
RetainUpstreams(SnapshotBuilder& aBuilder,
                UpstreamListeners aCurrent,
                TimePoint aNow)
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

/// Marks services as removed that are not in force any more, and deletes them
/// after kRetention.
void
UpdateRemovedServices(SnapshotBuilder& aBuilder,
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
  const auto listed = CollectListedStates(aStore);
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
      auto effective = service;
      ApplyListedStates(effective, listed);
      RemoveQuarantined(effective, aBuilder.mQuarantine);
      current.insert(id);
      SetService(
        aBuilder, id, *state.mInForce, std::move(effective), revision, aNow);
    }
  }
  UpdateRemovedServices(aBuilder, current, aNow);
  RetainUpstreams(aBuilder, std::move(endpoints.mUpstreams), aNow);
}

} // namespace sassafrasknot::state
