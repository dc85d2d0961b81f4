#ifndef SASSAFRASKNOT_COORDINATION_INVARIANT_POLICY_HPP
#define SASSAFRASKNOT_COORDINATION_INVARIANT_POLICY_HPP

namespace sassafrasknot::coordination {

/// @brief Sets whether a violated invariant aborts the process. Violations are
/// always counted; by default they do not abort. Tests enable this. It applies
/// to the whole process.
/// @param aFatal whether a violation aborts the process
void
SetInvariantsFatal(bool aFatal);

} // namespace sassafrasknot::coordination

#endif
