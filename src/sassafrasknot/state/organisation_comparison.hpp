#ifndef SASSAFRASKNOT_STATE_ORGANISATION_COMPARISON_HPP
#define SASSAFRASKNOT_STATE_ORGANISATION_COMPARISON_HPP

#include "sassafrasknot/state/difference.hpp"

namespace sassafrasknot::state {

/// @brief The organisation that is compared, and the difference to which its
/// changes are added.
struct OrganisationComparison
{
  Difference& mDifference;
  OrganisationId mOrganisation;
};

/// @brief The listener that uses an endpoint.
struct EndpointHolder
{
  ServiceId mService;
  std::uint16_t mListenerPort = 0;
  bool mIsUpstream = false;

  auto operator<=>(const EndpointHolder&) const = default;
};

/// @brief Adds a change.
/// @param aComparison organisation that changes
/// @param aKind kind of the change
/// @param aLocation Change::mLocation
/// @param aMessage Change::mMessage
/// @param aUnsafeReason Change::mUnsafeReason; empty for a safe change
void
AddChange(OrganisationComparison& aComparison,
          ChangeKind aKind,
          std::string aLocation,
          std::string aMessage,
          std::string aUnsafeReason = {});

/// @brief Adds the changes for a new service and its upstreams.
/// @param aComparison organisation that changes
/// @param aService service of the new set
void
AddService(OrganisationComparison& aComparison, const Service& aService);

/// @brief Adds the changes for a removed service and its upstreams.
/// @param aComparison organisation that changes
/// @param aService service of the old set
void
RemoveService(OrganisationComparison& aComparison, const Service& aService);

/// @brief Adds the changes of a service that is in both sets.
/// @param aComparison organisation that changes
/// @param aOld the service in the old set
/// @param aNew the service in the new set
void
CompareService(OrganisationComparison& aComparison,
               const Service& aOld,
               const Service& aNew);

/// @brief Returns the listener that uses each endpoint. If several listeners
/// use one, the first in the order of organisations, services and listeners is
/// returned.
/// @param aOrganisations organisations of one set of documents
/// @return the holders of all service and upstream endpoints
std::map<Endpoint, EndpointHolder>
EndpointHolders(const std::map<OrganisationId, Organisation>& aOrganisations);

/// @brief Adds the change for an endpoint that moves between listeners, and
/// sets the effect on the flows of the old listener to FlowEffect::Break.
/// @param aDifference difference to update
/// @param aEndpoint endpoint that moves
/// @param aFrom holder in the old set
/// @param aTo holder in the new set
void
AddMove(Difference& aDifference,
        const Endpoint& aEndpoint,
        const EndpointHolder& aFrom,
        const EndpointHolder& aTo);

} // namespace sassafrasknot::state

#endif
