#include <cstdio>
#include <filesystem>
#include <iostream>
#include <stdexcept>

#include "program.hpp"
#include "world.hpp"

namespace {

void
Print(const soak::WorldOptions& aOptions, const soak::Report& aReport)
{
  std::cout << "seed " << aOptions.mSeed << ": " << aReport.mFlows
            << " flows, served " << aReport.mServed << ", not run "
            << aReport.mNotRun << ", unknown " << aReport.mMayHaveRun
            << ", after recovery " << aReport.mServedAfterRecovery << " of "
            << aReport.mStartedAfterRecovery << ", probes " << aReport.mProbes
            << "\n  faults:";
  for (const auto& [kind, count] : aReport.mFaults) {
    std::cout << ' ' << kind << ' ' << count;
  }
  std::cout << '\n';
  for (const auto& violation : aReport.mViolations) {
    std::cout << "  " << violation.mRule << " at " << violation.mTime.count()
              << " ms: " << violation.mDescription;
    if (!violation.mFlow.empty()) {
      std::cout << "\n    scripts/explain '" << violation.mFlow << "' "
                << aOptions.mFolder << "/*.log";
    }
    std::cout << '\n';
  }
  std::cout << "violations: " << aReport.mViolations.size() << std::endl;
}

/// Options of the command line.
struct Arguments
{
  int mSeed = 1;
  int mSeconds = 30;
  int mInstances = 6;
  char* mDaemon = nullptr;
  char* mFolder = nullptr;
  char* mFaults = nullptr;
  char* mSabotage = nullptr;
};

/// Reads the options of the command line.
/// @return false if they cannot be read; the cause was printed
bool
ReadArguments(Arguments& aArguments, int aArgc, const char** aArgv)
{
  return stand_ins::ReadOptions(
    "soak",
    { { "seed",
        's',
        POPT_ARG_INT,
        &aArguments.mSeed,
        0,
        "seed of the plan and of other random choices",
        "N" },
      { "seconds",
        0,
        POPT_ARG_INT,
        &aArguments.mSeconds,
        0,
        "time in seconds in which faults start",
        "N" },
      { "instances",
        0,
        POPT_ARG_INT,
        &aArguments.mInstances,
        0,
        "number of instances",
        "N" },
      { "daemon",
        0,
        POPT_ARG_STRING,
        &aArguments.mDaemon,
        0,
        "path of the program that runs an instance",
        "FILE" },
      { "folder",
        0,
        POPT_ARG_STRING,
        &aArguments.mFolder,
        0,
        "folder for the settings and logs of instances",
        "DIR" },
      { "faults",
        0,
        POPT_ARG_STRING,
        &aArguments.mFaults,
        0,
        "planned work and only this kind of faults: "
        "freeze-reader, silence-upstreams, delay-upstreams, evacuate or "
        "turn-readers-away",
        "KIND" },
      { "sabotage",
        0,
        POPT_ARG_STRING,
        &aArguments.mSabotage,
        0,
        "deliberate fault that a check must report",
        "KIND" } },
    aArgc,
    aArgv);
}

} // namespace

int
main(int aArgc, const char** aArgv)
{
  Arguments arguments;
  constexpr int kMaxInstances = 200;
  if (!ReadArguments(arguments, aArgc, aArgv) || arguments.mDaemon == nullptr ||
      arguments.mFolder == nullptr || arguments.mSeconds <= 0 ||
      arguments.mInstances <= 0 || arguments.mInstances > kMaxInstances) {
    std::cerr << "soak: --daemon and --folder are required; --seconds "
                 "must be at least 1, --instances from 1 to "
              << kMaxInstances << '\n';
    return 2;
  }
  soak::WorldOptions options;
  options.mSeed = static_cast<std::uint64_t>(arguments.mSeed);
  options.mLength = std::chrono::seconds(arguments.mSeconds);
  options.mInstances = static_cast<std::size_t>(arguments.mInstances);
  options.mDaemon = arguments.mDaemon;
  options.mFolder = arguments.mFolder;
  if (arguments.mFaults != nullptr) {
    options.mOnlyKind = soak::FindSeparateKind(arguments.mFaults);
    if (!options.mOnlyKind) {
      std::cerr << "soak: --faults must be freeze-reader, silence-upstreams, "
                   "delay-upstreams, evacuate or turn-readers-away\n";
      return 2;
    }
  }
  options.mSabotage = arguments.mSabotage == nullptr ? "" : arguments.mSabotage;
  std::filesystem::create_directories(options.mFolder);
  try {
    const auto report = soak::World(options).Run();
    Print(options, report);
    return report.mViolations.empty() ? 0 : 1;
  } catch (const std::exception& failure) {
    std::cerr << "soak: " << failure.what() << '\n';
    return 2;
  }
}
