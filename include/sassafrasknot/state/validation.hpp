#ifndef SASSAFRASKNOT_STATE_VALIDATION_HPP
#define SASSAFRASKNOT_STATE_VALIDATION_HPP

#include "sassafrasknot/state/configuration.hpp"
#include "sassafrasknot/state/error.hpp"

#include <string>
#include <vector>

namespace sassafrasknot::state {

/// @brief A fault of an organisation.
struct Finding
{
  /// Where, such as "services/scheduling/upstreams/2/address".
  std::string mLocation;
  std::string mMessage;

  auto operator<=>(const Finding&) const = default;
};

/// @brief Checks one organisation by itself: names, ranges, duplicate services,
/// ports and upstreams, and addresses used twice.
/// @param aOrganisation the organisation
/// @return its faults; empty if it may take effect
std::vector<Finding>
Validate(const Organisation& aOrganisation);

/// @brief Lists the endpoints that only one organisation may use: service
/// addresses with listener ports, and upstream addresses with upstream ports.
/// @param aOrganisation the organisation
/// @return the endpoints in ascending order, without duplicates
std::vector<Endpoint>
ClaimedEndpoints(const Organisation& aOrganisation);

} // namespace sassafrasknot::state

#endif
