#include "sassafrasknot/fleet/fleet_view.hpp"

#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>

namespace sassafrasknot::fleet {
namespace {

void
UpdateMemory(MemberMemory& aMemory, const Peers& aPeers, state::TimePoint aNow)
{
  for (const auto& [endpoint, peer] : aPeers.mPeers) {
    if (peer.mLastContact == state::TimePoint{}) {
      continue;
    }
    if (peer.mMember.mLeaving && !IsAlive(peer, aNow)) {
      aMemory.mLastContacts.erase(endpoint);
    } else {
      aMemory.mLastContacts[endpoint] = peer.mLastContact;
    }
  }
  std::erase_if(aMemory.mLastContacts, [aNow](const auto& aItem) {
    return aNow - aItem.second > kMemberMemory;
  });
}

/// Returns whether this instance is in contact with most of the fleet.
bool
IsInMajority(const MemberMemory& aMemory,
             const Peers& aPeers,
             std::span<const state::Endpoint> aSeeds,
             state::TimePoint aNow)
{
  const auto& self = aPeers.mSelf.mEndpoint;
  std::size_t inContact = 1;
  bool hasLowest = true;
  for (const auto& [endpoint, lastContact] : aMemory.mLastContacts) {
    if (aNow - lastContact < kDeadTimeout) {
      ++inContact;
    }
  }
  // The half that has the lowest endpoint of all may place.
  if (!aMemory.mLastContacts.empty()) {
    const auto& [lowest, lastContact] = *aMemory.mLastContacts.begin();
    hasLowest = self < lowest || aNow - lastContact < kDeadTimeout;
  }
  const auto otherSeeds = static_cast<std::size_t>(std::ranges::count_if(
    aSeeds, [&self](const state::Endpoint& aSeed) { return aSeed != self; }));
  const auto remembered = aMemory.mLastContacts.size();
  const auto members = 1 + std::max(remembered, otherSeeds);
  const bool isHalf = remembered >= otherSeeds && hasLowest;
  return 2 * inContact > members || (2 * inContact == members && isHalf);
}

std::uint64_t
HashOf(const Member& aMember)
{
  return state::HashBytes(ToString(aMember.mEndpoint));
}

} // namespace

flows::FleetView
MakeFleetView(MemberMemory& aMemory,
              const Peers& aPeers,
              std::span<const state::Endpoint> aSeeds,
              state::TimePoint aNow)
{
  UpdateMemory(aMemory, aPeers, aNow);
  flows::FleetView view;
  view.mAsOf = aNow;
  view.mSelf = HashOf(aPeers.mSelf);
  view.mMayPlace =
    !aPeers.mSelf.mLeaving && IsInMajority(aMemory, aPeers, aSeeds, aNow);
  for (const auto& [endpoint, peer] : aPeers.mPeers) {
    if (peer.mLastContact != state::TimePoint{} && !peer.mMember.mLeaving &&
        aNow - peer.mLastContact < kTakeoverTimeout) {
      view.mMembers.push_back(HashOf(peer.mMember));
    }
  }
  return view;
}

} // namespace sassafrasknot::fleet
