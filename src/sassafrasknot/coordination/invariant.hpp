#ifndef SASSAFRASKNOT_SRC_COORDINATION_INVARIANT_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_INVARIANT_HPP

#include "sassafrasknot/state/counters.hpp"

#include <string_view>

namespace sassafrasknot::coordination {

/// Counts a violated invariant in "invariant_violations_NAME_total". Aborts the
/// process if SetInvariantsFatal has made violations fatal.
/// @param aHolds whether the invariant holds
/// @param aName name of the invariant, part of the counter's name
/// @return aHolds
bool
CheckInvariant(bool aHolds, std::string_view aName, state::Counters& aCounters);

} // namespace sassafrasknot::coordination

#endif
