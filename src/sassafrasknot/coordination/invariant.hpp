#ifndef SASSAFRASKNOT_SRC_COORDINATION_INVARIANT_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_INVARIANT_HPP

#include "sassafrasknot/state/counters.hpp"

#include <string_view>

namespace sassafrasknot::coordination {

/// Counts a violated invariant, and ends the process when violations are fatal.
/// The counter is "invariant_violations_NAME_total".
/// @return aHolds
bool
CheckInvariant(bool aHolds, std::string_view aName, state::Counters& aCounters);

} // namespace sassafrasknot::coordination

#endif
