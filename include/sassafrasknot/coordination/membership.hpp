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

/// @brief Timing of the probes.
/// @{
constexpr std::chrono::milliseconds kProbePeriod{ 500 };
/// A probe is repeated after this time and sent indirectly after twice this
/// time: with one message in ten lost, indirect probes at once would take half
/// of the bandwidth.
constexpr std::chrono::milliseconds kProbeRetryInterval{ 200 };
constexpr std::chrono::milliseconds kProbeTimeout{ 700 };
constexpr std::chrono::seconds kSuspicionTimeout{ 2 };
/// @}

/// @brief Most member updates in one message.
constexpr std::size_t kUpdatesPerMessage = 6;

/// @brief Time without a summary after which a data centre is unreachable.
constexpr std::chrono::seconds kUnreachableTimeout{ 5 };

/// @brief Another instance as this one sees it.
struct Member
{
  MemberUpdate mUpdate;
  /// Whether the published list shows it.
  bool mListed = false;
  /// When mUpdate.mHealth last changed.
  state::TimePoint mHealthChangeTime;
  /// When a message of the member itself last arrived, or the epoch.
  state::TimePoint mLastDirectContact;
  /// Revision in force on the member, as it told itself.
  state::Revision mRevisionInForce = 0;
  /// Whether it is suspected because a probe of this instance failed.
  bool mSuspectedBySelf = false;
  /// How often its update is still to be passed on.
  std::uint32_t mTransmissionsLeft = 0;
};

/// @brief A probe without acknowledgement so far.
struct PendingProbe
{
  state::InstanceId mTarget;
  state::TimePoint mSent;
  /// 1 after the first probe, 2 after its repetition, 3 after indirect ones.
  std::uint32_t mAttempts = 1;
};

/// @brief A probe sent for another member.
struct RelayedProbe
{
  state::Endpoint mRequester;
  std::uint32_t mToken = 0;
  state::TimePoint mSent;
};

/// @brief Last summary of another data centre.
struct RemoteDataCentre
{
  state::TimePoint mLastSummary;
  state::Revision mLowestRevision = 0;
};

/// @brief A message that membership wants to send.
struct OutgoingMessage
{
  state::Endpoint mTo;
  ControlBody mBody;
};

/// @brief What changed for other parts of the instance.
struct MembershipResult
{
  std::vector<OutgoingMessage> mOutgoing;
  /// Whether a member or its state, as InstanceView shows it, changed.
  bool mViewsChanged = false;
  /// Whether an incarnation changed; after a refutation nothing else did.
  bool mIncarnationChanged = false;
  /// Members that died or came back, for the log.
  std::vector<MemberUpdate> mTransitions;
};

/// @brief Members of all data centres; those of the own one are probed.
struct Membership
{
  MemberUpdate mSelf;
  std::map<state::InstanceId, Member> mMembers;
  std::map<state::DataCentreId, RemoteDataCentre> mRemoteDataCentres;
  /// Members still to be probed in this round.
  std::vector<state::InstanceId> mProbeRound;
  std::map<std::uint32_t, PendingProbe> mPendingProbes;
  std::map<std::uint32_t, RelayedProbe> mRelayedProbes;
  std::uint32_t mNextToken = 1;
  /// Acknowledgements of earlier tokens came from before the last stall.
  std::uint32_t mFirstValidToken = 1;
  state::TimePoint mNextProbe;
  state::TimePoint mNextDeadProbe;
  state::TimePoint mNextSummary;
  /// How many times this instance refuted a suspicion.
  std::uint64_t mRefutations = 0;
};

/// @brief Sends the probes that are due and ends suspicions.
/// @param aMembership the members
/// @param aRandom random numbers
/// @param aNow the time
/// @return what to send and what changed
MembershipResult
TickMembership(Membership& aMembership,
               RandomGenerator& aRandom,
               state::TimePoint aNow);

/// @brief Takes the membership part of a message: sender, updates, heartbeats,
/// probes, acknowledgements and summaries.
/// @param aMembership the members
/// @param aMessage the message
/// @param aRandom random numbers
/// @param aNow the time
/// @return what to send and what changed
MembershipResult
HandleMessage(Membership& aMembership,
              const ControlMessage& aMessage,
              RandomGenerator& aRandom,
              state::TimePoint aNow);

/// @brief Takes the published list of one data centre.
/// @param aMembership the members
/// @param aList the list, which may lag
/// @param aNow the time
/// @return what changed
MembershipResult
ApplyPublishedList(Membership& aMembership,
                   const state::InstanceListDocument& aList,
                   state::TimePoint aNow);

/// @brief Makes summaries for the data centres whose contact this instance is.
/// @param aMembership the members
/// @param aRevision revision in force on this instance
/// @param aRandom random numbers
/// @param aNow the time
/// @return one message for each of them
std::vector<OutgoingMessage>
MakeSummaries(Membership& aMembership,
              state::Revision aRevision,
              RandomGenerator& aRandom,
              state::TimePoint aNow);

/// @brief Returns the lowest revision in force on any instance that is listed
/// or alive, in any data centre; zero if one was never heard.
/// @param aMembership the members
/// @param aRevision revision in force on this instance
/// @return the floor
state::Revision
LowestRevisionInForce(const Membership& aMembership, state::Revision aRevision);

/// @brief Starts over after a stall: raises the incarnation, forgets pending
/// probes, gives suspects their full time again and probes three members.
/// @param aMembership the members
/// @param aRandom random numbers
/// @param aNow the time
/// @return what to send
MembershipResult
RestartMembership(Membership& aMembership,
                  RandomGenerator& aRandom,
                  state::TimePoint aNow);

/// @brief Makes this instance a leaving member and tells three members.
/// @param aMembership the members
/// @param aRandom random numbers
/// @param aNow the time
/// @return what to send
MembershipResult
LeaveMembership(Membership& aMembership,
                RandomGenerator& aRandom,
                state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
