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

/// @brief An instance that is asked for configuration and members at the
/// start.
struct SeedPeer
{
  state::InstanceId mId;
  /// UDP endpoint for packets and peer messages.
  state::Endpoint mPeerEndpoint;
  /// TCP endpoint of the gRPC services.
  state::Endpoint mControlEndpoint;

  auto operator<=>(const SeedPeer&) const = default;
};

/// @brief Settings of one process.
struct Settings
{
  state::InstanceId mInstance;
  state::DataCentreId mDataCentre;
  /// UDP endpoint for packets and peer messages.
  state::Endpoint mPeerEndpoint;
  /// TCP endpoint of the gRPC services.
  state::Endpoint mControlEndpoint;
  /// UDP endpoint of the fabric, which takes rewritten packets.
  state::Endpoint mFabricEndpoint;
  /// HTTP endpoints of the configuration service, tried in this order.
  std::vector<state::Endpoint> mPlatformEndpoints;
  /// Other instances; may hold this one, which is skipped.
  std::vector<SeedPeer> mSeeds;
  std::uint64_t mTrafficThreads = 2;
  /// Packets that one traffic thread holds for queued flows.
  std::uint64_t mMaxHeldPackets = 16384;
  /// Receive buffer of each UDP socket, in bytes.
  std::uint64_t mReceiveBufferBytes = std::uint64_t{ 4 } << 20U;
  /// Longest planned stop.
  std::chrono::milliseconds mMaxStopTime{ 60000 };
  LogThreshold mLogThreshold = LogThreshold::Info;
  /// Lines of one event that are logged per second; more are counted only.
  std::uint64_t mLogLinesPerSecond = 10;

  auto operator<=>(const Settings&) const = default;
};

/// @brief Reads settings in INI format.
/// @param aText contents of the file
/// @param aFile name of the file in messages
/// @return the settings, or InvalidArgument with a line for each fault:
/// "FILE:LINE: [SECTION] KEY: fault; allowed: ..."
state::Result<Settings>
ParseSettings(std::string_view aText, std::string_view aFile);

/// @brief Reads a settings file.
/// @param aFile its name
/// @return the settings, NotFound if it cannot be read, or the error of
/// ParseSettings
state::Result<Settings>
ReadSettings(const std::string& aFile);

/// @brief Writes all settings, defaults included, so that ParseSettings reads
/// them back.
/// @param aSettings the settings
/// @return text in INI format
std::string
FormatSettings(const Settings& aSettings);

} // namespace sassafrasknot::protocol

#endif
