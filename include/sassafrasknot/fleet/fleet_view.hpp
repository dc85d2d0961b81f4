#ifndef SASSAFRASKNOT_FLEET_FLEET_VIEW_HPP
#define SASSAFRASKNOT_FLEET_FLEET_VIEW_HPP

#include "sassafrasknot/fleet/peers.hpp"
#include "sassafrasknot/flows/cold_admission.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <span>

namespace sassafrasknot::fleet {

/// Another instance takes over the cold upstreams of a member that no instance
/// had contact with for this time. It exceeds the time after which an isolated
/// member stops placing flows on them (kDeadTimeout).
constexpr std::chrono::milliseconds kTakeoverTimeout{ 10000 };
/// A member without contact counts for this time when an instance decides
/// whether it is in contact with most of the fleet. It exceeds the usual length
/// of network partitions.
constexpr std::chrono::minutes kMemberMemory{ 10 };

/// @brief Members that this instance had contact with, directly or by gossip.
struct MemberMemory
{
  /// Last contact by endpoint. Members that left as planned are absent.
  std::map<state::Endpoint, state::TimePoint> mLastContacts;
};

/// @brief Makes this instance's view of the fleet for the limits of cold
/// upstreams. It may place flows if it is in contact with more than half of the
/// members that it remembers, or with half of them if it has the lowest
/// endpoint in its half. Seeds that it never had contact with count too, so
/// that an instance that starts in isolation does not take itself for the only
/// one.
/// @param aMemory the members that it remembers, which are updated
/// @param aPeers this instance and the members that it knows
/// @param aSeeds endpoints of seeds, possibly including this instance
/// @param aNow current time on the steady clock
/// @return the view, as of aNow
flows::FleetView
MakeFleetView(MemberMemory& aMemory,
              const Peers& aPeers,
              std::span<const state::Endpoint> aSeeds,
              state::TimePoint aNow);

} // namespace sassafrasknot::fleet

#endif
