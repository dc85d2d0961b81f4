#include "settings_value.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace sassafrasknot::protocol {
namespace {

/// Unit of a setting.
struct Unit
{
  std::string_view mName;
  /// Value of one unit in the setting's base unit (milliseconds or bytes).
  std::uint64_t mFactor = 1;
};

// In ascending order, as FormatNumber requires.
constexpr std::array kTimeUnits{ Unit{ "ms", 1 },
                                 Unit{ "s", 1000 },
                                 Unit{ "min", 60000 } };
constexpr std::array kSizeUnits{ Unit{ "KiB", 1U << 10U },
                                 Unit{ "MiB", 1U << 20U } };
constexpr std::array<std::pair<std::string_view, LogThreshold>, 3>
  kLogThresholds{ { { "info", LogThreshold::Info },
                    { "warning", LogThreshold::Warning },
                    { "error", LogThreshold::Error } } };

/// Removes spaces and tabs at both ends.
std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

/// Lowest and highest allowed value in the base unit.
struct Range
{
  std::uint64_t mLowest = 0;
  std::uint64_t mHighest = 0;
};

/// Parses a whole number that is followed by one of the units, or by nothing if
/// there are no units. Sets the value in the base unit and returns true if the
/// text is valid and in the range, and changes nothing otherwise.
bool
ParseNumber(std::string_view aText,
            std::span<const Unit> aUnits,
            Range aRange,
            std::uint64_t& aValue)
{
  std::uint64_t number = 0;
  const auto* const end = aText.data() + aText.size();
  const auto [stop, errorCode] = std::from_chars(aText.data(), end, number);
  if (errorCode != std::errc{}) {
    return false;
  }
  const auto rest = Trim({ stop, static_cast<std::size_t>(end - stop) });
  std::uint64_t factor = 1;
  if (!aUnits.empty()) {
    const auto unit = std::ranges::find(aUnits, rest, &Unit::mName);
    if (unit == aUnits.end()) {
      return false;
    }
    factor = unit->mFactor;
  } else if (!rest.empty()) {
    return false;
  }
  if (number > aRange.mHighest / factor || number * factor < aRange.mLowest) {
    return false;
  }
  aValue = number * factor;
  return true;
}

/// Formats a value with the largest unit of which it is a multiple.
std::string
FormatNumber(std::uint64_t aValue, std::span<const Unit> aUnits)
{
  const auto dividesValue = [&](const Unit& aUnit) {
    return aValue % aUnit.mFactor == 0;
  };
  const auto unit = std::find_if(aUnits.rbegin(), aUnits.rend(), dividesValue);
  if (unit == aUnits.rend()) {
    return std::to_string(aValue);
  }
  return std::to_string(aValue / unit->mFactor) + ' ' +
         std::string(unit->mName);
}

/// Defines an optional setting that is a number.
SettingDefinition
NumberSetting(std::string_view aSection,
              std::string_view aKey,
              std::string_view aAllowedValues,
              std::span<const Unit> aUnits,
              Range aRange,
              std::uint64_t Settings::*aMember)
{
  return { aSection,
           aKey,
           aAllowedValues,
           false,
           [=](Settings& aSettings, std::string_view aText) {
             return ParseNumber(aText, aUnits, aRange, aSettings.*aMember);
           },
           [=](const Settings& aSettings) {
             return FormatNumber(aSettings.*aMember, aUnits);
           } };
}

/// Defines a required setting that is an endpoint.
SettingDefinition
EndpointSetting(std::string_view aSection,
                std::string_view aKey,
                state::Endpoint Settings::*aMember)
{
  return { aSection,
           aKey,
           kEndpointFormat,
           true,
           [=](Settings& aSettings, std::string_view aText) {
             const auto endpoint = ParseReachableEndpoint(aText);
             aSettings.*aMember = endpoint.value_or(state::Endpoint{});
             return endpoint.has_value();
           },
           [=](const Settings& aSettings) {
             return state::ToString(aSettings.*aMember);
           } };
}

/// Defines a required setting that is the name of an instance or data centre.
template<typename Id>
SettingDefinition
NameSetting(std::string_view aSection,
            std::string_view aKey,
            Id Settings::*aMember)
{
  return { aSection,
           aKey,
           kNameFormat,
           true,
           [=](Settings& aSettings, std::string_view aText) {
             (aSettings.*aMember).mValue = std::string(aText);
             return IsName(aText);
           },
           [=](const Settings& aSettings) {
             return (aSettings.*aMember).mValue;
           } };
}

/// Parses 1 to 8 different endpoints, separated by commas.
bool
SetPlatformEndpoints(Settings& aSettings, std::string_view aText)
{
  auto& endpoints = aSettings.mPlatformEndpoints;
  endpoints.clear();
  for (std::size_t start = 0; start <= aText.size();) {
    const auto comma = std::min(aText.find(',', start), aText.size());
    const auto endpoint =
      ParseReachableEndpoint(Trim(aText.substr(start, comma - start)));
    if (!endpoint ||
        std::ranges::find(endpoints, *endpoint) != endpoints.end()) {
      return false;
    }
    endpoints.push_back(*endpoint);
    start = comma + 1;
  }
  return endpoints.size() <= 8;
}

std::string
FormatPlatformEndpoints(const Settings& aSettings)
{
  std::string text;
  for (const auto& endpoint : aSettings.mPlatformEndpoints) {
    text += (text.empty() ? "" : ", ") + state::ToString(endpoint);
  }
  return text;
}

bool
SetMaxStopTime(Settings& aSettings, std::string_view aText)
{
  std::uint64_t value = 0;
  if (!ParseNumber(aText, kTimeUnits, { 1000, 60000 }, value)) {
    return false;
  }
  aSettings.mMaxStopTime = std::chrono::milliseconds(value);
  return true;
}

std::string
FormatMaxStopTime(const Settings& aSettings)
{
  return FormatNumber(
    static_cast<std::uint64_t>(aSettings.mMaxStopTime.count()), kTimeUnits);
}

bool
SetLogThreshold(Settings& aSettings, std::string_view aText)
{
  for (const auto& [name, threshold] : kLogThresholds) {
    if (name == aText) {
      aSettings.mLogThreshold = threshold;
      return true;
    }
  }
  return false;
}

std::string
FormatLogThreshold(const Settings& aSettings)
{
  for (const auto& [name, threshold] : kLogThresholds) {
    if (threshold == aSettings.mLogThreshold) {
      return std::string(name);
    }
  }
  return {};
}

} // namespace

std::span<const SettingDefinition>
SettingDefinitions()
{
  static const std::vector<SettingDefinition> kDefinitions{
    NameSetting("instance", "name", &Settings::mInstance),
    NameSetting("instance", "data_centre", &Settings::mDataCentre),
    EndpointSetting("listen", "packets", &Settings::mPeerEndpoint),
    EndpointSetting("listen", "control", &Settings::mControlEndpoint),
    EndpointSetting("fabric", "endpoint", &Settings::mFabricEndpoint),
    { "platform",
      "endpoints",
      "1 to 8 different ADDRESS:PORT, separated by commas",
      true,
      SetPlatformEndpoints,
      FormatPlatformEndpoints },
    NumberSetting("traffic",
                  "threads",
                  "a number of threads, 1 to 64",
                  {},
                  { 1, 64 },
                  &Settings::mTrafficThreads),
    NumberSetting("traffic",
                  "held_packets",
                  "a number of packets per thread, 1 to 1000000",
                  {},
                  { 1, 1000000 },
                  &Settings::mMaxHeldPackets),
    NumberSetting("traffic",
                  "receive_buffer",
                  "a size with its unit, 64 KiB to 64 MiB",
                  kSizeUnits,
                  { std::uint64_t{ 64 } << 10U, std::uint64_t{ 64 } << 20U },
                  &Settings::mReceiveBufferBytes),
    { "stop",
      "bound",
      "a time with its unit (ms, s, min), 1 s to 60 s",
      false,
      SetMaxStopTime,
      FormatMaxStopTime },
    { "log",
      "level",
      "info, warning or error",
      false,
      SetLogThreshold,
      FormatLogThreshold },
    NumberSetting("log",
                  "lines_per_second",
                  "lines of one event per second, 1 to 1000",
                  {},
                  { 1, 1000 },
                  &Settings::mLogLinesPerSecond),
  };
  return kDefinitions;
}

std::optional<state::Endpoint>
ParseReachableEndpoint(std::string_view aText)
{
  const auto endpoint = state::ParseEndpoint(aText);
  if (!endpoint || endpoint.value().mAddress.mValue == 0) {
    return std::nullopt;
  }
  return endpoint.value();
}

} // namespace sassafrasknot::protocol
