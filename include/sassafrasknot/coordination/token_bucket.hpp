#ifndef SASSAFRASKNOT_COORDINATION_TOKEN_BUCKET_HPP
#define SASSAFRASKNOT_COORDINATION_TOKEN_BUCKET_HPP

#include "sassafrasknot/state/time.hpp"

namespace sassafrasknot::coordination {

/// @brief Limits a rate: tokens flow in steadily up to a burst.
struct TokenBucket
{
  /// Tokens per second.
  double mRate = 0;
  /// Most tokens that it holds.
  double mBurst = 0;
  /// Tokens at mUpdated.
  double mTokens = 0;
  state::TimePoint mUpdated;
};

/// @brief Makes a full bucket.
/// @param aRate tokens per second
/// @param aBurst most tokens that it holds
/// @param aNow the time
/// @return the bucket
TokenBucket
MakeTokenBucket(double aRate, double aBurst, state::TimePoint aNow);

/// @brief Takes tokens if all of them are there. A time before the last call's
/// adds nothing.
/// @param aBucket the bucket
/// @param aTokens how many
/// @param aNow the time
/// @return true if they were taken
bool
TryConsume(TokenBucket& aBucket, double aTokens, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
