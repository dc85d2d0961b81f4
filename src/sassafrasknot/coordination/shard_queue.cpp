#include "sassafrasknot/coordination/shard_queue.hpp"

#include <algorithm>
#include <chrono>

namespace sassafrasknot::coordination {
namespace {

/// Samples that the mean holding time covers. With 100 samples, a single
/// straggler that runs 100 times as long as usual would double the expected
/// wait.
constexpr double kMaxHoldingSamples = 200;
/// Samples that the mean service interval covers.
constexpr double kMaxIntervalSamples = 64;
/// Samples from which on the mean service interval is used.
constexpr std::uint64_t kMinIntervalSamples = 16;

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
RemoveQueued(ShardQueue& aQueue, std::uint64_t aFlowId)
{
  const auto position = aQueue.mPositions.find(aFlowId);
  if (position == aQueue.mPositions.end()) {
    return false;
  }
  auto& lane = MutableLane(aQueue, position->second.mLane);
  const auto entry = lane.find(position->second.mArrival);
  aQueue.mDeadlines.erase({ entry->second.mDeadline, aFlowId });
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
    1 / std::min(static_cast<double>(aHolding.mSamples), kMaxHoldingSamples);
  aHolding.mMean += weight * (std::max(0.0, seconds.count()) - aHolding.mMean);
}

void
RecordService(MeanServiceInterval& aInterval,
              bool aLaneEmpty,
              state::TimePoint aNow)
{
  if (aLaneEmpty) {
    aInterval = {};
    return;
  }
  if (aInterval.mLast) {
    const std::chrono::duration<double> sample = aNow - *aInterval.mLast;
    ++aInterval.mSamples;
    aInterval.mMean +=
      (sample.count() - aInterval.mMean) /
      std::min(static_cast<double>(aInterval.mSamples), kMaxIntervalSamples);
  }
  aInterval.mLast = aNow;
}

state::Duration
ExpectedWait(const MeanHoldingTime& aHolding,
             const MeanServiceInterval& aInterval,
             std::size_t aAhead,
             std::uint32_t aSlots)
{
  const double interval = aInterval.mSamples >= kMinIntervalSamples
                            ? aInterval.mMean
                            : aHolding.mMean / std::max(aSlots, 1U);
  const std::chrono::duration<double> wait{ interval *
                                            static_cast<double>(aAhead + 1) };
  return std::chrono::duration_cast<state::Duration>(wait);
}

} // namespace sassafrasknot::coordination
