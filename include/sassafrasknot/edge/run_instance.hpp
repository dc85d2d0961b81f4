#ifndef SASSAFRASKNOT_EDGE_RUN_INSTANCE_HPP
#define SASSAFRASKNOT_EDGE_RUN_INSTANCE_HPP

#include "sassafrasknot/edge/platform_formats.hpp"
#include "sassafrasknot/edge/settings.hpp"
#include "sassafrasknot/state/error.hpp"

#include <functional>

namespace sassafrasknot::edge {

/// @brief Runs an instance until SIGTERM has ended it as planned. SIGHUP reads
/// the settings again.
/// @param aSettings settings
/// @param aAdapters formats of the platform
/// @param aReload reads the settings again
/// @return nothing, or Unavailable if an endpoint cannot be bound
state::Result<void>
RunInstance(const EdgeSettings& aSettings,
            const PlatformFormats& aAdapters,
            std::function<state::Result<EdgeSettings>()> aReload);

} // namespace sassafrasknot::edge

#endif
