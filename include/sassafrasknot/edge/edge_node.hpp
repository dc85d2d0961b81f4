#ifndef SASSAFRASKNOT_EDGE_EDGE_NODE_HPP
#define SASSAFRASKNOT_EDGE_EDGE_NODE_HPP

#include "sassafrasknot/edge/adapters.hpp"
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
RunEdgeNode(const EdgeSettings& aSettings,
            const Adapters& aAdapters,
            std::function<state::Result<EdgeSettings>()> aReload);

} // namespace sassafrasknot::edge

#endif
