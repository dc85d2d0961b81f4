#include "sassafrasknot/edge/run_instance.hpp"

#include "sassafrasknot/edge/control_loop.hpp"

#include <csignal>
#include <utility>

namespace sassafrasknot::edge {

state::Result<void>
RunInstance(const EdgeSettings& aSettings,
            const PlatformFormats& aFormats,
            std::function<state::Result<EdgeSettings>()> aReload)
{
  // A write to a log pipe whose reader has ended must fail, not end the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  ControlLoop loop(aSettings, aFormats, std::move(aReload));
  if (auto opened = loop.Open(); !opened) {
    return opened.error();
  }
  loop.Run();
  return boost::outcome_v2::success();
}

} // namespace sassafrasknot::edge
