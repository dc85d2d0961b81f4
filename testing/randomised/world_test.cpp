#include "sassafrasknot/coordination/invariant_policy.hpp"

#include <algorithm>

#include "world.hpp"
#include <gtest/gtest.h>

namespace randomised {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs for a time on virtual time, without a limit of steps.
void
RunFor(World& aWorld, Duration aDuration)
{
  RunWorld(aWorld, aDuration, UINT64_MAX);
}

/// Makes a world of nine instances and lets callers open flows for 20 s. A
/// violated invariant of a core ends the process.
std::unique_ptr<World>
MakeBusyWorld(std::uint64_t aSeed, std::size_t aDataCentres = 3)
{
  coordination::SetInvariantsFatal(true);
  WorldOptions options;
  options.mSeed = aSeed;
  options.mDataCentres = aDataCentres;
  auto world = MakeWorld(options);
  RunFor(*world, seconds{ 2 });
  StartArrivals(*world);
  RunFor(*world, seconds{ 20 });
  return world;
}

/// Expects no misrouted packet, no request that ran twice or against its
/// verdict, and no placement on a leaving upstream.
void
ExpectSafe(const World& aWorld)
{
  EXPECT_EQ(aWorld.mTotals.mMisrouted, 0U);
  EXPECT_EQ(aWorld.mTotals.mRanTwice, 0U);
  EXPECT_EQ(aWorld.mTotals.mNotRunButRan, 0U);
  EXPECT_EQ(aWorld.mTotals.mPlacedOnLeaving, 0U);
  // Without completed flows the checks above would pass without effect.
  EXPECT_GT(aWorld.mTotals.mCompleted, 500U);
}

/// Expects in addition that no established flow was reset or hung.
void
ExpectNothingBroken(const World& aWorld)
{
  ExpectSafe(aWorld);
  EXPECT_EQ(aWorld.mTotals.mBroken, 0U);
  EXPECT_EQ(aWorld.mTotals.mHung, 0U);
}

/// Marks one instance as leaving in the views of half of the others, while it
/// remains live in its own: two instances then own the same shards. The network
/// is not affected.
void
SetDifferingViews(World& aWorld)
{
  const auto target = aWorld.mInstances.front()->mId;
  for (std::size_t index = 1; index < aWorld.mInstances.size(); index += 2) {
    auto& other = *aWorld.mInstances[index];
    other.mMembers[target] = state::InstanceState::Leaving;
    PublishSnapshot(aWorld, other);
  }
}

/// Marks the instance of SetDifferingViews as live in all views.
void
SetEqualViews(World& aWorld)
{
  const auto target = aWorld.mInstances.front()->mId;
  for (const auto& instance : aWorld.mInstances) {
    instance->mMembers[target] = state::InstanceState::Live;
    PublishSnapshot(aWorld, *instance);
  }
}

// Guards against flows that break or run twice while two instances both own a
// shard in their own views.
TEST(Ownership, TwoOwnersAtOnceBreakNothing)
{
  auto world = MakeBusyWorld(11);
  SetDifferingViews(*world);
  RunFor(*world, seconds{ 20 });
  SetEqualViews(*world);
  RunFor(*world, seconds{ 40 });
  ExpectNothingBroken(*world);
}

// Guards against losing more than 1 in 1,000 open flows per failed instance,
// here two in a row: the backup becomes owner and may fail as well before its
// own backup has all records.
TEST(Ownership, OwnerFailsThenASecondInstance)
{
  auto world = MakeBusyWorld(12);
  const auto open = world->mCallers.size();
  KillInstance(*world);
  RunFor(*world, seconds{ 10 });
  KillInstance(*world);
  RunFor(*world, seconds{ 60 });
  ExpectSafe(*world);
  EXPECT_LE(world->mTotals.mBroken + world->mTotals.mHung,
            std::max<std::size_t>(2, 2 * open / 1000));
}

// Guards against an owner that, after a pause, sends queued opening packets or
// places flows by outdated state.
TEST(Stall, PausedOwnerResumes)
{
  auto world = MakeBusyWorld(13);
  auto& paused = *world->mInstances.front();
  paused.mPausedUntil = world->mNow + seconds{ 8 };
  NotifyMembers(*world,
                paused.mId,
                state::InstanceState::Leaving,
                milliseconds{ 2700 },
                milliseconds{ 3500 });
  RunFor(*world, seconds{ 30 });
  ExpectSafe(*world);
  state::Counters sum;
  for (const auto& instance : world->mInstances) {
    state::Merge(sum, instance->mCore->Counters());
  }
  EXPECT_GE(state::ValueOf(sum, "stalls_total"), 1U);
}

// Guards against broken flows when a change is reversed while instances still
// apply it, so that the reversal reaches some of them before the change.
TEST(Configuration, ReversalDuringPartialRollout)
{
  auto world = MakeBusyWorld(14);
  AddUpstream(*world);
  RunFor(*world, milliseconds{ 300 });
  ReverseChange(*world);
  RunFor(*world, milliseconds{ 300 });
  DrainUpstream(*world);
  RunFor(*world, milliseconds{ 300 });
  ReverseChange(*world);
  RunFor(*world, seconds{ 60 });
  ExpectNothingBroken(*world);
}

// Guards against a drain of an upstream that breaks flows during a handover.
TEST(Drain, DuringHandover)
{
  auto world = MakeBusyWorld(15);
  ReplaceInstance(*world);
  RunFor(*world, milliseconds{ 500 });
  DrainUpstream(*world);
  RunFor(*world, milliseconds{ 500 });
  ReplaceInstance(*world);
  RunFor(*world, seconds{ 60 });
  ExpectNothingBroken(*world);
}

// Guards against a partitioned data centre that stops serving its own callers,
// and against requests that run on both sides.
TEST(Partition, DataCentreServesItsOwnCallers)
{
  auto world = MakeBusyWorld(16);
  PartitionDataCentre(*world);
  RunFor(*world, seconds{ 6 });
  const auto before = world->mTotals.mEstablished;
  RunFor(*world, seconds{ 10 });
  EXPECT_GT(world->mTotals.mEstablished, before + 200);
  RunFor(*world, seconds{ 60 });
  ExpectSafe(*world);
}

// Guards against broken flows when the instances of one data centre disagree on
// a member, so that both sides own the same shards.
TEST(Partition, WithinADataCentre)
{
  auto world = MakeBusyWorld(17, 1);
  SetDifferingViews(*world);
  RunFor(*world, seconds{ 15 });
  SetEqualViews(*world);
  RunFor(*world, seconds{ 40 });
  ExpectNothingBroken(*world);
}

// Guards against unsafe results that only a combination of faults causes: an
// instance fails during a partition and a change.
TEST(Faults, FailureDuringPartitionAndChange)
{
  auto world = MakeBusyWorld(18);
  PartitionDataCentre(*world);
  RunFor(*world, seconds{ 2 });
  AddUpstream(*world);
  KillInstance(*world);
  RunFor(*world, seconds{ 70 });
  ExpectSafe(*world);
}

// Guards against connections that stay open after the network has stopped
// passing their packets.
TEST(BlackholedFlows, EndInTime)
{
  auto world = MakeBusyWorld(19);
  for (int count = 0; count < 20; ++count) {
    BlackholeFlow(*world);
  }
  const auto blackholed = world->mBlackholedFlows.size();
  ASSERT_GT(blackholed, 5U);
  // 3.5 keepalive intervals of 30 s, and time for the probes after them.
  RunFor(*world, seconds{ 180 });
  EXPECT_LE(world->mBlackholedFlows.size(), blackholed / 10);
  ExpectSafe(*world);
}

// Guards against runs that are not reproducible from their seed.
TEST(World, SameSeedSameRun)
{
  const auto first = MakeBusyWorld(20);
  const auto second = MakeBusyWorld(20);
  EXPECT_EQ(first->mTotals, second->mTotals);
}

} // namespace
} // namespace randomised
