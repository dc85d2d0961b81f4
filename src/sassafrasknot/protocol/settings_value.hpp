#ifndef SASSAFRASKNOT_PROTOCOL_SETTINGS_VALUE_HPP
#define SASSAFRASKNOT_PROTOCOL_SETTINGS_VALUE_HPP

#include "sassafrasknot/protocol/settings.hpp"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "name.hpp"

namespace sassafrasknot::protocol {

/// One key of the settings file: how its value is parsed, formatted and
/// described in error messages.
struct SettingDefinition
{
  std::string_view mSection;
  std::string_view mKey;
  /// Allowed values, for error messages.
  std::string_view mAllowedValues;
  bool mRequired = false;
  /// Parses a value and stores it; returns false for an invalid value, after
  /// which the setting is unspecified.
  std::function<bool(Settings&, std::string_view)> mSet;
  /// Formats the value as mSet accepts it.
  std::function<std::string(const Settings&)> mFormat;
};

/// A section that begins with this prefix describes the seed peer whose name
/// follows.
constexpr std::string_view kSeedPrefix = "seed ";
/// Format of an endpoint, for error messages.
constexpr std::string_view kEndpointFormat =
  "ADDRESS:PORT, such as 127.0.0.1:7000";

/// Returns the definitions of all keys outside the seed sections, in the order
/// in which FormatSettings lists them.
std::span<const SettingDefinition>
SettingDefinitions();

/// Parses an endpoint to which other processes can send; 0.0.0.0 is rejected.
std::optional<state::Endpoint>
ParseReachableEndpoint(std::string_view aText);

} // namespace sassafrasknot::protocol

#endif
