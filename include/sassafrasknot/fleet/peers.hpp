#ifndef SASSAFRASKNOT_FLEET_PEERS_HPP
#define SASSAFRASKNOT_FLEET_PEERS_HPP

#include "sassafrasknot/flows/subset.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace sassafrasknot::fleet {

/// @brief An instance as it describes itself to others.
struct Member
{
  /// UDP and TCP endpoint for other instances; identifies the member.
  state::Endpoint mEndpoint;
  state::DataCentreId mDataCentre;
  /// Start of its process, in milliseconds since the Unix epoch; a later one
  /// replaces an earlier one.
  std::uint64_t mIncarnation = 0;
  /// It is about to stop and reads nothing for others.
  bool mLeaving = false;
  /// Its last call to the platform failed.
  bool mStoreUnreachable = false;
  /// It has too little processor or bandwidth to work for others.
  bool mLowCapacity = false;

  auto operator<=>(const Member&) const = default;
};

/// @brief A member as this instance sees it.
struct Peer
{
  Member mMember;
  /// When the member itself was last heard.
  state::TimePoint mLastDirectContact;
  /// When any instance last heard it.
  state::TimePoint mLastContact;
  /// Its loss was told since then.
  bool mIsDeathReported = false;
};

/// @brief The other instances that this one knows.
struct Peers
{
  Member mSelf;
  std::map<state::Endpoint, Peer> mPeers;
};

/// A member that nobody has heard for so long is taken for dead; three times
/// the period of messages between data centres.
constexpr std::chrono::milliseconds kDeadTimeout{ 3500 };
/// A reader that was not heard for so long is replaced: several periods of its
/// messages, and a third of the platform's shortest bound on configurations.
constexpr std::chrono::milliseconds kDirectContactTimeout{ 1000 };
/// Members are forgotten after this time.
constexpr std::chrono::seconds kDeadRetention{ 60 };

/// @brief Notes a message from a member.
/// @param aPeers the peers
/// @param aMember its sender
/// @param aNow the time
/// @return whether the member is new or was taken for dead
bool
RecordContact(Peers& aPeers, const Member& aMember, state::TimePoint aNow);

/// @brief Notes what another instance says of a member.
/// @param aPeers the peers
/// @param aMember the member
/// @param aAge how long ago the member was heard
/// @param aNow the time
void
RecordGossip(Peers& aPeers,
             const Member& aMember,
             state::Duration aAge,
             state::TimePoint aNow);

/// @brief Returns whether a peer is taken to be alive.
/// @param aPeer the peer
/// @param aNow the time
/// @return whether it was heard recently
bool
IsAlive(const Peer& aPeer, state::TimePoint aNow);

/// @brief Returns the live peers of this instance's data centre.
/// @param aPeers the peers
/// @param aNow the time
/// @return the peers, by endpoint
std::vector<const Peer*>
LocalPeers(const Peers& aPeers, state::TimePoint aNow);

/// @brief Returns this instance's place among the live ones of its data centre,
/// in order of their endpoints.
/// @param aPeers the peers
/// @param aNow the time
/// @return the place
flows::InstancePosition
LocalPosition(const Peers& aPeers, state::TimePoint aNow);

/// @brief The live peers of this instance's data centre.
struct LocalPeerGroups
{
  /// Peers that may choose the same upstreams, and are told all loads; all
  /// peers in a small data centre.
  std::vector<const Peer*> mNeighbours;
  std::vector<const Peer*> mOthers;
};

/// @brief Divides the live peers of this instance's data centre.
/// @param aPeers the peers
/// @param aNow the time
/// @return the peers
LocalPeerGroups
GroupLocalPeers(const Peers& aPeers, state::TimePoint aNow);

/// @brief Returns the live peers of other data centres.
/// @param aPeers the peers
/// @param aNow the time
/// @return the peers, by endpoint
std::vector<const Peer*>
RemotePeers(const Peers& aPeers, state::TimePoint aNow);

/// @brief Returns this instance's place in the order of the instances of its
/// data centre. The first one speaks for the data centre.
/// @param aPeers the peers
/// @param aNow the time
/// @return 0 for the speaker
std::size_t
RepresentativeRank(const Peers& aPeers, state::TimePoint aNow);

/// @brief Returns this instance's place in the order in which instances read
/// the platform for the others: first the speakers of data centres.
/// @param aPeers the peers
/// @param aNow the time
/// @return 0 for the reader
std::size_t
ReaderRank(const Peers& aPeers, state::TimePoint aNow);

/// @brief Returns the speaker of each other data centre.
/// @param aPeers the peers
/// @param aNow the time
/// @return one live peer per data centre
std::vector<const Peer*>
RemoteRepresentatives(const Peers& aPeers, state::TimePoint aNow);

/// @brief Finds members that are now taken for dead.
/// @param aPeers the peers
/// @param aNow the time
/// @return each of them once until it is seen again
std::vector<Member>
CollectNewlyDead(Peers& aPeers, state::TimePoint aNow);

/// @brief Forgets members that were not seen for long.
/// @param aPeers the peers
/// @param aNow the time
void
RemoveDead(Peers& aPeers, state::TimePoint aNow);

} // namespace sassafrasknot::fleet

#endif
