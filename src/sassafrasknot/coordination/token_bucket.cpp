#include "sassafrasknot/coordination/token_bucket.hpp"

#include <algorithm>
#include <chrono>

namespace sassafrasknot::coordination {

TokenBucket
MakeTokenBucket(double aRate, double aBurst, state::TimePoint aNow)
{
  return { aRate, aBurst, aBurst, aNow };
}

bool
TryConsume(TokenBucket& aBucket, double aTokens, state::TimePoint aNow)
{
  if (aNow > aBucket.mUpdated) {
    const std::chrono::duration<double> elapsed = aNow - aBucket.mUpdated;
    aBucket.mTokens = std::min(
      aBucket.mBurst, aBucket.mTokens + aBucket.mRate * elapsed.count());
    aBucket.mUpdated = aNow;
  }
  if (aBucket.mTokens < aTokens) {
    return false;
  }
  aBucket.mTokens -= aTokens;
  return true;
}

} // namespace sassafrasknot::coordination
