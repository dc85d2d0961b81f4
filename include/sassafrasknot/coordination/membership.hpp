#ifndef SASSAFRASKNOT_COORDINATION_MEMBERSHIP_HPP
#define SASSAFRASKNOT_COORDINATION_MEMBERSHIP_HPP

#include "sassafrasknot/coordination/control_message.hpp"
#include "sassafrasknot/state/document.hpp"
#include "sassafrasknot/state/snapshot.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sassafrasknot::coordination {

using RandomGenerator = std::mt19937_64;

/// @brief Timing of the probes and of suspicions.
/// @{
constexpr std::chrono::milliseconds kProbePeriod{ 500 };
/// A probe is sent again after this time and sent indirectly, through other
/// members, after twice this time. Indirect probes at the first retry would
/// take half of the bandwidth when one message in ten is lost.
constexpr std::chrono::milliseconds kProbeRetryInterval{ 200 };
/// A member without an acknowledgement for this time is suspected.
constexpr std::chrono::milliseconds kProbeTimeout{ 700 };
/// A suspected member that does not refute the suspicion in this time is dead.
constexpr std::chrono::seconds kSuspicionTimeout{ 2 };
/// @}

/// @brief Maximum number of member updates in a probe or acknowledgement.
constexpr std::size_t kMaxUpdatesPerMessage = 6;

/// @brief Time without a summary of a data centre after which it counts as
/// unreachable.
constexpr std::chrono::seconds kUnreachableTimeout{ 5 };

/// @brief State of another instance as recorded by this one.
struct Member
{
  MemberUpdate mUpdate;
  /// Whether it is on the list that the platform publishes for its data centre.
  bool mListed = false;
  /// When mUpdate.mHealth last changed.
  state::TimePoint mHealthChangeTime;
  /// When a message sent by the member itself last arrived; the epoch if none
  /// did.
  state::TimePoint mLastDirectContact;
  /// Revision in force on the member, from its last message.
  state::Revision mRevisionInForce = 0;
  /// Whether a probe sent by this instance led to the suspicion; otherwise the
  /// suspicion arrived in an update.
  bool mSuspectedBySelf = false;
  /// Number of messages in which mUpdate is still to be included.
  std::uint32_t mTransmissionsLeft = 0;
};

/// @brief A probe of this instance that is not acknowledged yet.
struct PendingProbe
{
  state::InstanceId mTarget;
  /// When the first attempt was sent.
  state::TimePoint mSent;
  /// 1 after the first attempt, 2 after the retry, 3 after indirect probes.
  std::uint32_t mAttempts = 1;
};

/// @brief A probe that this instance sent on request of another member.
struct RelayedProbe
{
  /// Peer endpoint of the member that requested the probe.
  state::Endpoint mRequester;
  /// Token of the request, which the relayed acknowledgement repeats.
  std::uint32_t mToken = 0;
  state::TimePoint mSent;
};

/// @brief Last summary of another data centre.
struct RemoteDataCentre
{
  /// When the summary was received, by this instance or by the peer that
  /// relayed it.
  state::TimePoint mLastSummary;
  /// Lowest revision in force among the data centre's instances.
  state::Revision mLowestRevision = 0;
};

/// @brief A message to send; the core adds sender, revision and transport.
struct OutgoingMessage
{
  state::Endpoint mTo;
  ControlBody mBody;
};

/// @brief Messages to send and changes that concern other parts of the
/// instance.
struct MembershipResult
{
  std::vector<OutgoingMessage> mOutgoing;
  /// Whether the list of instances changed in a field that InstanceView has,
  /// except the incarnation.
  bool mViewsChanged = false;
  /// Whether an incarnation changed. A refuted suspicion changes nothing else.
  bool mIncarnationChanged = false;
  /// Members that became dead or alive again, for the log.
  std::vector<MemberUpdate> mTransitions;
};

/// @brief Members of all data centres, with failure detection in the manner of
/// SWIM. Only members of this instance's data centre are probed; a probe that
/// is not acknowledged leads to suspicion, and a suspicion that the member does
/// not refute with a higher incarnation leads to its death. Other data centres
/// send summaries.
struct Membership
{
  /// This instance, as it describes itself to others.
  MemberUpdate mSelf;
  /// All other instances.
  std::map<state::InstanceId, Member> mMembers;
  std::map<state::DataCentreId, RemoteDataCentre> mRemoteDataCentres;
  /// Members still to be probed in this round, in random order.
  std::vector<state::InstanceId> mProbeRound;
  /// By token.
  std::map<std::uint32_t, PendingProbe> mPendingProbes;
  /// By token of the probe that this instance sent.
  std::map<std::uint32_t, RelayedProbe> mRelayedProbes;
  std::uint32_t mNextToken = 1;
  /// First token since the last stall. An acknowledgement of an earlier token
  /// does not show that the peer has responded since then.
  std::uint32_t mFirstValidToken = 1;
  state::TimePoint mNextProbe;
  state::TimePoint mNextDeadProbe;
  state::TimePoint mNextSummary;
  /// How often this instance raised its incarnation because an update of it
  /// was wrong.
  std::uint64_t mRefutations = 0;
};

/// @brief Sends the probes and retries that are due, suspects members whose
/// probe timed out, and counts members as dead whose suspicion timed out.
/// @param aMembership state of all members
/// @param aRandom generator of the random choices
/// @param aNow current time on the steady clock
/// @return messages to send and changes
MembershipResult
TickMembership(Membership& aMembership,
               RandomGenerator& aRandom,
               state::TimePoint aNow);

/// @brief Handles the membership part of a message: sender, updates, relayed
/// summaries, probes, acknowledgements and the summary of a data centre.
/// @param aMembership state of all members
/// @param aMessage message of another instance; one of this instance's own is
/// ignored
/// @param aRandom generator of the random choices
/// @param aNow current time on the steady clock
/// @return messages to send and changes
MembershipResult
HandleMessage(Membership& aMembership,
              const ControlMessage& aMessage,
              RandomGenerator& aRandom,
              state::TimePoint aNow);

/// @brief Merges the list of a data centre's instances that the platform
/// publishes: adds missing members, marks leaving ones, and removes members of
/// another data centre that are no longer listed. The health of members on
/// record is not changed.
/// @param aMembership state of all members
/// @param aList list of one data centre, which may be out of date
/// @param aNow current time on the steady clock
/// @return changes; no messages
MembershipResult
ApplyPublishedList(Membership& aMembership,
                   const state::InstanceListDocument& aList,
                   state::TimePoint aNow);

/// @brief Makes the summaries of this data centre, once a second, for each data
/// centre towards which this instance is the representative.
/// @param aMembership state of all members
/// @param aOwnRevision revision in force on this instance
/// @param aRandom generator of the random choices
/// @param aNow current time on the steady clock
/// @return one message per data centre, or none if no summary is due
std::vector<OutgoingMessage>
MakeSummaries(Membership& aMembership,
              state::Revision aOwnRevision,
              RandomGenerator& aRandom,
              state::TimePoint aNow);

/// @brief Returns the lowest revision in force on any instance, in any data
/// centre, that the platform lists or that is not dead.
/// @param aMembership state of all members
/// @param aOwnRevision revision in force on this instance
/// @return the revision; zero if one of the instances of this data centre has
/// sent no message, or if no summary of one of the other data centres was
/// received
state::Revision
LowestRevisionInForce(const Membership& aMembership,
                      state::Revision aOwnRevision);

/// @brief Restarts failure detection after a stall of this process: raises the
/// incarnation, removes pending and relayed probes, restarts the timeouts of
/// suspected members and probes three random members.
/// @param aMembership state of all members
/// @param aRandom generator of the random choices
/// @param aNow current time on the steady clock
/// @return messages to send
MembershipResult
RestartMembership(Membership& aMembership,
                  RandomGenerator& aRandom,
                  state::TimePoint aNow);

/// @brief Marks this instance as leaving, raises its incarnation and probes
/// three random members, which receive the new state with the probe.
/// @param aMembership state of all members
/// @param aRandom generator of the random choices
/// @param aNow current time on the steady clock
/// @return messages to send
MembershipResult
LeaveMembership(Membership& aMembership,
                RandomGenerator& aRandom,
                state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
