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

/// @brief A packet as a traffic core sees it.
struct PacketEvent
{
  state::FlowEvent mFlow;
  /// Instances that have forwarded the packet, first one first; empty for a
  /// packet from the fabric.
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

/// @brief Keep the packet until ReleaseHeld or DropHeld names it.
struct Hold
{
  std::uint64_t mHoldId = 0;
};

/// @brief Send a held packet to an upstream. With mKeep it stays held, so that
/// it can be sent to another upstream after a refusal.
struct ReleaseHeld
{
  std::uint64_t mHoldId = 0;
  state::Endpoint mUpstream;
  bool mKeep = false;
};

/// @brief Forget a held packet.
struct DropHeld
{
  std::uint64_t mHoldId = 0;
};

/// @brief Drop the packet; the reason is a counter's name.
struct Drop
{
  std::string mReason;
};

/// @brief Send a reset to the caller in the name of the service.
struct ResetCaller
{
  state::FlowKey mKey;
  state::Verdict mVerdict = state::Verdict::NotRun;
  /// Sequence number that the caller expects next.
  std::uint32_t mSequence = 0;
  /// Cumulative acknowledgement of the caller's bytes.
  std::uint32_t mAcknowledged = 0;
};

/// @brief Send a reset to the upstream in the name of the caller.
struct ResetUpstream
{
  state::FlowKey mKey;
  state::Endpoint mUpstream;
  /// Sequence number that the upstream expects next.
  std::uint32_t mSequence = 0;
};

/// @brief Send an empty segment one byte before the next sequence number (a
/// TCP keepalive probe) to an upstream in the name of the caller.
struct ProbeUpstream
{
  state::FlowKey mKey;
  state::Endpoint mUpstream;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
};

/// @brief Send a TCP keepalive probe to the caller in the name of the service.
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

/// @brief What a traffic core decides.
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

/// @brief A shard that an instance owns, for a dump.
struct OwnedShardStatus
{
  state::ShardId mId;
  state::InstanceId mBackup;
  std::size_t mFlows = 0;
  ShardStatus mShard;
};

/// @brief State of a traffic core for a dump.
struct TrafficStatus
{
  std::vector<OwnedShardStatus> mOwned;
  std::size_t mFlows = 0;
  /// Records that are held as backup of other instances.
  std::size_t mBackupRecords = 0;
  /// Flows whose upstream is being looked up.
  std::size_t mPendingLookups = 0;
  /// Records that wait for the control budget to be copied.
  std::size_t mPendingReplications = 0;
};

/// @brief Decides what happens to the packets of the shards of one traffic
/// thread. Not safe for use from several threads.
class TrafficCore
{
public:
  /// @brief Makes a core without any flow.
  /// @param aSnapshot first snapshot
  /// @param aSeed seed of its random decisions
  TrafficCore(std::shared_ptr<const state::Snapshot> aSnapshot,
              std::uint64_t aSeed);
  ~TrafficCore();
  TrafficCore(TrafficCore&&) noexcept;
  TrafficCore& operator=(TrafficCore&&) noexcept;

  /// @brief Takes a packet that came from the fabric or from another instance.
  /// At most one action (SendToUpstream, SendToCaller, Forward, Hold, Drop)
  /// concerns this packet; the others stand for themselves.
  /// @param aNow the time
  /// @param aPacket the packet
  /// @return what to do
  TrafficActions OnPacket(state::TimePoint aNow, const PacketEvent& aPacket);

  /// @brief Takes a message of another instance's traffic core.
  /// @param aNow the time
  /// @param aFrom the instance that sent it
  /// @param aMessage the message
  /// @return what to do
  TrafficActions OnPeerMessage(state::TimePoint aNow,
                               const state::InstanceId& aFrom,
                               const TrafficMessage& aMessage);

  /// @brief Takes a new snapshot.
  /// @param aNow the time
  /// @param aSnapshot the snapshot; its sequence is above the current one's
  /// @return what to do
  TrafficActions OnSnapshot(state::TimePoint aNow,
                            std::shared_ptr<const state::Snapshot> aSnapshot);

  /// @brief Does what is due; to be called about every 10 ms.
  /// @param aNow the time
  /// @return what to do
  TrafficActions OnTick(state::TimePoint aNow);

  /// @brief Returns whether a planned stop has handed over all flows, so that
  /// the process may end.
  bool AreHandoversDone() const;

  /// @brief Returns the counters of this core.
  const state::Counters& Counters() const;

  /// @brief Describes this core for a dump.
  /// @param aNow the time
  /// @return its state
  TrafficStatus Status(state::TimePoint aNow) const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace sassafrasknot::coordination

#endif
