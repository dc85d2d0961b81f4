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

/// @brief A service with its tables, without owners.
struct ServiceHistory
{
  ServiceView mView;
  /// When each of mView.mTables was replaced; that of the first is not used.
  std::vector<TimePoint> mReplacedAt;
  /// When the service was removed; only if mView.mRemovedAt.
  TimePoint mRemovedAt;
};

/// @brief An upstream endpoint that a service no longer has, but whose open
/// flows may still have answers to come.
struct RetainedUpstream
{
  ServiceId mService;
  std::uint16_t mListenerPort = 0;
  TimePoint mRemovedAt;
};

/// @brief Owners of the shards that the instances of some data centres share.
struct OwnerCache
{
  std::vector<InstanceId> mLiveInstances;
  /// Owners by hash of the shard, as indices into mLiveInstances.
  std::map<std::uint64_t, std::vector<std::uint32_t>> mOwners;
};

/// @brief What is kept from one snapshot to the next.
struct SnapshotBuilder
{
  std::map<ServiceId, ServiceHistory> mServices;
  std::map<Endpoint, RetainedUpstream> mRetained;
  std::map<Endpoint, std::pair<ServiceId, std::uint16_t>> mUpstreamBindings;
  /// By the data centres that can be reached.
  std::map<std::vector<DataCentreId>, OwnerCache> mOwnerCaches;
  Quarantine mQuarantine;
  std::uint64_t mSequence = 0;
};

/// @brief What a snapshot shows besides the configuration.
struct SnapshotInput
{
  InstanceId mSelf;
  DataCentreId mDataCentre;
  Revision mRevision = 0;
  /// In order of their ids.
  std::vector<InstanceView> mInstances;
  std::set<DataCentreId> mReachable;
  bool mTrusted = true;
  bool mStopping = false;
};

/// @brief Takes the configuration in force into the services' tables and the
/// quarantine. To be called when the store or the quarantine has changed.
/// @param aBuilder the builder
/// @param aStore the store
/// @param aNow the time
void
UpdateServices(SnapshotBuilder& aBuilder,
               const ConfigurationStore& aStore,
               TimePoint aNow);

/// @brief Makes the next snapshot.
/// @param aBuilder the builder
/// @param aInput what the snapshot shows besides the configuration
/// @return the snapshot
std::shared_ptr<const Snapshot>
BuildSnapshot(SnapshotBuilder& aBuilder, SnapshotInput aInput);

} // namespace sassafrasknot::state

#endif
