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

constexpr std::chrono::milliseconds kPoll{ 100 };

state::Result<std::vector<state::Endpoint>>
ReadEndpoints(const std::string& aPath)
{
  std::ifstream input(aPath);
  if (!input) {
    return InvalidArgument("the file cannot be read");
  }
  return ParseEndpointList(std::string(std::istreambuf_iterator(input), {}));
}

FleetView
ReadFleet(const std::vector<state::Endpoint>& aEndpoints,
          std::chrono::milliseconds aTimeout)
{
  std::vector<FleetMember> members(aEndpoints.size());
  std::vector<std::jthread> readers;
  for (std::size_t i = 0; i < aEndpoints.size(); ++i) {
    readers.emplace_back([&, i] {
      const auto name = state::ToString(aEndpoints[i]);
      const auto dump =
        CallOperator(aEndpoints[i], OperatorCall::Dump, aTimeout);
      if (dump) {
        members[i] = ReadMember(name, dump.value());
      } else {
        members[i].mEndpoint = name;
        members[i].mFault = std::string(ToString(dump.error().mCode));
      }
    });
  }
  readers.clear();
  return CompareMembers(std::move(members));
}

// Reads the fleet until a revision is in force everywhere.
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
                << " not in force everywhere\n";
      return view;
    }
    std::this_thread::sleep_for(kPoll);
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
  return Agrees(view) && reached ? 0 : 1;
}

} // namespace sassafrasknotctl
