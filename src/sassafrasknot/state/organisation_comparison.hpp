#ifndef SASSAFRASKNOT_STATE_ORGANISATION_COMPARISON_HPP
#define SASSAFRASKNOT_STATE_ORGANISATION_COMPARISON_HPP

#include "sassafrasknot/state/difference.hpp"

namespace sassafrasknot::state {

/// @brief A difference and the organisation whose parts are compared.
struct OrganisationComparison
{
  Difference& mDifference;
  OrganisationId mOrganisation;
};

/// @brief The listener that an endpoint belongs to.
struct EndpointHolder
{
  ServiceId mService;
  std::uint16_t mListenerPort = 0;
  bool mIsUpstream = false;

  auto operator<=>(const EndpointHolder&) const = default;
};

void
AddChange(OrganisationComparison& aParts,
          ChangeKind aKind,
          std::string aPlace,
          std::string aMessage,
          std::string aDanger = {});

void
AddService(OrganisationComparison& aParts, const Service& aService);

void
RemoveService(OrganisationComparison& aParts, const Service& aService);

void
CompareService(OrganisationComparison& aParts,
               const Service& aOld,
               const Service& aNew);

/// @brief Returns the holders of all endpoints of some organisations.
std::map<Endpoint, EndpointHolder>
EndpointHolders(const std::map<OrganisationId, Organisation>& aOrganisations);

/// @brief Adds an endpoint that one listener loses and another one takes.
void
AddMove(Difference& aDifference,
        const Endpoint& aEndpoint,
        const EndpointHolder& aFrom,
        const EndpointHolder& aTo);

} // namespace sassafrasknot::state

#endif
