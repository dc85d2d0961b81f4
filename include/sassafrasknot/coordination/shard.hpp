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

/// @brief A new flow that wants an upstream of a shard.
struct PlacementRequest
{
  /// Names the flow towards the shard; unique among its open flows.
  std::uint64_t mFlowId = 0;
  state::FlowClass mFlowClass = state::FlowClass::Feed;
  /// Upstream that the table gives for the flow.
  state::Ipv4Address mDefaultUpstream;
  /// How long the flow may wait for a slot.
  state::Duration mQueueDeadline{};
  /// Upstream that refused the flow before; it is not chosen again.
  std::optional<state::Ipv4Address> mExcludedUpstream;
};

/// @brief The flow was placed; its connection and slot are taken.
struct Placed
{
  std::uint64_t mFlowId = 0;
  state::Ipv4Address mUpstream;
};

/// @brief The flow waits for a slot.
struct Queued
{
  std::uint64_t mFlowId = 0;
};

/// @brief Why a flow was refused. All refusals are state::Verdict::NotRun.
enum class RefusalReason : std::uint8_t
{
  NoUpstream,     ///< No upstream is eligible.
  QueueFull,      ///< The queue has reached its limit.
  WaitTooLong,    ///< The expected wait exceeds the deadline.
  DeadlinePassed, ///< The deadline passed in the queue.
  ShareExceeded,  ///< The organisation's share of the instance is used up.
};

/// @brief The flow was refused.
struct Refused
{
  std::uint64_t mFlowId = 0;
  RefusalReason mReason = RefusalReason::NoUpstream;
};

using PlacementDecision = std::variant<Placed, Queued, Refused>;

/// @brief Slots, connections, queue and observed health of one shard, held by
/// its owner.
struct Shard;

/// @brief Destroys a shard whose type is incomplete for callers.
struct ShardDeleter
{
  void operator()(Shard* aShard) const;
};

using ShardPointer = std::unique_ptr<Shard, ShardDeleter>;

/// @brief Makes a shard without flows. Its upstreams count as warm, so that a
/// new owner does not slow all of them down.
/// @param aTable its upstreams
/// @param aLimits limits of its service
/// @param aNow the time
/// @return the shard
ShardPointer
MakeShard(const state::ShardTable& aTable,
          const state::ServiceLimits& aLimits,
          state::TimePoint aNow);

/// @brief Takes a changed table. Upstreams that left keep the account of their
/// open flows; new ones start slowly.
/// @param aShard the shard
/// @param aTable its upstreams
/// @param aLimits limits of its service
/// @param aNow the time
void
UpdateShard(Shard& aShard,
            const state::ShardTable& aTable,
            const state::ServiceLimits& aLimits,
            state::TimePoint aNow);

/// @brief Places a new flow, queues or refuses it.
/// @param aShard the shard
/// @param aRequest the flow
/// @param aNow the time
/// @return what was decided
PlacementDecision
Place(Shard& aShard, const PlacementRequest& aRequest, state::TimePoint aNow);

/// @brief Returns the load of a shard, so that flows can go to the shard that
/// has room.
/// @param aShard the shard
/// @return its load
ShardLoad
LoadOf(const Shard& aShard);

/// @brief Returns the flow that has waited longest for a slot, so that the
/// caller can move it to a shard with a free slot (CancelQueued here, Place
/// there with what is left of its deadline).
/// @param aShard the shard
/// @return the flow; nothing if no flow waits
std::optional<std::uint64_t>
OldestQueued(const Shard& aShard);

/// @brief Accounts a flow that is already placed: learned from an answer, a
/// copy or a hand-over.
/// @param aShard the shard
/// @param aUpstream its upstream
/// @param aFlowClass its class
void
Adopt(Shard& aShard, state::Ipv4Address aUpstream, state::FlowClass aFlowClass);

/// @brief Moves a flow's account to the class that it turned out to have.
/// @param aShard the shard
/// @param aUpstream its upstream
/// @param aFrom class so far
/// @param aTo class from now on
void
Reclassify(Shard& aShard,
           state::Ipv4Address aUpstream,
           state::FlowClass aFrom,
           state::FlowClass aTo);

/// @brief Notes that an upstream accepted a flow.
/// @param aShard the shard
/// @param aUpstream its upstream
/// @param aNow the time
void
OnAccepted(Shard& aShard, state::Ipv4Address aUpstream, state::TimePoint aNow);

/// @brief Notes a failure for the upstream's observed health. Does not free the
/// flow's account; OnEnded does.
/// @param aShard the shard
/// @param aUpstream its upstream
/// @param aKind the failure
/// @param aNow the time
void
OnFailed(Shard& aShard,
         state::Ipv4Address aUpstream,
         FailureKind aKind,
         state::TimePoint aNow);

/// @brief Frees the account of a flow that ended.
/// @param aShard the shard
/// @param aUpstream its upstream
/// @param aFlowClass its class
/// @param aStarted when it was placed, for the expected wait
/// @param aNow the time
void
OnEnded(Shard& aShard,
        state::Ipv4Address aUpstream,
        state::FlowClass aFlowClass,
        state::TimePoint aStarted,
        state::TimePoint aNow);

/// @brief Removes a flow from the queue, as its caller gave up.
/// @param aShard the shard
/// @param aFlow the flow
void
CancelQueued(Shard& aShard, std::uint64_t aFlow);

/// @brief Places queued flows whose turn has come and refuses those whose
/// deadline has passed. To be called after OnEnded and at each tick.
/// @param aShard the shard
/// @param aNow the time
/// @return decisions on flows that were queued: Placed or Refused
std::vector<PlacementDecision>
ServeQueue(Shard& aShard, state::TimePoint aNow);

/// @brief Asks whether a flow whose opening was refused may be placed again,
/// and takes it from the retry budget if so.
/// @param aShard the shard
/// @param aNow the time
/// @return true if it may
bool
TryConsumeRetry(Shard& aShard, state::TimePoint aNow);

/// @brief State of one upstream for a dump.
struct UpstreamStatus
{
  state::Ipv4Address mAddress;
  std::uint32_t mSlotsUsed = 0;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnectionsUsed = 0;
  std::uint32_t mConnections = 0;
  bool mEligible = true;
  /// Why it is not eligible, or empty.
  std::string mReason;
};

/// @brief State of a shard for a dump.
struct ShardStatus
{
  std::vector<UpstreamStatus> mUpstreams;
  std::size_t mQueued = 0;
};

/// @brief Describes a shard.
/// @param aShard the shard
/// @param aNow the time
/// @return its state
ShardStatus
StatusOf(const Shard& aShard, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
