#ifndef SASSAFRASKNOT_PROTOCOL_SETTINGS_HPP
#define SASSAFRASKNOT_PROTOCOL_SETTINGS_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasknot::protocol {

/// @brief Lowest severity that is logged.
enum class LogThreshold : std::uint8_t
{
  Info,
  Warning,
  Error,
};

/// @brief Another instance that this one probes, at its start and at intervals
/// afterwards, in order to join the members that the other one knows.
struct SeedPeer
{
  state::InstanceId mId;
  /// UDP endpoint for packets and peer messages.
  state::Endpoint mPeerEndpoint;
  /// TCP endpoint of the gRPC services.
  state::Endpoint mControlEndpoint;

  auto operator<=>(const SeedPeer&) const = default;
};

/// @brief Settings of one instance, as read from its settings file.
struct Settings
{
  state::InstanceId mInstance;
  state::DataCentreId mDataCentre;
  /// UDP endpoint for packets and peer messages.
  state::Endpoint mPeerEndpoint;
  /// TCP endpoint of the gRPC services.
  state::Endpoint mControlEndpoint;
  /// UDP endpoint of the fabric, the network that delivers rewritten packets.
  state::Endpoint mFabricEndpoint;
  /// HTTP endpoints of the platform's configuration service, tried in this
  /// order.
  std::vector<state::Endpoint> mPlatformEndpoints;
  /// Other instances to probe; this instance may be listed too and is skipped.
  std::vector<SeedPeer> mSeeds;
  std::uint64_t mTrafficThreads = 2;
  /// Maximum number of packets that one traffic thread holds for queued flows.
  std::uint64_t mMaxHeldPackets = 16384;
  /// Receive buffer of each UDP socket, in bytes.
  std::uint64_t mReceiveBufferBytes = std::uint64_t{ 4 } << 20U;
  /// Maximum duration of a planned stop.
  std::chrono::milliseconds mMaxStopTime{ 60000 };
  LogThreshold mLogThreshold = LogThreshold::Info;
  /// Maximum number of lines of one event that are logged per second; further
  /// ones are only counted.
  std::uint64_t mLogLinesPerSecond = 10;

  auto operator<=>(const Settings&) const = default;
};

/// @brief Parses settings in INI format.
/// @param aText contents of the file
/// @param aFile file name for error messages
/// @return the settings, or InvalidArgument with one line per error:
/// "FILE:LINE: [SECTION] KEY: error; allowed: ..."
state::Result<Settings>
ParseSettings(std::string_view aText, std::string_view aFile);

/// @brief Reads and parses a settings file.
/// @param aFile path of the file
/// @return the settings, NotFound if the file cannot be read, or the error of
/// ParseSettings
state::Result<Settings>
ReadSettings(const std::string& aFile);

/// @brief Formats all settings, defaults included, as text that ParseSettings
/// accepts.
/// @param aSettings settings whose values are in their allowed ranges
/// @return text in INI format
std::string
FormatSettings(const Settings& aSettings);

} // namespace sassafrasknot::protocol

#endif
