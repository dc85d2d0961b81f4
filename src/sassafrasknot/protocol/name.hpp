#ifndef SASSAFRASKNOT_PROTOCOL_NAME_HPP
#define SASSAFRASKNOT_PROTOCOL_NAME_HPP

#include <string_view>

namespace sassafrasknot::protocol {

constexpr std::string_view kNameAllowed =
  "1 to 64 letters, digits, '.', '_' and '-'";

/// Returns whether a text may name an instance or a data centre.
bool
IsName(std::string_view aText);

} // namespace sassafrasknot::protocol

#endif
