#include "sassafrasknot/flows/upstream_speed.hpp"

#include <cmath>
#include <random>

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

constexpr milliseconds kUsual{ 15 };

// Guards against speeds that depend on the requests that an upstream happened
// to receive: 3% take 7 times longer.
TEST(UpstreamSpeed, LongRequestsHardlyChangeTheSpeed)
{
  std::minstd_rand random(3);
  for (const double speed : { 0.6, 1.0, 1.6 }) {
    SpeedEstimate estimate;
    for (int index = 0; index < 300; ++index) {
      const double length = random() % 100 < 3 ? 7 : 1;
      RecordSpeed(
        estimate, kUsual, Work(kUsual) * length / speed, At(milliseconds(0)));
    }
    EXPECT_NEAR(Speed(estimate, At(milliseconds(0))), speed, speed * 0.2);
  }
}

// Guards against a black hole: an upstream that fails requests within 1 ms must
// not look fast.
TEST(UpstreamSpeed, AnswersMuchEarlierThanUsualAreNoEvidence)
{
  SpeedEstimate estimate;
  for (int index = 0; index < 300; ++index) {
    EXPECT_FALSE(
      RecordSpeed(estimate, kUsual, milliseconds(1), At(milliseconds(0))));
  }
  EXPECT_EQ(Speed(estimate, At(milliseconds(0))), 1);
}

// Guards against an upstream that is kept idle, or overloaded, because of a
// speed that it had minutes ago.
TEST(UpstreamSpeed, OldEstimatesExpire)
{
  SpeedEstimate estimate;
  for (int index = 0; index < 50; ++index) {
    RecordSpeed(estimate, kUsual, milliseconds(60), At(milliseconds(0)));
  }
  EXPECT_LT(Speed(estimate, At(milliseconds(0))), 0.35);
  EXPECT_GT(Speed(estimate, At(std::chrono::minutes(3))), 0.9);
}

// Guards against an upstream that becomes 4.5 times slower for seconds and is
// noticed only afterwards.
TEST(UpstreamSpeed, ASlowUpstreamIsNoticedWithinAFewRequests)
{
  SpeedEstimate estimate;
  for (int index = 0; index < 48; ++index) {
    RecordSpeed(estimate, kUsual, kUsual, At(milliseconds(0)));
  }
  for (int index = 0; index < 24; ++index) {
    RecordSpeed(estimate, kUsual, milliseconds(68), At(milliseconds(0)));
  }
  EXPECT_LT(Speed(estimate, At(milliseconds(0))), 0.75);
}

// Guards against reports that outweigh own samples, and against a weak own
// estimate that ignores what other instances know: they count as 6 samples.
TEST(UpstreamSpeed, ReportsOfOthersAreThePriorOfOwnSamples)
{
  SharedSpeed shared;
  AddSpeedReport(shared, std::log(0.4));
  AddSpeedReport(shared, std::log(0.9));
  SpeedEstimate estimate;
  SetSharedSpeed(estimate, shared);
  EXPECT_EQ(estimate.mShared.mReporters, 2U);
  EXPECT_NEAR(Speed(estimate, At(milliseconds(0))), 0.6, 1e-9);
  for (int index = 0; index < 6; ++index) {
    RecordSpeed(estimate, kUsual, Work(kUsual) / 1.5, At(milliseconds(0)));
  }
  EXPECT_NEAR(Speed(estimate, At(milliseconds(0))), std::sqrt(0.6 * 1.5), 1e-9);
  EXPECT_NEAR(OwnSpeed(estimate, At(milliseconds(0))), std::sqrt(1.5), 1e-9);
  SetSharedSpeed(estimate, {});
  EXPECT_EQ(Speed(estimate, At(milliseconds(0))),
            OwnSpeed(estimate, At(milliseconds(0))));
}

// Guards against reports of weak or old estimates, and against reports that
// repeat those of others, so that they would be counted twice.
TEST(UpstreamSpeed, OnlyRecentOwnEstimatesAreReported)
{
  SpeedEstimate estimate;
  SetSharedSpeed(estimate, { std::log(3.0), 8 });
  for (int index = 0; index < 6; ++index) {
    EXPECT_EQ(ReportedSpeedPercent(estimate, At(milliseconds(0))), 0U);
    RecordSpeed(estimate, kUsual, Work(kUsual) * 2, At(milliseconds(0)));
  }
  EXPECT_EQ(ReportedSpeedPercent(estimate, At(milliseconds(10000))), 50U);
  EXPECT_EQ(ReportedSpeedPercent(estimate, At(milliseconds(10001))), 0U);
}

// Guards against defective reports that make an upstream look idle or useless.
TEST(UpstreamSpeed, ReportsOutOfRangeAreRejected)
{
  EXPECT_FALSE(LogOfReportedSpeed(kMinSpeedPercent - 1));
  EXPECT_FALSE(LogOfReportedSpeed(kMaxSpeedPercent + 1));
  EXPECT_NEAR(LogOfReportedSpeed(kMinSpeedPercent).value(), -1.6, 0.01);
  EXPECT_NEAR(LogOfReportedSpeed(kMaxSpeedPercent).value(), 1.6, 0.01);
}

} // namespace
} // namespace sassafrasknot::flows
