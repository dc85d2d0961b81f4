#ifndef SASSAFRASKNOT_STATE_VALIDATION_HPP
#define SASSAFRASKNOT_STATE_VALIDATION_HPP

#include "sassafrasknot/state/configuration.hpp"
#include "sassafrasknot/state/error.hpp"

#include <string>
#include <vector>

namespace sassafrasknot::state {

/// @brief A validation error in an organisation.
struct Finding
{
  /// Path of the invalid value, such as
  /// "services/scheduling/upstreams/2/address".
  std::string mLocation;
  /// What was found or expected, for operators.
  std::string mMessage;

  auto operator<=>(const Finding&) const = default;
};

/// @brief Checks one organisation by itself: names, ranges, numbers of
/// elements, duplicate services and ports, and addresses used twice.
/// @param aOrganisation rendered organisation to check
/// @return validation errors; empty if it is valid
std::vector<Finding>
Validate(const Organisation& aOrganisation);

/// @brief Lists the endpoints that only one organisation may use: service
/// addresses with listener ports, and upstream addresses with upstream ports.
/// @param aOrganisation rendered organisation
/// @return the endpoints in ascending order, without duplicates
std::vector<Endpoint>
ClaimedEndpoints(const Organisation& aOrganisation);

} // namespace sassafrasknot::state

#endif
