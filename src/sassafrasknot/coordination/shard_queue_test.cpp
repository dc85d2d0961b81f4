#include "sassafrasknot/coordination/shard_queue.hpp"

#include <gtest/gtest.h>

namespace sassafrasknot::coordination {
namespace {

using namespace std::chrono_literals;

constexpr state::TimePoint kStart{ 1h };

// Guards against an expired flow that stays queued because a flow with a later
// deadline is ahead of it.
TEST(ShardQueue, RemovesExpiredFlowsAtAnyPosition)
{
  ShardQueue queue;
  Enqueue(queue, QueueLane::Work, { 1, {}, {}, kStart + 3s });
  Enqueue(queue, QueueLane::Work, { 2, {}, {}, kStart + 2s });
  Enqueue(queue, QueueLane::Long, { 3, {}, {}, kStart + 1s });
  EXPECT_FALSE(Enqueue(queue, QueueLane::Long, { 2, {}, {}, kStart + 9s }));
  EXPECT_EQ(RemoveExpired(queue, kStart + 2s),
            (std::vector<std::uint64_t>{ 3, 2 }));
  EXPECT_TRUE(RemoveQueued(queue, 1));
  EXPECT_FALSE(RemoveQueued(queue, 1));
  EXPECT_TRUE(queue.mDeadlines.empty());
}

// Guards against an expected wait that ignores slots held by stragglers, which
// have not ended and so are missing from the mean holding time; and against one
// that uses the service intervals of a queue that has been empty since.
TEST(ShardQueue, ExpectedWaitFollowsTheServiceIntervals)
{
  MeanHoldingTime holding;
  MeanServiceInterval interval;
  EXPECT_EQ(ExpectedWait(holding, interval, 9, 10), 0s);
  AddHoldingTime(holding, 100ms);
  EXPECT_EQ(ExpectedWait(holding, interval, 9, 10), 100ms);
  for (int service = 0; service < 100; ++service) {
    RecordService(interval, false, kStart + service * 50ms);
  }
  EXPECT_NEAR(
    std::chrono::duration<double>(ExpectedWait(holding, interval, 9, 10))
      .count(),
    0.5,
    1e-6);
  RecordService(interval, true, kStart + 10s);
  EXPECT_EQ(ExpectedWait(holding, interval, 9, 10), 100ms);
}

} // namespace
} // namespace sassafrasknot::coordination
