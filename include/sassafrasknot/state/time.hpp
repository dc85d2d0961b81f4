#ifndef SASSAFRASKNOT_STATE_TIME_HPP
#define SASSAFRASKNOT_STATE_TIME_HPP

#include <chrono>

/// @brief Plain data and pure functions that the other modules share.
namespace sassafrasknot::state {

/// @brief Length of time, in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// @brief Point in time on a clock that never goes back; programs choose which
/// (see net::Now). Functions that decide receive the current time from their
/// caller and never read a clock, so that a simulated run can be repeated with
/// the same seed.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

} // namespace sassafrasknot::state

#endif
