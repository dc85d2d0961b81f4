#ifndef SASSAFRASKNOT_REVIEW_CASES_HPP
#define SASSAFRASKNOT_REVIEW_CASES_HPP

#include <vector>

#include "caller.hpp"
#include "deployment.hpp"

namespace review {

/// Main route of all cases.
inline constexpr Endpoint kDesk{ 0xC6120001, 8443 };

/// @brief Adds the machines, targets and routes of a small deployment, starts
/// them and waits until all machines are in rotation and in touch.
/// @param aZones zone of each machine
/// @return whether they were ready in time
bool
StartDeployment(Deployment& aDeployment,
                const std::vector<std::string>& aZones);

/// @brief Starts callers that hold feeds on a route.
/// @param aFirst number of the first caller, which no other has
/// @param aFresh each request has a flow of its own
/// @param aZones zones of the callers, in turn
std::vector<std::shared_ptr<Caller>>
StartCallers(Deployment& aDeployment,
             std::size_t aFirst,
             std::size_t aCount,
             const Endpoint& aService,
             milliseconds aInterval,
             bool aFresh = false,
             const std::vector<std::string>& aZones = { "a" });

/// @brief A machine freezes while it hands a new configuration to its peers.
/// Rule FLOW.
void
RunFrozenReader(Deployment& aDeployment, bool aTrouble);

/// @brief The settings file of each machine changes without a signal: the store
/// has another address. Rule CONFIG.
void
RunMovedStore(Deployment& aDeployment, bool aTrouble);

/// @brief Another writer puts an entry with missing fields in place of a
/// target's. Rule ROUTE.
void
RunForeignEntry(Deployment& aDeployment, bool aTrouble);

/// @brief The settings give a bound as a fraction, and the machines are stopped
/// and started in turn. Rule Fault.
void
RunFractionalBound(Deployment& aDeployment, bool aTrouble);

} // namespace review

#endif
