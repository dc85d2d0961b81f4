#ifndef SASSAFRASKNOT_COORDINATION_INVARIANT_POLICY_HPP
#define SASSAFRASKNOT_COORDINATION_INVARIANT_POLICY_HPP

namespace sassafrasknot::coordination {

/// @brief Makes a violated invariant end the process instead of only counting
/// it. Tests switch this on; it applies to the whole process.
/// @param aFatal whether violations end the process
void
SetInvariantsFatal(bool aFatal);

} // namespace sassafrasknot::coordination

#endif
