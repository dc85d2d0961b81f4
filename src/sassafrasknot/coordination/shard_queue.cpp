#include "sassafrasknot/coordination/shard_queue.hpp"

#include <algorithm>
#include <chrono>

namespace sassafrasknot::coordination {
namespace {

/// Samples that the running mean covers. Fewer let a single straggler of 100
/// times the usual length double the expected wait.
constexpr double kSamples = 200;
/// Gaps that their running mean covers, and the fewest that make it usable.
constexpr double kGapSamples = 64;
constexpr std::uint64_t kFewestGaps = 16;

std::map<std::uint64_t, QueuedFlow>&
MutableLane(ShardQueue& aQueue, QueueLane aLane)
{
  return aQueue.mLanes.at(static_cast<std::size_t>(aLane));
}

} // namespace

QueueLane
LaneOf(state::FlowClass aFlowClass)
{
  return aFlowClass == state::FlowClass::Long ? QueueLane::Long
                                              : QueueLane::Work;
}

state::FlowClass
ClassOf(QueueLane aLane)
{
  return aLane == QueueLane::Long ? state::FlowClass::Long
                                  : state::FlowClass::Work;
}

const std::map<std::uint64_t, QueuedFlow>&
Lane(const ShardQueue& aQueue, QueueLane aLane)
{
  return aQueue.mLanes.at(static_cast<std::size_t>(aLane));
}

bool
Enqueue(ShardQueue& aQueue, QueueLane aLane, const QueuedFlow& aFlow)
{
  const auto arrival = aQueue.mArrivals;
  if (!aQueue.mPositions
         .try_emplace(aFlow.mFlowId, QueuePosition{ aLane, arrival })
         .second) {
    return false;
  }
  ++aQueue.mArrivals;
  MutableLane(aQueue, aLane).emplace(arrival, aFlow);
  aQueue.mDeadlines.emplace(aFlow.mDeadline, aFlow.mFlowId);
  return true;
}

bool
RemoveQueued(ShardQueue& aQueue, std::uint64_t aFlow)
{
  const auto position = aQueue.mPositions.find(aFlow);
  if (position == aQueue.mPositions.end()) {
    return false;
  }
  auto& lane = MutableLane(aQueue, position->second.mLane);
  const auto entry = lane.find(position->second.mArrival);
  aQueue.mDeadlines.erase({ entry->second.mDeadline, aFlow });
  lane.erase(entry);
  aQueue.mPositions.erase(position);
  return true;
}

std::vector<std::uint64_t>
RemoveExpired(ShardQueue& aQueue, state::TimePoint aNow)
{
  std::vector<std::uint64_t> expired;
  while (!aQueue.mDeadlines.empty() &&
         aQueue.mDeadlines.begin()->first <= aNow) {
    expired.push_back(aQueue.mDeadlines.begin()->second);
    RemoveQueued(aQueue, expired.back());
  }
  return expired;
}

void
AddHoldingTime(MeanHoldingTime& aHolding, state::Duration aTime)
{
  const std::chrono::duration<double> seconds = aTime;
  ++aHolding.mSamples;
  const double weight =
    1 / std::min(static_cast<double>(aHolding.mSamples), kSamples);
  aHolding.mMean += weight * (std::max(0.0, seconds.count()) - aHolding.mMean);
}

void
RecordService(MeanServiceInterval& aGap, bool aEmpty, state::TimePoint aNow)
{
  if (aEmpty) {
    aGap = {};
    return;
  }
  if (aGap.mLast) {
    const std::chrono::duration<double> gap = aNow - *aGap.mLast;
    ++aGap.mSamples;
    aGap.mMean += (gap.count() - aGap.mMean) /
                  std::min(static_cast<double>(aGap.mSamples), kGapSamples);
  }
  aGap.mLast = aNow;
}

state::Duration
ExpectedWait(const MeanHoldingTime& aHolding,
             const MeanServiceInterval& aGap,
             std::size_t aAhead,
             std::uint32_t aSlots)
{
  const double gap = aGap.mSamples >= kFewestGaps
                       ? aGap.mMean
                       : aHolding.mMean / std::max(aSlots, 1U);
  const std::chrono::duration<double> wait{ gap *
                                            static_cast<double>(aAhead + 1) };
  return std::chrono::duration_cast<state::Duration>(wait);
}

} // namespace sassafrasknot::coordination
