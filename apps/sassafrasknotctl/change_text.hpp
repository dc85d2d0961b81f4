#ifndef SASSAFRASKNOTCTL_CHANGE_TEXT_HPP
#define SASSAFRASKNOTCTL_CHANGE_TEXT_HPP

#include "sassafrasknot/state/difference.hpp"

#include <string>
#include <vector>

#include <boost/json/array.hpp>

namespace sassafrasknotctl {

/// @brief Writes a change as one line, without its danger.
/// @param aChange the change
/// @return such as "upstream-drained organisations/a services/...: ..."
std::string
ToText(const sassafrasknot::state::Change& aChange);

/// @brief Writes changes for programs.
/// @param aChanges the changes
/// @return objects with the members kind, key, place, message and danger
boost::json::array
ToJson(const std::vector<sassafrasknot::state::Change>& aChanges);

} // namespace sassafrasknotctl

#endif
