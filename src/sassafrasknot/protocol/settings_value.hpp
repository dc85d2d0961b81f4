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

/// A key of the settings: how it is read, written and described.
struct SettingsRule
{
  std::string_view mSection;
  std::string_view mKey;
  /// What a value must look like, for messages.
  std::string_view mAllowed;
  bool mRequired = false;
  /// Returns whether the value was valid and is now set.
  std::function<bool(Settings&, std::string_view)> mSet;
  std::function<std::string(const Settings&)> mPrint;
};

/// Section of a seed peer, before its name.
constexpr std::string_view kSeedPrefix = "seed ";
constexpr std::string_view kEndpointAllowed =
  "ADDRESS:PORT, such as 127.0.0.1:7000";

/// Returns the rules of all keys outside the seed sections, in print order.
std::span<const SettingsRule>
SettingsRules();

/// Reads an endpoint that other processes can use, so not 0.0.0.0.
std::optional<state::Endpoint>
ReadSettingsEndpoint(std::string_view aText);

} // namespace sassafrasknot::protocol

#endif
