#include "sassafrasknot/flows/upstream_speed.hpp"

#include <algorithm>
#include <cmath>

namespace sassafrasknot::flows {
namespace {

/// Number of samples over which the mean is taken.
constexpr double kAveragedSamples = 48;
/// Number of samples of speed 1 to which the measured ones are added.
constexpr double kPriorSamples = 6;
/// Bound of a sample's distance from the mean: a request that takes several
/// times longer than usual counts like one that takes 2.7 times longer.
constexpr double kMaxDistance = 1;
/// Bound of the logarithm of a speed: upstreams are assumed to be at most 5
/// times slower or faster than the others.
constexpr double kMaxLogSpeed = 1.6;

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
    return 1;
  }
  const double samples = AgedSamples(aEstimate, aNow);
  return std::exp(aEstimate.mMeanLog * samples / (samples + kPriorSamples));
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
