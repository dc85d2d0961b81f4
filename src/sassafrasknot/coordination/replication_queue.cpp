#include "sassafrasknot/coordination/replication_queue.hpp"

namespace sassafrasknot::coordination {
namespace {

/// Share of the 5 KB/s of a node that copies may take.
constexpr double kCopyBytesPerSecond = 1500;
constexpr double kCopyBurstBytes = 6000;
/// An encoded record with its part of the message's headers.
constexpr double kCopyBytes = 28;
/// Most feeds that end early end within this time and need no copy.
constexpr auto kFeedCopyAge = std::chrono::seconds{ 2 };
/// A confirmation usually ends within this time and needs no copy.
constexpr auto kWorkCopyAge = std::chrono::milliseconds{ 200 };

bool
TakeOne(std::deque<PendingReplication>& aCopies,
        ReplicationQueue& aQueue,
        state::TimePoint aNow,
        const std::function<bool(const PendingReplication&)>& aIsCurrent,
        std::vector<PendingReplication>& aTaken)
{
  while (!aCopies.empty() && aCopies.front().mDue <= aNow) {
    const bool current =
      aCopies.front().mEnded.has_value() || aIsCurrent(aCopies.front());
    if (current && !TryConsume(aQueue.mBudget, kCopyBytes, aNow)) {
      return false;
    }
    if (current) {
      aTaken.push_back(aCopies.front());
    }
    aCopies.pop_front();
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
           MakeTokenBucket(kCopyBytesPerSecond, kCopyBurstBytes, aNow) };
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
      { aKey, aNow + kFeedCopyAge, std::nullopt, aShard });
    return;
  }
  aQueue.mWork.push_back({ aKey, aNow + kWorkCopyAge, std::nullopt, aShard });
}

void
QueueRemoval(ReplicationQueue& aQueue,
             const FlowRecord& aRecord,
             std::uint64_t aShard,
             state::TimePoint aNow)
{
  // Ends wait as long as copies of the same class, which keeps the queues in
  // order and gives copies of open flows the budget first.
  auto& copies =
    aRecord.mFlowClass == state::FlowClass::Feed ? aQueue.mFeeds : aQueue.mWork;
  const auto age = aRecord.mFlowClass == state::FlowClass::Feed
                     ? state::Duration{ kFeedCopyAge }
                     : state::Duration{ kWorkCopyAge };
  copies.push_back({ aRecord.mKey, aNow + age, aRecord, aShard });
}

std::vector<PendingReplication>
PopDueReplications(
  ReplicationQueue& aQueue,
  state::TimePoint aNow,
  const std::function<bool(const PendingReplication&)>& aIsCurrent)
{
  std::vector<PendingReplication> taken;
  while (TakeOne(aQueue.mWork, aQueue, aNow, aIsCurrent, taken)) {
  }
  while (TakeOne(aQueue.mFeeds, aQueue, aNow, aIsCurrent, taken)) {
  }
  return taken;
}

} // namespace sassafrasknot::coordination
