#ifndef SASSAFRASKNOT_COORDINATION_TRAFFIC_CORE_HPP
#define SASSAFRASKNOT_COORDINATION_TRAFFIC_CORE_HPP

#include "sassafrasknot/coordination/shard.hpp"
#include "sassafrasknot/coordination/traffic_message.hpp"
#include "sassafrasknot/state/counters.hpp"
#include "sassafrasknot/state/error.hpp"
#include "sassafrasknot/state/flow.hpp"
#include "sassafrasknot/state/snapshot.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief The header fields of a packet that a traffic core decides on.
struct PacketEvent
{
  state::FlowEvent mFlow;
  /// Instances that have forwarded the packet, in order of forwarding; empty
  /// for a packet that came directly from the network.
  std::vector<state::InstanceId> mHops;
};

/// @brief Rewrite the packet's destination to the upstream and send it.
struct SendToUpstream
{
  state::Endpoint mUpstream;
};

/// @brief Rewrite the packet's source to the service and send it.
struct SendToCaller
{
  state::Endpoint mService;
};

/// @brief Forward the packet unchanged to another instance, with this
/// instance's id added to its hops.
struct Forward
{
  state::InstanceId mInstance;
};

/// @brief Keep the packet until a ReleaseHeld without mKeep or a DropHeld with
/// the same id.
struct Hold
{
  std::uint64_t mHoldId = 0;
};

/// @brief Send a held packet to an upstream.
struct ReleaseHeld
{
  std::uint64_t mHoldId = 0;
  state::Endpoint mUpstream;
  /// Whether the packet stays held, so that it can be sent to another upstream
  /// if this one refuses the flow.
  bool mKeep = false;
};

/// @brief Remove a held packet without sending it.
struct DropHeld
{
  std::uint64_t mHoldId = 0;
};

/// @brief Drop the packet; the reason is the name of the counter that was
/// incremented.
struct Drop
{
  std::string mReason;
};

/// @brief Send a reset to the caller, with the service's endpoint as source.
struct ResetCaller
{
  state::FlowKey mKey;
  state::Verdict mVerdict = state::Verdict::NotRun;
  /// Sequence number that the caller expects next.
  std::uint32_t mSequence = 0;
  /// Cumulative acknowledgement of the caller's bytes.
  std::uint32_t mAcknowledged = 0;
};

/// @brief Send a reset to the upstream, with the caller's endpoint as source.
struct ResetUpstream
{
  state::FlowKey mKey;
  state::Endpoint mUpstream;
  /// Sequence number that the upstream expects next.
  std::uint32_t mSequence = 0;
};

/// @brief Send a TCP keepalive probe (an empty segment one byte before the next
/// sequence number) to an upstream, with the caller's endpoint as source.
struct ProbeUpstream
{
  state::FlowKey mKey;
  state::Endpoint mUpstream;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
};

/// @brief Send a TCP keepalive probe to the caller, with the service's endpoint
/// as source.
struct ProbeCaller
{
  state::FlowKey mKey;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
};

/// @brief Send a message to another instance's traffic core.
struct SendToPeer
{
  state::InstanceId mInstance;
  TrafficMessage mMessage;
};

/// @brief An action that the traffic thread carries out for its traffic core.
using TrafficAction = std::variant<SendToUpstream,
                                   SendToCaller,
                                   Forward,
                                   Hold,
                                   ReleaseHeld,
                                   DropHeld,
                                   Drop,
                                   ResetCaller,
                                   ResetUpstream,
                                   ProbeUpstream,
                                   ProbeCaller,
                                   SendToPeer>;

using TrafficActions = std::vector<TrafficAction>;

/// @brief State of a shard whose flows are counted in this core, for a dump.
struct OwnedShardStatus
{
  state::ShardId mId;
  /// Instance that receives the shard's flow records; empty if there is none.
  state::InstanceId mBackup;
  /// Open flows that hold a connection of one of the shard's upstreams.
  std::size_t mFlows = 0;
  ShardStatus mShard;
};

/// @brief State of a traffic core for a dump.
struct TrafficStatus
{
  std::vector<OwnedShardStatus> mOwned;
  /// Entries of the flow table, including queued, redirected and recently
  /// closed flows.
  std::size_t mFlows = 0;
  /// Flow records that this instance keeps for flows of other owners.
  std::size_t mBackupRecords = 0;
  /// Flows whose upstream is being looked up.
  std::size_t mPendingLookups = 0;
  /// Flow records that wait to be sent to a backup: their delay has not passed
  /// or the bandwidth for replication is used up.
  std::size_t mPendingReplications = 0;
};

/// @brief Decides what happens to the packets of the shards of one traffic
/// thread. Not safe for use from several threads.
///
/// Terms of the traffic core:
/// - shard: a part of a service's upstreams with one owner and one backup among
///   the instances. The owner places new flows on the shard's upstreams and
///   sends flow records to the backup (replication). The backup is the next
///   owner if the owner fails.
/// - flow record: a flow, its upstream and its state (FlowRecord).
/// - first owner: rendezvous hashing ranks the shards of a service for each
///   flow. The owner of the highest-ranked shard that has an owner is the
///   flow's first owner. Instances that do not have the flow in their tables
///   forward its packets there.
/// - off default: the flow is not on its default upstream, the one that
///   rendezvous hashing gives in the flow's highest-ranked shard. Other
///   instances cannot compute the upstream of such a flow, so its record is
///   replicated.
/// - look-up: search of the first owner for the upstream of a flow that is not
///   in its table. It requests the flow's record from other instances and sends
///   keepalive probes to the upstreams that may have the flow.
/// - adoption: an instance adds a flow that another owner placed to its table.
/// - redirect: a table entry for a flow of another owner's shard; the flow's
///   packets are forwarded to that owner.
/// - handover: an instance that is no longer a shard's owner, for instance
///   because of a planned stop, sends the shard's flow records to the new
///   owner, which adopts the flows.
/// - stall: this thread or process did not run for longer than the timeout
///   after which other instances count this one as dead. Its state is untrusted
///   then, since another instance may own its shards.
class TrafficCore
{
public:
  /// @brief Makes a core without any flow.
  /// @param aSnapshot first snapshot
  /// @param aSeed gives the number of the first handover batch; must differ
  /// between processes of the same instance
  TrafficCore(std::shared_ptr<const state::Snapshot> aSnapshot,
              std::uint64_t aSeed);
  ~TrafficCore();
  TrafficCore(TrafficCore&&) noexcept;
  TrafficCore& operator=(TrafficCore&&) noexcept;

  /// @brief Processes a packet that came from the network or was forwarded by
  /// another instance. At most one of the returned actions SendToUpstream,
  /// SendToCaller, Forward, Hold and Drop applies to this packet; the other
  /// actions are independent of it.
  /// @param aNow current time on the steady clock
  /// @param aPacket header fields of the packet and its earlier forwarders
  /// @return actions to carry out, in order
  TrafficActions OnPacket(state::TimePoint aNow, const PacketEvent& aPacket);

  /// @brief Processes a message of another instance's traffic core.
  /// @param aNow current time on the steady clock
  /// @param aFrom the instance that sent it
  /// @param aMessage the decoded message
  /// @return actions to carry out, in order
  TrafficActions OnPeerMessage(state::TimePoint aNow,
                               const state::InstanceId& aFrom,
                               const TrafficMessage& aMessage);

  /// @brief Applies a new snapshot.
  /// @param aNow current time on the steady clock
  /// @param aSnapshot the snapshot; its sequence number is higher than that of
  /// the current one
  /// @return actions to carry out, in order
  TrafficActions OnSnapshot(state::TimePoint aNow,
                            std::shared_ptr<const state::Snapshot> aSnapshot);

  /// @brief Runs timers: checks of flows, look-ups, handovers, queues and
  /// messages to peers. To be called about every 10 ms.
  /// @param aNow current time on the steady clock
  /// @return actions to carry out, in order
  TrafficActions OnTick(state::TimePoint aNow);

  /// @brief Returns whether this core holds no flow that could still be handed
  /// over, so that the process may end; to be used during a planned stop only.
  bool AreHandoversDone() const;

  /// @brief Returns the counters of this core.
  const state::Counters& Counters() const;

  /// @brief Returns the state of this core for a dump.
  /// @param aNow current time on the steady clock
  TrafficStatus Status(state::TimePoint aNow) const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace sassafrasknot::coordination

#endif
