#include "sassafrasknot/edge/edge_node.hpp"

#include "sassafrasknot/edge/control_loop.hpp"

#include <utility>

namespace sassafrasknot::edge {

state::Result<void>
RunEdgeNode(const EdgeSettings& aSettings,
            const Adapters& aAdapters,
            std::function<state::Result<EdgeSettings>()> aReload)
{
  ControlLoop loop(aSettings, aAdapters, std::move(aReload));
  if (auto opened = loop.Open(); !opened) {
    return opened.error();
  }
  loop.Run();
  return boost::outcome_v2::success();
}

} // namespace sassafrasknot::edge
