#ifndef SASSAFRASKNOT_STAND_INS_UPSTREAM_SETTINGS_HPP
#define SASSAFRASKNOT_STAND_INS_UPSTREAM_SETTINGS_HPP

#include "sassafrasknot/state/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace stand_ins {

namespace state = sassafrasknot::state;

/// @brief How an upstream responds to packets.
enum class UpstreamMode : std::uint8_t
{
  Live,     ///< Accepts connections.
  Shedding, ///< Refuses new connections with a reset.
  Down,     ///< Ignores packets and sends none, as if powered off.
};

/// @brief Configuration of one simulated upstream.
struct UpstreamSettings
{
  state::Ipv4Address mAddress;
  std::string mOrganisation;
  std::string mService;
  /// Maximum number of requests that run at the same time; further ones are
  /// queued. Feeds are not limited.
  std::uint32_t mSlots = 1;
  /// Number of open connections at which new ones are refused.
  std::uint32_t mMaxConnections = 2000;
  /// Mean time to process a request.
  std::chrono::milliseconds mServiceTime{ 50 };
  /// Period after the start; requests that begin to run in it take
  /// mWarmUpFactor times as long.
  std::chrono::milliseconds mWarmUp{};
  double mWarmUpFactor = 5;
  UpstreamMode mMode = UpstreamMode::Live;
};

/// @brief Parses {"upstreams": [{"address", "organisation", "service", "slots",
/// "connections", "service_ms", "cold_ms", "cold_factor", "mode"}]}; the first
/// three are required, the mode is "live", "shedding" or "down".
/// @param aText JSON text
/// @return the settings of all upstreams, or Malformed
state::Result<std::vector<UpstreamSettings>>
ParseUpstreams(std::string_view aText);

} // namespace stand_ins

#endif
