#include "sassafrasknot/coordination/invariant_policy.hpp"

#include <algorithm>
#include <iostream>
#include <string_view>
#include <vector>

#include "world.hpp"
#include <popt.h>

namespace {

using randomised::World;

constexpr auto kFaultInterval = std::chrono::seconds{ 6 };

struct Fault
{
  std::string_view mName;
  void (*mRun)(World&);
  bool mPlanned;
};

constexpr Fault kFaults[] = {
  { "replace-instance", randomised::ReplaceInstance, true },
  { "drain-upstream", randomised::DrainUpstream, true },
  { "add-upstream", randomised::AddUpstream, true },
  { "reverse-change", randomised::ReverseChange, true },
  { "kill-instance", randomised::KillInstance, false },
  { "pause-instance", randomised::PauseInstance, false },
  { "cut-data-centre", randomised::CutDataCentre, false },
  { "silence-flow", randomised::SilenceFlow, false },
  { "shed-upstream", randomised::ShedUpstream, false },
  { "kill-upstream", randomised::KillUpstream, false },
};

/// Faults that a run may inject: "all", "planned" or one by its name.
std::vector<Fault>
SelectFaults(std::string_view aName)
{
  std::vector<Fault> chosen;
  for (const auto& fault : kFaults) {
    if (aName == "all" || aName == fault.mName ||
        (aName == "planned" && fault.mPlanned)) {
      chosen.push_back(fault);
    }
  }
  return chosen;
}

/// Injects a fault, and sometimes a second one at the same moment.
void
InjectFaults(World& aWorld, const std::vector<Fault>& aFaults)
{
  const std::size_t count = randomised::Uniform(aWorld) < 0.3 ? 2 : 1;
  for (std::size_t index = 0; index < count; ++index) {
    aFaults[randomised::Pick(aWorld, aFaults.size())].mRun(aWorld);
  }
  randomised::Schedule(aWorld, kFaultInterval, [&aWorld, &aFaults] {
    InjectFaults(aWorld, aFaults);
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
  const char* faults = "all";
  int counters = 0;
  const char* sabotage = "";
  double loss = 0;
  long long traced = 0;
  const poptOption options[] = {
    { "seed", 's', POPT_ARG_LONGLONG, &seed, 0, "seed of the run", "N" },
    { "steps", 'n', POPT_ARG_LONGLONG, &steps, 0, "packets and messages", "M" },
    { "faults",
      'f',
      POPT_ARG_STRING,
      &faults,
      0,
      "all, planned, or one fault",
      "NAME" },
    { "counters", 'c', POPT_ARG_NONE, &counters, 0, "print counters", nullptr },
    { "trace", 't', POPT_ARG_LONGLONG, &traced, 0, "print one flow", "FLOW" },
    { "sabotage",
      'x',
      POPT_ARG_STRING,
      &sabotage,
      0,
      "make a deliberate fault",
      "KIND" },
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
  sassafrasknot::coordination::SetInvariantsFatal(true);
  randomised::WorldOptions worldOptions;
  worldOptions.mSeed = static_cast<std::uint64_t>(seed);
  worldOptions.mLoss = loss;
  worldOptions.mSabotage = sabotage;
  const auto world = randomised::MakeWorld(worldOptions);
  world->mTraced = static_cast<std::uint64_t>(traced);
  randomised::StartArrivals(*world);
  const auto chosen = SelectFaults(faults);
  if (chosen.empty()) {
    std::cerr << "unknown fault: " << faults << '\n';
    return 2;
  }
  InjectFaults(*world, chosen);
  randomised::RunWorld(
    *world, std::chrono::hours{ 24 }, static_cast<std::uint64_t>(steps));
  std::cout << "seed " << seed << '\n';
  Print(*world, counters != 0);
  const auto& tally = world->mTally;
  const bool planned = std::ranges::all_of(chosen, &Fault::mPlanned);
  const bool violated =
    tally.mMisrouted + tally.mRanTwice + tally.mNotRunButRan +
        tally.mPlacedOnLeaving >
      0 ||
    (planned && loss == 0 && tally.mBroken + tally.mHung > 0);
  std::cout << (violated ? "violated" : "held") << '\n';
  return violated ? 1 : 0;
}
