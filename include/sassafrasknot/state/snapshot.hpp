#ifndef SASSAFRASKNOT_STATE_SNAPSHOT_HPP
#define SASSAFRASKNOT_STATE_SNAPSHOT_HPP

#include "sassafrasknot/state/configuration.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace sassafrasknot::state {

/// @brief Instances that ShardTable::mOwners holds at most: the owner, the
/// backup and the one that follows them.
constexpr std::size_t kMaxOwnersPerShard = 3;

/// @brief An upstream endpoint within a shard's table.
struct TableUpstream
{
  Ipv4Address mAddress;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  UpstreamState mState = UpstreamState::Live;
  std::uint64_t mHash = 0;
  DataCentreId mDataCentre;
  /// False while its data centre is cut off: it takes no new flow.
  bool mReachable = true;
};

/// @brief The upstreams of one shard at one revision.
struct ShardTable
{
  ShardId mId;
  std::uint64_t mHash = 0;
  std::vector<TableUpstream> mUpstreams;
  /// Data centres of the upstreams, in order; their instances may own the
  /// shard.
  std::vector<DataCentreId> mDataCentres;
  /// Live instances that can be reached, in rendezvous order, as indices
  /// into Snapshot::mInstances: owner, backup, then one more.
  std::vector<std::uint32_t> mOwners;
};

/// @brief The shards of one service in all data centres at one revision.
struct ServiceTable
{
  Revision mRevision = 0;
  std::vector<ShardTable> mShards;
};

/// @brief A service as the traffic threads see it.
struct ServiceView
{
  ServiceId mId;
  Revision mRevision = 0;
  Service mService;
  double mOrganisationWeight = 1.0;
  /// A removed service takes no new flow; its flows stay until they end.
  bool mRemoved = false;
  /// Current table first, then earlier ones, newest first.
  std::vector<ServiceTable> mTables;
};

/// @brief Whether an instance may own shards.
enum class InstanceState : std::uint8_t
{
  Live,
  Leaving, ///< Keeps forwarding and handing over; owns nothing new.
  Dead,
};

/// @brief Another instance, or this one, as membership sees it.
struct InstanceView
{
  InstanceId mId;
  DataCentreId mDataCentre;
  /// UDP endpoint for packets and peer messages.
  Endpoint mPeerEndpoint;
  /// TCP endpoint of the gRPC services.
  Endpoint mControlEndpoint;
  InstanceState mState = InstanceState::Live;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mHash = 0;
};

/// @brief Where an answer of an upstream endpoint comes from.
struct UpstreamBinding
{
  /// Index into Snapshot::mServices.
  std::uint32_t mService = 0;
  /// Port of the service that the upstream port stands for.
  std::uint16_t mListenerPort = 0;
};

/// @brief Everything that traffic threads read; immutable once published.
struct Snapshot
{
  InstanceId mSelf;
  DataCentreId mDataCentre;
  /// Highest platform revision in force.
  Revision mRevision = 0;
  /// Rises with each published snapshot of this process.
  std::uint64_t mSequence = 0;
  std::vector<ServiceView> mServices;
  /// Service endpoint to index into mServices; quarantined ones are absent.
  std::map<Endpoint, std::uint32_t> mServiceByEndpoint;
  /// Upstream endpoint to its service; quarantined ones are absent.
  std::map<Endpoint, UpstreamBinding> mUpstreamBindings;
  /// Instances of all data centres, in order of their ids.
  std::vector<InstanceView> mInstances;
  /// Data centres that this instance reaches; always holds its own.
  std::set<DataCentreId> mReachable;
  /// False while the stall guard distrusts this instance: it must place no new
  /// flow and send nothing queued.
  bool mTrusted = true;
  /// True once a planned stop has begun.
  bool mStopping = false;
};

/// @brief Makes the table of one service. An upstream's shard depends on its
/// address alone, so that it moves only when the number of shards changes.
/// @param aService the service
/// @param aId its id
/// @param aRevision revision of the service
/// @return the table without owners; shards without upstreams are left out
ServiceTable
MakeServiceTable(const Service& aService,
                 const ServiceId& aId,
                 Revision aRevision);

/// @brief Fills ShardTable::mOwners and TableUpstream::mReachable of all
/// shards.
/// @param aTable the table
/// @param aInstances instances of all data centres
/// @param aReachable data centres that this instance reaches
void
AssignOwners(ServiceTable& aTable,
             const std::vector<InstanceView>& aInstances,
             const std::set<DataCentreId>& aReachable);

/// @brief Notes which upstreams of a shard can be reached.
/// @param aShard the shard
/// @param aReachable data centres that this instance reaches
void
MarkReachable(ShardTable& aShard, const std::set<DataCentreId>& aReachable);

/// @brief Ranks the shards of a flow by rendezvous weighted with slots.
/// @param aTable the service's table
/// @param aFlowHash hash of the flow
/// @param aCount how many are wanted at most
/// @return indices into ServiceTable::mShards, best first
std::vector<std::size_t>
RankShards(const ServiceTable& aTable,
           std::uint64_t aFlowHash,
           std::size_t aCount);

/// @brief Chooses the default upstream of a flow within its shard. Leaving
/// upstreams keep their place here, so that the flows they hold stay
/// computable.
/// @param aShard the shard
/// @param aFlowHash hash of the flow
/// @return index into ShardTable::mUpstreams, or nothing for an empty shard
std::optional<std::size_t>
DefaultUpstream(const ShardTable& aShard, std::uint64_t aFlowHash);

/// @brief Returns the instances that may own a shard, best first.
/// @param aInstances instances of all data centres
/// @param aShard the shard
/// @param aCount how many are wanted at most; the first is the owner, the
/// second the backup
/// @return indices into aInstances; only live ones of the shard's data centres
/// that can be reached
std::vector<std::uint32_t>
RankOwners(const std::vector<InstanceView>& aInstances,
           const ShardTable& aShard,
           const std::set<DataCentreId>& aReachable,
           std::size_t aCount);

} // namespace sassafrasknot::state

#endif
