#ifndef SASSAFRASKNOT_STATE_SNAPSHOT_BUILDER_HPP
#define SASSAFRASKNOT_STATE_SNAPSHOT_BUILDER_HPP

#include "sassafrasknot/state/configuration_store.hpp"
#include "sassafrasknot/state/quarantine.hpp"
#include "sassafrasknot/state/snapshot.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace sassafrasknot::state {

/// @brief A service with its current and earlier tables, without owners.
struct ServiceHistory
{
  ServiceView mView;
  /// When each of mView.mTables was replaced by the next newer one; the first
  /// value is not used.
  std::vector<TimePoint> mReplacedAt;
  /// When the service was removed; valid only if mView.mRemoved.
  TimePoint mRemovedAt;
};

/// @brief An upstream endpoint that was removed from a service. It is still
/// bound to the service for answers to established flows.
struct RetainedUpstream
{
  ServiceId mService;
  /// Port of the listener whose flows used the endpoint.
  std::uint16_t mListenerPort = 0;
  TimePoint mRemovedAt;
};

/// @brief Owners of all shards whose upstreams are in the same reachable data
/// centres.
struct OwnerCache
{
  /// Live instances of these data centres, from which the owners were ranked.
  std::vector<InstanceId> mLiveInstances;
  /// Owners by ShardTable::mHash, as indices into mLiveInstances.
  std::map<std::uint64_t, std::vector<std::uint32_t>> mOwners;
};

/// @brief State that is kept between snapshots.
struct SnapshotBuilder
{
  std::map<ServiceId, ServiceHistory> mServices;
  /// Removed upstream endpoints that are still bound to their service.
  std::map<Endpoint, RetainedUpstream> mRetained;
  /// Service and listener port of each upstream endpoint in force.
  std::map<Endpoint, std::pair<ServiceId, std::uint16_t>> mUpstreamBindings;
  /// By the reachable data centres of a shard's upstreams.
  std::map<std::vector<DataCentreId>, OwnerCache> mOwnerCaches;
  Quarantine mQuarantine;
  std::uint64_t mSequence = 0;
};

/// @brief Content of a snapshot apart from the services.
struct SnapshotInput
{
  InstanceId mSelf;
  DataCentreId mDataCentre;
  Revision mRevision = 0;
  /// Instances of all data centres, in order of their ids.
  std::vector<InstanceView> mInstances;
  std::set<DataCentreId> mReachable;
  bool mTrusted = true;
  bool mStopping = false;
};

/// @brief Updates the services, their tables and the quarantine from the
/// configuration in force. Must be called after each change of the store or of
/// the quarantine.
/// @param aBuilder builder to update
/// @param aStore configuration to apply
/// @param aNow current time on the steady clock
void
UpdateServices(SnapshotBuilder& aBuilder,
               const ConfigurationStore& aStore,
               TimePoint aNow);

/// @brief Builds the next snapshot from the services of the builder.
/// @param aBuilder builder; its sequence number and owner caches are updated
/// @param aInput content apart from the services
/// @return an immutable snapshot for the traffic threads
std::shared_ptr<const Snapshot>
BuildSnapshot(SnapshotBuilder& aBuilder, SnapshotInput aInput);

} // namespace sassafrasknot::state

#endif
