#include "sassafrasknot/flows/work_model.hpp"

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

const state::Endpoint kRoute{ kServiceAddress, kRequestPort };
constexpr state::Ipv4Address kCaller{ 0x64400007 };

void
Record(WorkModel& aModel,
       milliseconds aWork,
       int aCount,
       state::Ipv4Address aCaller = kCaller,
       milliseconds aTime = milliseconds(0))
{
  for (int index = 0; index < aCount; ++index) {
    RecordWork(aModel, { kRoute, "scheduling", aCaller, aWork }, At(aTime));
  }
}

// Guards against decisions on one or two samples after a start.
TEST(WorkModel, FewSamplesGiveNoEstimate)
{
  WorkModel model;
  Record(model, milliseconds(20), 15);
  EXPECT_EQ(FindRouteWork(model, kRoute, At(milliseconds(0))), nullptr);
  EXPECT_FALSE(MeanWork(model, "scheduling", At(milliseconds(0))));
  Record(model, milliseconds(20), 1);
  ASSERT_NE(FindRouteWork(model, kRoute, At(milliseconds(0))), nullptr);
  EXPECT_NEAR(
    MeanWork(model, "scheduling", At(milliseconds(0)))->count(), 0.02, 1e-6);
}

// Guards against estimates from before a long time without requests.
TEST(WorkModel, EstimatesExpire)
{
  WorkModel model;
  Record(model, milliseconds(20), 100);
  const auto later = At(std::chrono::minutes(3));
  EXPECT_EQ(FindRouteWork(model, kRoute, later), nullptr);
  EXPECT_FALSE(MeanWork(model, "scheduling", later));
}

// Guards against new flows at an upstream whose slot is taken by one of the 3%
// of requests that take 7 times longer.
TEST(WorkModel, RemainingWorkGrowsWithTimeInLongTails)
{
  WorkModel model;
  for (int index = 0; index < 5; ++index) {
    Record(model, milliseconds(15), 97);
    Record(model, milliseconds(105), 3);
  }
  const auto* route = FindRouteWork(model, kRoute, At(milliseconds(0)));
  ASSERT_NE(route, nullptr);
  const auto fresh = ExpectedRemainingWork(*route, Work(0));
  EXPECT_NEAR(fresh.count(), 0.0177, 0.002);
  const auto old = ExpectedRemainingWork(*route, milliseconds(30));
  EXPECT_GT(old, 3 * fresh);
  EXPECT_LT(old, milliseconds(90));
}

// Guards against a caller of expensive requests that counts like all others,
// and against memory that grows with the number of callers.
TEST(WorkModel, CallersDifferFromTheirRoute)
{
  WorkModel model;
  constexpr state::Ipv4Address kHeavyCaller{ 0x64400008 };
  for (int index = 0; index < 20; ++index) {
    Record(model, milliseconds(10), 10);
    Record(model, milliseconds(40), 1, kHeavyCaller);
  }
  const auto now = At(milliseconds(0));
  EXPECT_GT(CallerFactor(model, kRoute, kHeavyCaller, now), 2);
  EXPECT_LT(CallerFactor(model, kRoute, kCaller, now), 1.1);
  EXPECT_EQ(CallerFactor(model, kRoute, { 1 }, now), 1);
  for (std::uint32_t caller = 0; caller < 5000; ++caller) {
    Record(model, milliseconds(10), 1, { caller });
  }
  EXPECT_EQ(model.mCallers.size(), kCallerEstimates);
}

} // namespace
} // namespace sassafrasknot::flows
