#include <cstdio>
#include <string>

#include "placement_simulation_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

constexpr std::uint32_t kSeeds = 3;
constexpr OfferedLoad kSteady{ "steady 0.8", 0.8 };
constexpr OfferedLoad kPeriodic{ "periodic 0.55 +- 0.30", 0.55, 0.55 };
constexpr OfferedLoad kBursts{ "bursts 0.5 x 3", 0.5, 0, 3 };

constexpr std::array kNames{ "least active",
                             "peak EWMA",
                             "remaining work",
                             "two choices",
                             "ideal" };

/// Returns the mean results of some seeds, and prints them.
SimulationResult
SimulateSeeds(Policy aPolicy, SimulationSettings aSettings)
{
  SimulationResult sum;
  for (aSettings.mSeed = 1; aSettings.mSeed <= kSeeds; ++aSettings.mSeed) {
    const auto result = Simulate(aPolicy, aSettings);
    sum.mMean += result.mMean / kSeeds;
    sum.mP99 += result.mP99 / kSeeds;
    sum.mLate += result.mLate / kSeeds;
    sum.mFirstShare += result.mFirstShare / kSeeds;
  }
  constexpr double kMilliseconds = 1e3;
  std::printf("%-22s %2zu instances %-14s mean %6.1f ms, p99 %6.1f ms, late "
              "%.4f, first %.3f\n",
              aSettings.mLoad.mName,
              aSettings.mInstances,
              kNames[static_cast<std::size_t>(aPolicy)],
              sum.mMean.count() * kMilliseconds,
              sum.mP99.count() * kMilliseconds,
              sum.mLate,
              sum.mFirstShare);
  return sum;
}

/// Loads and sizes that are compared.
class PlacementComparison : public testing::TestWithParam<SimulationSettings>
{};

// Guards against placement that takes all requests and upstreams for equal: the
// 99th percentile must be 0.7 of that by active requests or better.
TEST_P(PlacementComparison, BetterThanLeastActive)
{
  const auto least = SimulateSeeds(Policy::LeastActive, GetParam());
  const auto remaining = SimulateSeeds(Policy::RemainingWork, GetParam());
  EXPECT_LE(remaining.mP99, 0.7 * least.mP99);
  EXPECT_LE(remaining.mMean, least.mMean);
}

// Guards against the simpler policies being better: a recent peak of latency,
// and two random choices, which was expected to avoid herding on old loads.
TEST_P(PlacementComparison, BetterThanAlternatives)
{
  const auto remaining = SimulateSeeds(Policy::RemainingWork, GetParam());
  EXPECT_LT(remaining.mP99, SimulateSeeds(Policy::PeakEwma, GetParam()).mP99);
  EXPECT_LT(remaining.mP99, SimulateSeeds(Policy::TwoChoices, GetParam()).mP99);
}

INSTANTIATE_TEST_SUITE_P(
  Loads,
  PlacementComparison,
  testing::Values(SimulationSettings{ kSteady },
                  SimulationSettings{ kSteady, 8, 24 },
                  SimulationSettings{ kPeriodic },
                  SimulationSettings{ kPeriodic, 8, 24 }));

// Guards against bursts above capacity that last longer with estimates, since
// the load is then known least.
TEST(PlacementBursts, NoWorseThanLeastActive)
{
  for (const auto& settings : { SimulationSettings{ kBursts },
                                SimulationSettings{ kBursts, 8, 24 } }) {
    const auto least = SimulateSeeds(Policy::LeastActive, settings);
    const auto remaining = SimulateSeeds(Policy::RemainingWork, settings);
    SimulateSeeds(Policy::PeakEwma, settings);
    SimulateSeeds(Policy::TwoChoices, settings);
    SimulateSeeds(Policy::Ideal, settings);
    EXPECT_LE(remaining.mP99, 0.8 * least.mP99);
  }
}

// Guards against time in the system far above what full knowledge allows.
TEST(PlacementBound, PeriodicLoadCloseToIdeal)
{
  for (const auto& settings : { SimulationSettings{ kPeriodic },
                                SimulationSettings{ kPeriodic, 8, 24 } }) {
    EXPECT_LE(SimulateSeeds(Policy::RemainingWork, settings).mP99,
              1.3 * SimulateSeeds(Policy::Ideal, settings).mP99);
  }
}

// The same at a constant utilisation of 0.8.
TEST(PlacementBound, SteadyLoadCloseToIdeal)
{
  for (const auto& settings : { SimulationSettings{ kSteady },
                                SimulationSettings{ kSteady, 8, 24 } }) {
    EXPECT_LE(SimulateSeeds(Policy::RemainingWork, settings).mP99,
              1.3 * SimulateSeeds(Policy::Ideal, settings).mP99);
  }
}

// Guards against speeds of all upstreams that fall or rise together over time,
// because instances take over each other's scale: those without estimates have
// speed 1. The geometric mean of the true speeds is 0.99.
TEST(PlacementSharing, KeepsTheScaleOfSpeeds)
{
  SimulationSettings settings{ kSteady };
  settings.mDuration = Seconds(600);
  const auto speed = Simulate(Policy::RemainingWork, settings).mMeanSpeed;
  EXPECT_GT(speed, 0.75);
  EXPECT_LT(speed, 1.3);
}

// Guards against a black hole: the first upstream, which is slow, answers 0.8
// of its requests after 1 ms without running them.
TEST(PlacementComparisonFailing, NoMoreThanTheMeanShare)
{
  const SimulationSettings settings{
    { "failing upstream, 0.5", 0.5 }, 4, 12, 1, 0.8
  };
  SimulateSeeds(Policy::LeastActive, settings);
  EXPECT_LT(SimulateSeeds(Policy::RemainingWork, settings).mFirstShare,
            1.0 / 12);
}

} // namespace
} // namespace sassafrasknot::flows
