#include "sassafrasknot/fleet/peers.hpp"

#include <algorithm>
#include <tuple>

namespace sassafrasknot::fleet {
namespace {

std::vector<const Peer*>
Select(const Peers& aPeers, state::TimePoint aNow, bool aLocal)
{
  std::vector<const Peer*> selected;
  for (const auto& [endpoint, peer] : aPeers.mPeers) {
    const bool isLocal =
      peer.mMember.mDataCentre == aPeers.mSelf.mDataCentre;
    if (isLocal == aLocal && IsAlive(peer, aNow)) {
      selected.push_back(&peer);
    }
  }
  return selected;
}

/// The longest-running instance reads, so that a joining one changes nothing.
bool
ReadsBefore(const Member& aLeft, const Member& aRight)
{
  const auto order = [](const Member& aMember) {
    return std::tuple(
      aMember.mLeaving, aMember.mIncarnation, aMember.mEndpoint);
  };
  return order(aLeft) < order(aRight);
}

} // namespace

bool
NoteHeard(Peers& aPeers, const Member& aMember, state::TimePoint aNow)
{
  if (aMember.mEndpoint == aPeers.mSelf.mEndpoint) {
    return false;
  }
  auto& peer = aPeers.mPeers[aMember.mEndpoint];
  if (aMember.mIncarnation < peer.mMember.mIncarnation) {
    return false;
  }
  const bool isNews =
    peer.mMember.mIncarnation != aMember.mIncarnation || !IsAlive(peer, aNow);
  peer = { aMember, aNow, aNow };
  return isNews;
}

void
NoteTold(Peers& aPeers,
         const Member& aMember,
         state::Duration aAge,
         state::TimePoint aNow)
{
  if (aMember.mEndpoint == aPeers.mSelf.mEndpoint) {
    return;
  }
  auto& peer = aPeers.mPeers[aMember.mEndpoint];
  const auto seen = aNow - aAge;
  if (aMember.mIncarnation < peer.mMember.mIncarnation || seen <= peer.mSeen) {
    return;
  }
  peer.mMember = aMember;
  peer.mSeen = seen;
}

bool
IsAlive(const Peer& aPeer, state::TimePoint aNow)
{
  return aPeer.mSeen != state::TimePoint{} && aNow - aPeer.mSeen < kDeadAfter;
}

std::vector<const Peer*>
LocalPeers(const Peers& aPeers, state::TimePoint aNow)
{
  return Select(aPeers, aNow, true);
}

std::vector<const Peer*>
RemotePeers(const Peers& aPeers, state::TimePoint aNow)
{
  return Select(aPeers, aNow, false);
}

std::size_t
ReaderRank(const Peers& aPeers, state::TimePoint aNow)
{
  const auto peers = LocalPeers(aPeers, aNow);
  return static_cast<std::size_t>(
    std::ranges::count_if(peers, [&](const Peer* aPeer) {
      return ReadsBefore(aPeer->mMember, aPeers.mSelf);
    }));
}

std::vector<const Peer*>
RemoteReaders(const Peers& aPeers, state::TimePoint aNow)
{
  std::map<state::DataCentreId, const Peer*> readers;
  for (const auto* peer : RemotePeers(aPeers, aNow)) {
    auto& reader = readers[peer->mMember.mDataCentre];
    if (reader == nullptr || ReadsBefore(peer->mMember, reader->mMember)) {
      reader = peer;
    }
  }
  std::vector<const Peer*> result;
  for (const auto& [dataCentre, reader] : readers) {
    result.push_back(reader);
  }
  return result;
}

void
ForgetDead(Peers& aPeers, state::TimePoint aNow)
{
  std::erase_if(aPeers.mPeers, [&](const auto& aEntry) {
    return aNow - aEntry.second.mSeen > kForgetAfter;
  });
}

} // namespace sassafrasknot::fleet
