// Runs traffic cores on virtual time under random faults and checks throughout
// that no flow is misrouted, run twice, wrongly reported as not run or
// placed on a leaving upstream. Planned faults alone must not break flows.
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

/// A fault that a run can inject.
struct Fault
{
  std::string_view mName;
  void (*mRun)(World&);
  /// Whether it is a planned operation, which must break no flow.
  bool mPlanned;
};

constexpr Fault kFaults[] = {
  { "replace-instance", randomised::ReplaceInstance, true },
  { "drain-upstream", randomised::DrainUpstream, true },
  { "add-upstream", randomised::AddUpstream, true },
  { "reverse-change", randomised::ReverseChange, true },
  { "kill-instance", randomised::KillInstance, false },
  { "pause-instance", randomised::PauseInstance, false },
  { "cut-data-centre", randomised::PartitionDataCentre, false },
  { "silence-flow", randomised::BlackholeFlow, false },
  { "shed-upstream", randomised::ShedUpstream, false },
  { "kill-upstream", randomised::KillUpstream, false },
};

/// Returns the faults that a run injects: "all", "planned" or one by its name;
/// empty if the name is unknown.
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

/// Injects a random fault, or with probability 0.3 two at the same time, and
/// repeats this every kFaultInterval.
void
InjectFaults(World& aWorld, const std::vector<Fault>& aFaults)
{
  const std::size_t count = randomised::Uniform(aWorld) < 0.3 ? 2 : 1;
  for (std::size_t index = 0; index < count; ++index) {
    aFaults[randomised::RandomIndex(aWorld, aFaults.size())].mRun(aWorld);
  }
  randomised::Schedule(aWorld, kFaultInterval, [&aWorld, &aFaults] {
    InjectFaults(aWorld, aFaults);
  });
}

/// Prints the totals, the first ten broken flows, the injected faults and, if
/// wanted, the cores' counters.
void
Print(const World& aWorld, bool aCounters)
{
  const auto& totals = aWorld.mTotals;
  std::cout << "steps " << totals.mSteps << "\nopened " << totals.mOpened
            << "\nestablished " << totals.mEstablished << "\ncompleted "
            << totals.mCompleted << "\nrefused-not-run "
            << totals.mRefusedNotRun << "\nopening-timeouts "
            << totals.mOpeningTimeouts << "\nbroken " << totals.mBroken
            << "\nhung " << totals.mHung << "\nended-silenced "
            << totals.mBrokenBlackholed << "\nmisrouted " << totals.mMisrouted
            << "\nran-twice " << totals.mRanTwice << "\nnot-run-but-ran "
            << totals.mNotRunButRan << "\nplaced-on-leaving "
            << totals.mPlacedOnLeaving << '\n';
  for (std::size_t index = 0;
       index < std::min<std::size_t>(aWorld.mBrokenFlows.size(), 10);
       ++index) {
    std::cout << "broken-flow " << aWorld.mBrokenFlows[index] << '\n';
  }
  for (const auto& [name, count] : totals.mFaults) {
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
  const char* deliberateFault = "";
  double loss = 0;
  long long tracedFlow = 0;
  const poptOption options[] = {
    { "seed", 's', POPT_ARG_LONGLONG, &seed, 0, "seed of the run", "N" },
    { "steps", 'n', POPT_ARG_LONGLONG, &steps, 0, "packets and messages", "M" },
    { "faults",
      'f',
      POPT_ARG_STRING,
      &faults,
      0,
      "faults to inject: all, planned or the name of one",
      "NAME" },
    { "counters",
      'c',
      POPT_ARG_NONE,
      &counters,
      0,
      "print the cores' counters",
      nullptr },
    { "trace",
      't',
      POPT_ARG_LONGLONG,
      &tracedFlow,
      0,
      "print the packets of this flow",
      "FLOW" },
    { "sabotage",
      'x',
      POPT_ARG_STRING,
      &deliberateFault,
      0,
      "make a deliberate fault that the run must detect",
      "KIND" },
    { "loss", 'l', POPT_ARG_DOUBLE, &loss, 0, "share of packets lost", "0..1" },
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
  worldOptions.mDeliberateFault = deliberateFault;
  const auto world = randomised::MakeWorld(worldOptions);
  world->mTracedFlow = static_cast<std::uint64_t>(tracedFlow);
  randomised::StartArrivals(*world);
  const auto chosen = SelectFaults(faults);
  if (chosen.empty()) {
    std::cerr << "unknown fault: " << faults
              << " (expected all, planned or the name of one)\n";
    return 2;
  }
  InjectFaults(*world, chosen);
  randomised::RunWorld(
    *world, std::chrono::hours{ 24 }, static_cast<std::uint64_t>(steps));
  std::cout << "seed " << seed << '\n';
  Print(*world, counters != 0);
  const auto& totals = world->mTotals;
  const bool planned = std::ranges::all_of(chosen, &Fault::mPlanned);
  const bool violated =
    totals.mMisrouted + totals.mRanTwice + totals.mNotRunButRan +
        totals.mPlacedOnLeaving >
      0 ||
    (planned && loss == 0 && totals.mBroken + totals.mHung > 0);
  std::cout << (violated ? "violated" : "held") << '\n';
  return violated ? 1 : 0;
}
