#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include "commands.hpp"
#include "endpoint_list.hpp"
#include "fleet_view.hpp"
#include "operator_client.hpp"
#include "operator_commands.hpp"
#include "operator_options.hpp"
#include "option_parser.hpp"

namespace sassafrasknotctl {

namespace state = sassafrasknot::state;

namespace {

// Delay between two reads of the fleet while waiting for a revision.
constexpr std::chrono::milliseconds kPollInterval{ 100 };

// Reads a file with one control endpoint per line.
state::Result<std::vector<state::Endpoint>>
ReadEndpoints(const std::string& aPath)
{
  std::ifstream input(aPath);
  if (!input) {
    return InvalidArgument("cannot open the file");
  }
  return ParseEndpointList(std::string(std::istreambuf_iterator(input), {}));
}

// Reads the dumps of all instances at the same time and compares them.
FleetView
ReadFleet(const std::vector<state::Endpoint>& aEndpoints,
          std::chrono::milliseconds aTimeout)
{
  std::vector<InstanceStatus> instances(aEndpoints.size());
  std::vector<std::jthread> readers;
  for (std::size_t i = 0; i < aEndpoints.size(); ++i) {
    readers.emplace_back([&, i] {
      const auto name = state::ToString(aEndpoints[i]);
      const auto dump =
        CallOperator(aEndpoints[i], OperatorCall::Dump, aTimeout);
      if (dump) {
        instances[i] = ParseInstanceStatus(name, dump.value());
      } else {
        instances[i].mEndpoint = name;
        instances[i].mError = std::string(ToString(dump.error().mCode));
      }
    });
  }
  // Joins the threads.
  readers.clear();
  return CompareInstances(std::move(instances));
}

// Reads the fleet until the wanted revision is in force on all instances or the
// time to wait for it has elapsed.
FleetView
WaitForRevision(const std::vector<state::Endpoint>& aEndpoints,
                const OperatorOptions& aOptions)
{
  const auto start = std::chrono::steady_clock::now();
  while (true) {
    auto view = ReadFleet(aEndpoints, aOptions.mTimeout);
    const auto waited = std::chrono::steady_clock::now() - start;
    if (InForceEverywhere(view, *aOptions.mRevision)) {
      std::cerr << "revision " << *aOptions.mRevision
                << " in force everywhere after "
                << std::chrono::duration<double>(waited).count() << " s\n";
      return view;
    }
    if (waited >= aOptions.mWait) {
      std::cerr << "revision " << *aOptions.mRevision
                << " not in force everywhere after "
                << std::chrono::duration<double>(waited).count() << " s\n";
      return view;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

} // namespace

int
RunFleet(int aArgc, const char** aArgv)
{
  const auto options = ParseOperatorOptions(aArgc, aArgv, "FILE");
  if (!options) {
    std::cerr << "sassafrasknotctl fleet: " << options.error().mMessage << '\n';
    return kExitUsage;
  }
  const auto endpoints = ReadEndpoints(options.value().mTarget);
  if (!endpoints) {
    std::cerr << "sassafrasknotctl fleet: " << options.value().mTarget << ": "
              << endpoints.error().mMessage << '\n';
    return kExitUsage;
  }
  const auto view = options.value().mRevision
                      ? WaitForRevision(endpoints.value(), options.value())
                      : ReadFleet(endpoints.value(), options.value().mTimeout);
  if (options.value().mJson) {
    std::cout << FleetToJson(view);
  } else if (options.value().mPrometheus) {
    std::cout << FleetToPrometheus(view);
  } else {
    std::cout << FleetToText(view);
  }
  const bool reached = !options.value().mRevision ||
                       InForceEverywhere(view, *options.value().mRevision);
  return IsConsistent(view) && reached ? 0 : 1;
}

} // namespace sassafrasknotctl
