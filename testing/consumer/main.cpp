#include <sassafrasknot/coordination/traffic_core.hpp>

#include <iostream>
#include <memory>

// Uses a traffic core of the installed package without any other part of the
// project: a packet to an unknown service gives exactly one action.
int
main()
{
  auto snapshot = std::make_shared<sassafrasknot::state::Snapshot>();
  sassafrasknot::coordination::TrafficCore core(snapshot, 1);
  const auto actions = core.OnPacket({}, {});
  std::cout << "actions: " << actions.size() << '\n';
  return actions.size() == 1 ? 0 : 1;
}
