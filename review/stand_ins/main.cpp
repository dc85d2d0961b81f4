#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>

#include "cases.hpp"
#include <boost/asio/signal_set.hpp>

/// Runs a case: main CASE RECORD FOLDER. The exit code is 0 if the rules held,
/// 1 if one was broken, and 2 if the case could not run.
int
main(int aArgc, char** aArgv)
{
  using namespace review;
  struct Case
  {
    std::vector<std::string> mZones;
    void (*mRun)(Deployment&, bool);
  };
  const std::map<std::string, Case> cases{
    { "frozen-reader",
      { { "a", "b", "c", "a", "b", "c", "a", "b", "c" }, &RunFrozenReader } },
    { "moved-store", { { "a", "a", "b" }, &RunMovedStore } },
    { "foreign-entry", { { "a", "a", "b" }, &RunForeignEntry } },
    { "fractional-bound", { { "a", "a", "b" }, &RunFractionalBound } },
  };
  constexpr int couldNotRun = 2;
  if (aArgc != 4 || !cases.contains(aArgv[1])) {
    std::cerr << "usage: CASE RECORD FOLDER\n";
    return couldNotRun;
  }
  const auto* trouble = std::getenv("TROUBLE");
  try {
    const auto& [zones, run] = cases.at(aArgv[1]);
    Record record(aArgv[2]);
    io_context context;
    // The processes of the deployment end with the exception.
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([](auto aFailure, int /*aSignal*/) {
      if (!aFailure) {
        throw std::runtime_error("interrupted");
      }
    });
    Deployment deployment(context, record, aArgv[3]);
    if (!StartDeployment(deployment, zones)) {
      record.Line("the machines are not ready");
      return couldNotRun;
    }
    run(deployment, trouble == nullptr || std::string(trouble) != "0");
    record.Line("rules broken: " + std::to_string(record.Violations()));
    std::cout << aArgv[1] << ": " << record.Violations()
              << " breaks of rules\n";
    return record.Violations() > 0 ? 1 : 0;
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return couldNotRun;
  }
}
