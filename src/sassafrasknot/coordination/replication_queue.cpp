#include "sassafrasknot/coordination/replication_queue.hpp"

namespace sassafrasknot::coordination {
namespace {

/// Part of the control budget of an instance (5 KB/s) that replication may use.
constexpr double kReplicationBytesPerSecond = 1500;
constexpr double kReplicationBurstBytes = 6000;
/// Size of an encoded record with its part of the message's headers, in bytes.
constexpr double kBytesPerRecord = 28;
/// Most short-lived feeds end within this time and are not replicated.
constexpr auto kFeedReplicationDelay = std::chrono::seconds{ 2 };
/// Short work (a confirmation) usually ends within this time and is not
/// replicated.
constexpr auto kWorkReplicationDelay = std::chrono::milliseconds{ 200 };

/// Moves the next due record of aPending that is still needed to aPopped, if
/// the budget allows it.
/// @return true if one was moved
bool
PopOne(std::deque<PendingReplication>& aPending,
       ReplicationQueue& aQueue,
       state::TimePoint aNow,
       const std::function<bool(const PendingReplication&)>& aIsCurrent,
       std::vector<PendingReplication>& aPopped)
{
  while (!aPending.empty() && aPending.front().mDue <= aNow) {
    const bool current =
      aPending.front().mEnded.has_value() || aIsCurrent(aPending.front());
    if (current && !TryConsume(aQueue.mBudget, kBytesPerRecord, aNow)) {
      return false;
    }
    if (current) {
      aPopped.push_back(aPending.front());
    }
    aPending.pop_front();
    if (current) {
      return true;
    }
  }
  return false;
}

} // namespace

ReplicationQueue
MakeReplicationQueue(state::TimePoint aNow)
{
  return { {},
           {},
           MakeTokenBucket(
             kReplicationBytesPerSecond, kReplicationBurstBytes, aNow) };
}

void
QueueReplication(ReplicationQueue& aQueue,
                 const state::FlowKey& aKey,
                 std::uint64_t aShard,
                 state::FlowClass aFlowClass,
                 state::TimePoint aNow)
{
  if (aFlowClass == state::FlowClass::Feed) {
    aQueue.mFeeds.push_back(
      { aKey, aNow + kFeedReplicationDelay, std::nullopt, aShard });
    return;
  }
  aQueue.mWork.push_back(
    { aKey, aNow + kWorkReplicationDelay, std::nullopt, aShard });
}

void
QueueRemoval(ReplicationQueue& aQueue,
             const FlowRecord& aRecord,
             std::uint64_t aShard,
             state::TimePoint aNow)
{
  // Removals wait as long as records of the same class. This keeps each queue
  // in order of due times and gives the budget to records queued earlier first.
  auto& pending =
    aRecord.mFlowClass == state::FlowClass::Feed ? aQueue.mFeeds : aQueue.mWork;
  const auto delay = aRecord.mFlowClass == state::FlowClass::Feed
                       ? state::Duration{ kFeedReplicationDelay }
                       : state::Duration{ kWorkReplicationDelay };
  pending.push_back({ aRecord.mKey, aNow + delay, aRecord, aShard });
}

std::vector<PendingReplication>
PopDueReplications(
  ReplicationQueue& aQueue,
  state::TimePoint aNow,
  const std::function<bool(const PendingReplication&)>& aIsCurrent)
{
  std::vector<PendingReplication> popped;
  while (PopOne(aQueue.mWork, aQueue, aNow, aIsCurrent, popped)) {
  }
  while (PopOne(aQueue.mFeeds, aQueue, aNow, aIsCurrent, popped)) {
  }
  return popped;
}

} // namespace sassafrasknot::coordination
