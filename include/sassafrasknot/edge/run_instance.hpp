#ifndef SASSAFRASKNOT_EDGE_RUN_INSTANCE_HPP
#define SASSAFRASKNOT_EDGE_RUN_INSTANCE_HPP

#include "sassafrasknot/edge/platform_formats.hpp"
#include "sassafrasknot/edge/settings.hpp"
#include "sassafrasknot/state/error.hpp"

#include <functional>

namespace sassafrasknot::edge {

/// @brief Runs an instance. SIGTERM begins a planned stop, after which this
/// function returns. SIGHUP reloads the settings, which are also read each
/// second without a signal; only new seeds, a new endpoint of the store and a
/// new limit of the planned stop take effect.
/// @param aSettings settings at the start
/// @param aFormats formats of the platform
/// @param aReload reads the settings again; called on the calling thread
/// @return nothing, or Unavailable if an endpoint cannot be bound
state::Result<void>
RunInstance(const EdgeSettings& aSettings,
            const PlatformFormats& aFormats,
            std::function<state::Result<EdgeSettings>()> aReload);

} // namespace sassafrasknot::edge

#endif
