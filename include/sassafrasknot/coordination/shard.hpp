#ifndef SASSAFRASKNOT_COORDINATION_SHARD_HPP
#define SASSAFRASKNOT_COORDINATION_SHARD_HPP

#include "sassafrasknot/coordination/shard_load.hpp"
#include "sassafrasknot/coordination/upstream_health.hpp"
#include "sassafrasknot/state/configuration.hpp"
#include "sassafrasknot/state/snapshot.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief Request to place a new flow on an upstream of a shard.
struct PlacementRequest
{
  /// Identifies the flow within the shard; unique among its open and queued
  /// flows.
  std::uint64_t mFlowId = 0;
  state::FlowClass mFlowClass = state::FlowClass::Feed;
  /// Upstream that rendezvous hashing over the table gives for the flow; used
  /// if its load allows.
  state::Ipv4Address mDefaultUpstream;
  /// Longest time that the flow may wait for a slot. Feeds never wait.
  state::Duration mQueueDeadline{};
  /// Upstream that refused the flow's opening or did not answer it; it is not
  /// chosen again. A request that has one is a retry.
  std::optional<state::Ipv4Address> mExcludedUpstream;
};

/// @brief The flow was placed: a connection of the upstream, and a slot unless
/// the flow is a feed, are now counted as used.
struct Placed
{
  std::uint64_t mFlowId = 0;
  state::Ipv4Address mUpstream;
};

/// @brief The flow entered the queue of flows that wait for a slot, or was in
/// it already.
struct Queued
{
  std::uint64_t mFlowId = 0;
};

/// @brief Why a flow was refused. The verdict is state::Verdict::NotRun for all
/// reasons.
enum class RefusalReason : std::uint8_t
{
  NoUpstream,     ///< No usable upstream; for a feed, none with room.
  QueueFull,      ///< The queue, or its part for long work, is full.
  WaitTooLong,    ///< The expected wait exceeds the deadline.
  DeadlinePassed, ///< The deadline passed while the flow was queued.
  /// The organisation has used up its share of the instance. Given by the
  /// traffic core; the functions of this header do not check shares.
  OrganisationShareExceeded,
};

/// @brief The flow was refused; nothing is counted for it.
struct Refused
{
  std::uint64_t mFlowId = 0;
  RefusalReason mReason = RefusalReason::NoUpstream;
};

using PlacementDecision = std::variant<Placed, Queued, Refused>;

/// @brief One shard's state at its owner. A shard is a part of a service's
/// upstreams; the state comprises use of slots and connections, the queue, the
/// retry budget and the observed health of the upstreams.
struct Shard;

/// @brief Deletes a shard, whose type is incomplete in this header.
struct ShardDeleter
{
  void operator()(Shard* aShard) const;
};

using ShardPointer = std::unique_ptr<Shard, ShardDeleter>;

/// @brief Makes a shard without flows. Its upstreams skip slow start, so that a
/// change of owner does not reduce the limits of all of them at once. In slow
/// start, an upstream has a part of its configured limits that grows with time:
/// from a tenth to all of them after ServiceLimits::mSlowStart.
/// @param aTable upstreams of the shard
/// @param aLimits limits of the service
/// @param aNow current time on the steady clock
/// @return shard without open or queued flows
ShardPointer
MakeShard(const state::ShardTable& aTable,
          const state::ServiceLimits& aLimits,
          state::TimePoint aNow);

/// @brief Applies a changed table. Upstreams that left the table keep the
/// counts of their open flows. Upstreams that are new, or that were leaving or
/// unreachable before, begin slow start.
/// @param aShard shard to update
/// @param aTable new upstreams of the shard
/// @param aLimits new limits of the service
/// @param aNow current time on the steady clock
void
UpdateShard(Shard& aShard,
            const state::ShardTable& aTable,
            const state::ServiceLimits& aLimits,
            state::TimePoint aNow);

/// @brief Places a new flow, or queues or refuses it. Feeds are never queued.
/// @param aShard shard to place the flow in
/// @param aRequest flow and its constraints
/// @param aNow current time on the steady clock
/// @return the decision; Queued if the flow is queued already
PlacementDecision
Place(Shard& aShard, const PlacementRequest& aRequest, state::TimePoint aNow);

/// @brief Returns the load of a shard, as ChooseShard compares it with that of
/// other shards. The traffic core does not use it.
/// @param aShard shard to describe
/// @return sums over its usable upstreams and the length of its queue
ShardLoad
LoadOf(const Shard& aShard);

/// @brief Returns the queued flow of class Work that has waited longest, so
/// that it can be moved to a shard with a free slot: CancelQueued here, then
/// Place there with the rest of its deadline. Queued long work is not
/// considered. The traffic core does not move queued flows.
/// @param aShard shard whose queue is searched
/// @return id of the flow; empty if no flow of class Work is queued
std::optional<std::uint64_t>
OldestQueued(const Shard& aShard);

/// @brief Counts a flow that is already placed: found through a packet of its
/// upstream, a replicated record or a handover. Limits are not checked.
/// @param aShard shard that the flow belongs to
/// @param aUpstream upstream of the flow; need not be in the shard's table
/// @param aFlowClass class of the flow
void
Adopt(Shard& aShard, state::Ipv4Address aUpstream, state::FlowClass aFlowClass);

/// @brief Counts an open flow under another class, once its class turns out to
/// differ from the assumed one.
/// @param aShard shard that the flow belongs to
/// @param aUpstream upstream of the flow
/// @param aFrom class that the flow is counted under
/// @param aTo class to count it under from now on
void
Reclassify(Shard& aShard,
           state::Ipv4Address aUpstream,
           state::FlowClass aFrom,
           state::FlowClass aTo);

/// @brief Records for the observed health that an upstream accepted a flow. If
/// this was its trial flow, its ejection ends and slow start begins.
/// @param aShard shard that the flow belongs to
/// @param aUpstream upstream that accepted the flow
/// @param aNow current time on the steady clock
void
OnAccepted(Shard& aShard, state::Ipv4Address aUpstream, state::TimePoint aNow);

/// @brief Records a failed flow for the observed health and ejects the upstream
/// if due. Does not free the flow's connection and slot; OnEnded does.
/// @param aShard shard that the flow belongs to
/// @param aUpstream upstream at which the flow failed
/// @param aKind how the flow failed
/// @param aNow current time on the steady clock
void
OnFailed(Shard& aShard,
         state::Ipv4Address aUpstream,
         FailureKind aKind,
         state::TimePoint aNow);

/// @brief Frees the connection and the slot of a flow that ended. The time for
/// which it held its slot enters the mean that expected waits are based on.
/// @param aShard shard that the flow belongs to
/// @param aUpstream upstream of the flow
/// @param aFlowClass class that the flow is counted under
/// @param aStarted time at which the flow was placed
/// @param aNow current time on the steady clock
void
OnEnded(Shard& aShard,
        state::Ipv4Address aUpstream,
        state::FlowClass aFlowClass,
        state::TimePoint aStarted,
        state::TimePoint aNow);

/// @brief Removes a flow from the queue without a decision, for instance
/// because its caller closed it. Does nothing if the flow is not queued.
/// @param aShard shard whose queue contains the flow
/// @param aFlowId id of the flow
void
CancelQueued(Shard& aShard, std::uint64_t aFlowId);

/// @brief Refuses queued flows whose deadline has passed, or all of them if no
/// usable upstream is left, and places others while slots are free. To be
/// called after OnEnded and at each tick.
/// @param aShard shard whose queue is served
/// @param aNow current time on the steady clock
/// @return decisions on flows that were queued: Placed or Refused
std::vector<PlacementDecision>
ServeQueue(Shard& aShard, state::TimePoint aNow);

/// @brief Takes one retry from the shard's retry budget, for a flow whose
/// opening an upstream refused or did not answer.
/// @param aShard shard that the flow belongs to
/// @param aNow current time on the steady clock
/// @return true if the flow may be placed again; false if the budget is used up
bool
TryConsumeRetry(Shard& aShard, state::TimePoint aNow);

/// @brief State of one upstream for a dump.
struct UpstreamStatus
{
  state::Ipv4Address mAddress;
  std::uint32_t mSlotsUsed = 0;
  /// Present limits, which slow start reduces.
  std::uint32_t mSlots = 0;
  std::uint32_t mConnectionsUsed = 0;
  std::uint32_t mConnections = 0;
  bool mEligible = true;
  /// Why it takes no new flow; empty if it is eligible.
  std::string mReason;
};

/// @brief State of a shard for a dump.
struct ShardStatus
{
  std::vector<UpstreamStatus> mUpstreams;
  /// Number of queued flows.
  std::size_t mQueued = 0;
};

/// @brief Returns the state of a shard for a dump.
/// @param aShard shard to describe
/// @param aNow unused; the state is that of the shard's last call
/// @return upstreams in the order of the table, then those with open flows that
/// are not in it, and the length of the queue
ShardStatus
StatusOf(const Shard& aShard, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
