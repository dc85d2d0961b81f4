#ifndef SASSAFRASKNOT_COORDINATION_TOKEN_BUCKET_HPP
#define SASSAFRASKNOT_COORDINATION_TOKEN_BUCKET_HPP

#include "sassafrasknot/state/time.hpp"

namespace sassafrasknot::coordination {

/// @brief Limits a rate: tokens are added at a constant rate, up to a maximum.
struct TokenBucket
{
  /// Tokens per second.
  double mRate = 0;
  /// Maximum number of tokens in the bucket.
  double mBurst = 0;
  /// Tokens at mUpdated.
  double mTokens = 0;
  state::TimePoint mUpdated;
};

/// @brief Makes a full bucket.
/// @param aRate tokens per second
/// @param aBurst maximum number of tokens in the bucket
/// @param aNow current time on the steady clock
/// @return bucket with aBurst tokens
TokenBucket
MakeTokenBucket(double aRate, double aBurst, state::TimePoint aNow);

/// @brief Takes tokens if the bucket has all of them, after adding those due
/// since the last call. A time before that call adds none.
/// @param aBucket bucket to take from
/// @param aTokens number of tokens to take
/// @param aNow current time on the steady clock
/// @return true if the tokens were taken; otherwise none was taken
bool
TryConsume(TokenBucket& aBucket, double aTokens, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
