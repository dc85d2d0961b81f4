#ifndef SASSAFRASKNOT_NET_CLOCK_HPP
#define SASSAFRASKNOT_NET_CLOCK_HPP

#include "sassafrasknot/state/time.hpp"

namespace sassafrasknot::net {

/// @brief Returns the current time for the decisions of an instance.
/// @return time on the steady clock
state::TimePoint
Now();

} // namespace sassafrasknot::net

#endif
