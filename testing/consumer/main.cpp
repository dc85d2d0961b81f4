#include <sassafrasknot/coordination/traffic_core.hpp>

#include <iostream>
#include <memory>

// Embeds a traffic core without any other part of the project.
int
main()
{
  auto snapshot = std::make_shared<sassafrasknot::state::Snapshot>();
  sassafrasknot::coordination::TrafficCore core(snapshot, 1);
  const auto actions = core.OnPacket({}, {});
  std::cout << "actions: " << actions.size() << '\n';
  return actions.size() == 1 ? 0 : 1;
}
