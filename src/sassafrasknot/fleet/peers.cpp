#include "sassafrasknot/fleet/peers.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sassafrasknot::fleet {
namespace {

std::vector<const Peer*>
Select(const Peers& aPeers, state::TimePoint aNow, bool aLocal)
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

/// The longest-running instance comes first, so that a joining one changes
/// nothing.
bool
ComesBefore(const Member& aLeft, const Member& aRight)
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

bool
IsHeard(const Peer& aPeer, state::TimePoint aNow)
{
  return aPeer.mLastDirectContact != state::TimePoint{} &&
         aNow - aPeer.mLastDirectContact < kDirectContactTimeout;
}

/// Returns whether news of a member, of this time, come from an earlier process
/// than the known one. Starts are dated by the time of day, which may have
/// jumped back since, so that the order counts for a short time only.
bool
IsOutdated(const Peer& aPeer, const Member& aNews, state::TimePoint aTime)
{
  return aNews.mIncarnation < aPeer.mMember.mIncarnation &&
         aTime - aPeer.mLastContact <= kDirectContactTimeout;
}

} // namespace

bool
RecordContact(Peers& aPeers, const Member& aMember, state::TimePoint aNow)
{
  if (aMember.mEndpoint == aPeers.mSelf.mEndpoint) {
    return false;
  }
  auto& peer = aPeers.mPeers[aMember.mEndpoint];
  if (IsOutdated(peer, aMember, aNow)) {
    return false;
  }
  const bool isNews =
    peer.mMember.mIncarnation != aMember.mIncarnation || !IsAlive(peer, aNow);
  peer = { aMember, aNow, aNow };
  return isNews;
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
  auto& peer = aPeers.mPeers[aMember.mEndpoint];
  const auto seen = aNow - aAge;
  if (seen <= peer.mLastContact || IsOutdated(peer, aMember, seen)) {
    return;
  }
  peer.mMember = aMember;
  peer.mLastContact = seen;
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
  return Select(aPeers, aNow, true);
}

flows::InstancePosition
LocalPosition(const Peers& aPeers, state::TimePoint aNow)
{
  const auto peers = LocalPeers(aPeers, aNow);
  const auto before =
    std::ranges::count_if(peers, [&aPeers](const Peer* aPeer) {
      return aPeer->mMember.mEndpoint < aPeers.mSelf.mEndpoint;
    });
  return { static_cast<std::size_t>(before), peers.size() + 1 };
}

LocalPeerGroups
GroupLocalPeers(const Peers& aPeers, state::TimePoint aNow)
{
  auto peers = LocalPeers(aPeers, aNow);
  const auto place = LocalPosition(aPeers, aNow);
  if (!flows::UsesSubsetting(place.mCount)) {
    return { std::move(peers), {} };
  }
  LocalPeerGroups neighbours;
  for (std::size_t index = 0; index < peers.size(); ++index) {
    // The places before this instance's own one are not shifted by it.
    const auto other = index < place.mIndex ? index : index + 1;
    const auto distance = (other + place.mCount - place.mIndex) % place.mCount;
    const bool isNear = std::min(distance, place.mCount - distance) <=
                        flows::kInstancesPerUpstream;
    (isNear ? neighbours.mNeighbours : neighbours.mOthers)
      .push_back(peers[index]);
  }
  return neighbours;
}

std::vector<const Peer*>
RemotePeers(const Peers& aPeers, state::TimePoint aNow)
{
  return Select(aPeers, aNow, false);
}

std::size_t
RepresentativeRank(const Peers& aPeers, state::TimePoint aNow)
{
  const auto peers = LocalPeers(aPeers, aNow);
  return static_cast<std::size_t>(
    std::ranges::count_if(peers, [&](const Peer* aPeer) {
      return IsHeard(*aPeer, aNow) && ComesBefore(aPeer->mMember, aPeers.mSelf);
    }));
}

std::size_t
ReaderRank(const Peers& aPeers, state::TimePoint aNow)
{
  const auto speakers = RemoteRepresentatives(aPeers, aNow);
  const auto before = std::ranges::count_if(speakers, [&](const Peer* aPeer) {
    return IsHeard(*aPeer, aNow) && ComesBefore(aPeer->mMember, aPeers.mSelf);
  });
  return RepresentativeRank(aPeers, aNow) + static_cast<std::size_t>(before);
}

std::vector<const Peer*>
RemoteRepresentatives(const Peers& aPeers, state::TimePoint aNow)
{
  std::map<state::DataCentreId, const Peer*> speakers;
  for (const auto* peer : RemotePeers(aPeers, aNow)) {
    auto& speaker = speakers[peer->mMember.mDataCentre];
    // Only speakers send often enough to be heard all the time.
    const bool isBetter = speaker == nullptr ||
                          (IsHeard(*peer, aNow) && !IsHeard(*speaker, aNow)) ||
                          (IsHeard(*peer, aNow) == IsHeard(*speaker, aNow) &&
                           ComesBefore(peer->mMember, speaker->mMember));
    if (isBetter) {
      speaker = peer;
    }
  }
  std::vector<const Peer*> result;
  result.reserve(speakers.size());
  for (const auto& [dataCentre, speaker] : speakers) {
    result.push_back(speaker);
  }
  return result;
}

std::vector<Member>
CollectNewlyDead(Peers& aPeers, state::TimePoint aNow)
{
  std::vector<Member> lost;
  for (auto& [endpoint, peer] : aPeers.mPeers) {
    if (!IsAlive(peer, aNow) && !std::exchange(peer.mIsDeathReported, true)) {
      lost.push_back(peer.mMember);
    }
  }
  return lost;
}

void
RemoveDead(Peers& aPeers, state::TimePoint aNow)
{
  std::erase_if(aPeers.mPeers, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastContact > kDeadRetention;
  });
}

} // namespace sassafrasknot::fleet
