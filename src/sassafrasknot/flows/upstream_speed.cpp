#include "sassafrasknot/flows/upstream_speed.hpp"

#include <algorithm>
#include <cmath>

namespace sassafrasknot::flows {
namespace {

/// Number of samples over which the mean is taken.
constexpr double kAveragedSamples = 48;
/// Number of samples of the reported speed, or of speed 1, to which the
/// measured ones are added.
constexpr double kPriorSamples = 6;
/// Bound of a sample's distance from the mean: a request that takes several
/// times longer than usual counts like one that takes 2.7 times longer.
constexpr double kMaxDistance = 1;
/// Bound of the logarithm of a speed: upstreams are assumed to be at most 5
/// times slower or faster than the others.
constexpr double kMaxLogSpeed = 1.6;
constexpr double kPercent = 100;

double
AgedSamples(const SpeedEstimate& aEstimate, state::TimePoint aNow)
{
  return aEstimate.mSamples *
         std::exp(-std::chrono::duration<double>(aNow - aEstimate.mUpdatedAt) /
                  std::chrono::duration<double>(kSpeedMemory));
}

} // namespace

double
Speed(const SpeedEstimate& aEstimate, state::TimePoint aNow)
{
  if (aEstimate.mSamples <= 0) {
    return aEstimate.mSharedSpeed;
  }
  const double samples = AgedSamples(aEstimate, aNow);
  return std::exp((aEstimate.mMeanLog * samples +
                   aEstimate.mShared.mMeanLog * kPriorSamples) /
                  (samples + kPriorSamples));
}

double
OwnSpeed(const SpeedEstimate& aEstimate, state::TimePoint aNow)
{
  if (aEstimate.mSamples <= 0) {
    return 1;
  }
  const double samples = AgedSamples(aEstimate, aNow);
  return std::exp(aEstimate.mMeanLog * samples / (samples + kPriorSamples));
}

std::uint32_t
ReportedSpeedPercent(const SpeedEstimate& aEstimate, state::TimePoint aNow)
{
  if (aEstimate.mSamples < kMinReportedSamples ||
      aNow - aEstimate.mUpdatedAt > kReportedSpeedAge) {
    return 0;
  }
  return static_cast<std::uint32_t>(
    std::lround(kPercent * std::exp(aEstimate.mMeanLog)));
}

std::optional<double>
LogOfReportedSpeed(std::uint32_t aPercent)
{
  if (aPercent < kMinSpeedPercent || aPercent > kMaxSpeedPercent) {
    return std::nullopt;
  }
  return std::log(aPercent / kPercent);
}

void
AddSpeedReport(SharedSpeed& aShared, double aLogSpeed)
{
  ++aShared.mReporters;
  aShared.mMeanLog += (aLogSpeed - aShared.mMeanLog) / aShared.mReporters;
}

void
SetSharedSpeed(SpeedEstimate& aEstimate, const SharedSpeed& aShared)
{
  if (aShared.mMeanLog != aEstimate.mShared.mMeanLog) {
    aEstimate.mSharedSpeed = std::exp(aShared.mMeanLog);
  }
  aEstimate.mShared = aShared;
}

bool
RecordSpeed(SpeedEstimate& aEstimate,
            Work aUsual,
            Work aTaken,
            state::TimePoint aNow)
{
  const double sample = std::log(aUsual / aTaken);
  if (sample - aEstimate.mMeanLog > std::log(kShortAnswerFactor)) {
    return false;
  }
  aEstimate.mSamples =
    std::min(AgedSamples(aEstimate, aNow) + 1, kAveragedSamples);
  aEstimate.mUpdatedAt = aNow;
  aEstimate.mMeanLog +=
    std::clamp(sample - aEstimate.mMeanLog, -kMaxDistance, kMaxDistance) /
    aEstimate.mSamples;
  aEstimate.mMeanLog =
    std::clamp(aEstimate.mMeanLog, -kMaxLogSpeed, kMaxLogSpeed);
  return true;
}

} // namespace sassafrasknot::flows
