#ifndef SASSAFRASKNOTCTL_ORGANISATION_TEXT_HPP
#define SASSAFRASKNOTCTL_ORGANISATION_TEXT_HPP

#include "sassafrasknot/state/configuration.hpp"

#include <string>

#include <boost/json/object.hpp>

namespace sassafrasknotctl {

/// @brief Writes an organisation for operators.
/// @param aOrganisation the organisation
/// @return lines of text
std::string
ToText(const sassafrasknot::state::Organisation& aOrganisation);

/// @brief Writes an organisation for programs. Times are in milliseconds.
/// @param aOrganisation the organisation
/// @return an object with the members weight and services
boost::json::object
ToJson(const sassafrasknot::state::Organisation& aOrganisation);

} // namespace sassafrasknotctl

#endif
