#include "sassafrasknot/coordination/shard_queue.hpp"

#include <gtest/gtest.h>

namespace sassafrasknot::coordination {
namespace {

using namespace std::chrono_literals;

constexpr state::TimePoint kStart{ 1h };

// Guards against an expired flow that stays because an older one with a later
// deadline is ahead of it.
TEST(ShardQueue, RemovesExpiredFlowsWhereverTheyStand)
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
// have not ended and so are missing in the mean holding time; and against one
// that keeps the pace of a queue that was served long ago.
TEST(ShardQueue, ExpectedWaitFollowsThePaceOfTheQueue)
{
  MeanHoldingTime holding;
  MeanServiceInterval gap;
  EXPECT_EQ(ExpectedWait(holding, gap, 9, 10), 0s);
  AddHoldingTime(holding, 100ms);
  EXPECT_EQ(ExpectedWait(holding, gap, 9, 10), 100ms);
  for (int served = 0; served < 100; ++served) {
    RecordService(gap, false, kStart + served * 50ms);
  }
  EXPECT_NEAR(
    std::chrono::duration<double>(ExpectedWait(holding, gap, 9, 10)).count(),
    0.5,
    1e-6);
  RecordService(gap, true, kStart + 10s);
  EXPECT_EQ(ExpectedWait(holding, gap, 9, 10), 100ms);
}

} // namespace
} // namespace sassafrasknot::coordination
