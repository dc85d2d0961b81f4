#ifndef SASSAFRASKNOT_STATE_DIFFERENCE_PARTS_HPP
#define SASSAFRASKNOT_STATE_DIFFERENCE_PARTS_HPP

#include "sassafrasknot/state/difference.hpp"

namespace sassafrasknot::state {

/// @brief A difference and the organisation whose parts are compared.
struct DifferenceParts
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
AddChange(DifferenceParts& aParts,
          ChangeKind aKind,
          std::string aPlace,
          std::string aMessage,
          std::string aDanger = {});

void
AddService(DifferenceParts& aParts, const Service& aService);

void
RemoveService(DifferenceParts& aParts, const Service& aService);

void
CompareService(DifferenceParts& aParts,
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
