#include "sassafrasknot/net/clock.hpp"

#include <ctime>

#include <gtest/gtest.h>

namespace sassafrasknot::net {
namespace {

state::TimePoint
TimeSinceBoot()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return state::TimePoint(std::chrono::seconds(time.tv_sec) +
                          std::chrono::nanoseconds(time.tv_nsec));
}

// Guards against an instance that takes what it knew before its machine was
// suspended for recent afterwards, and passes it on as such. Where a machine
// has never been suspended, the two clocks of the system do not differ.
TEST(Clock, IncludesTheTimeOfASuspendedMachine)
{
  const auto before = TimeSinceBoot();
  const auto now = Now();
  EXPECT_LE(before, now);
  EXPECT_LE(now, TimeSinceBoot());
}

} // namespace
} // namespace sassafrasknot::net
