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
  budget.mFloor = MakeTokenBucket(kFloorRate, kFloorBurst, aNow);
  return budget;
}

void
EarnRetry(RetryBudget& aBudget)
{
  aBudget.mEarned = std::min(aBudget.mMost, aBudget.mEarned + aBudget.mShare);
}

bool
SpendRetry(RetryBudget& aBudget, state::TimePoint aNow)
{
  if (aBudget.mEarned >= 1) {
    aBudget.mEarned -= 1;
    return true;
  }
  return TakeTokens(aBudget.mFloor, 1, aNow);
}

} // namespace sassafrasknot::coordination
