// Simulates placement on virtual time and compares the project's shards with
// other placement policies.
#include <future>
#include <iostream>
#include <vector>

#include "report.hpp"
#include "scenarios.hpp"
#include <popt.h>

int
main(int aCount, const char** aArguments)
{
  using namespace sassafrasknot::measure;
  long long seed = 1;
  int json = 0;
  const poptOption options[] = {
    { "seed", 's', POPT_ARG_LONGLONG, &seed, 0, "Seed of the runs", "N" },
    { "json", 'j', POPT_ARG_NONE, &json, 0, "Write JSON", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  auto* const context = poptGetContext(nullptr, aCount, aArguments, options, 0);
  const int parsed = poptGetNextOpt(context);
  if (parsed < -1) {
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(parsed)
              << '\n';
    poptFreeContext(context);
    return 2;
  }
  poptFreeContext(context);
  const auto unsignedSeed = static_cast<std::uint64_t>(seed);
  std::vector<std::future<Report>> runs;
  for (const auto measure : { MeasureConnections,
                              MeasureWork,
                              MeasureOverload,
                              MeasureStragglers }) {
    runs.push_back(std::async(std::launch::async, measure, unsignedSeed));
  }
  std::vector<Report> reports;
  for (auto& run : runs) {
    reports.push_back(run.get());
    if (json == 0) {
      WriteTable(std::cout, reports.back());
    }
  }
  if (json != 0) {
    WriteJson(std::cout, reports, unsignedSeed);
  }
  return 0;
}
