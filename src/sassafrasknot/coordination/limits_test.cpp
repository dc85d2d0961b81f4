#include "sassafrasknot/coordination/retry_budget.hpp"
#include "sassafrasknot/coordination/token_bucket.hpp"
#include "sassafrasknot/coordination/upstream_health.hpp"

#include <gtest/gtest.h>

namespace sassafrasknot::coordination {
namespace {

using namespace std::chrono_literals;

constexpr state::TimePoint kStart{ 1h };

// Guards against a bucket that collects more than its burst while it is unused,
// and against a time before the last call that adds tokens.
TEST(TokenBucket, IsLimitedToItsBurstAndIgnoresEarlierTimes)
{
  auto bucket = MakeTokenBucket(10, 2, kStart);
  EXPECT_TRUE(TryConsume(bucket, 2, kStart));
  EXPECT_FALSE(TryConsume(bucket, 1, kStart - 1min));
  EXPECT_FALSE(TryConsume(bucket, 1, kStart + 99ms));
  EXPECT_TRUE(TryConsume(bucket, 1, kStart + 100ms));
  EXPECT_FALSE(TryConsume(bucket, 3, kStart + 1h));
  EXPECT_TRUE(TryConsume(bucket, 2, kStart + 1h));
}

// Guards against retries that multiply an overload in which each flow fails.
TEST(RetryBudget, AllowsTenPercentOfNewFlowsAndAMinimumRate)
{
  auto budget = MakeRetryBudget(kStart);
  int retries = 0;
  for (int flow = 0; flow < 1000; ++flow) {
    DepositRetry(budget);
    retries += TryConsumeRetry(budget, kStart) ? 1 : 0;
  }
  EXPECT_GE(retries, 100);
  EXPECT_LE(retries, 103);
  EXPECT_FALSE(TryConsumeRetry(budget, kStart));
  EXPECT_TRUE(TryConsumeRetry(budget, kStart + 2s));
}

// Guards against a balance that grows without limit while no flow fails and
// then allows too many retries at once.
TEST(RetryBudget, LimitsTheBalance)
{
  auto budget = MakeRetryBudget(kStart);
  for (int flow = 0; flow < 100000; ++flow) {
    DepositRetry(budget);
  }
  int retries = 0;
  while (TryConsumeRetry(budget, kStart)) {
    ++retries;
  }
  EXPECT_LE(retries, 53);
}

// Guards against the ejection of an upstream that sheds load by refusing a
// third of its flows: all of its load would move to the others.
TEST(UpstreamHealth, ToleratesLoadShedding)
{
  UpstreamHealth health;
  auto now = kStart;
  for (int round = 0; round < 1000; ++round) {
    now += 10ms;
    EXPECT_FALSE(RecordFailure(health, FailureKind::Refused, now));
    RecordSuccess(health, now);
    RecordSuccess(health, now);
  }
}

// Guards against treating an upstream as healthy that accepts each flow and
// then resets it, because each acceptance counts as a success.
TEST(UpstreamHealth, EjectsAfterResetsOfAcceptedFlows)
{
  UpstreamHealth health;
  bool ejected = false;
  for (int flow = 0; flow < 4; ++flow) {
    RecordSuccess(health, kStart);
    ejected = RecordFailure(health, FailureKind::Reset, kStart);
  }
  EXPECT_TRUE(ejected);
}

// Guards against an unresponsive upstream that is never ejected, because it has
// so little traffic that its failures decay before they add up.
TEST(UpstreamHealth, EjectsAnUnresponsiveUpstreamWithLittleTraffic)
{
  UpstreamHealth health;
  bool ejected = false;
  for (int flow = 0; flow < 5; ++flow) {
    ejected =
      RecordFailure(health, FailureKind::Unanswered, kStart + flow * 1min);
  }
  EXPECT_TRUE(ejected);
}

// Guards against trials of a failed upstream at a constant rate, and against a
// trial with more than one flow.
TEST(UpstreamHealth, DoublesEjectionsAndAllowsOneTrialFlow)
{
  UpstreamHealth health;
  auto now = kStart;
  Eject(health, now, true);
  for (const auto length : { 2s, 4s, 8s, 16s, 32s, 64s, 64s }) {
    EXPECT_FALSE(AdvanceHealth(health, now + length - 1ms));
    now += length;
    ASSERT_TRUE(AdvanceHealth(health, now));
    EXPECT_TRUE(Admits(health));
    RecordPlacement(health, now);
    EXPECT_FALSE(Admits(health));
    EXPECT_TRUE(RecordFailure(health, FailureKind::Refused, now));
    Eject(health, now, true);
  }
}

// Guards against an upstream that stays ejected for ever because its trial flow
// gave no result.
TEST(UpstreamHealth, AllowsAnotherTrialAfterOneWithoutResult)
{
  UpstreamHealth health;
  Eject(health, kStart, true);
  ASSERT_TRUE(AdvanceHealth(health, kStart + 2s));
  RecordPlacement(health, kStart + 2s);
  EXPECT_TRUE(AdvanceHealth(health, kStart + 7s));
  EXPECT_TRUE(Admits(health));
  RecordPlacement(health, kStart + 7s);
  EXPECT_TRUE(RecordSuccess(health, kStart + 7s));
  EXPECT_FALSE(CountsAsEjected(health));
}

} // namespace
} // namespace sassafrasknot::coordination
