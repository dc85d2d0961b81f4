#include "sassafrasknot/coordination/retry_budget.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// Minimum rate, in retries per second, and its burst: enough for the few flows
/// of a shard with little traffic, too few to add load to a busy one.
constexpr double kMinimumRate = 1;
constexpr double kMinimumBurst = 3;

} // namespace

RetryBudget
MakeRetryBudget(state::TimePoint aNow)
{
  RetryBudget budget;
  budget.mMinimumRetries = MakeTokenBucket(kMinimumRate, kMinimumBurst, aNow);
  return budget;
}

void
DepositRetry(RetryBudget& aBudget)
{
  aBudget.mBalance =
    std::min(aBudget.mMaxBalance, aBudget.mBalance + aBudget.mRetryRatio);
}

bool
TryConsumeRetry(RetryBudget& aBudget, state::TimePoint aNow)
{
  if (aBudget.mBalance >= 1) {
    aBudget.mBalance -= 1;
    return true;
  }
  return TryConsume(aBudget.mMinimumRetries, 1, aNow);
}

} // namespace sassafrasknot::coordination
