#include <algorithm>
#include <set>

#include "disturbances.hpp"
#include "plan.hpp"
#include <gtest/gtest.h>

namespace soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLength{ 60000 };

// Guards against plans that depend on anything but the seed, so that a failed
// run could not be repeated.
TEST(Plan, IsTheSameForTheSameSeed)
{
  EXPECT_EQ(MakePlan(5, kLength), MakePlan(5, kLength));
  EXPECT_NE(MakePlan(5, kLength), MakePlan(7, kLength));
}

// Guards against kinds of faults that no plan contains, and against unplanned
// faults in the runs with planned work only, where they would excuse broken
// flows.
TEST(Plan, ContainsAllKindsAndPlannedWorkAlone)
{
  std::set<FaultKind> kinds;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto plan = MakePlan(seed, kLength);
    EXPECT_TRUE(std::ranges::is_sorted(plan, {}, &Fault::mStart));
    for (const auto& fault : plan) {
      kinds.insert(fault.mKind);
      EXPECT_TRUE(seed % 3 != 0 || IsPlanned(fault.mKind)) << seed;
    }
  }
  EXPECT_EQ(kinds.size(), kFaultKindCount);
}

// Guards against disturbances that excuse violations for ever, and against ones
// that end too early because a shorter fault follows a longer one.
TEST(Disturbances, LastUntilTheStableWindowHasPassed)
{
  Disturbances disturbances;
  const Clock::time_point start{ std::chrono::hours(1) };
  Disturb(disturbances, "instance-1", start + milliseconds(900));
  Disturb(disturbances, "instance-1", start + milliseconds(100));
  const auto end = start + milliseconds(900) + kStableWindow;
  EXPECT_FALSE(IsStable(disturbances, "instance-1", end));
  EXPECT_TRUE(IsStable(disturbances, "instance-1", end + milliseconds(1)));
  EXPECT_TRUE(IsStable(disturbances, "instance-2", start));
}

} // namespace
} // namespace soak
