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

/// @brief How an upstream treats its peers.
enum class UpstreamMode : std::uint8_t
{
  Live,
  Shedding, ///< Refuses new connections with a reset.
  Down,     ///< Answers nothing, like a machine without power.
};

/// @brief One upstream of the stand-in.
struct UpstreamSettings
{
  state::Ipv4Address mAddress;
  std::string mOrganisation;
  std::string mService;
  /// Requests that run at once; others wait.
  std::uint32_t mSlots = 1;
  /// Connections above which new ones are refused.
  std::uint32_t mConnections = 2000;
  /// Mean time that a request takes.
  std::chrono::milliseconds mServiceTime{ 50 };
  /// Time after the start during which requests take mColdFactor times longer.
  std::chrono::milliseconds mCold{};
  double mColdFactor = 5;
  UpstreamMode mMode = UpstreamMode::Live;
};

/// @brief Reads {"upstreams": [{"address", "organisation", "service", "slots",
/// "connections", "service_ms", "cold_ms", "cold_factor", "mode"}]}; the first
/// three are required, the mode is "live", "shedding" or "down".
/// @param aText the JSON text
/// @return the settings, or Malformed
state::Result<std::vector<UpstreamSettings>>
ParseUpstreams(std::string_view aText);

} // namespace stand_ins

#endif
