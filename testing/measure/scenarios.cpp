#include "scenarios.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <numeric>
#include <random>

#include "simulation.hpp"

namespace sassafrasknot::measure {
namespace {

using namespace std::chrono_literals;
using state::Duration;
using state::FlowClass;
using state::TimePoint;
using Seconds = std::chrono::duration<double>;

/// Mean time that short work holds its slot; that of a straggler is
/// kStragglerFactor times longer.
constexpr Duration kShortWork = 100ms;
constexpr double kStragglerFactor = 100;

/// Upstreams x slots of the present deployments, and the same with ten times
/// the upstreams.
const std::vector<Deployment>&
Deployments()
{
  static const std::vector<Deployment> kDeployments{
    { "15x2", 15, 2 },   { "4x2", 4, 2 },     { "15x3", 15, 3 },
    { "4x3", 4, 3 },     { "150x2", 150, 2 }, { "40x2", 40, 2 },
    { "150x3", 150, 3 }, { "40x3", 40, 3 },
  };
  return kDeployments;
}

/// The policies that are compared, with their numbers of dispatchers.
const std::vector<Layout>&
Layouts()
{
  static const std::vector<Layout> kLayouts{
    { "owner", Policy::Owners, 1, {}, false },
    { "owner-marked", Policy::Owners, 1, {}, true },
    { "owner-3dc", Policy::Owners, 3, {}, false },
    { "owner-4dc", Policy::Owners, 4, {}, false },
    { "overflow-4dc-10ms", Policy::Overflow, 4, 10ms, false },
    { "overflow-4dc-1s", Policy::Overflow, 4, 1s, false },
    { "offers-3dc-1s", Policy::Offers, 3, 1s, false },
    { "offers-4dc-1s", Policy::Offers, 4, 1s, false },
    { "hashing", Policy::Hashing, 1, {}, false },
    { "own-counts-3", Policy::OwnCounts, 3, {}, false },
    { "own-counts-9", Policy::OwnCounts, 9, {}, false },
    { "central-queue", Policy::CentralQueue, 1, {}, false },
  };
  return kLayouts;
}

/// Converts to the resolution of virtual time.
Duration
ToDuration(Seconds aTime)
{
  return std::chrono::duration_cast<Duration>(aTime);
}

/// A Poisson process of arrivals whose rate varies with time.
struct PoissonArrivals
{
  std::mt19937_64 mRandom;
  TimePoint mNow;
  /// Highest rate, in arrivals per second.
  double mPeakRate = 0;
  /// Rate at a time as a share of mPeakRate, 0 to 1; constant if empty.
  std::function<double(TimePoint)> mRateShare;
};

/// Returns the time of the next arrival: draws arrivals at the highest rate and
/// accepts each with the probability mRateShare (thinning).
TimePoint
NextArrival(PoissonArrivals& aArrivals)
{
  std::exponential_distribution<double> gap{ aArrivals.mPeakRate };
  std::uniform_real_distribution<double> uniform;
  do {
    aArrivals.mNow += ToDuration(Seconds{ gap(aArrivals.mRandom) });
  } while (aArrivals.mRateShare &&
           uniform(aArrivals.mRandom) >= aArrivals.mRateShare(aArrivals.mNow));
  return aArrivals.mNow;
}

/// Returns a source of short work of which a share aStragglers holds its slot
/// kStragglerFactor times longer.
/// @param aSeparatesStragglers whether stragglers are of FlowClass::Long
ArrivalSource
WorkSource(PoissonArrivals aArrivals,
           double aStragglers,
           bool aSeparatesStragglers)
{
  auto arrivals = std::make_shared<PoissonArrivals>(std::move(aArrivals));
  return [arrivals, aStragglers, aSeparatesStragglers] {
    FlowArrival arrival;
    arrival.mTime = NextArrival(*arrivals);
    auto& random = arrivals->mRandom;
    arrival.mStraggler = std::bernoulli_distribution{ aStragglers }(random);
    if (arrival.mStraggler && aSeparatesStragglers) {
      arrival.mFlowClass = FlowClass::Long;
    }
    double holding = std::exponential_distribution<double>{
      1 / Seconds{ kShortWork }.count()
    }(random);
    holding *= arrival.mStraggler ? kStragglerFactor : 1;
    arrival.mHoldingTime = ToDuration(Seconds{ holding });
    return arrival;
  };
}

/// Returns the arrivals per second that keep all slots busy on average.
double
SaturationRate(const Deployment& aDeployment, double aStragglers)
{
  const double mean =
    Seconds{ kShortWork }.count() * (1 + aStragglers * (kStragglerFactor - 1));
  return aDeployment.mUpstreams * aDeployment.mSlots / mean;
}

/// Returns the value at a share aPart, 0 to 1, of sorted values; 0 for none.
double
Quantile(const std::vector<double>& aSorted, double aPart)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(aPart * last)];
}

/// Returns the mean of one value over all samples; 0 for none.
double
Mean(const std::vector<LoadSample>& aLoads, double LoadSample::*aValue)
{
  const double sum = std::accumulate(
    aLoads.begin(), aLoads.end(), 0.0, [&](double aSum, const auto& aLoad) {
      return aSum + aLoad.*aValue;
    });
  return aLoads.empty() ? 0 : sum / static_cast<double>(aLoads.size());
}

/// Returns a count as a share of all; 0 if there are none.
double
Ratio(std::uint64_t aCount, std::uint64_t aAll)
{
  return static_cast<double>(aCount) /
         static_cast<double>(std::max<std::uint64_t>(aAll, 1));
}

/// Returns options with a deadline of one hour.
RunOptions
MakeOptions(const Deployment& aDeployment,
            const Layout& aLayout,
            std::uint64_t aSeed)
{
  RunOptions options;
  options.mDeployment = aDeployment;
  options.mLayout = aLayout;
  options.mSeed = aSeed;
  options.mDeadline = 1h;
  return options;
}

/// Returns the length of the measured window: aSlotTime divided by the number
/// of slots, so that all deployments measure about as many flows.
Duration
WindowLength(const Deployment& aDeployment, Seconds aSlotTime)
{
  return ToDuration(aSlotTime / (aDeployment.mUpstreams * aDeployment.mSlots));
}

/// Runs work at 80% load for aSlotTime, summed over all slots, after a minute
/// of warm-up.
RunResult
RunSteadyWork(RunOptions aOptions, double aStragglers, Seconds aSlotTime)
{
  // A queue without an effective limit: flows wait instead of being refused, so
  // that waits can be compared.
  aOptions.mLimits.mQueuePerSlot = 1e6;
  aOptions.mWindowStart = TimePoint{ 60s };
  aOptions.mWindowEnd =
    aOptions.mWindowStart + WindowLength(aOptions.mDeployment, aSlotTime);
  PoissonArrivals arrivals;
  arrivals.mRandom.seed(aOptions.mSeed + 1);
  arrivals.mPeakRate = 0.8 * SaturationRate(aOptions.mDeployment, aStragglers);
  return Run(
    aOptions,
    WorkSource(arrivals, aStragglers, aOptions.mLayout.mSeparatesStragglers));
}

/// Runs feeds with a mean lifetime of 600 s for ten minutes after 30 minutes of
/// warm-up, with aFeedsPerUpstream open on average.
RunResult
RunFeeds(RunOptions aOptions, double aFeedsPerUpstream)
{
  constexpr double kLifetime = 600; // Seconds.
  aOptions.mWindowStart = TimePoint{ 30min };
  aOptions.mWindowEnd = TimePoint{ 40min };
  aOptions.mSampleInterval = 10s;
  PoissonArrivals arrivals;
  arrivals.mRandom.seed(aOptions.mSeed + 1);
  arrivals.mPeakRate =
    aFeedsPerUpstream * aOptions.mDeployment.mUpstreams / kLifetime;
  return Run(aOptions, [&] {
    FlowArrival arrival;
    arrival.mFlowClass = FlowClass::Feed;
    arrival.mTime = NextArrival(arrivals);
    arrival.mHoldingTime =
      ToDuration(Seconds{ std::exponential_distribution<double>{
        1 / kLifetime }(arrivals.mRandom) });
    return arrival;
  });
}

/// Runs work whose load rises within 3 s from 50% to aPeakLoad (1 is all slots
/// busy); measures the 60 s that follow. 1% of the work are stragglers.
RunResult
RunOverload(RunOptions aOptions, double aPeakLoad)
{
  constexpr double kStragglers = 0.01;
  constexpr double kBaseLoad = 0.5;
  const TimePoint rise{ 20s };
  const TimePoint peak = rise + 3s;
  aOptions.mWindowStart = peak;
  aOptions.mWindowEnd = peak + 60s;
  PoissonArrivals arrivals;
  arrivals.mRandom.seed(aOptions.mSeed + 1);
  arrivals.mPeakRate =
    aPeakLoad * SaturationRate(aOptions.mDeployment, kStragglers);
  arrivals.mRateShare = [=](TimePoint aTime) {
    const double part = Seconds{ aTime - rise } / Seconds{ peak - rise };
    const double load =
      kBaseLoad + (aPeakLoad - kBaseLoad) * std::clamp(part, 0.0, 1.0);
    return load / aPeakLoad;
  };
  return Run(
    aOptions,
    WorkSource(arrivals, kStragglers, aOptions.mLayout.mSeparatesStragglers));
}

} // namespace

Report
MeasureConnections(std::uint64_t aSeed)
{
  Report report{ "connections", {} };
  for (const auto& deployment : Deployments()) {
    if (deployment.mSlots != 2) {
      continue; // Feeds take no slot.
    }
    for (const auto& [feeds, label] :
         { std::pair{ 20, "20" }, { 200, "200" }, { 1000, "1000" } }) {
      for (const auto& layout : Layouts()) {
        if (layout.mSeparatesStragglers || layout.mPolicy == Policy::Offers) {
          continue; // These layouts differ for work only.
        }
        const auto result =
          RunFeeds(MakeOptions(deployment, layout, aSeed), feeds);
        report.mRows.push_back(
          { { { "deployment", deployment.mName },
              { "feeds", label },
              { "layout", layout.mName } },
            { { "max_over_mean",
                Mean(result.mLoads, &LoadSample::mMaximumOverMean) },
              { "deviation", Mean(result.mLoads, &LoadSample::mDeviation) },
              { "exceptions", Ratio(result.mPlacedOffDefault, result.mPlaced) },
              { "moved", Ratio(result.mMoved, result.mPlaced) } } });
      }
    }
  }
  return report;
}

Report
MeasureWork(std::uint64_t aSeed)
{
  Report report{ "work", {} };
  for (const auto& deployment : Deployments()) {
    for (const auto& layout : Layouts()) {
      const auto result =
        RunSteadyWork(MakeOptions(deployment, layout, aSeed), 0, 6000s);
      report.mRows.push_back(
        { { { "deployment", deployment.mName }, { "layout", layout.mName } },
          { { "max_over_mean",
              Mean(result.mLoads, &LoadSample::mMaximumOverMean) },
            { "deviation", Mean(result.mLoads, &LoadSample::mDeviation) } } });
    }
  }
  return report;
}

Report
MeasureOverload(std::uint64_t aSeed)
{
  Report report{ "crest", {} };
  for (const auto& deployment : Deployments()) {
    for (const auto& [peakLoad, load] :
         { std::pair{ 1.0, "100%" }, { 2.0, "200%" }, { 3.0, "300%" } }) {
      for (const auto& [deadline, label] :
           { std::pair<Duration, const char*>{ 300ms, "0.3s" },
             { 1s, "1s" } }) {
        for (const auto& layout : Layouts()) {
          auto options = MakeOptions(deployment, layout, aSeed);
          options.mDeadline = deadline;
          const auto result = RunOverload(options, peakLoad);
          report.mRows.push_back(
            { { { "deployment", deployment.mName },
                { "load", load },
                { "deadline", label },
                { "layout", layout.mName } },
              { { "goodput", result.mGoodput },
                { "refused_early",
                  Ratio(result.mRefusedEarly, result.mArrived) },
                { "refused_late", Ratio(result.mRefusedLate, result.mArrived) },
                { "wait_p50", Quantile(result.mShortWaits, 0.5) },
                { "wait_p99", Quantile(result.mShortWaits, 0.99) },
                { "wait_p999", Quantile(result.mShortWaits, 0.999) } } });
        }
      }
    }
  }
  return report;
}

Report
MeasureStragglers(std::uint64_t aSeed)
{
  Report report{ "stragglers", {} };
  for (const auto& deployment : Deployments()) {
    for (const auto& [part, label] :
         { std::pair{ 0.001, "0.1%" }, { 0.01, "1%" }, { 0.05, "5%" } }) {
      for (const auto& layout : Layouts()) {
        const auto result =
          RunSteadyWork(MakeOptions(deployment, layout, aSeed), part, 60000s);
        report.mRows.push_back(
          { { { "deployment", deployment.mName },
              { "stragglers", label },
              { "layout", layout.mName } },
            { { "wait_p50", Quantile(result.mShortWaits, 0.5) },
              { "wait_p99", Quantile(result.mShortWaits, 0.99) },
              { "wait_p999", Quantile(result.mShortWaits, 0.999) },
              { "moved", Ratio(result.mMoved, result.mPlaced) } } });
      }
    }
  }
  return report;
}

} // namespace sassafrasknot::measure
