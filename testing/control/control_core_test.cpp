#include "sassafrasknot/state/sample_documents.hpp"

#include <algorithm>

#include "control/control_fleet.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::testing {
namespace {

using namespace state::sample;
using namespace std::chrono_literals;
using state::InstanceState;

/// Starts all instances with one template and organisation "a".
void
StartAll(ControlFleet& aFleet)
{
  aFleet.Publish(MakeTemplate(0));
  aFleet.Publish(MakeOrganisation("a", 0, 1, { 1, 2 }));
  for (std::size_t index = 0; index < aFleet.mInstances.size(); ++index) {
    aFleet.Start(index);
  }
  aFleet.PublishLists();
}

bool
HasRevision(const ControlFleet& aFleet,
            std::size_t aInstance,
            state::Revision aRevision)
{
  const auto& services = aFleet.SnapshotOf(aInstance).mServices;
  return std::any_of(services.begin(), services.end(), [&](const auto& aView) {
    return aView.mRevision == aRevision && !aView.mRemoved;
  });
}

bool
AllHave(const ControlFleet& aFleet, state::Revision aRevision)
{
  for (std::size_t index = 0; index < aFleet.mInstances.size(); ++index) {
    if (aFleet.mInstances[index].mCore &&
        !HasRevision(aFleet, index, aRevision)) {
      return false;
    }
  }
  return true;
}

// Guards against an instance that can't serve because the platform is down
// when it starts, although another data centre has the configuration.
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
  EXPECT_TRUE(fleet.RunUntil(5s, [&] { return HasRevision(fleet, 3, 2); }));
  EXPECT_EQ(fleet.SnapshotOf(3).mInstances.size(), 4);
  EXPECT_LE(fleet.mPlatform.mReads - reads, 10);
}

// Guards against a replica with old values that takes back a change.
TEST(ControlCore, StaleReplicaChangesNothing)
{
  ControlFleet fleet({ .mInstances = 4, .mDataCentres = 2 });
  StartAll(fleet);
  fleet.Run(5s);
  fleet.mPlatform.mStale["dc-0"] = { fleet.mPlatform.mRecords,
                                     fleet.mPlatform.mRevision };
  const auto revision = fleet.Publish(MakeOrganisation("a", 0, 1, { 1, 3 }));
  EXPECT_TRUE(fleet.RunUntil(5s, [&] { return AllHave(fleet, revision); }));
  fleet.Kill(0);
  fleet.Run(5s);
  fleet.Start(0);
  fleet.Run(60s);
  EXPECT_TRUE(AllHave(fleet, revision));
}

// Guards against instances that stay on a change that was reversed while it
// was still being rolled out.
TEST(ControlCore, ReversalOvertakesPartialRollout)
{
  ControlFleet fleet({ .mInstances = 6, .mDataCentres = 2, .mLoss = 0.1 });
  StartAll(fleet);
  fleet.Run(10s);
  fleet.mPlatform.mCutOff = { "dc-1" };
  fleet.mCut = [](std::size_t aFrom, std::size_t aTo) {
    return aFrom % 2 != aTo % 2;
  };
  const auto change = fleet.Publish(MakeOrganisation("a", 0, 1, { 3 }));
  fleet.Run(5s);
  EXPECT_TRUE(HasRevision(fleet, 0, change));
  EXPECT_FALSE(HasRevision(fleet, 1, change));
  const auto reversal = fleet.Publish(MakeOrganisation("a", 0, 1, { 1, 2 }));
  fleet.mCut = nullptr;
  EXPECT_TRUE(fleet.RunUntil(10s, [&] { return AllHave(fleet, reversal); }));
  fleet.mPlatform.mCutOff.clear();
  fleet.Run(60s);
  EXPECT_TRUE(AllHave(fleet, reversal));
}

// Guards against an instance that acts on its old state after a pause that was
// longer than the failure timeout.
TEST(ControlCore, PausedInstanceIsDistrustedUntilPeersAnswer)
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
  const auto distrusted =
    fleet.RunUntil(2s, [&] { return !fleet.SnapshotOf(2).mTrusted; });
  EXPECT_TRUE(distrusted);
  EXPECT_TRUE(fleet.RunUntil(2s, [&] { return fleet.SnapshotOf(2).mTrusted; }));
  fleet.Run(10s);
  EXPECT_EQ(fleet.StateOf(0, 2), InstanceState::Live);
  EXPECT_GT(incarnation(), before);
  EXPECT_EQ(fleet.StateOf(2, 0), InstanceState::Live);
}

// Guards against a paused instance without reachable peers that never serves
// again.
TEST(ControlCore, IsolatedInstanceIsTrustedAgainAfterTwoSeconds)
{
  ControlFleet fleet({ .mInstances = 3 });
  StartAll(fleet);
  fleet.Run(10s);
  fleet.mCut = [](std::size_t aFrom, std::size_t aTo) {
    return aFrom == 0 || aTo == 0;
  };
  fleet.Pause(0, 5s);
  fleet.Run(6s);
  EXPECT_FALSE(fleet.SnapshotOf(0).mTrusted);
  fleet.Run(2s);
  EXPECT_TRUE(fleet.SnapshotOf(0).mTrusted);
}

// Guards against owners that change because some probes were lost.
TEST(ControlCore, FalseSuspicionIsRefuted)
{
  ControlFleet fleet({ .mInstances = 6 });
  StartAll(fleet);
  fleet.Run(10s);
  // No message reaches instance 5 for a second.
  fleet.mCut = [](std::size_t, std::size_t aTo) { return aTo == 5; };
  fleet.Run(1200ms);
  fleet.mCut = nullptr;
  fleet.Run(10s);
  for (std::size_t index = 0; index < 5; ++index) {
    const auto& log = fleet.mInstances[index].mLog;
    EXPECT_EQ(std::count(log.begin(), log.end(), "member is dead"), 0);
    EXPECT_EQ(fleet.StateOf(index, 5), InstanceState::Live);
  }
}

// Guards against new work for a leaving instance, and against an instance that
// is reported dead instead of leaving.
TEST(ControlCore, LeavingInstanceIsKnownEverywhere)
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

// Guards against shards owned by an instance that is dead but still listed.
TEST(ControlCore, DeadInstanceOnLaggingListStaysDead)
{
  ControlFleet fleet({ .mInstances = 6, .mLoss = 0.1 });
  StartAll(fleet);
  fleet.Run(10s);
  fleet.PublishLists();
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

// Guards against an instance that starts and takes dead members for live ones
// because the published list still shows them.
TEST(ControlCore, StartingInstanceLearnsOfDeadMembersFromPeers)
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

// Guards against a second organisation that takes an address over on the
// instances that hear of it first.
TEST(ControlCore, SecondClaimOfAnAddressIsRejectedEverywhere)
{
  ControlFleet fleet({ .mInstances = 4, .mDataCentres = 2 });
  StartAll(fleet);
  fleet.Run(5s);
  const auto second = fleet.Publish(MakeOrganisation("b", 0, 1, { 7 }));
  fleet.Run(10s);
  const auto last = fleet.Publish(MakeOrganisation("a", 0, 1, { 1 }));
  EXPECT_TRUE(fleet.RunUntil(5s, [&] { return AllHave(fleet, last); }));
  for (std::size_t index = 0; index < 4; ++index) {
    EXPECT_FALSE(HasRevision(fleet, index, second));
  }
}

// Guards against instances that never hear of a change because messages are
// lost, and against a bound that depends on luck.
TEST(ControlCore, ChangeReachesAllDespiteLostMessages)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    ControlFleet fleet(
      { .mInstances = 12, .mDataCentres = 4, .mSeed = seed, .mLoss = 0.1 });
    StartAll(fleet);
    fleet.Run(15s);
    const auto revision = fleet.Publish(MakeOrganisation("a", 0, 1, { 9 }));
    EXPECT_TRUE(fleet.RunUntil(5s, [&] { return AllHave(fleet, revision); }));
    fleet.Run(30s);
    for (const auto& instance : fleet.mInstances) {
      EXPECT_EQ(instance.mCore->RevisionInForce(), fleet.mPlatform.mRevision);
    }
  }
}

} // namespace
} // namespace sassafrasknot::testing
