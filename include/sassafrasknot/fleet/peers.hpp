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

/// @brief A member of the fleet: an instance as it describes itself to others.
struct Member
{
  /// UDP and TCP endpoint for other instances, which identifies the member.
  state::Endpoint mEndpoint;
  state::DataCentreId mDataCentre;
  /// Start of its process, in milliseconds since the Unix epoch. A later
  /// incarnation replaces an earlier one.
  std::uint64_t mIncarnation = 0;
  /// It has announced its stop, and ranks last among readers and
  /// representatives.
  bool mLeaving = false;
  /// Its last call to the store failed.
  bool mStoreUnreachable = false;
  /// It has too little processor time or bandwidth to work for others.
  bool mLowCapacity = false;

  auto operator<=>(const Member&) const = default;
};

/// @brief Another member, with this instance's record of it.
struct Peer
{
  Member mMember;
  /// Time of the last message from the member itself; the epoch if none came.
  state::TimePoint mLastDirectContact;
  /// Time of the last message that any instance received from the member.
  state::TimePoint mLastContact;
  /// CollectNewlyDead has reported its death since the last contact.
  bool mIsDeathReported = false;
};

/// @brief This instance and the other members that it knows.
struct Peers
{
  Member mSelf;
  std::map<state::Endpoint, Peer> mPeers;
};

/// A member counts as dead once no instance has had contact with it for this
/// time. It exceeds three times the period of the messages with member lists
/// between data centres (FleetPolicy::mGossipPeriod) and of the rarest messages
/// within one (FleetPolicy::mMaxOthersPeriod).
constexpr std::chrono::milliseconds kDeadTimeout{ 3500 };
/// A designated reader or representative is replaced once it has sent nothing
/// to this instance for this time: several periods of its messages (at most 500
/// ms within a data centre, 200 ms between data centres), and a third of the
/// platform's shortest bound on applying configurations (3 s).
constexpr std::chrono::milliseconds kDirectContactTimeout{ 1000 };
/// Members are removed this long after the last contact.
constexpr std::chrono::seconds kDeadRetention{ 60 };

/// @brief Records direct contact: a message from a member itself. A message of
/// an earlier process of that member is ignored within kDirectContactTimeout of
/// the last contact.
/// @param aPeers members to update
/// @param aMember sender of the message
/// @param aContactedAt when the message arrived, or a time before
/// @return whether the member is new, has restarted or counted as dead
bool
RecordContact(Peers& aPeers,
              const Member& aMember,
              state::TimePoint aContactedAt);

/// @brief Records gossip: what another instance has reported of a member. It is
/// ignored unless it is newer than the last contact.
/// @param aPeers members to update
/// @param aMember the member, as the other instance knows it
/// @param aAge time since the contact that the gossip reports
/// @param aNow current time on the steady clock
void
RecordGossip(Peers& aPeers,
             const Member& aMember,
             state::Duration aAge,
             state::TimePoint aNow);

/// @brief Returns whether a peer counts as alive.
/// @param aNow current time on the steady clock
/// @return whether any instance had contact with it within kDeadTimeout
bool
IsAlive(const Peer& aPeer, state::TimePoint aNow);

/// @brief Returns the live peers of this instance's data centre.
/// @param aNow current time on the steady clock
/// @return the peers, in order of their endpoints
std::vector<const Peer*>
LocalPeers(const Peers& aPeers, state::TimePoint aNow);

/// @brief Returns this instance's position among the live instances of its data
/// centre, in order of their endpoints.
/// @param aNow current time on the steady clock
/// @return index of this instance, and number of live instances including it
flows::InstancePosition
LocalPosition(const Peers& aPeers, state::TimePoint aNow);

/// @brief The live peers of this instance's data centre, in two groups.
struct LocalPeerGroups
{
  /// Peers whose subsets of upstreams may overlap with this instance's one and
  /// which therefore exchange loads with it; all peers in a small data centre.
  std::vector<const Peer*> mNeighbours;
  /// The rest; empty in a small data centre.
  std::vector<const Peer*> mOthers;
};

/// @brief Divides the live peers of this instance's data centre into neighbours
/// and others.
/// @param aNow current time on the steady clock
/// @return the two groups, each in order of endpoints
LocalPeerGroups
GroupLocalPeers(const Peers& aPeers, state::TimePoint aNow);

/// @brief Returns the live peers of other data centres.
/// @param aNow current time on the steady clock
/// @return the peers, in order of their endpoints
std::vector<const Peer*>
RemotePeers(const Peers& aPeers, state::TimePoint aNow);

/// @brief Returns this instance's rank among the instances of its data centre.
/// The first one is the representative, which exchanges aggregated loads and
/// changes with other data centres and probes upstreams for its own.
/// @param aNow current time on the steady clock
/// @return 0 for the representative
std::size_t
RepresentativeRank(const Peers& aPeers, state::TimePoint aNow);

/// @brief Returns whether the RepresentativeRank of this instance is 0. It
/// usually takes less time, since it ends at the first member that ranks before
/// this instance.
/// @param aNow current time on the steady clock
/// @return whether it is the representative
bool
IsRepresentative(const Peers& aPeers, state::TimePoint aNow);

/// @brief Returns this instance's rank in the order in which instances become
/// the designated reader, which reads the store for the fleet. Representatives
/// of data centres come first.
/// @param aNow current time on the steady clock
/// @return 0 for the designated reader
std::size_t
ReaderRank(const Peers& aPeers, state::TimePoint aNow);

/// @brief Returns the representative of each other data centre, as far as this
/// instance can tell from its contacts.
/// @param aNow current time on the steady clock
/// @return one live peer per data centre, in order of data centres
std::vector<const Peer*>
RemoteRepresentatives(const Peers& aPeers, state::TimePoint aNow);

/// @brief Returns the members that now count as dead and were not yet reported
/// as such.
/// @param aPeers members, which are marked as reported
/// @param aNow current time on the steady clock
/// @return the members; one is reported again only after a new contact
std::vector<Member>
CollectNewlyDead(Peers& aPeers, state::TimePoint aNow);

/// @brief Removes members without contact for longer than kDeadRetention.
/// @param aNow current time on the steady clock
void
RemoveDead(Peers& aPeers, state::TimePoint aNow);

} // namespace sassafrasknot::fleet

#endif
