#include "sassafrasknot/fleet/peers.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sassafrasknot::fleet {
namespace {

/// Returns the live peers of this instance's data centre, or of all others.
std::vector<const Peer*>
SelectPeers(const Peers& aPeers, state::TimePoint aNow, bool aLocal)
{
  std::vector<const Peer*> selected;
  for (const auto& [endpoint, peer] : aPeers.mPeers) {
    const bool isLocal = peer.mMember.mDataCentre == aPeers.mSelf.mDataCentre;
    if (isLocal == aLocal && IsAlive(peer, aNow)) {
      selected.push_back(&peer);
    }
  }
  return selected;
}

/// Returns whether a member ranks before another as representative and as
/// designated reader. Members that are leaving, cannot reach the store or have
/// low capacity come later. Among the others the one that has run longest comes
/// first, so that a joining instance does not change the order of the rest.
bool
RanksBefore(const Member& aLeft, const Member& aRight)
{
  const auto order = [](const Member& aMember) {
    return std::tuple(aMember.mLeaving,
                      aMember.mStoreUnreachable,
                      aMember.mLowCapacity,
                      aMember.mIncarnation,
                      aMember.mEndpoint);
  };
  return order(aLeft) < order(aRight);
}

/// Returns whether a message came from the member itself within
/// kDirectContactTimeout.
bool
HasRecentDirectContact(const Peer& aPeer, state::TimePoint aNow)
{
  return aPeer.mLastDirectContact != state::TimePoint{} &&
         aNow - aPeer.mLastDirectContact < kDirectContactTimeout;
}

/// Returns whether a peer is of this instance's data centre and ranks before
/// this instance as representative.
bool
IsRankedBeforeSelf(const Peers& aPeers,
                   const Peer& aPeer,
                   state::TimePoint aNow)
{
  return HasRecentDirectContact(aPeer, aNow) &&
         aPeer.mMember.mDataCentre == aPeers.mSelf.mDataCentre &&
         IsAlive(aPeer, aNow) && RanksBefore(aPeer.mMember, aPeers.mSelf);
}

/// Returns whether a description of a member, based on a contact at the given
/// time, belongs to an earlier process than the recorded one. Incarnations are
/// taken from the time of day, which may have jumped back between two starts,
/// so that a lower incarnation may belong to a later process. Their order
/// therefore counts only within kDirectContactTimeout of the last recorded
/// contact.
bool
IsOutdated(const Peer& aPeer,
           const Member& aMember,
           state::TimePoint aContactedAt)
{
  return aMember.mIncarnation < aPeer.mMember.mIncarnation &&
         aContactedAt - aPeer.mLastContact <= kDirectContactTimeout;
}

} // namespace

bool
RecordContact(Peers& aPeers,
              const Member& aMember,
              state::TimePoint aContactedAt)
{
  if (aMember.mEndpoint == aPeers.mSelf.mEndpoint) {
    return false;
  }
  auto& peer = aPeers.mPeers[aMember.mEndpoint];
  if (IsOutdated(peer, aMember, aContactedAt)) {
    return false;
  }
  const bool isNewOrRevived =
    peer.mMember.mIncarnation != aMember.mIncarnation ||
    !IsAlive(peer, aContactedAt);
  peer.mMember = aMember;
  peer.mLastDirectContact = std::max(peer.mLastDirectContact, aContactedAt);
  peer.mLastContact = std::max(peer.mLastContact, aContactedAt);
  peer.mIsDeathReported = peer.mIsDeathReported && !isNewOrRevived;
  return isNewOrRevived;
}

void
RecordGossip(Peers& aPeers,
             const Member& aMember,
             state::Duration aAge,
             state::TimePoint aNow)
{
  if (aMember.mEndpoint == aPeers.mSelf.mEndpoint) {
    return;
  }
  const auto contactedAt = aNow - aAge;
  if (const auto found = aPeers.mPeers.find(aMember.mEndpoint);
      contactedAt <= state::TimePoint{} ||
      (found != aPeers.mPeers.end() &&
       (contactedAt <= found->second.mLastContact ||
        IsOutdated(found->second, aMember, contactedAt)))) {
    return;
  }
  auto& peer = aPeers.mPeers[aMember.mEndpoint];
  peer.mMember = aMember;
  peer.mLastContact = contactedAt;
  peer.mIsDeathReported = peer.mIsDeathReported && !IsAlive(peer, aNow);
}

bool
IsAlive(const Peer& aPeer, state::TimePoint aNow)
{
  return aPeer.mLastContact != state::TimePoint{} &&
         aNow - aPeer.mLastContact < kDeadTimeout;
}

std::vector<const Peer*>
LocalPeers(const Peers& aPeers, state::TimePoint aNow)
{
  return SelectPeers(aPeers, aNow, true);
}

flows::InstancePosition
LocalPosition(const Peers& aPeers, state::TimePoint aNow)
{
  flows::InstancePosition position;
  for (const auto& [endpoint, peer] : aPeers.mPeers) {
    if (peer.mMember.mDataCentre == aPeers.mSelf.mDataCentre &&
        IsAlive(peer, aNow)) {
      ++position.mCount;
      position.mIndex += endpoint < aPeers.mSelf.mEndpoint ? 1 : 0;
    }
  }
  return position;
}

LocalPeerGroups
GroupLocalPeers(const Peers& aPeers, state::TimePoint aNow)
{
  auto peers = LocalPeers(aPeers, aNow);
  const auto position = LocalPosition(aPeers, aNow);
  if (!flows::UsesSubsetting(position.mCount)) {
    return { std::move(peers), {} };
  }
  LocalPeerGroups groups;
  for (std::size_t index = 0; index < peers.size(); ++index) {
    // The list of peers omits this instance: peers before it have their list
    // index as position, those after it the next one.
    const auto peerIndex = index < position.mIndex ? index : index + 1;
    const auto distance =
      (peerIndex + position.mCount - position.mIndex) % position.mCount;
    const bool isNeighbour = std::min(distance, position.mCount - distance) <=
                             flows::kInstancesPerUpstream;
    (isNeighbour ? groups.mNeighbours : groups.mOthers).push_back(peers[index]);
  }
  return groups;
}

std::vector<const Peer*>
RemotePeers(const Peers& aPeers, state::TimePoint aNow)
{
  return SelectPeers(aPeers, aNow, false);
}

std::size_t
RepresentativeRank(const Peers& aPeers, state::TimePoint aNow)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aPeers.mPeers, [&](const auto& aItem) {
      return IsRankedBeforeSelf(aPeers, aItem.second, aNow);
    }));
}

bool
IsRepresentative(const Peers& aPeers, state::TimePoint aNow)
{
  return std::ranges::none_of(aPeers.mPeers, [&](const auto& aItem) {
    return IsRankedBeforeSelf(aPeers, aItem.second, aNow);
  });
}

std::size_t
ReaderRank(const Peers& aPeers, state::TimePoint aNow)
{
  const auto representatives = RemoteRepresentatives(aPeers, aNow);
  const auto before =
    std::ranges::count_if(representatives, [&](const Peer* aPeer) {
      return HasRecentDirectContact(*aPeer, aNow) &&
             RanksBefore(aPeer->mMember, aPeers.mSelf);
    });
  return RepresentativeRank(aPeers, aNow) + static_cast<std::size_t>(before);
}

std::vector<const Peer*>
RemoteRepresentatives(const Peers& aPeers, state::TimePoint aNow)
{
  std::map<state::DataCentreId, const Peer*> representatives;
  for (const auto* peer : RemotePeers(aPeers, aNow)) {
    auto& representative = representatives[peer->mMember.mDataCentre];
    // Only representatives send to other data centres often enough to keep a
    // recent direct contact all the time.
    const bool isBetter = representative == nullptr ||
                          (HasRecentDirectContact(*peer, aNow) &&
                           !HasRecentDirectContact(*representative, aNow)) ||
                          (HasRecentDirectContact(*peer, aNow) ==
                             HasRecentDirectContact(*representative, aNow) &&
                           RanksBefore(peer->mMember, representative->mMember));
    if (isBetter) {
      representative = peer;
    }
  }
  std::vector<const Peer*> result;
  result.reserve(representatives.size());
  for (const auto& [dataCentre, representative] : representatives) {
    result.push_back(representative);
  }
  return result;
}

std::vector<Member>
CollectNewlyDead(Peers& aPeers, state::TimePoint aNow)
{
  std::vector<Member> newlyDead;
  for (auto& [endpoint, peer] : aPeers.mPeers) {
    const bool isDead = !IsAlive(peer, aNow);
    if (!std::exchange(peer.mIsDeathReported, isDead) && isDead) {
      newlyDead.push_back(peer.mMember);
    }
  }
  return newlyDead;
}

void
RemoveDead(Peers& aPeers, state::TimePoint aNow)
{
  std::erase_if(aPeers.mPeers, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastContact > kDeadRetention;
  });
}

} // namespace sassafrasknot::fleet
