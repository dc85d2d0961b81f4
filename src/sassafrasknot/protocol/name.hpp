#ifndef SASSAFRASKNOT_PROTOCOL_NAME_HPP
#define SASSAFRASKNOT_PROTOCOL_NAME_HPP

#include <string_view>

namespace sassafrasknot::protocol {

/// Format of a name, for error messages.
constexpr std::string_view kNameFormat =
  "1 to 64 letters, digits, '.', '_' and '-'";

/// Returns whether a text is allowed as the name of an instance or data centre
/// in settings and in messages between instances.
bool
IsName(std::string_view aText);

} // namespace sassafrasknot::protocol

#endif
