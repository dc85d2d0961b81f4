#include "sassafrasknot/fleet/fleet_core.hpp"

#include <algorithm>
#include <chrono>
#include <random>

#include <gtest/gtest.h>

namespace sassafrasknot::fleet {
namespace {

using std::chrono::milliseconds;

state::TimePoint
At(milliseconds aTime)
{
  return state::TimePoint(std::chrono::hours(1) + aTime);
}

/// Several cores that exchange messages without delay, and a store from which
/// they read the newest revision of one key.
struct Fleet
{
  struct Node
  {
    FleetCore mCore;
    bool mRunning = true;
    bool mReachesStore = true;
    /// Whether the process is stopped. Messages wait in its receive queue.
    bool mFrozen = false;
    std::vector<FleetMessage> mQueue{};
    /// When the receive queue was last empty.
    state::TimePoint mQueueEmptyAt{};
    /// Number of calls to the store that have got a response.
    int mReads = 0;
    /// Call to the store without response yet, and the end of its wait.
    std::optional<StoreRead> mPendingRead;
    state::TimePoint mPendingUntil;
  };

  void Add(std::uint32_t aAddress,
           const std::string& aDataCentre,
           bool aLowCapacity)
  {
    FleetSettings settings;
    settings.mSelf = { { { aAddress }, 7000 },
                       { aDataCentre },
                       100 + aAddress };
    settings.mSelf.mLowCapacity = aLowCapacity;
    settings.mSeedEndpoints = { { { 1 }, 7000 } };
    settings.mRandomSeed = aAddress;
    mNodes[settings.mSelf.mEndpoint] = { MakeFleetCore(settings) };
  }

  Node& NodeAt(std::uint32_t aAddress)
  {
    return mNodes.at({ { aAddress }, 7000 });
  }

  void Execute(Node& aNode, const FleetActions& aActions)
  {
    for (const auto& [message, receivers] : aActions.mSend) {
      for (const auto& receiver : receivers) {
        const auto found = mNodes.find(receiver);
        if (found != mNodes.end() && found->second.mRunning) {
          auto& node = found->second;
          if (node.mFrozen) {
            node.mQueue.push_back(message);
          } else {
            Execute(node, OnMessage(node.mCore, message, {}, mNow));
          }
        }
      }
    }
    if (aActions.mPull) {
      const auto& source = mNodes.at(aActions.mPull->mFrom);
      std::optional<ChangeSet> changes;
      if (source.mRunning) {
        changes = ChangesAfter(source.mCore.mCatalogue, aActions.mPull->mAfter);
      }
      Execute(aNode, OnPulled(aNode.mCore, aActions.mPull->mFrom, changes));
    }
    if (aActions.mRead) {
      aNode.mPendingRead = aActions.mRead;
      aNode.mPendingUntil = mNow + aActions.mRead->mWait;
    }
  }

  void HandleQueued(Node& aNode)
  {
    for (const auto& message : std::exchange(aNode.mQueue, {})) {
      const auto maxWait = mNow - aNode.mQueueEmptyAt;
      Execute(aNode, OnMessage(aNode.mCore, message, maxWait, mNow));
    }
    aNode.mQueueEmptyAt = mNow;
  }

  /// Lets the store respond to an instance's call, if it is due: at once if
  /// there are changes, otherwise at the end of the wait. Without a connection
  /// to the store the call fails at its timeout.
  void RespondToRead(Node& aNode)
  {
    if (!aNode.mPendingRead) {
      return;
    }
    const auto read = *aNode.mPendingRead;
    if (!aNode.mReachesStore) {
      // The timeout is 600 ms after the end of the wait.
      if (mNow >= aNode.mPendingUntil + milliseconds(600)) {
        aNode.mPendingRead.reset();
        OnStoreFailure(aNode.mCore, ReadFailure::Unavailable, mNow);
      }
      return;
    }
    const bool hasChanges = read.mFull || mStoreRevision > read.mAfter;
    if (!hasChanges && mNow < aNode.mPendingUntil) {
      return;
    }
    aNode.mPendingRead.reset();
    ++aNode.mReads;
    ChangeSet changes{ read.mFull ? 0 : read.mAfter, mStoreRevision, {} };
    if (hasChanges) {
      changes.mRecords.push_back({ "op", "value", mStoreRevision, 1, false });
    }
    Execute(aNode, OnStoreResponse(aNode.mCore, read, changes, {}, mNow));
  }

  void Run(milliseconds aFor)
  {
    const auto end = mNow + aFor;
    for (; mNow < end; mNow += milliseconds(25)) {
      for (auto& [endpoint, node] : mNodes) {
        if (node.mRunning && !node.mFrozen) {
          HandleQueued(node);
          Execute(node, OnTick(node.mCore, mNow));
          RespondToRead(node);
        }
      }
    }
  }

  /// Returns the number of running instances without the newest revision.
  std::size_t CountBehind()
  {
    std::size_t count = 0;
    for (const auto& [endpoint, node] : mNodes) {
      const bool isBehind = node.mCore.mCatalogue.mRevision < mStoreRevision;
      count += node.mRunning && isBehind ? 1 : 0;
    }
    return count;
  }

  /// Returns the number of calls with a response of all instances.
  int CountReads()
  {
    int sum = 0;
    for (const auto& [endpoint, node] : mNodes) {
      sum += node.mReads;
    }
    return sum;
  }

  std::map<state::Endpoint, Node> mNodes;
  state::TimePoint mNow = At(milliseconds(0));
  state::Revision mStoreRevision = 5;
};

/// Returns a fleet of three data centres, in each of which the first instance
/// has low capacity.
Fleet
MakeFleet(std::uint32_t aPerDataCentre)
{
  Fleet fleet;
  std::uint32_t address = 1;
  for (const char* dataCentre : { "a", "b", "c" }) {
    for (std::uint32_t index = 0; index < aPerDataCentre; ++index) {
      fleet.Add(address++, dataCentre, index == 0);
    }
  }
  return fleet;
}

/// Returns the designated reader of a fleet: the instance whose calls got the
/// most responses.
Fleet::Node&
ReaderOf(Fleet& aFleet)
{
  return std::ranges::max_element(
           aFleet.mNodes,
           {},
           [](const auto& aItem) { return aItem.second.mReads; })
    ->second;
}

// Guards against calls to the store that grow with the fleet: after the start,
// one instance calls it about once a second.
TEST(FleetCore, OneInstanceReadsForAll)
{
  for (const std::uint32_t size : { 3U, 20U }) {
    auto fleet = MakeFleet(size);
    fleet.Run(milliseconds(3000));
    const auto before = fleet.CountReads();
    fleet.Run(milliseconds(10000));
    EXPECT_LE(fleet.CountReads() - before, 14) << size << " in a data centre";
    EXPECT_FALSE(ReaderOf(fleet).mCore.mPeers.mSelf.mLowCapacity);
  }
}

// Guards against configurations that reach some instances too late: all get
// them within a third of the platform's shortest bound on applying them (3 s).
TEST(FleetCore, ChangesReachAllInstancesWithinASecond)
{
  auto fleet = MakeFleet(4);
  fleet.Run(milliseconds(3000));
  fleet.mStoreRevision = 9;
  fleet.Run(milliseconds(1000));
  EXPECT_EQ(fleet.CountBehind(), 0U);
}

// Guards against late configurations (rule CONFIG of testing/soak) after the
// failure of the designated reader: the other instances are still connected and
// have to apply within 3 s a configuration that is published right after the
// failure.
TEST(FleetCore, ADeadReaderIsReplacedWithinTheBound)
{
  auto fleet = MakeFleet(3);
  fleet.Run(milliseconds(5000));
  ReaderOf(fleet).mRunning = false;
  fleet.mStoreRevision = 9;
  fleet.Run(milliseconds(2500));
  EXPECT_EQ(fleet.CountBehind(), 0U);
}

// Guards against late configurations (rule CONFIG of testing/soak) when only
// the designated reader loses its connection to the store: its calls get no
// response, while all other instances could read.
TEST(FleetCore, AReaderThatLosesTheStoreIsReplacedWithinTheBound)
{
  auto fleet = MakeFleet(3);
  fleet.Run(milliseconds(5000));
  ReaderOf(fleet).mReachesStore = false;
  fleet.mStoreRevision = 9;
  fleet.Run(milliseconds(2500));
  EXPECT_EQ(fleet.CountBehind(), 0U);
}

// Guards against late drains and configurations (review case 6): an instance
// wakes from a freeze and takes the confirmations in its receive queue for new
// ones. It passes them on, and all instances postpone their own reads, while
// the store turns the designated reader and others away.
TEST(FleetCore, MessagesThatWaitedDoNotPostponeReads)
{
  auto fleet = MakeFleet(3);
  fleet.Run(milliseconds(5000));
  const auto& reader = ReaderOf(fleet);
  const auto runUntilWatchEnds = [&] {
    for (const auto reads = reader.mReads; reader.mReads == reads;) {
      fleet.Run(milliseconds(25));
    }
  };
  runUntilWatchEnds();
  auto& frozen = fleet.NodeAt(9);
  frozen.mFrozen = true;
  runUntilWatchEnds();
  // Among them are the designated reader and the next one by rank.
  for (const std::uint32_t address : { 2U, 3U, 5U }) {
    fleet.NodeAt(address).mReachesStore = false;
  }
  ASSERT_FALSE(reader.mReachesStore);
  fleet.mStoreRevision = 9;
  fleet.Run(milliseconds(1500));
  frozen.mFrozen = false;
  // The bound of the rule DRAIN is 3 s on the smallest deployments.
  fleet.Run(milliseconds(1400));
  EXPECT_EQ(fleet.CountBehind(), 0U);
}

// Guards against late drains after an outage of the whole store, which leaves
// all instances but the reader marked as unable to reach it: the oldest one
// then keeps the first rank although the store turns it away.
TEST(FleetCore, MarksFromAnEarlierOutageDoNotDelayChanges)
{
  auto fleet = MakeFleet(3);
  fleet.Run(milliseconds(5000));
  const auto setReachable = [&fleet](bool aReachesStore) {
    for (auto& [endpoint, node] : fleet.mNodes) {
      node.mReachesStore = aReachesStore;
    }
  };
  setReachable(false);
  fleet.Run(milliseconds(4500));
  setReachable(true);
  fleet.Run(milliseconds(9500));
  const auto isReader = [](const auto& aItem) {
    return !aItem.second.mCore.mPeers.mSelf.mStoreUnreachable;
  };
  const auto reader = std::ranges::find_if(fleet.mNodes, isReader);
  ASSERT_NE(reader, fleet.mNodes.end());
  ASSERT_LT(std::ranges::count_if(fleet.mNodes, isReader), 9);
  reader->second.mReachesStore = false;
  for (const std::uint32_t address : { 1U, 2U, 3U }) {
    fleet.NodeAt(address).mReachesStore = false;
  }
  fleet.mStoreRevision = 9;
  fleet.Run(milliseconds(2900));
  EXPECT_EQ(fleet.CountBehind(), 0U);
}

/// An instance with state, and messages of its local peers.
struct Receiver
{
  Receiver()
  {
    FleetSettings settings;
    settings.mSelf = { { { 1 }, 7000 }, { "a" }, 100 };
    mCore = MakeFleetCore(settings);
    mCore.mCatalogue.mRevision = 5;
    OnTick(mCore, At(milliseconds(0)));
  }

  static FleetMessage MessageFrom(std::uint32_t aPeer)
  {
    FleetMessage message;
    message.mSender = { { { aPeer }, 7000 }, { "a" }, 80 };
    message.mRevision = 5;
    return message;
  }

  const Peer& PeerAt(std::uint32_t aPeer) const
  {
    return mCore.mPeers.mPeers.at({ { aPeer }, 7000 });
  }

  FleetCore mCore;
};

// Guards against a response of the store that waited while the process was
// stopped, and that confirms as new a state that is seconds old.
TEST(FleetCore, AResponseThatWaitedConfirmsAnOldState)
{
  Receiver receiver;
  const StoreRead watch{ false, 5, milliseconds(1000) };
  const ChangeSet unchanged{ 5, 5, {} };
  OnStoreResponse(
    receiver.mCore, watch, unchanged, milliseconds(2500), At(milliseconds(0)));
  EXPECT_TRUE(receiver.mCore.mReader.mEverConfirmed);
  EXPECT_EQ(receiver.mCore.mReader.mConfirmedAt, At(milliseconds(-2500)));
  // A later message with a newer confirmation counts.
  auto message = Receiver::MessageFrom(2);
  message.mConfirmedAge = milliseconds(400);
  OnMessage(receiver.mCore, message, {}, At(milliseconds(0)));
  EXPECT_EQ(receiver.mCore.mReader.mConfirmedAt,
            At(milliseconds(-400)) - kTransitTime);
}

// Guards against a slow response that confirms a revision which other instances
// sent while it was being received.
TEST(FleetCore, AResponseWithAnOlderRevisionConfirmsNothing)
{
  Receiver receiver;
  OnStoreResponse(receiver.mCore,
                  { true, 0, {} },
                  { 0, 4, {} },
                  milliseconds(10),
                  At(milliseconds(0)));
  EXPECT_FALSE(receiver.mCore.mReader.mEverConfirmed);
}

// Guards against a designated reader that is dead and keeps its rank, because
// its last messages waited while this instance was stopped.
TEST(FleetCore, MessagesThatWaitedAreNoRecentContact)
{
  Receiver receiver;
  const auto woken = At(milliseconds(2500));
  OnMessage(
    receiver.mCore, Receiver::MessageFrom(2), milliseconds(2500), woken);
  EXPECT_EQ(receiver.PeerAt(2).mLastDirectContact, At(milliseconds(0)));
  EXPECT_TRUE(IsRepresentative(receiver.mCore.mPeers, woken));
  OnMessage(receiver.mCore, Receiver::MessageFrom(2), milliseconds(25), woken);
  EXPECT_FALSE(IsRepresentative(receiver.mCore.mPeers, woken));
}

// Guards against dead members that an instance revives for the whole fleet,
// because it dates the gossip that waited in its receive queue by its wake-up.
TEST(FleetCore, GossipThatWaitedRevivesNoDeadMember)
{
  Receiver receiver;
  auto message = Receiver::MessageFrom(2);
  const Member dead{ { { 3 }, 7000 }, { "a" }, 90 };
  message.mMembers = { { dead, milliseconds(1200) } };
  const auto woken = At(milliseconds(2500));
  OnMessage(receiver.mCore, message, milliseconds(2500), woken);
  EXPECT_EQ(receiver.PeerAt(3).mLastContact,
            At(milliseconds(-1200)) - kTransitTime);
  EXPECT_FALSE(IsAlive(receiver.PeerAt(3), woken));
}

// Guards against open flows that an instance resets after a freeze, because of
// reports from before it about upstreams that have answered since.
TEST(FleetCore, IgnoresUnresponsiveReportsThatWaited)
{
  Receiver receiver;
  auto message = Receiver::MessageFrom(2);
  message.mUnresponsive = { 77 };
  const auto woken = At(milliseconds(2500));
  OnMessage(receiver.mCore, message, milliseconds(2500), woken);
  EXPECT_TRUE(receiver.mCore.mReportedUnresponsive.empty());
  OnMessage(receiver.mCore, message, kMaxReportWait, woken);
  EXPECT_EQ(receiver.mCore.mReportedUnresponsive.count(77), 1U);
}

// Guards against an upstream that failed and counts as reachable, because a
// probe from before its failure is dated by the end of a freeze.
TEST(FleetCore, ProbeSuccessesThatWaitedKeepTheirTime)
{
  Receiver receiver;
  auto message = Receiver::MessageFrom(2);
  message.mReachable = { { 77, milliseconds(100) } };
  const auto woken = At(milliseconds(2500));
  OnMessage(receiver.mCore, message, milliseconds(2500), woken);
  EXPECT_EQ(receiver.mCore.mReportedReachable.at(77), At(milliseconds(-100)));
}

// Guards against loads of another data centre from before a freeze that replace
// newer ones which arrived by another path.
TEST(FleetCore, LoadsThatWaitedDoNotReplaceNewerOnes)
{
  Receiver receiver;
  auto message = Receiver::MessageFrom(2);
  const auto woken = At(milliseconds(2500));
  message.mDataCentreLoads = {
    { { "b" }, milliseconds(300), { { 77, { 1, 1 } } }, {} }
  };
  OnMessage(receiver.mCore, message, {}, woken);
  message.mDataCentreLoads = {
    { { "b" }, milliseconds(0), { { 77, { 9, 9 } } }, {} }
  };
  OnMessage(receiver.mCore, message, milliseconds(2500), woken);
  EXPECT_EQ(PeerLoads(receiver.mCore).at(77), (flows::UpstreamLoad{ 1, 1 }));
}

// Guards against a confirmation that stays recent because instances pass it to
// and fro, and against a dead member that stays alive in the same way: each
// transfer takes time that the ages in the message do not contain.
TEST(FleetCore, AgesDoNotShrinkWhenTheyArePassedToAndFro)
{
  Receiver first;
  Receiver second;
  second.mCore.mPeers.mSelf.mEndpoint = { { 2 }, 7000 };
  const auto confirmed = At(milliseconds(0));
  RecordConfirmation(first.mCore.mReader, {}, confirmed);
  const Member dead{ { { 3 }, 7000 }, { "a" }, 90 };
  RecordContact(first.mCore.mPeers, dead, confirmed);
  constexpr milliseconds kTransit{ 2 };
  auto* sender = &first.mCore;
  auto* receiver = &second.mCore;
  auto now = confirmed;
  for (; now < confirmed + std::chrono::seconds(4); now += kTransit) {
    FleetMessage message;
    message.mSender = sender->mPeers.mSelf;
    message.mRevision = sender->mCatalogue.mRevision;
    message.mConfirmedAge = now - sender->mReader.mConfirmedAt;
    const auto& peer = sender->mPeers.mPeers.at(dead.mEndpoint);
    message.mMembers = { { dead, now - peer.mLastContact } };
    OnMessage(*receiver, message, {}, now + kTransit);
    std::swap(sender, receiver);
  }
  for (const auto* core : { &first.mCore, &second.mCore }) {
    EXPECT_LE(core->mReader.mConfirmedAt, confirmed);
    EXPECT_FALSE(IsAlive(core->mPeers.mPeers.at(dead.mEndpoint), now));
  }
}

// Guards against instances that lose contact with each other when the seed
// through which they found each other fails.
TEST(FleetCore, MembersStayKnownAfterTheSeedFails)
{
  auto fleet = MakeFleet(3);
  fleet.Run(milliseconds(4000));
  fleet.NodeAt(1).mRunning = false;
  fleet.Run(milliseconds(6000));
  const auto& peers = fleet.NodeAt(9).mCore.mPeers;
  EXPECT_EQ(LocalPeers(peers, fleet.mNow).size(), 2U);
  EXPECT_EQ(RemotePeers(peers, fleet.mNow).size(), 5U);
}

// Guards against an upstream that only one instance suspects and that no
// instance probes, which breaks its open flows (rule FLOW of testing/soak).
TEST(FleetCore, TheRepresentativeProbesWhatAnyLocalPeerSuspects)
{
  auto fleet = MakeFleet(3);
  fleet.Run(milliseconds(3000));
  fleet.NodeAt(1).mCore.mProbeCandidates = { 77 };
  fleet.Run(milliseconds(200));
  std::size_t probers = 0;
  for (const std::uint32_t address : { 1U, 2U, 3U }) {
    const auto tokens =
      UpstreamsToProbe(fleet.NodeAt(address).mCore, fleet.mNow);
    probers += tokens == std::vector<flows::UpstreamToken>{ 77 } ? 1 : 0;
  }
  EXPECT_EQ(probers, 1U);
}

// Guards against placements that ignore the flows of other data centres.
TEST(FleetCore, LoadsOfAllDataCentresAreKnownEverywhere)
{
  auto fleet = MakeFleet(3);
  fleet.Run(milliseconds(3000));
  fleet.NodeAt(1).mCore.mOwnLoads = { { 77, { 3, 2 } } };
  fleet.NodeAt(2).mCore.mOwnLoads = { { 77, { 1, 1 } } };
  fleet.Run(milliseconds(1000));
  const auto loads = PeerLoads(fleet.NodeAt(9).mCore);
  EXPECT_EQ(loads.at(77), (flows::UpstreamLoad{ 4, 3 }));
}

// Guards against two groups of instances that start during a network partition
// between their data centres and never find each other after it, because each
// instance has live peers and therefore contacts no seed.
TEST(FleetCore, ContactsSeedsThatAreNotAmongItsPeers)
{
  FleetSettings settings;
  settings.mSelf = { { { 3 }, 7000 }, { "b" }, 100 };
  const state::Endpoint seed{ { 1 }, 7000 };
  settings.mSeedEndpoints = { seed };
  auto core = MakeFleetCore(settings);
  core.mCatalogue.mRevision = 5;
  auto now = At(milliseconds(0));
  std::int64_t contacts = 0;
  constexpr std::chrono::seconds kRun{ 10 };
  for (const auto end = now + kRun; now < end; now += milliseconds(25)) {
    FleetMessage message;
    message.mSender = { { { 4 }, 7000 }, { "b" }, 90 };
    OnMessage(core, message, {}, now);
    for (const auto& outgoing : OnTick(core, now).mSend) {
      contacts += std::ranges::count(outgoing.mReceivers, seed);
    }
  }
  const auto periods = kRun / settings.mPolicy.mRejoinPeriod;
  EXPECT_GE(contacts, periods);
  EXPECT_LE(contacts, periods + 1);
}

// Guards against an open flow that is reset (rule FLOW of testing/soak) while
// many instances start. With 13 of them pulling from one member behind a link
// of 10 Mbit/s, the packets of that member's callers were delayed on the link,
// and it marked upstreams as unresponsive that were working.
TEST(FleetCore, PullsItsFirstStateFromMembersWithoutLowCapacity)
{
  FleetSettings settings;
  settings.mSelf = { { { 3 }, 7000 }, { "b" }, 100 };
  const auto start = At(milliseconds(0));
  auto core = MakeFleetCore(settings);
  OnTick(core, start);
  const Member lowCapacity{ { { 1 }, 7000 }, { "a" }, 80, false, false, true };
  const Member capable{ { { 2 }, 7000 }, { "a" }, 80 };
  FleetMessage message;
  message.mSender = lowCapacity;
  message.mRevision = 9;
  message.mMembers = { { capable, milliseconds(20) } };
  const auto first = OnMessage(core, message, {}, start + milliseconds(60));
  EXPECT_FALSE(first.mPull);
  EXPECT_TRUE(
    std::ranges::any_of(first.mSend, [&](const OutgoingMessage& aOutgoing) {
      return aOutgoing.mReceivers == std::vector{ capable.mEndpoint };
    }));
  message.mSender = capable;
  message.mMembers.clear();
  EXPECT_EQ(OnMessage(core, message, {}, start + milliseconds(62)).mPull,
            (PullRequest{ capable.mEndpoint, 0 }));
}

// Guards against instances that never become ready because the members without
// low capacity do not reply.
TEST(FleetCore, PullsItsFirstStateFromALowCapacityMemberAfterTheDelay)
{
  FleetSettings settings;
  settings.mSelf = { { { 3 }, 7000 }, { "b" }, 100 };
  const auto start = At(milliseconds(0));
  auto core = MakeFleetCore(settings);
  OnTick(core, start);
  FleetMessage message;
  message.mSender = { { { 1 }, 7000 }, { "a" }, 80, false, false, true };
  message.mRevision = 9;
  message.mMembers = { { { { { 2 }, 7000 }, { "a" }, 80 }, {} } };
  EXPECT_FALSE(OnMessage(core, message, {}, start + milliseconds(100)).mPull);
  EXPECT_TRUE(
    OnMessage(core, message, {}, start + settings.mPolicy.mLowCapacityPullDelay)
      .mPull);
}

// Guards against instances that wait for members without low capacity in a
// deployment that has none, while the store refuses their reads.
TEST(FleetCore, PullsItsFirstStateAtOnceWhereAllMembersHaveLowCapacity)
{
  FleetSettings settings;
  settings.mSelf = { { { 3 }, 7000 }, { "b" }, 100 };
  const auto start = At(milliseconds(0));
  auto core = MakeFleetCore(settings);
  OnTick(core, start);
  FleetMessage message;
  message.mSender = { { { 1 }, 7000 }, { "a" }, 80, false, false, true };
  message.mRevision = 9;
  EXPECT_TRUE(OnMessage(core, message, {}, start + milliseconds(10)).mPull);
}

/// An instance at revision 5 whose peers announce revision 6.
struct InstanceBehind
{
  InstanceBehind()
  {
    FleetSettings settings;
    settings.mSelf = { { { 1 }, 7000 }, { "a" }, 100 };
    mCore = MakeFleetCore(settings);
    mCore.mCatalogue.mRevision = 5;
    OnTick(mCore, At(milliseconds(0)));
  }

  std::optional<PullRequest> Announce(std::uint32_t aPeer, milliseconds aTime)
  {
    FleetMessage message;
    message.mSender = { { { aPeer }, 7000 }, { "a" }, 80 };
    message.mRevision = 6;
    return OnMessage(mCore, message, {}, At(aTime)).mPull;
  }

  FleetCore mCore;
};

// Guards against an instance that stays behind until the pull from an instance
// that froze has timed out, although others announce the change (review case
// 3).
TEST(FleetCore, PullsFromAnotherInstanceWhileThePullFromAFrozenOneIsOutstanding)
{
  InstanceBehind fixture;
  const auto delay = FleetPolicy{}.mPullHedgeDelay;
  EXPECT_EQ(fixture.Announce(2, milliseconds(0)),
            (PullRequest{ { { 2 }, 7000 }, 5 }));
  EXPECT_FALSE(fixture.Announce(3, milliseconds(50)));
  EXPECT_EQ(fixture.Announce(3, delay), (PullRequest{ { { 3 }, 7000 }, 5 }));
  EXPECT_FALSE(fixture.Announce(4, delay + milliseconds(50)));
  EXPECT_EQ(fixture.Announce(4, 2 * delay),
            (PullRequest{ { { 4 }, 7000 }, 5 }));
  EXPECT_FALSE(fixture.Announce(5, 4 * delay));
  // The delayed response of the first one changes nothing.
  const ChangeSet changes{ 5, 6, { { "op", "value", 6, 1, false } } };
  EXPECT_EQ(
    OnPulled(fixture.mCore, { { 3 }, 7000 }, changes).mChangedKeys.size(), 1U);
  EXPECT_TRUE(
    OnPulled(fixture.mCore, { { 2 }, 7000 }, changes).mChangedKeys.empty());
  EXPECT_EQ(fixture.mCore.mCatalogue.mRevision, 6U);
  EXPECT_EQ(fixture.mCore.mPulls.size(), 1U);
}

// Guards against transfers that slow links have to carry several times,
// although their source is alive.
TEST(FleetCore, WaitsForAPullFromAnInstanceThatStillSendsMessages)
{
  InstanceBehind fixture;
  const auto delay = FleetPolicy{}.mPullHedgeDelay;
  EXPECT_TRUE(fixture.Announce(2, milliseconds(0)));
  EXPECT_FALSE(fixture.Announce(2, milliseconds(80)));
  EXPECT_FALSE(fixture.Announce(3, delay));
  EXPECT_FALSE(fixture.Announce(3, 3 * delay));
  OnPulled(fixture.mCore, { { 2 }, 7000 }, std::nullopt);
  EXPECT_TRUE(fixture.Announce(3, 3 * delay));
}

// Guards against several transfers of the whole state to an instance that has
// just started.
TEST(FleetCore, PullsItsFirstStateFromOneInstanceAtATime)
{
  InstanceBehind fixture;
  fixture.mCore.mCatalogue.mRevision = 0;
  EXPECT_TRUE(fixture.Announce(2, milliseconds(0)));
  EXPECT_FALSE(fixture.Announce(3, milliseconds(900)));
  OnPulled(fixture.mCore, { { 2 }, 7000 }, std::nullopt);
  EXPECT_TRUE(fixture.Announce(3, milliseconds(1000)));
}

// Guards against reads that are late or missing because a tick does not compute
// the reader rank.
TEST(FleetCore, ReadsEqualThoseThatTheReaderRankDecides)
{
  std::minstd_rand random(21);
  int reads = 0;
  for (int round = 0; round < 3000; ++round) {
    const auto now = At(std::chrono::seconds(10));
    FleetSettings settings;
    settings.mSelf = { { { 5 }, 7000 }, { "a" }, 100 };
    auto core = MakeFleetCore(settings);
    for (std::uint32_t index = 1; index <= random() % 8; ++index) {
      Member member{ { { index }, 7000 }, { random() % 2 == 0 ? "a" : "b" } };
      member.mIncarnation = random() % 200;
      RecordContact(core.mPeers, member, now - milliseconds(random() % 3000));
    }
    core.mCatalogue.mRevision = random() % 4;
    core.mReader.mOutstanding = random() % 4 == 0;
    core.mReader.mNextCall =
      now + milliseconds(random() % 20) - milliseconds(15);
    core.mReader.mEverConfirmed = random() % 4 != 0;
    core.mReader.mConfirmedAt = now - milliseconds(random() % 6000);
    auto reader = core.mReader;
    const auto expected = NextRead(
      reader, ReaderRank(core.mPeers, now), core.mCatalogue.mRevision, now);
    const auto read = OnTick(core, now).mRead;
    ASSERT_EQ(read.has_value(), expected.has_value()) << "round " << round;
    if (read) {
      ++reads;
      EXPECT_EQ(read->mFull, expected->mFull);
      EXPECT_EQ(read->mAfter, expected->mAfter);
      EXPECT_EQ(read->mWait, expected->mWait);
    }
  }
  EXPECT_GT(reads, 500);
}

} // namespace
} // namespace sassafrasknot::fleet
