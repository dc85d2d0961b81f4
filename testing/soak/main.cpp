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

} // namespace

int
main(int aArgc, const char** aArgv)
{
  int seed = 1;
  int seconds = 30;
  int instances = 6;
  char* daemon = nullptr;
  char* folder = nullptr;
  char* sabotage = nullptr;
  const bool isRead =
    stand_ins::ReadOptions("soak",
                           { { "seed",
                               's',
                               POPT_ARG_INT,
                               &seed,
                               0,
                               "seed of the plan and of other random choices",
                               "N" },
                             { "seconds",
                               0,
                               POPT_ARG_INT,
                               &seconds,
                               0,
                               "time in seconds in which faults start",
                               "N" },
                             { "instances",
                               0,
                               POPT_ARG_INT,
                               &instances,
                               0,
                               "number of instances",
                               "N" },
                             { "daemon",
                               0,
                               POPT_ARG_STRING,
                               &daemon,
                               0,
                               "path of the program that runs an instance",
                               "FILE" },
                             { "folder",
                               0,
                               POPT_ARG_STRING,
                               &folder,
                               0,
                               "folder for the settings and logs of instances",
                               "DIR" },
                             { "sabotage",
                               0,
                               POPT_ARG_STRING,
                               &sabotage,
                               0,
                               "deliberate fault that a check must report",
                               "KIND" } },
                           aArgc,
                           aArgv);
  constexpr int kMaxInstances = 200;
  if (!isRead || daemon == nullptr || folder == nullptr || seconds <= 0 ||
      instances <= 0 || instances > kMaxInstances) {
    std::cerr << "soak: --daemon and --folder are required; --seconds "
                 "must be at least 1, --instances from 1 to "
              << kMaxInstances << '\n';
    return 2;
  }
  soak::WorldOptions options;
  options.mSeed = static_cast<std::uint64_t>(seed);
  options.mLength = std::chrono::seconds(seconds);
  options.mInstances = static_cast<std::size_t>(instances);
  options.mDaemon = daemon;
  options.mFolder = folder;
  options.mSabotage = sabotage == nullptr ? "" : sabotage;
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
