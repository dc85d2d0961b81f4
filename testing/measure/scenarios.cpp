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

/// Mean of short work; a straggler holds its slot 100 times longer.
constexpr Duration kShortWork = 100ms;
constexpr double kStragglerFactor = 100;

/// Upstreams and slots of today's users, and ten times the upstreams.
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

Duration
ToDuration(Seconds aTime)
{
  return std::chrono::duration_cast<Duration>(aTime);
}

/// Arrivals of a Poisson process whose rate varies with time.
struct Arrivals
{
  std::mt19937_64 mRandom;
  TimePoint mNow;
  /// Highest rate, per second.
  double mPeakRate = 0;
  /// Part of the highest rate at a time.
  std::function<double(TimePoint)> mPart;
};

TimePoint
NextArrival(Arrivals& aArrivals)
{
  std::exponential_distribution<double> gap{ aArrivals.mPeakRate };
  std::uniform_real_distribution<double> uniform;
  do {
    aArrivals.mNow += ToDuration(Seconds{ gap(aArrivals.mRandom) });
  } while (aArrivals.mPart &&
           uniform(aArrivals.mRandom) >= aArrivals.mPart(aArrivals.mNow));
  return aArrivals.mNow;
}

/// Short work with a part of stragglers.
DemandSource
WorkSource(Arrivals aArrivals, double aStragglers, bool aMarked)
{
  auto arrivals = std::make_shared<Arrivals>(std::move(aArrivals));
  return [arrivals, aStragglers, aMarked] {
    Demand demand;
    demand.mArrival = NextArrival(*arrivals);
    auto& random = arrivals->mRandom;
    demand.mStraggler = std::bernoulli_distribution{ aStragglers }(random);
    if (demand.mStraggler && aMarked) {
      demand.mFlowClass = FlowClass::Long;
    }
    double holding = std::exponential_distribution<double>{
      1 / Seconds{ kShortWork }.count()
    }(random);
    holding *= demand.mStraggler ? kStragglerFactor : 1;
    demand.mHolding = ToDuration(Seconds{ holding });
    return demand;
  };
}

/// Arrivals per second that hold all slots busy on average.
double
FullRate(const Deployment& aDeployment, double aStragglers)
{
  const double mean =
    Seconds{ kShortWork }.count() * (1 + aStragglers * (kStragglerFactor - 1));
  return aDeployment.mUpstreams * aDeployment.mSlots / mean;
}

double
Quantile(const std::vector<double>& aSorted, double aPart)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(aPart * last)];
}

double
Mean(const std::vector<LoadSample>& aLoads, double LoadSample::*aValue)
{
  const double sum = std::accumulate(
    aLoads.begin(), aLoads.end(), 0.0, [&](double aSum, const auto& aLoad) {
      return aSum + aLoad.*aValue;
    });
  return aLoads.empty() ? 0 : sum / static_cast<double>(aLoads.size());
}

double
PartOf(std::uint64_t aCount, std::uint64_t aAll)
{
  return static_cast<double>(aCount) /
         static_cast<double>(std::max<std::uint64_t>(aAll, 1));
}

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

/// A steady run lasts longer where fewer slots make fewer flows.
Duration
LengthOf(const Deployment& aDeployment, Seconds aSlotTime)
{
  return ToDuration(aSlotTime / (aDeployment.mUpstreams * aDeployment.mSlots));
}

RunResult
RunSteadyWork(RunOptions aOptions, double aStragglers, Seconds aSlotTime)
{
  // Nothing is refused, so that waits can be compared.
  aOptions.mLimits.mQueuePerSlot = 1e6;
  aOptions.mWindowStart = TimePoint{ 60s };
  aOptions.mWindowEnd =
    aOptions.mWindowStart + LengthOf(aOptions.mDeployment, aSlotTime);
  Arrivals arrivals;
  arrivals.mRandom.seed(aOptions.mSeed + 1);
  arrivals.mPeakRate = 0.8 * FullRate(aOptions.mDeployment, aStragglers);
  return Run(aOptions,
             WorkSource(arrivals, aStragglers, aOptions.mLayout.mMarked));
}

RunResult
RunFeeds(RunOptions aOptions, double aFeedsPerUpstream)
{
  constexpr double kLifetime = 600;
  aOptions.mWindowStart = TimePoint{ 30min };
  aOptions.mWindowEnd = TimePoint{ 40min };
  aOptions.mSampleInterval = 10s;
  Arrivals arrivals;
  arrivals.mRandom.seed(aOptions.mSeed + 1);
  arrivals.mPeakRate =
    aFeedsPerUpstream * aOptions.mDeployment.mUpstreams / kLifetime;
  return Run(aOptions, [&] {
    Demand demand;
    demand.mFlowClass = FlowClass::Feed;
    demand.mArrival = NextArrival(arrivals);
    demand.mHolding = ToDuration(Seconds{ std::exponential_distribution<double>{
      1 / kLifetime }(arrivals.mRandom) });
    return demand;
  });
}

RunResult
RunCrest(RunOptions aOptions, double aCrest)
{
  constexpr double kStragglers = 0.01;
  constexpr double kBase = 0.5;
  const TimePoint rise{ 20s };
  const TimePoint top = rise + 3s;
  aOptions.mWindowStart = top;
  aOptions.mWindowEnd = top + 60s;
  Arrivals arrivals;
  arrivals.mRandom.seed(aOptions.mSeed + 1);
  arrivals.mPeakRate = aCrest * FullRate(aOptions.mDeployment, kStragglers);
  arrivals.mPart = [=](TimePoint aTime) {
    const double part = Seconds{ aTime - rise } / Seconds{ top - rise };
    const double load = kBase + (aCrest - kBase) * std::clamp(part, 0.0, 1.0);
    return load / aCrest;
  };
  return Run(aOptions,
             WorkSource(arrivals, kStragglers, aOptions.mLayout.mMarked));
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
        if (layout.mMarked || layout.mPolicy == Policy::Offers) {
          continue; // These differ for work only.
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
              { "exceptions", PartOf(result.mExceptions, result.mPlaced) },
              { "moved", PartOf(result.mMoved, result.mPlaced) } } });
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
MeasureCrest(std::uint64_t aSeed)
{
  Report report{ "crest", {} };
  for (const auto& deployment : Deployments()) {
    for (const auto& [crest, load] :
         { std::pair{ 1.0, "100%" }, { 2.0, "200%" }, { 3.0, "300%" } }) {
      for (const auto& [deadline, label] :
           { std::pair<Duration, const char*>{ 300ms, "0.3s" },
             { 1s, "1s" } }) {
        for (const auto& layout : Layouts()) {
          auto options = MakeOptions(deployment, layout, aSeed);
          options.mDeadline = deadline;
          const auto result = RunCrest(options, crest);
          report.mRows.push_back(
            { { { "deployment", deployment.mName },
                { "load", load },
                { "deadline", label },
                { "layout", layout.mName } },
              { { "goodput", result.mGoodput },
                { "refused_early",
                  PartOf(result.mRefusedEarly, result.mArrived) },
                { "refused_late",
                  PartOf(result.mRefusedLate, result.mArrived) },
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
              { "moved", PartOf(result.mMoved, result.mPlaced) } } });
      }
    }
  }
  return report;
}

} // namespace sassafrasknot::measure
