// Shows how an instance that starts while the platform is unavailable receives
// the configuration from a peer.
#include "sassafrasknot/coordination/control_core.hpp"

#include <iostream>
#include <map>

namespace {

using namespace sassafrasknot;
using coordination::ControlActions;
using coordination::ControlCore;
using coordination::ControlSettings;

using Cores = std::map<state::Endpoint, ControlCore*>;

/// Delivers the messages among the actions, and those sent in response, until
/// none is left.
void
Deliver(Cores& aCores, const ControlActions& aActions, state::TimePoint aNow)
{
  for (const auto& action : aActions) {
    if (const auto* send = std::get_if<coordination::SendMessage>(&action)) {
      if (const auto recipient = aCores.find(send->mTo);
          recipient != aCores.end()) {
        Deliver(
          aCores, recipient->second->OnMessage(aNow, send->mMessage), aNow);
      }
    }
  }
}

ControlSettings
MakeSettings(const char* aName, std::uint16_t aPort)
{
  const state::Ipv4Address loopback{ 0x7F000001 };
  ControlSettings settings;
  settings.mId = { aName };
  settings.mDataCentre = { "colombo" };
  settings.mPeerEndpoint = { loopback, aPort };
  settings.mControlEndpoint = { loopback,
                                static_cast<std::uint16_t>(aPort + 1) };
  settings.mSeeds = { { loopback, 7000 } };
  return settings;
}

state::ConfigurationRecord
MakeTemplateRecord()
{
  state::TemplateService service;
  service.mName = "scheduling";
  service.mListeners = { { 443, 8443 } };
  const state::TemplateDocument document{ { "workshop" }, { service } };
  return { "templates/workshop",
           1,
           false,
           "{}",
           std::make_shared<const state::Document>(document) };
}

} // namespace

int
main()
{
  state::TimePoint now{ std::chrono::hours(1) };
  const auto first = MakeSettings("entry-1", 7000);
  const auto second = MakeSettings("entry-2", 7100);
  ControlCore configured(first, 1, now);
  ControlCore starting(second, 2, now);
  Cores cores{ { first.mPeerEndpoint, &configured },
               { first.mControlEndpoint, &configured },
               { second.mPeerEndpoint, &starting },
               { second.mControlEndpoint, &starting } };
  Deliver(cores,
          configured.OnPlatformRecords(now, { MakeTemplateRecord() }, 1, true),
          now);
  for (int tick = 0; tick < 60; ++tick) {
    now += std::chrono::milliseconds(50);
    Deliver(cores, configured.OnTick(now), now);
    Deliver(cores, starting.OnTick(now), now);
  }
  std::cout << "entry-2 has revision " << starting.RevisionInForce()
            << " in force and sees "
            << starting.CurrentSnapshot()->mInstances.size() << " instances\n";
  return starting.RevisionInForce() == 1 ? 0 : 1;
}
