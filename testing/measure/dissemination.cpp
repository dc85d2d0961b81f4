// Measures the time until a change is in force on all instances, and the
// control traffic and processor time of an instance, with real control cores on
// virtual time and a lossy network.
#include "sassafrasknot/state/sample_documents.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "control/control_fleet.hpp"
#include <popt.h>

namespace {

using namespace sassafrasknot;
using namespace std::chrono_literals;

/// Command-line options.
struct Options
{
  long mSeed = 1;
  int mJson = 0;
  /// Changes that are published in each measurement.
  int mChanges = 30;
  int mDataCentres = 3;
  /// Whether only the first data centre reaches the platform.
  int mOneReader = 0;
  /// Messages that are lost, in percent.
  int mLossPercent = 10;
  /// Measure a fleet of this size only; zero for all sizes.
  int mInstances = 0;
  /// Organisations besides the one that changes.
  int mOrganisations = 20;
};

/// Results for one size of the fleet.
struct Measurement
{
  std::size_t mInstances = 0;
  /// Time until a change is in force everywhere, in seconds.
  double mP50 = 0;
  double mMax = 0;
  /// Bytes per second that an instance sends, mean over the instances.
  double mMembershipBytes = 0;
  double mConfigurationBytes = 0;
  /// Highest sum of both of any instance, in bytes per second.
  double mMaxBytes = 0;
  /// Processor time of an instance's core, mean, in percent of one processor.
  double mProcessorPercent = 0;
  /// Reads of the platform by the whole fleet, per second.
  double mPlatformReads = 0;
  /// Members that any instance counted as dead; none had failed.
  std::size_t mFalseDeaths = 0;
  /// Snapshots that an instance published, mean, per second.
  double mSnapshots = 0;
  /// Changes that were not in force everywhere within 30 s; they count as 30 s
  /// in the times.
  std::size_t mMissedChanges = 0;
};

/// Converts to seconds.
double
Seconds(state::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Returns whether a service of this revision is in the snapshots of all
/// instances.
bool
IsInForceEverywhere(const testing::ControlFleet& aFleet,
                    state::Revision aRevision)
{
  for (std::size_t index = 0; index < aFleet.mInstances.size(); ++index) {
    const auto& services = aFleet.SnapshotOf(index).mServices;
    if (std::none_of(services.begin(), services.end(), [&](const auto& aView) {
          return aView.mRevision == aRevision;
        })) {
      return false;
    }
  }
  return true;
}

/// Publishes a configuration, starts all instances and runs the fleet for a
/// minute; then cuts off the other data centres from the platform for
/// one-reader runs and resets all measured values.
void
StartFleet(testing::ControlFleet& aFleet, const Options& aOptions)
{
  using namespace state::sample;
  aFleet.Publish(MakeTemplate(0));
  for (int index = 0; index < aOptions.mOrganisations; ++index) {
    const auto number = static_cast<std::uint32_t>(index + 2);
    auto record = MakeOrganisation(
      "organisation-" + std::to_string(index), 0, number, { 100 + number });
    record.mText = std::string(2000, 'x');
    aFleet.Publish(record);
  }
  for (std::size_t index = 0; index < aFleet.mInstances.size(); ++index) {
    aFleet.Start(index);
  }
  aFleet.PublishInstanceLists();
  aFleet.Run(60s);
  if (aOptions.mOneReader != 0) {
    for (int index = 1; index < aOptions.mDataCentres; ++index) {
      aFleet.mPlatform.mDisconnected.insert("dc-" + std::to_string(index));
    }
  }
  for (auto& instance : aFleet.mInstances) {
    instance.mSent = {};
    instance.mProcessorTime = {};
    instance.mSnapshots = 0;
    instance.mLog.clear();
  }
  aFleet.mPlatform.mReads = 0;
}

/// Publishes one change after the other, 62 s apart, and measures each.
Measurement
Measure(std::size_t aInstances, const Options& aOptions)
{
  testing::ControlFleet fleet(
    { .mInstances = aInstances,
      .mDataCentres = static_cast<std::size_t>(aOptions.mDataCentres),
      .mSeed = static_cast<std::uint64_t>(aOptions.mSeed),
      .mLoss = aOptions.mLossPercent / 100.0 });
  StartFleet(fleet, aOptions);
  const auto start = fleet.Now();
  Measurement result;
  result.mInstances = aInstances;
  std::vector<double> times;
  for (int change = 0; change < aOptions.mChanges; ++change) {
    auto record = state::sample::MakeOrganisation(
      "changing", 0, 1, { 1 + static_cast<std::uint32_t>(change % 50) });
    record.mText = std::string(2000, 'x');
    const auto revision = fleet.Publish(record);
    const auto time =
      fleet.RunUntil(30s, [&] { return IsInForceEverywhere(fleet, revision); });
    result.mMissedChanges += time ? 0 : 1;
    times.push_back(time ? Seconds(*time) : 30);
    // 1,400 changes per day are one every 62 s.
    fleet.Run(62s - time.value_or(30s));
  }
  const auto elapsed = Seconds(fleet.Now() - start);
  std::sort(times.begin(), times.end());
  result.mP50 = times[times.size() / 2];
  result.mMax = times.back();
  for (const auto& instance : fleet.mInstances) {
    const auto scale =
      1.0 / (elapsed * static_cast<double>(fleet.mInstances.size()));
    const auto& sent = instance.mSent;
    result.mMembershipBytes += static_cast<double>(sent.mMembership) * scale;
    result.mConfigurationBytes +=
      static_cast<double>(sent.mConfiguration) * scale;
    result.mMaxBytes = std::max(
      result.mMaxBytes,
      static_cast<double>(sent.mMembership + sent.mConfiguration) / elapsed);
    result.mProcessorPercent += 100 * Seconds(instance.mProcessorTime) * scale;
    result.mSnapshots += static_cast<double>(instance.mSnapshots) * scale;
    result.mFalseDeaths += static_cast<std::size_t>(
      std::count(instance.mLog.begin(), instance.mLog.end(), "member is dead"));
  }
  result.mPlatformReads = static_cast<double>(fleet.mPlatform.mReads) / elapsed;
  return result;
}

/// Prints one result as a JSON line or as text.
void
Print(const Measurement& aResult, bool aJson)
{
  std::printf(
    aJson ? "{\"instances\":%zu,\"p50_s\":%.3f,\"max_s\":%.3f,"
            "\"membership_bytes_per_s\":%.0f,"
            "\"configuration_bytes_per_s\":%.0f,\"most_bytes_per_s\":%.0f,"
            "\"processor_percent\":%.3f,\"platform_reads_per_s\":%.3f,"
            "\"snapshots_per_s\":%.3f,\"false_deaths\":%zu,\"missed\":%zu}\n"
          : "%3zu instances: in force p50 %.3f s, max %.3f s; membership "
            "%.0f B/s, configuration %.0f B/s, most %.0f B/s; processor "
            "%.3f%%; platform reads %.3f/s; snapshots %.3f/s; false deaths "
            "%zu; missed %zu\n",
    aResult.mInstances,
    aResult.mP50,
    aResult.mMax,
    aResult.mMembershipBytes,
    aResult.mConfigurationBytes,
    aResult.mMaxBytes,
    aResult.mProcessorPercent,
    aResult.mPlatformReads,
    aResult.mSnapshots,
    aResult.mFalseDeaths,
    aResult.mMissedChanges);
  std::fflush(stdout);
}

/// Ends 84 of the 90 instances of one data centre at once and prints the
/// highest number of snapshots and processor time of a remaining instance in
/// the minute that follows.
void
MeasureMassFailure(const Options& aOptions)
{
  constexpr std::size_t kInstances = 90;
  constexpr std::size_t kKilled = 84;
  testing::ControlFleet fleet(
    { .mInstances = kInstances,
      .mSeed = static_cast<std::uint64_t>(aOptions.mSeed),
      .mLoss = aOptions.mLossPercent / 100.0 });
  StartFleet(fleet, aOptions);
  for (std::size_t index = 0; index < kKilled; ++index) {
    fleet.Kill(index);
  }
  fleet.Run(60s);
  std::uint64_t snapshots = 0;
  double processor = 0;
  std::size_t dead = 0;
  for (std::size_t index = kKilled; index < kInstances; ++index) {
    snapshots = std::max(snapshots, fleet.mInstances[index].mSnapshots);
    processor =
      std::max(processor, Seconds(fleet.mInstances[index].mProcessorTime));
  }
  for (const auto& view : fleet.SnapshotOf(kInstances - 1).mInstances) {
    dead += view.mState == state::InstanceState::Dead ? 1 : 0;
  }
  std::printf(aOptions.mJson != 0
                ? "{\"killed\":%zu,\"dead_after_60_s\":%zu,"
                  "\"snapshots\":%llu,\"processor_percent\":%.3f}\n"
                : "%zu of 90 killed at once: %zu known dead after 60 s, at "
                  "most %llu snapshots, processor %.3f%%\n",
              kKilled,
              dead,
              static_cast<unsigned long long>(snapshots),
              100 * processor / 60);
}

/// Returns a value for a fleet of aInstances from the least-squares line of the
/// measured values over the binary logarithm of the fleet's size.
double
Extrapolate(const std::vector<Measurement>& aResults,
            double Measurement::*aValue,
            double aInstances)
{
  double sumX = 0;
  double sumY = 0;
  double sumXx = 0;
  double sumXy = 0;
  const auto count = static_cast<double>(aResults.size());
  for (const auto& result : aResults) {
    const double x = std::log2(static_cast<double>(result.mInstances));
    sumX += x;
    sumY += result.*aValue;
    sumXx += x * x;
    sumXy += x * result.*aValue;
  }
  const double slope =
    (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
  return (sumY - slope * sumX) / count + slope * std::log2(aInstances);
}

} // namespace

int
main(int aCount, const char** aArguments)
{
  Options options;
  const poptOption table[] = {
    { "seed", 's', POPT_ARG_LONG, &options.mSeed, 0, "seed of the runs", "N" },
    { "json",
      'j',
      POPT_ARG_NONE,
      &options.mJson,
      0,
      "print JSON lines",
      nullptr },
    { "changes",
      'c',
      POPT_ARG_INT,
      &options.mChanges,
      0,
      "number of changes",
      "N" },
    { "data-centres",
      'd',
      POPT_ARG_INT,
      &options.mDataCentres,
      0,
      "number of data centres",
      "N" },
    { "one-reader",
      'o',
      POPT_ARG_NONE,
      &options.mOneReader,
      0,
      "let only the first data centre reach the platform",
      nullptr },
    { "instances",
      'i',
      POPT_ARG_INT,
      &options.mInstances,
      0,
      "measure a fleet of this many instances only",
      "N" },
    { "loss",
      'l',
      POPT_ARG_INT,
      &options.mLossPercent,
      0,
      "messages lost",
      "PERCENT" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext(nullptr, aCount, aArguments, table, 0), poptFreeContext);
  if (const int error = poptGetNextOpt(context.get()); error < -1) {
    std::fprintf(stderr, "%s\n", poptStrerror(error));
    return 2;
  }
  if (options.mInstances > 0) {
    Print(Measure(static_cast<std::size_t>(options.mInstances), options),
          options.mJson != 0);
    return 0;
  }
  std::vector<Measurement> results;
  for (const std::size_t instances : { 3, 9, 30, 90 }) {
    results.push_back(Measure(instances, options));
    Print(results.back(), options.mJson != 0);
  }
  std::printf(options.mJson != 0
                ? "{\"instances\":590,\"extrapolated\":true,\"p50_s\":%.3f,"
                  "\"max_s\":%.3f}\n"
                : "590 instances by the slope over log2: p50 %.3f s, max %.3f "
                  "s\n",
              Extrapolate(results, &Measurement::mP50, 590),
              Extrapolate(results, &Measurement::mMax, 590));
  MeasureMassFailure(options);
  return 0;
}
