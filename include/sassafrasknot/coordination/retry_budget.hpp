#ifndef SASSAFRASKNOT_COORDINATION_RETRY_BUDGET_HPP
#define SASSAFRASKNOT_COORDINATION_RETRY_BUDGET_HPP

#include "sassafrasknot/coordination/token_bucket.hpp"
#include "sassafrasknot/state/time.hpp"

namespace sassafrasknot::coordination {

/// @brief Bounds repeated placements to a share of the new flows, so that
/// retries cannot multiply an overload. A floor lets quiet shards retry too.
struct RetryBudget
{
  /// Retries earned per new flow.
  double mRetryRatio = 0.1;
  /// Most retries saved up from new flows.
  double mMaxBalance = 50;
  /// Retries saved up from new flows.
  double mBalance = 0;
  /// Retries that need no new flow.
  TokenBucket mMinimumRetries;
};

/// @brief Makes a budget that has its floor only.
/// @param aNow the time
/// @return the budget
RetryBudget
MakeRetryBudget(state::TimePoint aNow);

/// @brief Counts a new flow. A retry is not one.
/// @param aBudget the budget
void
DepositRetry(RetryBudget& aBudget);

/// @brief Takes one retry if the budget has it.
/// @param aBudget the budget
/// @param aNow the time
/// @return true if the flow may be placed again
bool
TryConsumeRetry(RetryBudget& aBudget, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
