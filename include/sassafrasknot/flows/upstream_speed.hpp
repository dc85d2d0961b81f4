#ifndef SASSAFRASKNOT_FLOWS_UPSTREAM_SPEED_HPP
#define SASSAFRASKNOT_FLOWS_UPSTREAM_SPEED_HPP

#include "sassafrasknot/flows/work_model.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>

namespace sassafrasknot::flows {

/// Time constant with which the number of samples of a speed falls. An instance
/// sends a few requests per second to each upstream of its subset, and speeds
/// change for seconds.
constexpr std::chrono::seconds kSpeedMemory{ 30 };

/// An answer that arrives earlier than usual by more than this factor, compared
/// with other requests at the same upstream, is no evidence of speed: it
/// probably reports a failure.
constexpr double kShortAnswerFactor = 5;

/// @brief Estimate of the speed of an upstream relative to the others: the work
/// of its requests divided by the time that they take there without queueing.
struct SpeedEstimate
{
  /// Mean of the logarithms of usual work divided by measured time. Each sample
  /// is bounded around the mean, so that a long request counts little.
  double mMeanLog = 0;
  /// Number of samples; older ones count less.
  double mSamples = 0;
  state::TimePoint mUpdatedAt;
};

/// @brief Returns the speed of an upstream.
/// @param aEstimate the upstream's estimate
/// @param aNow current time on the steady clock
/// @return speed relative to the other upstreams; 1 without samples, which the
/// estimate also approaches with few or old samples
double
Speed(const SpeedEstimate& aEstimate, state::TimePoint aNow);

/// @brief Records the time that a request took without waiting in a queue.
/// @param aEstimate estimate of the request's upstream
/// @param aUsual usual work of such requests: the typical one, not the mean
/// @param aTaken time that it took, greater than 0
/// @param aNow current time on the steady clock
/// @return whether the time is a sample; false if the answer was unusually
/// early
bool
RecordSpeed(SpeedEstimate& aEstimate,
            Work aUsual,
            Work aTaken,
            state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
