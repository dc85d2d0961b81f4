#include "sassafrasknot/transport/backoff.hpp"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::transport {
namespace {

using namespace std::chrono_literals;

// Guards against an overflow of the ceiling, which doubles with each failure,
// after a long outage, and against delays outside the documented range.
RC_GTEST_PROP(Backoff,
              StaysBelowItsCeiling,
              (std::uint32_t aFailures, std::uint64_t aSeed))
{
  std::mt19937_64 random(aSeed);
  const auto delay = BackoffDelay(aFailures, 100ms, 30s, random);
  const auto ceiling = aFailures == 0   ? state::Duration{}
                       : aFailures > 12 ? state::Duration(30s)
                                        : 100ms * (1LL << (aFailures - 1));
  RC_ASSERT(delay >= state::Duration{});
  RC_ASSERT(delay <= std::min<state::Duration>(ceiling, 30s));
}

// Guards against delays that cluster, so that clients retry at the same time:
// about half of the delays must lie in the lower half of the range.
TEST(Backoff, SpreadsOverTheWholeRange)
{
  std::mt19937_64 random(7);
  int inLowerHalf = 0;
  for (int round = 0; round < 1000; ++round) {
    inLowerHalf += BackoffDelay(20, 100ms, 30s, random) < 15s ? 1 : 0;
  }
  EXPECT_NEAR(inLowerHalf, 500, 60);
}

} // namespace
} // namespace sassafrasknot::transport
