#include "sassafrasknot/flows/work_model.hpp"

#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>
#include <cmath>

namespace sassafrasknot::flows {
namespace {

constexpr double kSmallestWork = 0.00025;
/// Number of samples over which means are taken.
constexpr double kAveragedSamples = 512;
/// Number of a caller's samples over which its mean is taken, and number of
/// samples of the route's mean to which it is added as prior.
constexpr float kAveragedCallerSamples = 16;
constexpr float kCallerPrior = 4;
/// Bound of the logarithm of a caller's factor.
constexpr float kMaxCallerLogRatio = 1.5;

/// Returns how much of a number of samples counts after a time.
double
AgedSamples(double aSamples, state::TimePoint aUpdatedAt, state::TimePoint aNow)
{
  return aSamples * std::exp(-std::chrono::duration<double>(aNow - aUpdatedAt) /
                             Work(kWorkMemory));
}

std::size_t
IntervalOf(Work aWork)
{
  const double index = 2 * std::log2(aWork.count() / kSmallestWork);
  return static_cast<std::size_t>(
    std::clamp(index, 0.0, static_cast<double>(kWorkIntervals - 1)));
}

/// Returns the middle of each interval, in seconds.
const std::array<double, kWorkIntervals>&
Middles()
{
  static const auto kMiddles = [] {
    std::array<double, kWorkIntervals> result{};
    for (std::size_t index = 0; index < kWorkIntervals; ++index) {
      result[index] =
        kSmallestWork * std::exp2((static_cast<double>(index) + 0.5) / 2);
    }
    return result;
  }();
  return kMiddles;
}

/// Returns the key of a caller's estimate, never 0.
std::uint32_t
CallerKey(const state::Endpoint& aRoute, state::Ipv4Address aCaller)
{
  const auto hash = state::CombineHashes(
    state::CombineHashes(aCaller.mValue, aRoute.mAddress.mValue), aRoute.mPort);
  return static_cast<std::uint32_t>(hash) | 1U;
}

void
RecordCallerWork(CallerWork& aEstimate,
                 std::uint32_t aKey,
                 double aLogRatio,
                 state::TimePoint aNow)
{
  const auto samples = static_cast<float>(
    AgedSamples(aEstimate.mSamples, aEstimate.mUpdatedAt, aNow));
  if (aEstimate.mKey != aKey) {
    // Another caller with the same place loses it once its estimate is weak.
    if (aEstimate.mKey != 0 && samples > 1) {
      aEstimate.mSamples = samples - 1;
      aEstimate.mUpdatedAt = aNow;
      return;
    }
    aEstimate = { aKey, 0, 0, aNow };
  } else {
    aEstimate.mSamples = samples;
  }
  aEstimate.mUpdatedAt = aNow;
  aEstimate.mSamples = std::min(aEstimate.mSamples + 1, kAveragedCallerSamples);
  const auto ratio = std::clamp(
    static_cast<float>(aLogRatio), -kMaxCallerLogRatio, kMaxCallerLogRatio);
  aEstimate.mLogRatio += (ratio - aEstimate.mLogRatio) / aEstimate.mSamples;
}

/// Adds a request to the distribution of its route; older ones count less.
void
RecordRouteWork(RouteWork& aRoute, Work aWork, state::TimePoint aNow)
{
  const double kept =
    std::min(AgedSamples(aRoute.mSamples, aRoute.mUpdatedAt, aNow),
             kAveragedSamples - 1);
  const double factor = aRoute.mSamples > 0 ? kept / aRoute.mSamples : 0;
  for (auto& count : aRoute.mCounts) {
    count *= static_cast<float>(factor);
  }
  aRoute.mCounts[IntervalOf(aWork)] += 1;
  aRoute.mSamples = kept + 1;
  aRoute.mMean += (aWork - aRoute.mMean) / aRoute.mSamples;
  aRoute.mMeanLog +=
    (std::log(aWork.count()) - aRoute.mMeanLog) / aRoute.mSamples;
  aRoute.mUpdatedAt = aNow;
}

/// Returns the estimate of a service, which is made when first needed.
ServiceWork&
FindOrAddService(WorkModel& aModel, std::string_view aService)
{
  const auto found = aModel.mServices.find(aService);
  if (found != aModel.mServices.end()) {
    return found->second;
  }
  return aModel.mServices[std::string(aService)];
}

} // namespace

void
RecordWork(WorkModel& aModel, const WorkSample& aSample, state::TimePoint aNow)
{
  const Work work = std::max(aSample.mWork, Work(kSmallestWork));
  auto& route = aModel.mRoutes[aSample.mRoute];
  if (route.mSamples >= kMinWorkSamples) {
    const auto key = CallerKey(aSample.mRoute, aSample.mCaller);
    RecordCallerWork(aModel.mCallers[(key >> 1U) % kCallerEstimates],
                     key,
                     std::log(work.count()) - route.mMeanLog,
                     aNow);
  }
  RecordRouteWork(route, work, aNow);
  ++aModel.mSampleCount;
  auto& service = FindOrAddService(aModel, aSample.mService);
  service.mSamples =
    std::min(AgedSamples(service.mSamples, service.mUpdatedAt, aNow) + 1,
             kAveragedSamples);
  service.mMean += (work - service.mMean) / service.mSamples;
  service.mUpdatedAt = aNow;
}

const RouteWork*
FindRouteWork(const WorkModel& aModel,
              const state::Endpoint& aRoute,
              state::TimePoint aNow)
{
  const auto found = aModel.mRoutes.find(aRoute);
  if (found == aModel.mRoutes.end() ||
      AgedSamples(found->second.mSamples, found->second.mUpdatedAt, aNow) <
        kMinWorkSamples) {
    return nullptr;
  }
  return &found->second;
}

std::optional<Work>
MeanWork(const WorkModel& aModel,
         std::string_view aService,
         state::TimePoint aNow)
{
  const auto found = aModel.mServices.find(aService);
  if (found == aModel.mServices.end() ||
      AgedSamples(found->second.mSamples, found->second.mUpdatedAt, aNow) <
        kMinWorkSamples) {
    return std::nullopt;
  }
  return found->second.mMean;
}

double
CallerFactor(const WorkModel& aModel,
             const state::Endpoint& aRoute,
             state::Ipv4Address aCaller,
             state::TimePoint aNow)
{
  const auto key = CallerKey(aRoute, aCaller);
  const auto& estimate = aModel.mCallers[(key >> 1U) % kCallerEstimates];
  if (estimate.mKey != key) {
    return 1;
  }
  const double samples =
    AgedSamples(estimate.mSamples, estimate.mUpdatedAt, aNow);
  return std::exp(estimate.mLogRatio * samples / (samples + kCallerPrior));
}

Work
ExpectedRemainingWork(const RouteWork& aRoute, Work aDone)
{
  if (aDone <= Work(0)) {
    return aRoute.mMean;
  }
  // One assumed request that takes twice the work done so far, so that the
  // result is defined and grows when no known request took longer.
  double requests = 1;
  double remaining = aDone.count();
  const auto& middles = Middles();
  for (auto index = IntervalOf(aDone); index < kWorkIntervals; ++index) {
    if (middles[index] > aDone.count()) {
      requests += aRoute.mCounts[index];
      remaining += aRoute.mCounts[index] * (middles[index] - aDone.count());
    }
  }
  return Work(remaining / requests);
}

} // namespace sassafrasknot::flows
