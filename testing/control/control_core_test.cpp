#include "sassafrasknot/state/sample_documents.hpp"

#include <algorithm>

#include "control/control_fleet.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::testing {
namespace {

using namespace state::sample;
using namespace std::chrono_literals;
using state::InstanceState;

/// Publishes one template (revision 1) and organisation "a" (revision 2),
/// starts all instances and publishes their lists.
void
StartAll(ControlFleet& aFleet)
{
  aFleet.Publish(MakeTemplate(0));
  aFleet.Publish(MakeOrganisation("a", 0, 1, { 1, 2 }));
  for (std::size_t index = 0; index < aFleet.mInstances.size(); ++index) {
    aFleet.Start(index);
  }
  aFleet.PublishInstanceLists();
}

/// Returns whether an instance has a service in force from the organisation's
/// record of the given revision.
bool
ServesRevision(const ControlFleet& aFleet,
               std::size_t aInstance,
               state::Revision aRevision)
{
  const auto& services = aFleet.SnapshotOf(aInstance).mServices;
  return std::any_of(services.begin(), services.end(), [&](const auto& aView) {
    return aView.mRevision == aRevision && !aView.mRemoved;
  });
}

/// Returns whether this holds on all running instances.
bool
AllServeRevision(const ControlFleet& aFleet, state::Revision aRevision)
{
  for (std::size_t index = 0; index < aFleet.mInstances.size(); ++index) {
    if (aFleet.mInstances[index].mCore &&
        !ServesRevision(aFleet, index, aRevision)) {
      return false;
    }
  }
  return true;
}

// Guards against an instance that can't serve because the platform is down when
// it starts. All instances of its data centre are stopped, so that it must get
// the configuration from the other data centre, without many reads.
TEST(ControlCore, StartsFromPeersWhilePlatformIsDown)
{
  ControlFleet fleet({ .mInstances = 4, .mDataCentres = 2 });
  StartAll(fleet);
  fleet.Run(10s);
  fleet.mPlatform.mDown = true;
  fleet.Kill(1);
  fleet.Kill(3);
  fleet.Run(10s);
  fleet.Start(3);
  const auto reads = fleet.mPlatform.mReads;
  EXPECT_TRUE(fleet.RunUntil(5s, [&] { return ServesRevision(fleet, 3, 2); }));
  EXPECT_EQ(fleet.SnapshotOf(3).mInstances.size(), 4);
  EXPECT_LE(fleet.mPlatform.mReads - reads, 10);
}

// Guards against a replica of the platform with old values that reverts a
// change: a restarted instance reads it after the others have the change.
TEST(ControlCore, StaleReplicaChangesNothing)
{
  ControlFleet fleet({ .mInstances = 4, .mDataCentres = 2 });
  StartAll(fleet);
  fleet.Run(5s);
  fleet.mPlatform.mStale["dc-0"] = { fleet.mPlatform.mRecords,
                                     fleet.mPlatform.mRevision };
  const auto revision = fleet.Publish(MakeOrganisation("a", 0, 1, { 1, 3 }));
  EXPECT_TRUE(
    fleet.RunUntil(5s, [&] { return AllServeRevision(fleet, revision); }));
  fleet.Kill(0);
  fleet.Run(5s);
  fleet.Start(0);
  fleet.Run(60s);
  EXPECT_TRUE(AllServeRevision(fleet, revision));
}

// Guards against instances that keep a change after its reversal. The change is
// reversed when only one of two partitioned data centres has received it.
TEST(ControlCore, ReversalOvertakesPartialRollout)
{
  ControlFleet fleet({ .mInstances = 6, .mDataCentres = 2, .mLoss = 0.1 });
  StartAll(fleet);
  fleet.Run(10s);
  fleet.mPlatform.mDisconnected = { "dc-1" };
  fleet.mDropsMessages = [](std::size_t aFrom, std::size_t aTo) {
    return aFrom % 2 != aTo % 2;
  };
  const auto change = fleet.Publish(MakeOrganisation("a", 0, 1, { 3 }));
  fleet.Run(5s);
  EXPECT_TRUE(ServesRevision(fleet, 0, change));
  EXPECT_FALSE(ServesRevision(fleet, 1, change));
  const auto reversal = fleet.Publish(MakeOrganisation("a", 0, 1, { 1, 2 }));
  fleet.mDropsMessages = nullptr;
  EXPECT_TRUE(
    fleet.RunUntil(10s, [&] { return AllServeRevision(fleet, reversal); }));
  fleet.mPlatform.mDisconnected.clear();
  fleet.Run(60s);
  EXPECT_TRUE(AllServeRevision(fleet, reversal));
}

// Guards against an instance that acts on outdated state after a pause longer
// than the failure timeout, during which the others counted it as dead.
TEST(ControlCore, PausedInstanceIsUntrustedUntilPeersRespond)
{
  ControlFleet fleet({ .mInstances = 4 });
  StartAll(fleet);
  fleet.Run(10s);
  const auto incarnation = [&] {
    return fleet.SnapshotOf(2).mInstances.at(2).mIncarnation;
  };
  const auto before = incarnation();
  fleet.Pause(2, 20s);
  fleet.Run(19s);
  EXPECT_EQ(fleet.StateOf(0, 2), InstanceState::Dead);
  const auto becameUntrusted =
    fleet.RunUntil(2s, [&] { return !fleet.SnapshotOf(2).mTrusted; });
  EXPECT_TRUE(becameUntrusted);
  EXPECT_TRUE(fleet.RunUntil(2s, [&] { return fleet.SnapshotOf(2).mTrusted; }));
  fleet.Run(10s);
  EXPECT_EQ(fleet.StateOf(0, 2), InstanceState::Live);
  EXPECT_GT(incarnation(), before);
  EXPECT_EQ(fleet.StateOf(2, 0), InstanceState::Live);
}

// Guards against an instance that never serves again after a pause because it
// reaches no peer that could confirm its state.
TEST(ControlCore, IsolatedInstanceIsTrustedAgainAfterTwoSeconds)
{
  ControlFleet fleet({ .mInstances = 3 });
  StartAll(fleet);
  fleet.Run(10s);
  fleet.mDropsMessages = [](std::size_t aFrom, std::size_t aTo) {
    return aFrom == 0 || aTo == 0;
  };
  fleet.Pause(0, 5s);
  fleet.Run(6s);
  EXPECT_FALSE(fleet.SnapshotOf(0).mTrusted);
  fleet.Run(2s);
  EXPECT_TRUE(fleet.SnapshotOf(0).mTrusted);
}

// Guards against owners of shards that change because a live instance is
// counted as dead when messages to it are lost for 1.2 s.
TEST(ControlCore, FalseSuspicionIsRefuted)
{
  ControlFleet fleet({ .mInstances = 6 });
  StartAll(fleet);
  fleet.Run(10s);
  // No message reaches instance 5 for 1.2 s.
  fleet.mDropsMessages = [](std::size_t, std::size_t aTo) { return aTo == 5; };
  fleet.Run(1200ms);
  fleet.mDropsMessages = nullptr;
  fleet.Run(10s);
  for (std::size_t index = 0; index < 5; ++index) {
    const auto& log = fleet.mInstances[index].mLog;
    EXPECT_EQ(std::count(log.begin(), log.end(), "member is dead"), 0);
    EXPECT_EQ(fleet.StateOf(index, 5), InstanceState::Live);
  }
}

// Guards against new flows for a leaving instance because some instances do not
// receive its state, or show it as dead instead of leaving.
TEST(ControlCore, LeavingInstanceIsShownByAllInstances)
{
  ControlFleet fleet({ .mInstances = 6, .mDataCentres = 2, .mLoss = 0.1 });
  StartAll(fleet);
  fleet.Run(10s);
  fleet.RequestStop(2);
  EXPECT_TRUE(fleet.SnapshotOf(2).mStopping);
  EXPECT_TRUE(fleet.RunUntil(10s, [&] {
    return fleet.StateOf(0, 2) == InstanceState::Leaving &&
           fleet.StateOf(4, 2) == InstanceState::Leaving &&
           fleet.StateOf(1, 2) == InstanceState::Leaving &&
           fleet.StateOf(3, 2) == InstanceState::Leaving;
  }));
  fleet.Kill(2);
  fleet.Run(10s);
  EXPECT_EQ(fleet.StateOf(0, 2), InstanceState::Dead);
}

// Guards against shards owned by a dead instance: the published list is out of
// date and still contains it.
TEST(ControlCore, DeadInstanceOnLaggingListStaysDead)
{
  ControlFleet fleet({ .mInstances = 6, .mLoss = 0.1 });
  StartAll(fleet);
  fleet.Run(10s);
  fleet.PublishInstanceLists();
  fleet.Kill(4);
  EXPECT_TRUE(fleet.RunUntil(12s, [&] {
    return fleet.StateOf(0, 4) == InstanceState::Dead &&
           fleet.StateOf(5, 4) == InstanceState::Dead;
  }));
  auto list = fleet.mPlatform.mRecords.at("instances/dc-0");
  fleet.Publish(list);
  fleet.Run(5s);
  EXPECT_EQ(fleet.StateOf(0, 4), InstanceState::Dead);
}

// Guards against a starting instance that counts dead members as live because
// the published list still contains them.
TEST(ControlCore, StartingInstanceReceivesDeadMembersFromPeers)
{
  ControlFleet fleet({ .mInstances = 12 });
  StartAll(fleet);
  fleet.Run(10s);
  for (const std::size_t dead : { 3, 5, 7, 9 }) {
    fleet.Kill(dead);
  }
  fleet.Run(20s);
  fleet.Kill(2);
  fleet.Start(2);
  fleet.Run(3s);
  for (const std::size_t dead : { 3, 5, 7, 9 }) {
    EXPECT_EQ(fleet.StateOf(2, dead), InstanceState::Dead) << dead;
  }
  EXPECT_EQ(fleet.StateOf(2, 4), InstanceState::Live);
}

// Guards against instances that disagree about the holder of an address. A
// second organisation claims it, and its record may arrive first on some.
TEST(ControlCore, SecondClaimOfAnAddressIsRejectedEverywhere)
{
  ControlFleet fleet({ .mInstances = 4, .mDataCentres = 2 });
  StartAll(fleet);
  fleet.Run(5s);
  const auto second = fleet.Publish(MakeOrganisation("b", 0, 1, { 7 }));
  fleet.Run(10s);
  const auto last = fleet.Publish(MakeOrganisation("a", 0, 1, { 1 }));
  EXPECT_TRUE(
    fleet.RunUntil(5s, [&] { return AllServeRevision(fleet, last); }));
  for (std::size_t index = 0; index < 4; ++index) {
    EXPECT_FALSE(ServesRevision(fleet, index, second));
  }
}

// Guards against instances that never receive a change because one message in
// ten is lost. Several seeds, so that the bound does not depend on which ones.
TEST(ControlCore, ChangeReachesAllDespiteLostMessages)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    ControlFleet fleet(
      { .mInstances = 12, .mDataCentres = 4, .mSeed = seed, .mLoss = 0.1 });
    StartAll(fleet);
    fleet.Run(15s);
    const auto revision = fleet.Publish(MakeOrganisation("a", 0, 1, { 9 }));
    EXPECT_TRUE(
      fleet.RunUntil(5s, [&] { return AllServeRevision(fleet, revision); }));
    fleet.Run(30s);
    for (const auto& instance : fleet.mInstances) {
      EXPECT_EQ(instance.mCore->RevisionInForce(), fleet.mPlatform.mRevision);
    }
  }
}

} // namespace
} // namespace sassafrasknot::testing
