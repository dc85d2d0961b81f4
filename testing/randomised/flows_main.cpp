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

constexpr auto kWarmUp = seconds{ 30 };
constexpr auto kBetweenFaults = seconds{ 5 };
constexpr auto kAfterFaults = seconds{ 70 };

/// A deployment's size.
struct Deployment
{
  std::string_view mName;
  std::size_t mDataCentres;
  std::size_t mInstances;
  std::size_t mUpstreams;
  double mArrivals;
};

/// 15 upstreams of each organisation today, and ten times as many.
constexpr Deployment kDeployments[] = {
  { "kandyan-chime", 4, 9, 15, 50 },
  { "krampon", 3, 9, 15, 50 },
  { "kandyan-chime-x10", 4, 9, 150, 100 },
  { "krampon-x10", 3, 9, 150, 100 },
};

/// Faults injected one after the other.
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
    { "partition", { CutDataCentre } },
  };
}

struct Outcome
{
  /// Flows that were open when the first fault came.
  std::uint64_t mOpen = 0;
  std::uint64_t mBroken = 0;
  std::uint64_t mUnsafe = 0;
};

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
  const auto before = world->mTally.mBroken + world->mTally.mHung;
  for (const auto fault : aScenario.mFaults) {
    fault(*world);
    run(kBetweenFaults);
  }
  run(kAfterFaults);
  const auto& tally = world->mTally;
  outcome.mBroken = tally.mBroken + tally.mHung - before;
  outcome.mUnsafe = tally.mMisrouted + tally.mRanTwice + tally.mNotRunButRan +
                    tally.mPlacedOnLeaving;
  return outcome;
}

void
PrintRow(const Deployment& aDeployment,
         const Scenario& aScenario,
         const Outcome& aSum,
         bool aJson)
{
  const double perMillion = aSum.mOpen == 0
                              ? 0
                              : 1e6 * static_cast<double>(aSum.mBroken) /
                                  static_cast<double>(aSum.mOpen);
  if (aJson) {
    std::cout << R"({"deployment":")" << aDeployment.mName
              << R"(","scenario":")" << aScenario.mName << R"(","open":)"
              << aSum.mOpen << R"(,"broken":)" << aSum.mBroken
              << R"(,"broken_per_million":)" << perMillion
              << R"(,"violations":)" << aSum.mUnsafe << "}";
    return;
  }
  std::cout << aDeployment.mName << ' ' << aScenario.mName << " open "
            << aSum.mOpen << " broken " << aSum.mBroken << " per-million "
            << perMillion << " violations " << aSum.mUnsafe << std::endl;
}

} // namespace

int
main(int aArgc, const char** aArgv)
{
  long long seed = 1;
  int runs = 10;
  int json = 0;
  const poptOption options[] = {
    { "seed", 's', POPT_ARG_LONGLONG, &seed, 0, "first seed", "N" },
    { "runs", 'r', POPT_ARG_INT, &runs, 0, "runs per scenario", "N" },
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
    // The larger deployments have ten times the flows in each run.
    const int count =
      deployment.mArrivals > 100 ? std::max(runs / 10, 1) : runs;
    for (const auto& scenario : Scenarios()) {
      Outcome sum;
      for (int run = 0; run < count; ++run) {
        const auto one = RunScenario(
          deployment, scenario, static_cast<std::uint64_t>(seed + run));
        sum.mOpen += one.mOpen;
        sum.mBroken += one.mBroken;
        sum.mUnsafe += one.mUnsafe;
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
