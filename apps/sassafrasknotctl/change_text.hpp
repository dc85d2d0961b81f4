#ifndef SASSAFRASKNOTCTL_CHANGE_TEXT_HPP
#define SASSAFRASKNOTCTL_CHANGE_TEXT_HPP

#include "sassafrasknot/state/difference.hpp"

#include <string>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace sassafrasknotctl {

/// @brief Formats a change as one line, without the reason why it is unsafe.
/// @param aChange change between two sets of documents
/// @return a line without its end, such as "upstream-drained organisations/a
/// services/...: ..."
std::string
ToText(const sassafrasknot::state::Change& aChange);

/// @brief Converts changes to JSON.
/// @param aChanges changes between two sets of documents
/// @return objects with the members kind, key, place, message and danger;
/// danger is the reason why the change is unsafe, or empty
boost::json::array
ToJson(const std::vector<sassafrasknot::state::Change>& aChanges);

/// @brief Writes a difference to standard output: one line per change, one per
/// listener whose established flows do not simply stay, and a summary.
/// @param aDifference difference between two sets of documents
void
PrintDifference(const sassafrasknot::state::Difference& aDifference);

/// @brief Converts a difference to JSON.
/// @param aDifference difference between two sets of documents
/// @return an object with the members changes and flows
boost::json::object
ToJson(const sassafrasknot::state::Difference& aDifference);

} // namespace sassafrasknotctl

#endif
