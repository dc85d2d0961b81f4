#ifndef SASSAFRASKNOTCTL_ORGANISATION_TEXT_HPP
#define SASSAFRASKNOTCTL_ORGANISATION_TEXT_HPP

#include "sassafrasknot/state/configuration.hpp"

#include <string>

#include <boost/json/object.hpp>

namespace sassafrasknotctl {

/// @brief Formats an organisation as text for operators.
/// @param aOrganisation organisation with its template filled in
/// @return lines of text
std::string
ToText(const sassafrasknot::state::Organisation& aOrganisation);

/// @brief Converts an organisation to JSON. Times are in milliseconds.
/// @param aOrganisation organisation with its template filled in
/// @return an object with the members weight and services
boost::json::object
ToJson(const sassafrasknot::state::Organisation& aOrganisation);

} // namespace sassafrasknotctl

#endif
