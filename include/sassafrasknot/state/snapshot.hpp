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

/// @brief Maximum length of ShardTable::mOwners: the owner, the backup and the
/// next instance in rendezvous order.
constexpr std::size_t kMaxOwnersPerShard = 3;

/// @brief An upstream in the table of a shard.
struct TableUpstream
{
  Ipv4Address mAddress;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  UpstreamState mState = UpstreamState::Live;
  /// Hash of mAddress, its candidate hash in rendezvous hashing.
  std::uint64_t mHash = 0;
  DataCentreId mDataCentre;
  /// False while its data centre is unreachable: it receives no new flows.
  bool mReachable = true;
};

/// @brief The upstreams of one shard at one revision.
struct ShardTable
{
  ShardId mId;
  /// Hash of mId. In rendezvous hashing it is the candidate hash when flows are
  /// assigned to shards, and the key hash when shards are assigned to owners.
  std::uint64_t mHash = 0;
  std::vector<TableUpstream> mUpstreams;
  /// Data centres of the upstreams, in ascending order. Only instances in
  /// these data centres may own the shard.
  std::vector<DataCentreId> mDataCentres;
  /// Live instances in reachable data centres, in rendezvous order, as indices
  /// into Snapshot::mInstances: the owner, the backup, then one more.
  std::vector<std::uint32_t> mOwners;
};

/// @brief The shards of one service in all data centres at one revision.
struct ServiceTable
{
  Revision mRevision = 0;
  std::vector<ShardTable> mShards;
};

/// @brief A service in the form that the traffic threads use.
struct ServiceView
{
  ServiceId mId;
  Revision mRevision = 0;
  Service mService;
  double mOrganisationWeight = 1.0;
  /// A removed service accepts no new flows; established ones continue.
  bool mRemoved = false;
  /// The current table, followed by earlier ones from newest to oldest. Flows
  /// that were opened under an earlier table are looked up in it.
  std::vector<ServiceTable> mTables;
};

/// @brief State of an instance; only a live one may own shards.
enum class InstanceState : std::uint8_t
{
  Live,
  Leaving, ///< Stopping: forwards packets and hands over; owns no shard.
  Dead,
};

/// @brief An instance (this one or another) with its state from the membership.
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
  /// Hash of mId, its candidate hash in rendezvous hashing.
  std::uint64_t mHash = 0;
};

/// @brief The listener that an upstream endpoint belongs to. Packets from the
/// upstream endpoint are answers of this listener's service.
struct UpstreamBinding
{
  /// Index into Snapshot::mServices.
  std::uint32_t mService = 0;
  /// Listener::mPort of the listener with this upstream port.
  std::uint16_t mListenerPort = 0;
};

/// @brief Configuration and membership as the traffic threads read them;
/// immutable once published.
struct Snapshot
{
  InstanceId mSelf;
  DataCentreId mDataCentre;
  /// Highest platform revision in force.
  Revision mRevision = 0;
  /// Number of this snapshot; increases with each one of this process.
  std::uint64_t mSequence = 0;
  std::vector<ServiceView> mServices;
  /// Service endpoint to index into mServices; quarantined ones are absent.
  std::map<Endpoint, std::uint32_t> mServiceByEndpoint;
  /// Upstream endpoint to its listener. Removed endpoints stay bound to their
  /// old service while SnapshotBuilder::mRetained contains them; other
  /// quarantined endpoints are absent.
  std::map<Endpoint, UpstreamBinding> mUpstreamBindings;
  /// Instances of all data centres, in order of their ids.
  std::vector<InstanceView> mInstances;
  /// Data centres that this instance can reach; always includes its own.
  std::set<DataCentreId> mReachable;
  /// False after a stall, a pause of this process so long that other instances
  /// may have counted it as dead. While it is false, this instance must place
  /// no new flow and send nothing that is queued. It becomes true once other
  /// instances have responded, or 2 s have passed without any response.
  bool mTrusted = true;
  /// True once a planned stop has begun.
  bool mStopping = false;
};

/// @brief Makes the table of one service. The shard of an upstream depends only
/// on its address and the number of shards, so that other changes never move
/// it.
/// @param aService service with its upstreams
/// @param aId identifier of the service, from which the shards are hashed
/// @param aRevision revision of the service
/// @return the table without owners; shards without upstreams are omitted
ServiceTable
MakeServiceTable(const Service& aService,
                 const ServiceId& aId,
                 Revision aRevision);

/// @brief Fills ShardTable::mOwners and TableUpstream::mReachable of all
/// shards.
/// @param aTable table to update
/// @param aInstances instances of all data centres
/// @param aReachable data centres that this instance can reach
void
AssignOwners(ServiceTable& aTable,
             const std::vector<InstanceView>& aInstances,
             const std::set<DataCentreId>& aReachable);

/// @brief Sets TableUpstream::mReachable of a shard's upstreams to whether
/// their data centres are reachable.
/// @param aShard shard to update
/// @param aReachable data centres that this instance can reach
void
UpdateReachability(ShardTable& aShard,
                   const std::set<DataCentreId>& aReachable);

/// @brief Ranks the shards of a service for a flow by rendezvous hashing with
/// the number of slots as weight.
/// @param aTable table of the service
/// @param aFlowHash hash of the flow
/// @param aCount maximum number of shards to return
/// @return indices into ServiceTable::mShards, best first
std::vector<std::size_t>
RankShards(const ServiceTable& aTable,
           std::uint64_t aFlowHash,
           std::size_t aCount);

/// @brief Chooses the default upstream of a flow within its shard by rendezvous
/// hashing with the number of slots as weight. Leaving upstreams are included,
/// so that every instance still computes them as the default upstream of their
/// established flows without stored state.
/// @param aShard shard of the flow
/// @param aFlowHash hash of the flow
/// @return index into ShardTable::mUpstreams, or nothing for an empty shard
std::optional<std::size_t>
DefaultUpstream(const ShardTable& aShard, std::uint64_t aFlowHash);

/// @brief Ranks the instances that may own a shard by rendezvous hashing: live
/// ones in reachable data centres that have upstreams of the shard.
/// @param aInstances instances of all data centres
/// @param aShard shard to rank them for
/// @param aReachable data centres that this instance can reach
/// @param aCount maximum number of instances to return
/// @return indices into aInstances; the first is the owner, the second the
/// backup
std::vector<std::uint32_t>
RankOwners(const std::vector<InstanceView>& aInstances,
           const ShardTable& aShard,
           const std::set<DataCentreId>& aReachable,
           std::size_t aCount);

} // namespace sassafrasknot::state

#endif
