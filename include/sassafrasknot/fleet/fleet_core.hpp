#ifndef SASSAFRASKNOT_FLEET_FLEET_CORE_HPP
#define SASSAFRASKNOT_FLEET_FLEET_CORE_HPP

#include "sassafrasknot/fleet/fleet_message.hpp"
#include "sassafrasknot/fleet/store_reader.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasknot::fleet {

/// @brief Periods and sizes of the messages between instances.
struct FleetPolicy
{
  /// Messages with loads to neighbours, which are the peers of a data centre
  /// that share upstreams with this instance: minimum period, period per
  /// neighbour, and maximum period. Loads change within the duration of a
  /// request, about 15 ms to 60 ms.
  std::chrono::milliseconds mNeighbourPeriod{ 25 };
  std::chrono::milliseconds mNeighbourPeriodPerPeer{ 10 };
  std::chrono::milliseconds mMaxNeighbourPeriod{ 500 };
  /// Messages with loads to neighbours that contain speeds, which change more
  /// slowly than loads.
  std::chrono::milliseconds mSpeedsPeriod{ 1000 };
  /// Messages without loads to the other instances of a large data centre:
  /// period per peer, and maximum period. Two messages in a row may be lost
  /// before an instance counts as dead (kDeadTimeout).
  std::chrono::milliseconds mOthersPeriodPerPeer{ 20 };
  std::chrono::milliseconds mMaxOthersPeriod{ 1150 };
  /// A change of the unresponsive, suspected or reachable upstreams is sent to
  /// these other instances ahead of their period, at the earliest this time
  /// after the previous message to them. It is short because a successful probe
  /// is reported for 500 ms only.
  std::chrono::milliseconds mTriggeredUpdateInterval{ 100 };
  /// Messages to the seeds while no live peer is known.
  std::chrono::milliseconds mSeedPeriod{ 250 };
  /// Messages to the seeds until this instance has a first state.
  std::chrono::milliseconds mBootstrapPeriod{ 50 };
  /// Messages to the seeds that are not live peers, so that groups of instances
  /// which started during a network partition find each other after it; shorter
  /// than the time after which a member counts as dead (kDeadTimeout).
  std::chrono::milliseconds mRejoinPeriod{ 2500 };
  /// For this time after its start, an instance that knows a live member
  /// without low capacity pulls its first state from such members only. A
  /// low-capacity member that sent its full state to many instances would delay
  /// its callers' packets on its own link. The time is about that of reading
  /// the platform's longest value (1 MB) through a slow link (20 Mbit/s).
  std::chrono::milliseconds mLowCapacityPullDelay{ 400 };
  /// Messages with aggregated loads between data centres.
  std::chrono::milliseconds mDataCentreLoadsPeriod{ 200 };
  /// Messages with member lists to one local and one remote peer.
  std::chrono::milliseconds mGossipPeriod{ 1000 };
  /// Maximum number of members listed in one message.
  std::size_t mMembersPerMessage = 24;
  /// If a pull is outstanding for this time, and its source has sent no message
  /// since it began, a further one is started from another instance that is
  /// ahead: the source may have frozen.
  std::chrono::milliseconds mPullHedgeDelay{ 250 };
  /// Maximum number of pulls at a time.
  std::size_t mMaxPulls = 3;
  /// Maximum size of the changes that a message contains, in bytes of their
  /// keys and values. Receivers pull larger ones.
  std::size_t mMaxInlineChangeBytes = 1000;
};

/// @brief Settings of a FleetCore.
struct FleetSettings
{
  Member mSelf;
  /// Endpoints of instances that are contacted while they are not among the
  /// live peers.
  std::vector<state::Endpoint> mSeedEndpoints;
  FleetPolicy mPolicy;
  ReaderTiming mReaderTiming;
  std::uint32_t mRandomSeed = 1;
};

/// @brief A request to another instance for the changes after a revision.
struct PullRequest
{
  state::Endpoint mFrom;
  state::Revision mAfter = 0;

  auto operator<=>(const PullRequest&) const = default;
};

/// @brief A pull that has not ended yet.
struct OutstandingPull
{
  state::Endpoint mFrom;
  state::TimePoint mStarted;
};

/// @brief A message with all its receivers.
struct OutgoingMessage
{
  FleetMessage mMessage;
  std::vector<state::Endpoint> mReceivers;
};

/// @brief Actions that the owner of the core has to execute after an event.
struct FleetActions
{
  std::vector<OutgoingMessage> mSend;
  std::optional<StoreRead> mRead;
  std::optional<PullRequest> mPull;
  /// Keys whose records changed.
  std::vector<std::string> mChangedKeys;
  /// Members whose message showed that they are new, restarted or alive again.
  std::vector<Member> mJoined;
  /// Members that now count as dead.
  std::vector<Member> mDead;
};

/// @brief The last aggregated loads received from another data centre.
struct ReceivedDataCentreLoads
{
  state::TimePoint mAggregatedAt;
  DataCentreLoads mLoads;
};

/// @brief The last speeds of upstreams that a local peer has reported.
struct PeerSpeeds
{
  state::TimePoint mReceivedAt;
  /// Upstreams with the logarithms of their speeds.
  std::vector<std::pair<flows::UpstreamToken, double>> mLogSpeeds;
};

/// @brief State of one instance's membership, dissemination and reads of the
/// store. Functions take an event and the current time and return actions; they
/// do no input or output themselves.
struct FleetCore
{
  FleetSettings mSettings;
  std::minstd_rand mRandom;
  Catalogue mCatalogue;
  Peers mPeers;
  StoreReader mReader;
  /// Outstanding pulls in order of their start, each from another instance.
  std::vector<OutstandingPull> mPulls;
  /// Time of the first call of OnTick.
  std::optional<state::TimePoint> mStartedAt;
  state::TimePoint mNextNeighbourMessage;
  /// Due time of the regular message to others, and time of the last message.
  state::TimePoint mNextOthersMessage;
  state::TimePoint mLastOthersMessage;
  /// mUnresponsive, mProbeCandidates and mReachable of the last message to
  /// others.
  std::array<std::vector<flows::UpstreamToken>, 3> mLastSentToOthers;
  state::TimePoint mNextSeedMessage;
  state::TimePoint mNextDataCentreLoads;
  state::TimePoint mNextGossip;
  /// This instance's loads, for the next messages.
  std::vector<UpstreamLoadEntry> mOwnLoads;
  /// This instance's own estimates of speeds, in percent, for the next
  /// messages, and due time of the next message that contains them.
  std::map<flows::UpstreamToken, std::uint32_t> mOwnSpeeds;
  state::TimePoint mNextSpeeds;
  /// Utilisation (active requests per slot) of the upstreams that this instance
  /// chooses from.
  double mLocalUtilisation = 0;
  /// Upstreams that this instance found unresponsive, and those that it
  /// suspects or found unresponsive, for the next messages.
  std::vector<flows::UpstreamToken> mUnresponsive;
  std::vector<flows::UpstreamToken> mProbeCandidates;
  /// Upstreams that answered a probe of this instance recently, with the time
  /// when the probe was sent.
  std::map<flows::UpstreamToken, state::TimePoint> mReachable;
  /// Last loads received from local peers.
  std::map<state::Endpoint, std::vector<UpstreamLoadEntry>> mPeerLoads;
  /// Last speeds received from local peers, and whether they have changed. The
  /// owner of the core collects them and resets the flag.
  std::map<state::Endpoint, PeerSpeeds> mPeerSpeeds;
  bool mPeerSpeedsChanged = false;
  /// Reported speeds that were ignored, since they were out of range.
  std::uint64_t mIgnoredSpeeds = 0;
  /// Suspected and unresponsive upstreams that local peers last reported.
  std::map<state::Endpoint, std::vector<flows::UpstreamToken>>
    mPeerProbeCandidates;
  /// Last aggregated loads of other data centres.
  std::map<state::DataCentreId, ReceivedDataCentreLoads> mDataCentreLoads;
  /// Upstreams that peers have reported as unresponsive, and those that they
  /// have reported as reachable, with the time when the probe was sent. The
  /// owner of the core collects them and empties the containers.
  std::set<flows::UpstreamToken> mReportedUnresponsive;
  std::map<flows::UpstreamToken, state::TimePoint> mReportedReachable;
};

/// @brief Makes a core without peers and without state.
/// @param aSettings settings of this instance
/// @return the core
FleetCore
MakeFleetCore(FleetSettings aSettings);

/// @brief Queues the messages and the read that are due. To be called at least
/// once per FleetPolicy::mNeighbourPeriod (25 ms), the shortest period.
/// @param aNow current time on the steady clock
/// @return actions to execute
FleetActions
OnTick(FleetCore& aCore, state::TimePoint aNow);

/// Upper bound of the time that a message usually takes from one instance to
/// another: more than the platform's longest delay between data centres (1.4
/// ms) and the transmission of a message through its slowest link. It is added
/// to the ages in a message. Without it they would become younger each time
/// they are passed on, and an old confirmation would stay recent while
/// instances pass it to and fro.
constexpr std::chrono::milliseconds kTransitTime{ 5 };
/// A report that an upstream is unresponsive is ignored if its message may have
/// waited for longer than this before it was processed: the upstream may have
/// answered since. A peer repeats its reports in each message.
constexpr std::chrono::milliseconds kMaxReportWait{ 500 };

/// @brief Handles a message of another instance. All that the message says is
/// dated by its arrival, so that messages which waited while this instance was
/// stopped do not seem new.
/// @param aMessage received message
/// @param aMaxWait upper bound of the time since the arrival of the message
/// @param aNow current time on the steady clock
/// @return actions to execute
FleetActions
OnMessage(FleetCore& aCore,
          const FleetMessage& aMessage,
          state::Duration aMaxWait,
          state::TimePoint aNow);

/// @brief Handles the store's response to a read.
/// @param aRead read that the response belongs to
/// @param aChanges content of the response
/// @param aMaxWait upper bound of the time since the arrival of the response
/// @param aNow current time on the steady clock
/// @return actions to execute
FleetActions
OnStoreResponse(FleetCore& aCore,
                const StoreRead& aRead,
                const ChangeSet& aChanges,
                state::Duration aMaxWait,
                state::TimePoint aNow);

/// @brief Handles the failure of a read.
/// @param aFailure how the read failed
/// @param aNow current time on the steady clock
void
OnStoreFailure(FleetCore& aCore, ReadFailure aFailure, state::TimePoint aNow);

/// @brief Handles the end of a pull.
/// @param aFrom instance that the changes were pulled from
/// @param aChanges received changes, or nullopt if the pull failed
/// @return actions to execute
FleetActions
OnPulled(FleetCore& aCore,
         const state::Endpoint& aFrom,
         const std::optional<ChangeSet>& aChanges);

/// @brief Returns the upstreams that this instance has to probe: if it is the
/// representative of its data centre, the probe candidates of this instance and
/// those that its local peers reported; otherwise none.
/// @param aNow current time on the steady clock
/// @return the upstreams, in order of their tokens
std::vector<flows::UpstreamToken>
UpstreamsToProbe(const FleetCore& aCore, state::TimePoint aNow);

/// @brief Returns the summed loads of all other instances by upstream, as far
/// as they are known.
/// @return sums of the last loads of local peers and of other data centres
std::map<flows::UpstreamToken, flows::UpstreamLoad>
PeerLoads(const FleetCore& aCore);

/// @brief Returns the speeds of upstreams that local peers report.
/// @return means by upstream; those without reports are absent
std::map<flows::UpstreamToken, flows::SharedSpeed>
SharedSpeeds(const FleetCore& aCore);

/// @brief Returns the mean utilisation of the other data centres that report it
/// instead of loads by upstream.
/// @return active requests per slot
std::map<state::DataCentreId, double>
MeanUtilisations(const FleetCore& aCore);

} // namespace sassafrasknot::fleet

#endif
