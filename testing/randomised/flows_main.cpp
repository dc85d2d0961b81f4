// Measures how many open flows break per million in planned changes and in
// faults, for deployments of several sizes.
#include <algorithm>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "world.hpp"
#include <popt.h>

namespace {

using randomised::World;
using std::chrono::seconds;

/// Time with new flows before the first fault.
constexpr auto kWarmUp = seconds{ 30 };
constexpr auto kFaultInterval = seconds{ 5 };
/// Time after the last fault, longer than the 60 s after which a flow without
/// progress counts as hung.
constexpr auto kRecoveryTime = seconds{ 70 };

/// Size of a deployment.
struct Deployment
{
  std::string_view mName;
  std::size_t mDataCentres;
  std::size_t mInstances;
  /// Upstreams of each organisation.
  std::size_t mUpstreams;
  /// New flows per second over all callers.
  double mArrivals;
};

/// The present deployments, and the same with ten times the upstreams and twice
/// the new flows.
constexpr Deployment kDeployments[] = {
  { "kandyan-chime", 4, 9, 15, 50 },
  { "krampon", 3, 9, 15, 50 },
  { "kandyan-chime-x10", 4, 9, 150, 100 },
  { "krampon-x10", 3, 9, 150, 100 },
};

/// Faults that are injected one after the other, kFaultInterval apart.
struct Scenario
{
  std::string_view mName;
  std::vector<void (*)(World&)> mFaults;
};

std::vector<Scenario>
Scenarios()
{
  using namespace randomised;
  return {
    { "planned-replacement", { ReplaceInstance } },
    { "planned-drain", { DrainUpstream } },
    { "planned-change-and-reversal", { AddUpstream, ReverseChange } },
    { "one-death", { KillInstance } },
    { "two-deaths", { KillInstance, KillInstance } },
    { "partition", { PartitionDataCentre } },
  };
}

/// Result of one run, or the sum of several.
struct Outcome
{
  /// Flows that were open when the first fault was injected.
  std::uint64_t mOpen = 0;
  /// Flows that broke or hung from then on.
  std::uint64_t mBroken = 0;
  /// Misrouted packets, requests run twice or wrongly reported as not run, and
  /// placements on leaving upstreams, over the whole run.
  std::uint64_t mViolations = 0;
};

/// Runs one scenario on a fresh world.
Outcome
RunScenario(const Deployment& aDeployment,
            const Scenario& aScenario,
            std::uint64_t aSeed)
{
  randomised::WorldOptions options;
  options.mSeed = aSeed;
  options.mDataCentres = aDeployment.mDataCentres;
  options.mInstances = aDeployment.mInstances;
  options.mUpstreamsPerOrganisation = aDeployment.mUpstreams;
  options.mArrivals = aDeployment.mArrivals;
  const auto world = randomised::MakeWorld(options);
  const auto run = [&](randomised::Duration aDuration) {
    randomised::RunWorld(*world, aDuration, UINT64_MAX);
  };
  run(seconds{ 2 });
  randomised::StartArrivals(*world);
  run(kWarmUp);
  Outcome outcome;
  outcome.mOpen = world->mCallers.size();
  const auto before = world->mTotals.mBroken + world->mTotals.mHung;
  for (const auto fault : aScenario.mFaults) {
    fault(*world);
    run(kFaultInterval);
  }
  run(kRecoveryTime);
  const auto& totals = world->mTotals;
  outcome.mBroken = totals.mBroken + totals.mHung - before;
  outcome.mViolations = totals.mMisrouted + totals.mRanTwice +
                        totals.mNotRunButRan + totals.mPlacedOnLeaving;
  return outcome;
}

/// Prints the result of one deployment and scenario.
void
PrintRow(const Deployment& aDeployment,
         const Scenario& aScenario,
         const Outcome& aOutcome,
         bool aJson)
{
  const double perMillion = aOutcome.mOpen == 0
                              ? 0
                              : 1e6 * static_cast<double>(aOutcome.mBroken) /
                                  static_cast<double>(aOutcome.mOpen);
  if (aJson) {
    std::cout << R"({"deployment":")" << aDeployment.mName
              << R"(","scenario":")" << aScenario.mName << R"(","open":)"
              << aOutcome.mOpen << R"(,"broken":)" << aOutcome.mBroken
              << R"(,"broken_per_million":)" << perMillion
              << R"(,"violations":)" << aOutcome.mViolations << "}";
    return;
  }
  std::cout << aDeployment.mName << ' ' << aScenario.mName << " open "
            << aOutcome.mOpen << " broken " << aOutcome.mBroken
            << " per-million " << perMillion << " violations "
            << aOutcome.mViolations << std::endl;
}

} // namespace

int
main(int aArgc, const char** aArgv)
{
  long long seed = 1;
  int runs = 10;
  int json = 0;
  const poptOption options[] = {
    { "seed", 's', POPT_ARG_LONGLONG, &seed, 0, "seed of the first run", "N" },
    { "runs", 'r', POPT_ARG_INT, &runs, 0, "runs of each scenario", "N" },
    { "json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("measure-flows", aArgc, aArgv, options, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed < -1) {
    std::cerr << poptStrerror(parsed) << '\n';
    return 2;
  }
  std::string_view separator = "[\n";
  for (const auto& deployment : kDeployments) {
    // A deployment with more than 100 new flows per second would have enough
    // flows in a tenth of the runs; kDeployments contains none.
    const int count =
      deployment.mArrivals > 100 ? std::max(runs / 10, 1) : runs;
    for (const auto& scenario : Scenarios()) {
      Outcome sum;
      for (int run = 0; run < count; ++run) {
        const auto result = RunScenario(
          deployment, scenario, static_cast<std::uint64_t>(seed + run));
        sum.mOpen += result.mOpen;
        sum.mBroken += result.mBroken;
        sum.mViolations += result.mViolations;
      }
      if (json != 0) {
        std::cout << separator;
        separator = ",\n";
      }
      PrintRow(deployment, scenario, sum, json != 0);
    }
  }
  if (json != 0) {
    std::cout << "\n]\n";
  }
  return 0;
}
