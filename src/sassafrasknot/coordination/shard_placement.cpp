#include "sassafrasknot/coordination/shard_state.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// Counts a flow on the chosen upstream; in HalfOpen, it becomes the trial
/// flow.
void
AddPlacedFlow(Shard& aShard,
              std::size_t aIndex,
              state::FlowClass aFlowClass,
              state::TimePoint aNow)
{
  AddFlow(aShard.mAccounting, aIndex, aFlowClass);
  if (auto& health = aShard.mUpstreams[aIndex].mHealth;
      health.mPhase == HealthPhase::HalfOpen) {
    RecordPlacement(health, aNow);
    RecomputeAccount(aShard, aIndex, aNow);
  }
}

/// Places a flow if an upstream other than its excluded one has room.
std::optional<Placed>
TryPlace(Shard& aShard,
         state::FlowClass aFlowClass,
         const QueuedFlow& aFlow,
         state::TimePoint aNow)
{
  auto& accounting = aShard.mAccounting;
  const auto excluded = aFlow.mExcludedUpstream
                          ? FindUpstream(accounting, *aFlow.mExcludedUpstream)
                          : std::nullopt;
  const auto chosen =
    ChooseUpstream(accounting,
                   aFlowClass,
                   FindUpstream(accounting, aFlow.mDefaultUpstream),
                   excluded);
  if (!chosen) {
    return std::nullopt;
  }
  AddPlacedFlow(aShard, *chosen, aFlowClass, aNow);
  return Placed{ aFlow.mFlowId, accounting.mAccounts[*chosen].mAddress };
}

/// Returns whether long work uses less than its share of the slots.
bool
IsLongShareLeft(const Shard& aShard)
{
  return aShard.mAccounting.mAggregate.mLongSlotsUsed <
         LongSlotLimit(aShard.mAccounting);
}

/// Returns whether a new flow must queue although a slot may be free, because a
/// flow that arrived earlier waits for it.
bool
MustQueue(const Shard& aShard, QueueLane aLane)
{
  if (!Lane(aShard.mQueue, QueueLane::Work).empty()) {
    return true;
  }
  return !Lane(aShard.mQueue, QueueLane::Long).empty() &&
         (aLane == QueueLane::Long || IsLongShareLeft(aShard));
}

/// Returns why a flow must not enter the queue; empty if it may.
std::optional<RefusalReason>
RefusalFromQueue(const Shard& aShard,
                 QueueLane aLane,
                 state::Duration aDeadline)
{
  const auto& usable = aShard.mAccounting.mAggregate;
  if (usable.mSlots == 0) {
    return RefusalReason::NoUpstream;
  }
  const auto queued = aShard.mQueue.mPositions.size();
  const auto ahead = Lane(aShard.mQueue, aLane).size();
  const double limit = aShard.mLimits.mQueuePerSlot * usable.mSlots;
  // Long work may take only its share of the queue, as of the slots.
  const double laneLimit =
    aLane == QueueLane::Long ? limit * aShard.mLimits.mLongShare : limit;
  if (static_cast<double>(queued + 1) > limit ||
      static_cast<double>(ahead + 1) > laneLimit) {
    return RefusalReason::QueueFull;
  }
  const auto laneSlots =
    aLane == QueueLane::Long
      ? LongSlotLimit(aShard.mAccounting)
      : usable.mSlots - std::min(usable.mSlots, usable.mLongSlotsUsed);
  const auto laneIndex = static_cast<std::size_t>(aLane);
  const auto expected = ExpectedWait(aShard.mHoldingTimes.at(laneIndex),
                                     aShard.mServiceIntervals.at(laneIndex),
                                     ahead,
                                     laneSlots);
  if (aDeadline <= state::Duration::zero() || expected > aDeadline) {
    return RefusalReason::WaitTooLong;
  }
  return std::nullopt;
}

/// Places a flow that needs a slot, or queues or refuses it.
PlacementDecision
PlaceWork(Shard& aShard,
          const PlacementRequest& aRequest,
          state::TimePoint aNow)
{
  const auto lane = LaneOf(aRequest.mFlowClass);
  const QueuedFlow flow{ aRequest.mFlowId,
                         aRequest.mDefaultUpstream,
                         aRequest.mExcludedUpstream,
                         aNow + aRequest.mQueueDeadline };
  if (aShard.mQueue.mPositions.contains(aRequest.mFlowId)) {
    return Queued{ aRequest.mFlowId };
  }
  if (!MustQueue(aShard, lane)) {
    if (const auto placed = TryPlace(aShard, aRequest.mFlowClass, flow, aNow)) {
      return *placed;
    }
  }
  if (const auto reason =
        RefusalFromQueue(aShard, lane, aRequest.mQueueDeadline)) {
    return Refused{ aRequest.mFlowId, *reason };
  }
  Enqueue(aShard.mQueue, lane, flow);
  return Queued{ aRequest.mFlowId };
}

/// Refuses queued flows whose deadline has passed, and all of them if no usable
/// upstream is left.
void
RefuseUnservable(Shard& aShard,
                 state::TimePoint aNow,
                 std::vector<PlacementDecision>& aDecisions)
{
  for (const auto flowId : RemoveExpired(aShard.mQueue, aNow)) {
    aDecisions.emplace_back(Refused{ flowId, RefusalReason::DeadlinePassed });
  }
  if (aShard.mAccounting.mAggregate.mSlots > 0) {
    return;
  }
  // They are refused at once, so that they can be placed in another shard.
  for (const auto flowId :
       RemoveExpired(aShard.mQueue, state::TimePoint::max())) {
    aDecisions.emplace_back(Refused{ flowId, RefusalReason::NoUpstream });
  }
}

} // namespace

PlacementDecision
Place(Shard& aShard, const PlacementRequest& aRequest, state::TimePoint aNow)
{
  Refresh(aShard, aNow);
  if (!aRequest.mExcludedUpstream) {
    DepositRetry(aShard.mRetryBudget);
  }
  if (aRequest.mFlowClass != state::FlowClass::Feed) {
    return PlaceWork(aShard, aRequest, aNow);
  }
  const QueuedFlow flow{ aRequest.mFlowId,
                         aRequest.mDefaultUpstream,
                         aRequest.mExcludedUpstream,
                         aNow };
  if (const auto placed = TryPlace(aShard, aRequest.mFlowClass, flow, aNow)) {
    return *placed;
  }
  return Refused{ aRequest.mFlowId, RefusalReason::NoUpstream };
}

ShardLoad
LoadOf(const Shard& aShard)
{
  const auto& usable = aShard.mAccounting.mAggregate;
  return { usable.mConnections,
           usable.mConnectionsUsed,
           usable.mFreeSlots,
           static_cast<std::uint32_t>(aShard.mQueue.mPositions.size()) };
}

std::optional<std::uint64_t>
OldestQueued(const Shard& aShard)
{
  const auto& work = Lane(aShard.mQueue, QueueLane::Work);
  if (work.empty()) {
    return std::nullopt;
  }
  return work.begin()->second.mFlowId;
}

void
CancelQueued(Shard& aShard, std::uint64_t aFlowId)
{
  RemoveQueued(aShard.mQueue, aFlowId);
}

std::vector<PlacementDecision>
ServeQueue(Shard& aShard, state::TimePoint aNow)
{
  Refresh(aShard, aNow);
  std::vector<PlacementDecision> decisions;
  RefuseUnservable(aShard, aNow, decisions);
  const auto& work = Lane(aShard.mQueue, QueueLane::Work);
  const auto& longWork = Lane(aShard.mQueue, QueueLane::Long);
  auto nextWork = work.begin();
  auto nextLong = longWork.begin();
  // Serves both lanes in the order of arrival.
  while (true) {
    const bool mayServeLong =
      nextLong != longWork.end() && IsLongShareLeft(aShard);
    if (nextWork == work.end() && !mayServeLong) {
      break;
    }
    const bool servesLong = mayServeLong && (nextWork == work.end() ||
                                             nextLong->first < nextWork->first);
    const auto lane = servesLong ? QueueLane::Long : QueueLane::Work;
    auto& next = servesLong ? nextLong : nextWork;
    const auto flow = next->second;
    const auto placed = TryPlace(aShard, ClassOf(lane), flow, aNow);
    if (!placed && !flow.mExcludedUpstream) {
      break;
    }
    // A flow that cannot be placed because of its excluded upstream must not
    // block the flows behind it.
    ++next;
    if (placed) {
      RemoveQueued(aShard.mQueue, flow.mFlowId);
      RecordService(aShard.mServiceIntervals.at(static_cast<std::size_t>(lane)),
                    Lane(aShard.mQueue, lane).empty(),
                    aNow);
      decisions.emplace_back(*placed);
    }
  }
  return decisions;
}

} // namespace sassafrasknot::coordination
