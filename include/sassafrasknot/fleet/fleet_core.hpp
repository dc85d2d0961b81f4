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
  /// Messages with loads to neighbours within a data centre: shortest period,
  /// period per peer, and longest one. Loads change within the work time of a
  /// request, some 15 ms to 60 ms.
  std::chrono::milliseconds mNeighbourPeriod{ 25 };
  std::chrono::milliseconds mNeighbourPeriodPerPeer{ 10 };
  std::chrono::milliseconds mMaxNeighbourPeriod{ 500 };
  /// Messages without loads to the other instances of a large data centre:
  /// period per peer, and longest one, two of which may be lost before an
  /// instance is taken for dead.
  std::chrono::milliseconds mOthersPeriodPerPeer{ 20 };
  std::chrono::milliseconds mMaxOthersPeriod{ 1150 };
  /// They come this soon after a change of what is known of upstreams, since an
  /// answer to a probe is told for 500 ms only.
  std::chrono::milliseconds mTriggeredUpdateInterval{ 100 };
  /// Messages to the seeds while no peer is known.
  std::chrono::milliseconds mSeedPeriod{ 250 };
  /// Messages to the seeds until this instance knows a first state.
  std::chrono::milliseconds mBootstrapPeriod{ 50 };
  /// Messages to the seeds that are not known to live, so that groups which
  /// started while they were cut off from each other meet; shorter than the
  /// time after which a member is taken for dead.
  std::chrono::milliseconds mRejoinPeriod{ 2500 };
  /// How long after its start an instance takes its first state from strong
  /// members only: about as long as the longest value of the platform (1 MB)
  /// takes to read through a slow link (20 Mbit/s).
  std::chrono::milliseconds mLowCapacityPullDelay{ 400 };
  /// Messages with the sums of loads between data centres.
  std::chrono::milliseconds mDataCentreLoadsPeriod{ 200 };
  /// Messages with member lists.
  std::chrono::milliseconds mGossipPeriod{ 1000 };
  /// Members told in one message.
  std::size_t mMembersPerMessage = 24;
  /// Changes that are sent along, in bytes of their values; longer ones are
  /// pulled.
  std::size_t mMaxInlineChangeBytes = 1000;
};

/// @brief Settings of a FleetCore.
struct FleetSettings
{
  Member mSelf;
  /// Endpoints that are asked while they are not among the peers.
  std::vector<state::Endpoint> mSeedEndpoints;
  FleetPolicy mPolicy;
  ReaderTiming mReaderTiming;
  std::uint32_t mRandomSeed = 1;
};

/// @brief A request for changes to another instance.
struct PullRequest
{
  state::Endpoint mFrom;
  state::Revision mAfter = 0;

  auto operator<=>(const PullRequest&) const = default;
};

/// @brief A message with all its receivers.
struct OutgoingMessage
{
  FleetMessage mMessage;
  std::vector<state::Endpoint> mReceivers;
};

/// @brief What is to be done after an event.
struct FleetActions
{
  std::vector<OutgoingMessage> mSend;
  std::optional<StoreRead> mRead;
  std::optional<PullRequest> mPull;
  /// Keys whose records changed.
  std::vector<std::string> mChangedKeys;
  /// Members that came or came back.
  std::vector<Member> mJoined;
  /// Members that are now taken for dead.
  std::vector<Member> mDead;
};

/// @brief The load of another data centre.
struct ReceivedDataCentreLoads
{
  state::TimePoint mAggregatedAt;
  DataCentreLoads mLoads;
};

/// @brief Membership, dissemination and reads of one instance: events and a
/// time in, actions out.
struct FleetCore
{
  FleetSettings mSettings;
  std::minstd_rand mRandom;
  Catalogue mCatalogue;
  Peers mPeers;
  StoreReader mReader;
  bool mPulling = false;
  /// Time of the first tick.
  std::optional<state::TimePoint> mStarted;
  state::TimePoint mNextNeighbourMessage;
  state::TimePoint mNextOthersMessage;
  state::TimePoint mLastOthersMessage;
  /// Silent, unanswering and proven upstreams of the last such message.
  std::array<std::vector<flows::UpstreamToken>, 3> mLastSentToOthers;
  state::TimePoint mNextSeed;
  state::TimePoint mNextDataCentreLoads;
  state::TimePoint mNextGossip;
  /// This instance's loads and silent upstreams, for the next messages.
  std::vector<UpstreamLoadEntry> mLoads;
  /// Requests at work per slot of the upstreams that this instance chooses
  /// from.
  double mLocalUtilisation = 0;
  std::vector<flows::UpstreamToken> mUnresponsive;
  std::vector<flows::UpstreamToken> mProbeCandidates;
  /// Upstreams that have answered a probe of this instance, and when it was
  /// sent.
  std::map<flows::UpstreamToken, state::TimePoint> mReachable;
  /// Last loads of local peers.
  std::map<state::Endpoint, std::vector<UpstreamLoadEntry>> mPeerLoads;
  /// Upstreams that local peers get no answer from, as they last told.
  std::map<state::Endpoint, std::vector<flows::UpstreamToken>>
    mPeerProbeCandidates;
  /// Last sums of other data centres.
  std::map<state::DataCentreId, ReceivedDataCentreLoads> mDataCentreLoads;
  /// Upstreams that peers have found silent or alive; for the owner to take.
  std::set<flows::UpstreamToken> mReportedUnresponsive;
  std::set<flows::UpstreamToken> mReportedReachable;
};

/// @brief Makes a core that knows nothing.
/// @param aSettings settings
/// @return the core
FleetCore
MakeFleetCore(FleetSettings aSettings);

/// @brief Advances the core. To be called each 50 to 250 ms.
/// @param aCore the core
/// @param aNow the time
/// @return what to do
FleetActions
OnTick(FleetCore& aCore, state::TimePoint aNow);

/// @brief Takes a message of another instance.
/// @param aCore the core
/// @param aMessage the message
/// @param aNow the time
/// @return what to do
FleetActions
OnMessage(FleetCore& aCore,
          const FleetMessage& aMessage,
          state::TimePoint aNow);

/// @brief Takes the platform's answer to a read.
/// @param aCore the core
/// @param aRead the read
/// @param aChanges its answer
/// @param aNow the time
/// @return what to do
FleetActions
OnStoreAnswer(FleetCore& aCore,
              const StoreRead& aRead,
              const ChangeSet& aChanges,
              state::TimePoint aNow);

/// @brief Takes the failure of a read.
/// @param aCore the core
/// @param aFailure what failed
/// @param aNow the time
void
OnStoreFailure(FleetCore& aCore, ReadFailure aFailure, state::TimePoint aNow);

/// @brief Takes the answer to a pull.
/// @param aCore the core
/// @param aChanges the changes, or nothing if the pull failed
/// @return what to do
FleetActions
OnPulled(FleetCore& aCore, const std::optional<ChangeSet>& aChanges);

/// @brief Returns the upstreams that this instance probes: if it speaks for its
/// data centre, those that any of its instances gets no answer from.
/// @param aCore the core
/// @param aNow the time
/// @return the upstreams
std::vector<flows::UpstreamToken>
UpstreamsToProbe(const FleetCore& aCore, state::TimePoint aNow);

/// @brief Returns the loads of all other instances by upstream, as far as they
/// are known.
/// @param aCore the core
/// @return the loads
std::map<flows::UpstreamToken, flows::UpstreamLoad>
PeerLoads(const FleetCore& aCore);

/// @brief Returns how busy other data centres are whose loads are not known by
/// upstream.
/// @param aCore the core
/// @return requests at work per slot
std::map<state::DataCentreId, double>
MeanUtilisations(const FleetCore& aCore);

} // namespace sassafrasknot::fleet

#endif
