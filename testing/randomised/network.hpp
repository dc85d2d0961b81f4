#ifndef SASSAFRASKNOT_TESTING_RANDOMISED_NETWORK_HPP
#define SASSAFRASKNOT_TESTING_RANDOMISED_NETWORK_HPP

#include "world.hpp"

namespace randomised {

/// Returns the instance with this id, or null.
FakeInstance*
FindInstance(World& aWorld, const state::InstanceId& aId);

/// Runs a call on an instance now, or when its pause ends; never if it has
/// ended by then.
void
RunWhenResumed(World& aWorld,
               FakeInstance& aInstance,
               std::function<void()> aRun);

/// Carries out the actions that an instance's core returned.
/// @param aPacket packet that caused the actions, or null
/// @param aHops instances that have forwarded it, first one first, or null
void
RunActions(World& aWorld,
           FakeInstance& aInstance,
           const coordination::TrafficActions& aActions,
           const Packet* aPacket,
           const std::vector<state::InstanceId>* aHops);

} // namespace randomised

#endif
