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

// Guards against a new kind that changes the plans of the others, so that seeds
// of earlier failures no longer repeat them. The faults are those of the plan
// before SilenceUpstreams and Evacuate were added.
TEST(Plan, KeepsTheFaultsOfEarlierKinds)
{
  auto plan = MakePlan(4, milliseconds(8000));
  std::erase_if(plan, [](const Fault& aFault) {
    return aFault.mKind > FaultKind::FreezeReader;
  });
  const auto fault =
    [](FaultKind aKind, int aStart, int aDuration, int aTarget) {
      return Fault{ aKind,
                    milliseconds(aStart),
                    milliseconds(aDuration),
                    static_cast<std::size_t>(aTarget) };
    };
  const std::vector<Fault> expected{
    fault(FaultKind::IsolateInstance, 2357, 3093, 62),
    fault(FaultKind::FreezeReader, 3535, 3500, 454),
    fault(FaultKind::Reload, 4001, 4254, 38),
    fault(FaultKind::StoreLosesHistory, 6271, 3472, 448),
    fault(FaultKind::Pause, 7686, 4591, 688),
  };
  EXPECT_EQ(plan, expected);
}

// Guards against other unplanned faults beside the selected kind, which would
// excuse its violations; against evacuations that overlap or end before they
// are checked; and against silences of the wrong length.
TEST(Plan, ContainsOnlyTheSelectedKindBesidePlannedWork)
{
  for (const auto kind : { FaultKind::SilenceUpstreams, FaultKind::Evacuate }) {
    EXPECT_EQ(FindSeparateKind(ToString(kind)), kind);
    const bool isEvacuate = kind == FaultKind::Evacuate;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      std::size_t count = 0;
      milliseconds end{ 0 };
      for (const auto& fault : MakePlan(seed, kLength, kind)) {
        if (fault.mKind != kind) {
          EXPECT_TRUE(IsPlanned(fault.mKind));
          continue;
        }
        ++count;
        EXPECT_TRUE(!isEvacuate || fault.mStart >= end) << seed;
        end = fault.mStart + fault.mDuration;
        EXPECT_GE(fault.mDuration, milliseconds(isEvacuate ? 8000 : 1000));
        EXPECT_LE(fault.mDuration, milliseconds(isEvacuate ? 10000 : 4500));
      }
      EXPECT_GE(count, 3U) << seed;
    }
  }
  EXPECT_EQ(FindSeparateKind("turn-readers-away"), FaultKind::TurnReadersAway);
  EXPECT_EQ(FindSeparateKind("kill"), std::nullopt);
}

// Guards against delays that are longer than the platform's bound of 400 ms or
// overlap, so that a late upstream would count as a failed one, and against
// plans in which no others are silent meanwhile.
TEST(Plan, DelaysSingleUpstreamsBesideSilentOnes)
{
  const auto kind = FindSeparateKind("delay-upstreams");
  ASSERT_EQ(kind, FaultKind::DelayUpstreams);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::size_t count = 0;
    std::size_t silences = 0;
    milliseconds end{ 0 };
    for (const auto& fault : MakePlan(seed, kLength, kind)) {
      if (fault.mKind != kind) {
        const bool isSilence = fault.mKind == FaultKind::SilenceUpstreams;
        EXPECT_TRUE(isSilence || IsPlanned(fault.mKind));
        silences += isSilence ? 1 : 0;
        continue;
      }
      ++count;
      EXPECT_GE(fault.mStart, end) << seed;
      end = fault.mStart + fault.mDuration;
      EXPECT_GE(fault.mDuration, milliseconds(50));
      EXPECT_LE(fault.mDuration, milliseconds(400));
    }
    EXPECT_GE(count, 70U) << seed;
    EXPECT_GE(silences, 8U) << seed;
  }
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
