#ifndef SASSAFRASKNOT_FLOWS_UPSTREAM_SPEED_HPP
#define SASSAFRASKNOT_FLOWS_UPSTREAM_SPEED_HPP

#include "sassafrasknot/flows/work_model.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace sassafrasknot::flows {

/// Time constant with which the number of samples of a speed falls. An instance
/// sends a few requests per second to each upstream of its subset, and speeds
/// change for seconds.
constexpr std::chrono::seconds kSpeedMemory{ 30 };

/// An answer that arrives earlier than usual by more than this factor, compared
/// with other requests at the same upstream, is no evidence of speed: it
/// probably reports a failure.
constexpr double kShortAnswerFactor = 5;

/// Own samples from which an estimate is reported to other instances, and time
/// after the newest of them for which it is.
constexpr double kMinReportedSamples = 6;
constexpr std::chrono::seconds kReportedSpeedAge{ 10 };

/// Range of the speeds that other instances may report, in percent. Estimates
/// are bounded to a factor of 4.95, so that other values are defective.
constexpr std::uint32_t kMinSpeedPercent = 20;
constexpr std::uint32_t kMaxSpeedPercent = 500;

/// @brief Speed of an upstream by the estimates of other instances.
struct SharedSpeed
{
  /// Mean of the logarithms of the reported speeds.
  double mMeanLog = 0;
  /// Number of instances that reported one.
  std::uint32_t mReporters = 0;
};

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
  /// Reports of other instances, and the speed that they give: the estimate
  /// without own samples. Changed by SetSharedSpeed.
  SharedSpeed mShared;
  double mSharedSpeed = 1;
};

/// @brief Returns the speed of an upstream.
/// @param aEstimate the upstream's estimate
/// @param aNow current time on the steady clock
/// @return speed relative to the other upstreams. Without own samples it is the
/// mean that other instances report, or 1 without reports; the estimate also
/// approaches this value with few or old samples
double
Speed(const SpeedEstimate& aEstimate, state::TimePoint aNow);

/// @brief Returns the speed of an upstream by own samples alone. The work of
/// requests is learned with it: if it were learned with reported speeds, the
/// estimates of all instances would depend on each other, and their common
/// scale could drift.
/// @param aEstimate the upstream's estimate
/// @param aNow current time on the steady clock
/// @return speed relative to the other upstreams, 1 without samples
double
OwnSpeed(const SpeedEstimate& aEstimate, state::TimePoint aNow);

/// @brief Returns the speed to report to other instances: the mean of the own
/// samples, without reports of others, so that none is counted twice.
/// @param aEstimate the upstream's estimate
/// @param aNow current time on the steady clock
/// @return speed in percent; 0 with fewer than kMinReportedSamples, or if the
/// newest sample is older than kReportedSpeedAge
std::uint32_t
ReportedSpeedPercent(const SpeedEstimate& aEstimate, state::TimePoint aNow);

/// @brief Returns the logarithm of a reported speed.
/// @param aPercent speed in percent
/// @return the logarithm; nullopt if the speed is below kMinSpeedPercent or
/// above kMaxSpeedPercent
std::optional<double>
LogOfReportedSpeed(std::uint32_t aPercent);

/// @brief Adds the report of one more instance.
/// @param aShared speed by the reports so far
/// @param aLogSpeed logarithm of the reported speed
void
AddSpeedReport(SharedSpeed& aShared, double aLogSpeed);

/// @brief Replaces the reports of other instances.
/// @param aEstimate the upstream's estimate
/// @param aShared speed by the reports of others; no reporters if there are
/// none
void
SetSharedSpeed(SpeedEstimate& aEstimate, const SharedSpeed& aShared);

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
