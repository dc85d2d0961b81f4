#ifndef SASSAFRASKNOTCTL_DUMP_VIEW_HPP
#define SASSAFRASKNOTCTL_DUMP_VIEW_HPP

#include "sassafrasknot/state/error.hpp"

#include <string>
#include <string_view>

namespace sassafrasknotctl {

/// @brief Writes an instance's dump for people: one line a value, with the
/// structure as indentation, and arrays of plain objects as tables.
/// @param aDump the dump, a JSON object
/// @return the text, or Malformed
sassafrasknot::state::Result<std::string>
DumpToText(std::string_view aDump);

} // namespace sassafrasknotctl

#endif
