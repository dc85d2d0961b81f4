#include "sassafrasknot/coordination/invariant_policy.hpp"

#include <algorithm>

#include "world.hpp"
#include <gtest/gtest.h>

namespace randomised {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs for a time without a limit of steps.
void
RunFor(World& aWorld, Duration aDuration)
{
  RunWorld(aWorld, aDuration, UINT64_MAX);
}

/// Nine instances in three data centres with open flows of all kinds.
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

void
ExpectSafe(const World& aWorld)
{
  EXPECT_EQ(aWorld.mTally.mMisrouted, 0U);
  EXPECT_EQ(aWorld.mTally.mRanTwice, 0U);
  EXPECT_EQ(aWorld.mTally.mNotRunButRan, 0U);
  EXPECT_EQ(aWorld.mTally.mPlacedOnLeaving, 0U);
  // An empty run would show nothing.
  EXPECT_GT(aWorld.mTally.mCompleted, 500U);
}

void
ExpectNothingBroken(const World& aWorld)
{
  ExpectSafe(aWorld);
  EXPECT_EQ(aWorld.mTally.mBroken, 0U);
  EXPECT_EQ(aWorld.mTally.mHung, 0U);
}

/// Cuts one instance off from nothing but the others' knowledge: half of the
/// instances take it for dead while it still owns shards in its own view.
void
SplitViews(World& aWorld)
{
  const auto victim = aWorld.mInstances.front()->mId;
  for (std::size_t index = 1; index < aWorld.mInstances.size(); index += 2) {
    auto& other = *aWorld.mInstances[index];
    other.mMembers[victim] = state::InstanceState::Leaving;
    PublishSnapshot(aWorld, other);
  }
}

void
JoinViews(World& aWorld)
{
  const auto victim = aWorld.mInstances.front()->mId;
  for (const auto& instance : aWorld.mInstances) {
    instance->mMembers[victim] = state::InstanceState::Live;
    PublishSnapshot(aWorld, *instance);
  }
}

// Guards against flows that break or run twice while two instances both take
// themselves for the owner of a shard.
TEST(Ownership, TwoOwnersAtOnceBreakNothing)
{
  auto world = MakeBusyWorld(11);
  SplitViews(*world);
  RunFor(*world, seconds{ 20 });
  JoinViews(*world);
  RunFor(*world, seconds{ 40 });
  ExpectNothingBroken(*world);
}

// Guards against more than 1 in 1,000 flows lost at a death, and against a
// backup that cannot do without its own copies.
TEST(Ownership, OwnerDiesThenItsBackup)
{
  auto world = MakeBusyWorld(12);
  const auto open = world->mCallers.size();
  KillInstance(*world);
  RunFor(*world, seconds{ 10 });
  KillInstance(*world);
  RunFor(*world, seconds{ 60 });
  ExpectSafe(*world);
  EXPECT_LE(world->mTally.mBroken + world->mTally.mHung,
            std::max<std::size_t>(2, 2 * open / 1000));
}

// Guards against a paused owner that sends queued openings or places flows by
// old facts when it wakes.
TEST(Stall, PausedOwnerWakes)
{
  auto world = MakeBusyWorld(13);
  auto& paused = *world->mInstances.front();
  paused.mPausedUntil = world->mNow + seconds{ 8 };
  TellMembers(*world,
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

// Guards against a reversal that reaches some instances before the change
// itself.
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

// Guards against a drain that loses the flows which a hand-over is moving.
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

// Guards against a cut-off data centre that stops serving its own callers, and
// against flows that run on both sides.
TEST(Partition, DataCentreServesItsOwn)
{
  auto world = MakeBusyWorld(16);
  CutDataCentre(*world);
  RunFor(*world, seconds{ 6 });
  const auto before = world->mTally.mEstablished;
  RunFor(*world, seconds{ 10 });
  EXPECT_GT(world->mTally.mEstablished, before + 200);
  RunFor(*world, seconds{ 60 });
  ExpectSafe(*world);
}

// Guards against an instance that is cut off within its data centre: both
// sides own, and known flows stay.
TEST(Partition, WithinADataCentre)
{
  auto world = MakeBusyWorld(17, 1);
  SplitViews(*world);
  RunFor(*world, seconds{ 15 });
  JoinViews(*world);
  RunFor(*world, seconds{ 40 });
  ExpectNothingBroken(*world);
}

// Guards against two faults that only together lose flows.
TEST(Faults, DeathDuringPartitionAndChange)
{
  auto world = MakeBusyWorld(18);
  CutDataCentre(*world);
  RunFor(*world, seconds{ 2 });
  AddUpstream(*world);
  KillInstance(*world);
  RunFor(*world, seconds{ 70 });
  ExpectSafe(*world);
}

// Guards against silent connections that are never ended.
TEST(Silence, IsFoundWithinItsBound)
{
  auto world = MakeBusyWorld(19);
  for (int count = 0; count < 20; ++count) {
    SilenceFlow(*world);
  }
  const auto silenced = world->mSilenced.size();
  ASSERT_GT(silenced, 5U);
  // Three and a half keepalive intervals of 30 s and the probes after them.
  RunFor(*world, seconds{ 180 });
  EXPECT_LE(world->mSilenced.size(), silenced / 10);
  ExpectSafe(*world);
}

// Guards against runs that cannot be repeated from their seed.
TEST(World, SameSeedSameRun)
{
  const auto first = MakeBusyWorld(20);
  const auto second = MakeBusyWorld(20);
  EXPECT_EQ(first->mTally, second->mTally);
}

} // namespace
} // namespace randomised
