#ifndef SASSAFRASKNOTCTL_DUMP_VIEW_HPP
#define SASSAFRASKNOTCTL_DUMP_VIEW_HPP

#include "sassafrasknot/state/error.hpp"

#include <string>
#include <string_view>

namespace sassafrasknotctl {

/// @brief Formats an instance's dump (its state as JSON) as indented text with
/// one line per value. Arrays of objects that have the same members and no
/// nested values become tables.
/// @param aDump JSON object
/// @return the text, or Malformed if the dump is not a JSON object
sassafrasknot::state::Result<std::string>
DumpToText(std::string_view aDump);

} // namespace sassafrasknotctl

#endif
