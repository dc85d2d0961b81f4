#include "sassafrasknot/fleet/fleet_core.hpp"

#include <algorithm>
#include <chrono>

#include <gtest/gtest.h>

namespace sassafrasknot::fleet {
namespace {

using std::chrono::milliseconds;

state::TimePoint
At(milliseconds aTime)
{
  return state::TimePoint(std::chrono::hours(1) + aTime);
}

/// Several cores that exchange messages without delay, and a store whose newest
/// revision they read.
struct Fleet
{
  struct Node
  {
    FleetCore mCore;
    bool mRunning = true;
    bool mReachesStore = true;
    /// Calls to the store that have been answered.
    int mReads = 0;
    std::optional<StoreRead> mWaiting;
    state::TimePoint mWaitingUntil;
  };

  void Add(std::uint32_t aAddress, const std::string& aDataCentre, bool aWeak)
  {
    FleetSettings settings;
    settings.mSelf = { { { aAddress }, 7000 },
                       { aDataCentre },
                       100 + aAddress };
    settings.mSelf.mLowCapacity = aWeak;
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
          Execute(node, OnMessage(node.mCore, message, mNow));
        }
      }
    }
    if (aActions.mPull) {
      const auto& source = mNodes.at(aActions.mPull->mFrom);
      std::optional<ChangeSet> changes;
      if (source.mRunning) {
        changes = ChangesAfter(source.mCore.mCatalogue, aActions.mPull->mAfter);
      }
      Execute(aNode, OnPulled(aNode.mCore, changes));
    }
    if (aActions.mRead) {
      aNode.mWaiting = aActions.mRead;
      aNode.mWaitingUntil = mNow + aActions.mRead->mWait;
    }
  }

  void AnswerRead(Node& aNode)
  {
    if (!aNode.mWaiting) {
      return;
    }
    const auto read = *aNode.mWaiting;
    if (!aNode.mReachesStore) {
      // A cut is silent until the call's time-out.
      if (mNow >= aNode.mWaitingUntil + milliseconds(600)) {
        aNode.mWaiting.reset();
        OnStoreFailure(aNode.mCore, ReadFailure::Unavailable, mNow);
      }
      return;
    }
    const bool hasNews = read.mFull || mStoreRevision > read.mAfter;
    if (!hasNews && mNow < aNode.mWaitingUntil) {
      return;
    }
    aNode.mWaiting.reset();
    ++aNode.mReads;
    ChangeSet changes{ read.mFull ? 0 : read.mAfter, mStoreRevision, {} };
    if (hasNews) {
      changes.mRecords.push_back({ "op", "value", mStoreRevision, 1, false });
    }
    Execute(aNode, OnStoreAnswer(aNode.mCore, read, changes, mNow));
  }

  void Run(milliseconds aFor)
  {
    const auto end = mNow + aFor;
    for (; mNow < end; mNow += milliseconds(25)) {
      for (auto& [endpoint, node] : mNodes) {
        if (node.mRunning) {
          Execute(node, OnTick(node.mCore, mNow));
          AnswerRead(node);
        }
      }
    }
  }

  std::size_t Behind()
  {
    std::size_t count = 0;
    for (const auto& [endpoint, node] : mNodes) {
      const bool isBehind = node.mCore.mCatalogue.mRevision < mStoreRevision;
      count += node.mRunning && isBehind ? 1 : 0;
    }
    return count;
  }

  int Reads()
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

/// The reader of a fleet: the instance that reads most.
Fleet::Node&
ReaderOf(Fleet& aFleet)
{
  return std::ranges::max_element(
           aFleet.mNodes,
           {},
           [](const auto& aItem) { return aItem.second.mReads; })
    ->second;
}

// Guards against calls to the platform that grow with the fleet: after the
// start, one instance calls it about once a second.
TEST(FleetCore, OneInstanceReadsForAll)
{
  for (const std::uint32_t size : { 3U, 20U }) {
    auto fleet = MakeFleet(size);
    fleet.Run(milliseconds(3000));
    const auto before = fleet.Reads();
    fleet.Run(milliseconds(10000));
    EXPECT_LE(fleet.Reads() - before, 14) << size << " in a data centre";
    EXPECT_FALSE(ReaderOf(fleet).mCore.mPeers.mSelf.mLowCapacity);
  }
}

// Guards against configurations that take longer than half of the platform's
// shortest bound (3 s) to be known everywhere.
TEST(FleetCore, ChangesAreEverywhereWithinASecond)
{
  auto fleet = MakeFleet(4);
  fleet.Run(milliseconds(3000));
  fleet.mStoreRevision = 9;
  fleet.Run(milliseconds(1000));
  EXPECT_EQ(fleet.Behind(), 0U);
}

// Guards against CONFIG after the reader's death: the others are in touch and
// have to apply what is acknowledged right afterwards within 3 s.
TEST(FleetCore, ADeadReaderIsReplacedWithinTheBound)
{
  auto fleet = MakeFleet(3);
  fleet.Run(milliseconds(5000));
  ReaderOf(fleet).mRunning = false;
  fleet.mStoreRevision = 9;
  fleet.Run(milliseconds(2500));
  EXPECT_EQ(fleet.Behind(), 0U);
}

// Guards against CONFIG when only the reader is cut off from the store: its
// calls hang while all others are in touch.
TEST(FleetCore, AReaderThatLosesTheStoreIsReplacedWithinTheBound)
{
  auto fleet = MakeFleet(3);
  fleet.Run(milliseconds(5000));
  ReaderOf(fleet).mReachesStore = false;
  fleet.mStoreRevision = 9;
  fleet.Run(milliseconds(2500));
  EXPECT_EQ(fleet.Behind(), 0U);
}

// Guards against instances that stay unknown to each other when the seed, from
// which they have learned of others, is gone.
TEST(FleetCore, MembersSurviveTheSeed)
{
  auto fleet = MakeFleet(3);
  fleet.Run(milliseconds(4000));
  fleet.NodeAt(1).mRunning = false;
  fleet.Run(milliseconds(6000));
  const auto& peers = fleet.NodeAt(9).mCore.mPeers;
  EXPECT_EQ(LocalPeers(peers, fleet.mNow).size(), 2U);
  EXPECT_EQ(RemotePeers(peers, fleet.mNow).size(), 5U);
}

// Guards against an upstream that one instance alone suspects and nobody probes
// (FLOW on krampon-prod-grown trouble-3).
TEST(FleetCore, TheSpeakerProbesWhatAnyLocalPeerSuspects)
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
  fleet.NodeAt(1).mCore.mLoads = { { 77, { 3, 2 } } };
  fleet.NodeAt(2).mCore.mLoads = { { 77, { 1, 1 } } };
  fleet.Run(milliseconds(1000));
  const auto loads = PeerLoads(fleet.NodeAt(9).mCore);
  EXPECT_EQ(loads.at(77), (flows::UpstreamLoad{ 4, 3 }));
}

// Guards against two groups of instances that start while their data centres
// are cut off from each other, and never meet after that: each knows peers and
// asks no seed.
TEST(FleetCore, AsksSeedsThatAreNotAmongItsPeers)
{
  FleetSettings settings;
  settings.mSelf = { { { 3 }, 7000 }, { "b" }, 100 };
  const state::Endpoint seed{ { 1 }, 7000 };
  settings.mSeedEndpoints = { seed };
  auto core = MakeFleetCore(settings);
  core.mCatalogue.mRevision = 5;
  auto now = At(milliseconds(0));
  std::int64_t asked = 0;
  constexpr std::chrono::seconds kRun{ 10 };
  for (const auto end = now + kRun; now < end; now += milliseconds(25)) {
    FleetMessage message;
    message.mSender = { { { 4 }, 7000 }, { "b" }, 90 };
    OnMessage(core, message, now);
    for (const auto& sending : OnTick(core, now).mSend) {
      asked += std::ranges::count(sending.mReceivers, seed);
    }
  }
  const auto periods = kRun / settings.mPolicy.mRejoinPeriod;
  EXPECT_GE(asked, periods);
  EXPECT_LE(asked, periods + 1);
}

// The pattern of krampon-prod-grown trouble-3, in which 13 instances that start
// pull from one behind a link of 10 Mbit/s. Its callers' packets waited there,
// it took upstreams for silent, and an open flow was reset (FLOW).
TEST(FleetCore, PullsItsFirstStateFromStrongMembers)
{
  FleetSettings settings;
  settings.mSelf = { { { 3 }, 7000 }, { "b" }, 100 };
  const auto start = At(milliseconds(0));
  auto core = MakeFleetCore(settings);
  OnTick(core, start);
  const Member weak{ { { 1 }, 7000 }, { "a" }, 80, false, false, true };
  const Member strong{ { { 2 }, 7000 }, { "a" }, 80 };
  FleetMessage message;
  message.mSender = weak;
  message.mRevision = 9;
  message.mMembers = { { strong, milliseconds(20) } };
  const auto first = OnMessage(core, message, start + milliseconds(60));
  EXPECT_FALSE(first.mPull);
  EXPECT_TRUE(
    std::ranges::any_of(first.mSend, [&](const OutgoingMessage& aSending) {
      return aSending.mReceivers == std::vector{ strong.mEndpoint };
    }));
  message.mSender = strong;
  message.mMembers.clear();
  EXPECT_EQ(OnMessage(core, message, start + milliseconds(62)).mPull,
            (PullRequest{ strong.mEndpoint, 0 }));
}

// Guards against instances that are never ready because the strong members do
// not answer.
TEST(FleetCore, PullsItsFirstStateFromAWeakMemberAfterTheDelay)
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
  EXPECT_FALSE(OnMessage(core, message, start + milliseconds(100)).mPull);
  EXPECT_TRUE(
    OnMessage(core, message, start + settings.mPolicy.mLowCapacityPullDelay)
      .mPull);
}

// Guards against instances of a deployment without strong ones, such as
// kcs-clapper, that wait for them while the platform refuses their reads.
TEST(FleetCore, PullsItsFirstStateAtOnceWhereAllMembersAreWeak)
{
  FleetSettings settings;
  settings.mSelf = { { { 3 }, 7000 }, { "b" }, 100 };
  const auto start = At(milliseconds(0));
  auto core = MakeFleetCore(settings);
  OnTick(core, start);
  FleetMessage message;
  message.mSender = { { { 1 }, 7000 }, { "a" }, 80, false, false, true };
  message.mRevision = 9;
  EXPECT_TRUE(OnMessage(core, message, start + milliseconds(10)).mPull);
}

} // namespace
} // namespace sassafrasknot::fleet
