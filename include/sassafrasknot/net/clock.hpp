#ifndef SASSAFRASKNOT_NET_CLOCK_HPP
#define SASSAFRASKNOT_NET_CLOCK_HPP

#include "sassafrasknot/state/time.hpp"

namespace sassafrasknot::net {

/// @brief Returns the current time for the decisions of an instance. Unlike
/// std::chrono::steady_clock, it includes the time for which the machine was
/// suspended; otherwise an instance would take its state for as recent after
/// that time as before it. It must not be compared with times of that clock.
/// @return time since the machine's start, which never goes back
state::TimePoint
Now();

} // namespace sassafrasknot::net

#endif
