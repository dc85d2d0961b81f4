#include "sassafrasknot/coordination/invariant_policy.hpp"

#include <algorithm>
#include <iostream>
#include <string>

#include "world.hpp"
#include <popt.h>

namespace {

using randomised::World;

constexpr auto kFaultInterval = std::chrono::seconds{ 6 };

struct Fault
{
  void (*mRun)(World&);
  bool mPlanned;
};

constexpr Fault kFaults[] = {
  { randomised::ReplaceInstance, true }, { randomised::DrainUpstream, true },
  { randomised::AddUpstream, true },     { randomised::ReverseChange, true },
  { randomised::KillInstance, false },   { randomised::PauseInstance, false },
  { randomised::CutDataCentre, false },  { randomised::SilenceFlow, false },
  { randomised::ShedUpstream, false },   { randomised::KillUpstream, false },
};

/// Injects a fault, and sometimes a second one at the same moment.
void
InjectFaults(World& aWorld, bool aPlannedOnly)
{
  const std::size_t count = randomised::Uniform(aWorld) < 0.3 ? 2 : 1;
  for (std::size_t index = 0; index < count; ++index) {
    const std::size_t kinds = aPlannedOnly ? 4 : std::size(kFaults);
    kFaults[randomised::Pick(aWorld, kinds)].mRun(aWorld);
  }
  randomised::Schedule(aWorld, kFaultInterval, [&aWorld, aPlannedOnly] {
    InjectFaults(aWorld, aPlannedOnly);
  });
}

void
Print(const World& aWorld, bool aCounters)
{
  const auto& tally = aWorld.mTally;
  std::cout << "steps " << tally.mSteps << "\nopened " << tally.mOpened
            << "\nestablished " << tally.mEstablished << "\ncompleted "
            << tally.mCompleted << "\nrefused-not-run " << tally.mRefusedNotRun
            << "\nopening-timeouts " << tally.mOpeningTimeouts << "\nbroken "
            << tally.mBroken << "\nhung " << tally.mHung << "\nended-silenced "
            << tally.mBrokenSilenced << "\nmisrouted " << tally.mMisrouted
            << "\nran-twice " << tally.mRanTwice << "\nnot-run-but-ran "
            << tally.mNotRunButRan << "\nplaced-on-leaving "
            << tally.mPlacedOnLeaving << '\n';
  for (std::size_t index = 0;
       index < std::min<std::size_t>(aWorld.mBrokenFlows.size(), 10);
       ++index) {
    std::cout << "broken-flow " << aWorld.mBrokenFlows[index] << '\n';
  }
  for (const auto& [name, count] : tally.mFaults) {
    std::cout << "fault " << name << ' ' << count << '\n';
  }
  if (aCounters) {
    for (const auto& [name, value] : aWorld.mCounters.mValues) {
      std::cout << "counter " << name << ' ' << value << '\n';
    }
  }
}

} // namespace

int
main(int aArgc, const char** aArgv)
{
  long long seed = 1;
  long long steps = 20000;
  int planned = 0;
  int counters = 0;
  double loss = 0;
  long long traced = 0;
  const poptOption options[] = {
    { "seed", 's', POPT_ARG_LONGLONG, &seed, 0, "seed of the run", "N" },
    { "steps", 'n', POPT_ARG_LONGLONG, &steps, 0, "packets and messages", "M" },
    { "planned",
      'p',
      POPT_ARG_NONE,
      &planned,
      0,
      "planned changes only",
      nullptr },
    { "counters", 'c', POPT_ARG_NONE, &counters, 0, "print counters", nullptr },
    { "trace", 't', POPT_ARG_LONGLONG, &traced, 0, "print one flow", "FLOW" },
    { "loss", 'l', POPT_ARG_DOUBLE, &loss, 0, "part of packets lost", "0..1" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext("randomised", aArgc, aArgv, options, 0);
  const int parsed = poptGetNextOpt(context);
  if (parsed < -1) {
    std::cerr << poptStrerror(parsed) << '\n';
    return 2;
  }
  poptFreeContext(context);
  sassafrasknot::coordination::MakeInvariantsFatal(true);
  randomised::WorldOptions worldOptions;
  worldOptions.mSeed = static_cast<std::uint64_t>(seed);
  worldOptions.mLoss = loss;
  const auto world = randomised::MakeWorld(worldOptions);
  world->mTraced = static_cast<std::uint64_t>(traced);
  randomised::StartArrivals(*world);
  InjectFaults(*world, planned != 0);
  randomised::RunWorld(
    *world, std::chrono::hours{ 24 }, static_cast<std::uint64_t>(steps));
  std::cout << "seed " << seed << '\n';
  Print(*world, counters != 0);
  const auto& tally = world->mTally;
  const bool violated =
    tally.mMisrouted + tally.mRanTwice + tally.mNotRunButRan +
        tally.mPlacedOnLeaving >
      0 ||
    (planned != 0 && loss == 0 && tally.mBroken + tally.mHung > 0);
  std::cout << (violated ? "violated" : "held") << '\n';
  return violated ? 1 : 0;
}
