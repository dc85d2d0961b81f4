#include "sassafrasknot/coordination/retry_budget.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// Floor, in retries per second, and its burst: enough to move the few flows
/// of a quiet shard, too few to matter to a busy one.
constexpr double kFloorRate = 1;
constexpr double kFloorBurst = 3;

} // namespace

RetryBudget
MakeRetryBudget(state::TimePoint aNow)
{
  RetryBudget budget;
  budget.mMinimumRetries = MakeTokenBucket(kFloorRate, kFloorBurst, aNow);
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
