#include "sassafrasknot/coordination/shard_state.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

void
TakeFlow(Shard& aShard,
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
  TakeFlow(aShard, *chosen, aFlowClass, aNow);
  return Placed{ aFlow.mFlowId, accounting.mAccounts[*chosen].mAddress };
}

bool
LongShareLeft(const Shard& aShard)
{
  return aShard.mAccounting.mAggregate.mLongSlotsUsed <
         LongSlotLimit(aShard.mAccounting);
}

/// Returns whether a queued flow has an older claim to a free slot.
bool
MustQueue(const Shard& aShard, QueueLane aLane)
{
  if (!Lane(aShard.mQueue, QueueLane::Work).empty()) {
    return true;
  }
  return !Lane(aShard.mQueue, QueueLane::Long).empty() &&
         (aLane == QueueLane::Long || LongShareLeft(aShard));
}

/// Returns why a flow must not enter the queue, if there is a reason.
std::optional<RefusalReason>
ReasonNotToQueue(const Shard& aShard,
                 QueueLane aLane,
                 state::Duration aDeadline)
{
  const auto& sums = aShard.mAccounting.mAggregate;
  if (sums.mSlots == 0) {
    return RefusalReason::NoUpstream;
  }
  const auto queued = aShard.mQueue.mPositions.size();
  const auto ahead = Lane(aShard.mQueue, aLane).size();
  const double limit = aShard.mLimits.mQueuePerSlot * sums.mSlots;
  // Long work must not fill the queue either.
  const double laneLimit =
    aLane == QueueLane::Long ? limit * aShard.mLimits.mLongShare : limit;
  if (static_cast<double>(queued + 1) > limit ||
      static_cast<double>(ahead + 1) > laneLimit) {
    return RefusalReason::QueueFull;
  }
  const auto slots =
    aLane == QueueLane::Long
      ? LongSlotLimit(aShard.mAccounting)
      : sums.mSlots - std::min(sums.mSlots, sums.mLongSlotsUsed);
  const auto index = static_cast<std::size_t>(aLane);
  const auto expected = ExpectedWait(aShard.mHoldingTimes.at(index),
                                     aShard.mServiceIntervals.at(index),
                                     ahead,
                                     slots);
  if (aDeadline <= state::Duration::zero() || expected > aDeadline) {
    return RefusalReason::WaitTooLong;
  }
  return std::nullopt;
}

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
        ReasonNotToQueue(aShard, lane, aRequest.mQueueDeadline)) {
    return Refused{ aRequest.mFlowId, *reason };
  }
  Enqueue(aShard.mQueue, lane, flow);
  return Queued{ aRequest.mFlowId };
}

/// Refuses queued flows that no upstream can serve any more.
void
RefuseUnservable(Shard& aShard,
                 state::TimePoint aNow,
                 std::vector<PlacementDecision>& aDecisions)
{
  for (const auto flow : RemoveExpired(aShard.mQueue, aNow)) {
    aDecisions.emplace_back(Refused{ flow, RefusalReason::DeadlinePassed });
  }
  if (aShard.mAccounting.mAggregate.mSlots > 0) {
    return;
  }
  // The caller can then send them to another shard.
  for (const auto flow :
       RemoveExpired(aShard.mQueue, state::TimePoint::max())) {
    aDecisions.emplace_back(Refused{ flow, RefusalReason::NoUpstream });
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
  const auto& sums = aShard.mAccounting.mAggregate;
  return { sums.mConnections,
           sums.mConnectionsUsed,
           sums.mFreeSlots,
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
CancelQueued(Shard& aShard, std::uint64_t aFlow)
{
  RemoveQueued(aShard.mQueue, aFlow);
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
  while (true) {
    const bool mayLong = nextLong != longWork.end() && LongShareLeft(aShard);
    if (nextWork == work.end() && !mayLong) {
      break;
    }
    const bool takeLong =
      mayLong && (nextWork == work.end() || nextLong->first < nextWork->first);
    const auto lane = takeLong ? QueueLane::Long : QueueLane::Work;
    auto& next = takeLong ? nextLong : nextWork;
    const auto flow = next->second;
    const auto placed = TryPlace(aShard, ClassOf(lane), flow, aNow);
    if (!placed && !flow.mExcludedUpstream) {
      break;
    }
    // A flow that only its excluded upstream could take lets others pass.
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
