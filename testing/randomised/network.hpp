#ifndef SASSAFRASKNOT_TESTING_RANDOMISED_NETWORK_HPP
#define SASSAFRASKNOT_TESTING_RANDOMISED_NETWORK_HPP

#include "world.hpp"

namespace randomised {

/// Returns an instance by its id, or null.
FakeInstance*
FindInstance(World& aWorld, const state::InstanceId& aId);

/// Runs a call on an instance now, or when it wakes from a pause.
void
WhenAwake(World& aWorld, FakeInstance& aInstance, std::function<void()> aRun);

/// Carries out the actions of an instance's core.
/// @param aPacket the packet at hand, or null
/// @param aHops the instances that have forwarded it, or null
void
RunActions(World& aWorld,
           FakeInstance& aInstance,
           const coordination::TrafficActions& aActions,
           const Packet* aPacket,
           const std::vector<state::InstanceId>* aHops);

} // namespace randomised

#endif
