#ifndef SASSAFRASKNOT_FLOWS_CONFIGURATION_CHECK_HPP
#define SASSAFRASKNOT_FLOWS_CONFIGURATION_CHECK_HPP

#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/state/configuration_check.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasknot::flows {

/// @brief A finding in a configuration.
struct ConfigurationFinding
{
  state::CheckKind mKind = state::CheckKind::Error;
  state::Finding mFinding;

  auto operator<=>(const ConfigurationFinding&) const = default;
};

/// @brief Kind of a change between two configurations.
enum class ConfigurationChangeKind : std::uint8_t
{
  Added,
  Removed,
  Changed,
};

/// @brief One change between two configurations.
struct ConfigurationChange
{
  ConfigurationChangeKind mKind = ConfigurationChangeKind::Changed;
  /// Path of the entry, such as "routes/198.18.0.1:8443".
  std::string mLocation;
  /// What changes and its effect on callers and open flows, for operators.
  std::string mMessage;
  /// Why open flows break; empty if they continue.
  std::string mUnsafeReason;

  auto operator<=>(const ConfigurationChange&) const = default;
};

/// @brief Searches a configuration for entries that never apply to any flow and
/// for entries that contradict each other.
/// @param aConfiguration decoded configuration
/// @return the findings in order of the routes' endpoints, then of the names of
/// the services; empty if there are none. Limits of cold upstreams come last
std::vector<ConfigurationFinding>
CheckConfiguration(const Configuration& aConfiguration);

/// @brief Compares two configurations. Routes are the same if their endpoints
/// are.
/// @param aInForce configuration in force
/// @param aNew configuration that replaces it
/// @return the changes of routes, health paths, limits of cold upstreams and
/// the idle timeout
std::vector<ConfigurationChange>
CompareConfigurations(const Configuration& aInForce, const Configuration& aNew);

/// @brief Returns the name of a kind of request as the findings show it.
/// @param aKind kind of request
/// @return "idempotent", "non_idempotent", "upload" or "download"
std::string_view
ToString(RequestKind aKind);

/// @brief Returns the name of a kind of change as commands print it.
/// @param aKind kind of change
/// @return "added", "removed" or "changed"
std::string_view
ToString(ConfigurationChangeKind aKind);

} // namespace sassafrasknot::flows

#endif
