#ifndef SASSAFRASKNOT_COORDINATION_RETRY_BUDGET_HPP
#define SASSAFRASKNOT_COORDINATION_RETRY_BUDGET_HPP

#include "sassafrasknot/coordination/token_bucket.hpp"
#include "sassafrasknot/state/time.hpp"

namespace sassafrasknot::coordination {

/// @brief Limits retries, that is repeated placements of flows whose opening
/// failed, to a ratio of the new flows, so that retries cannot multiply an
/// overload. A minimum rate lets shards with few new flows retry too.
struct RetryBudget
{
  /// Retries added to the balance per new flow.
  double mRetryRatio = 0.1;
  /// Upper limit of the balance.
  double mMaxBalance = 50;
  /// Retries that new flows have added and that are not used yet.
  double mBalance = 0;
  /// Minimum rate of retries, available without new flows.
  TokenBucket mMinimumRetries;
};

/// @brief Makes a budget with an empty balance; only the minimum rate applies.
/// @param aNow current time on the steady clock
/// @return budget to which DepositRetry adds
RetryBudget
MakeRetryBudget(state::TimePoint aNow);

/// @brief Adds mRetryRatio to the balance for a new flow. Not to be called for
/// retries.
/// @param aBudget budget of the shard
void
DepositRetry(RetryBudget& aBudget);

/// @brief Takes one retry, from the balance or else from the minimum rate.
/// @param aBudget budget of the shard
/// @param aNow current time on the steady clock
/// @return true if the flow may be placed again; false if the budget is used up
bool
TryConsumeRetry(RetryBudget& aBudget, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
