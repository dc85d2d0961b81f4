#include "sassafrasknot/transport/backoff.hpp"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::transport {
namespace {

using namespace std::chrono_literals;

// Guards against an overflow of the ceiling after a long outage, and against
// waits that are longer than the documented bound.
RC_GTEST_PROP(BackOff,
              StaysBelowItsCeiling,
              (std::uint32_t aFailures, std::uint64_t aSeed))
{
  std::mt19937_64 random(aSeed);
  const auto wait = BackoffDelay(aFailures, 100ms, 30s, random);
  const auto ceiling = aFailures == 0   ? state::Duration{}
                       : aFailures > 12 ? state::Duration(30s)
                                        : 100ms * (1LL << (aFailures - 1));
  RC_ASSERT(wait >= state::Duration{});
  RC_ASSERT(wait <= std::min<state::Duration>(ceiling, 30s));
}

// Guards against waits that all callers share: half of them must lie in the
// lower half of the range.
TEST(BackOff, SpreadsOverTheWholeRange)
{
  std::mt19937_64 random(7);
  int low = 0;
  for (int round = 0; round < 1000; ++round) {
    low += BackoffDelay(20, 100ms, 30s, random) < 15s ? 1 : 0;
  }
  EXPECT_NEAR(low, 500, 60);
}

} // namespace
} // namespace sassafrasknot::transport
