#include "sassafrasknot/coordination/shard.hpp"

#include <gtest/gtest.h>

namespace sassafrasknot::coordination {
namespace {

using namespace std::chrono_literals;
using state::FlowClass;
using state::Ipv4Address;

constexpr state::TimePoint kStart{ 1h };

state::ShardTable
MakeTable(std::uint32_t aCount,
          std::uint32_t aSlots,
          std::uint32_t aConnections = 2000)
{
  state::ShardTable table;
  for (std::uint32_t index = 0; index < aCount; ++index) {
    table.mUpstreams.push_back(
      { { 1 + index }, aSlots, aConnections, state::UpstreamState::Live, 0 });
  }
  return table;
}

/// A shard and the id of the next flow to be placed in it.
struct Fixture
{
  ShardPointer mShard;
  std::uint64_t mNextFlowId = 0;
};

Fixture
MakeFixture(const state::ShardTable& aTable,
            const state::ServiceLimits& aLimits = {})
{
  return { MakeShard(aTable, aLimits, kStart) };
}

PlacementDecision
PlaceNext(Fixture& aFixture,
          FlowClass aFlowClass,
          std::uint32_t aDefault = 1,
          state::TimePoint aNow = kStart,
          std::optional<Ipv4Address> aExcluded = std::nullopt,
          state::Duration aDeadline = 1s)
{
  return Place(
    *aFixture.mShard,
    { aFixture.mNextFlowId++, aFlowClass, { aDefault }, aDeadline, aExcluded },
    aNow);
}

/// Returns the address of the upstream that a flow was placed on, or 0.
std::uint32_t
UpstreamOf(const PlacementDecision& aDecision)
{
  const auto* placed = std::get_if<Placed>(&aDecision);
  return placed == nullptr ? 0 : placed->mUpstream.mValue;
}

/// Returns why a flow was refused; empty if it was not.
std::optional<RefusalReason>
ReasonOf(const PlacementDecision& aDecision)
{
  const auto* refused = std::get_if<Refused>(&aDecision);
  return refused == nullptr ? std::nullopt : std::optional{ refused->mReason };
}

/// Records as many refusals as eject an upstream.
void
FailUntilEjected(Fixture& aFixture,
                 std::uint32_t aUpstream,
                 state::TimePoint aNow)
{
  for (int failure = 0; failure < 5; ++failure) {
    OnFailed(*aFixture.mShard, { aUpstream }, FailureKind::Refused, aNow);
  }
}

// Guards against work placed beyond the number of slots, and against a freed
// slot that is not given to the first queued flow.
TEST(Shard, QueuesWorkBeyondTheSlotsAndServesItInOrder)
{
  auto fixture = MakeFixture(MakeTable(2, 1));
  EXPECT_EQ(UpstreamOf(PlaceNext(fixture, FlowClass::Work)), 1);
  EXPECT_EQ(UpstreamOf(PlaceNext(fixture, FlowClass::Work)), 2);
  for (int flow = 0; flow < 2; ++flow) {
    EXPECT_TRUE(
      std::holds_alternative<Queued>(PlaceNext(fixture, FlowClass::Work)));
  }
  OnEnded(*fixture.mShard, { 2 }, FlowClass::Work, kStart, kStart + 10ms);
  const auto served = ServeQueue(*fixture.mShard, kStart + 10ms);
  ASSERT_EQ(served.size(), 1);
  EXPECT_EQ(std::get<Placed>(served[0]).mFlowId, 2);
  EXPECT_EQ(UpstreamOf(served[0]), 2);
}

// Guards against an overload of an upstream that is the default of many feeds.
TEST(Shard, PlacesFeedsOffALoadedDefault)
{
  auto fixture = MakeFixture(MakeTable(4, 2));
  for (int flow = 0; flow < 400; ++flow) {
    PlaceNext(fixture, FlowClass::Feed, 1);
  }
  for (const auto& upstream : StatusOf(*fixture.mShard, kStart).mUpstreams) {
    EXPECT_LE(upstream.mConnectionsUsed, 106);
    EXPECT_GE(upstream.mConnectionsUsed, 95);
  }
}

// Guards against a retry on the upstream that refused the flow, also when no
// other one has room.
TEST(Shard, NeverPlacesOnTheExcludedUpstream)
{
  auto fixture = MakeFixture(MakeTable(2, 2, 1));
  const Ipv4Address excluded{ 1 };
  EXPECT_EQ(
    UpstreamOf(PlaceNext(fixture, FlowClass::Feed, 1, kStart, excluded)), 2);
  EXPECT_EQ(ReasonOf(PlaceNext(fixture, FlowClass::Feed, 1, kStart, excluded)),
            RefusalReason::NoUpstream);
}

// Guards against a queued flow that blocks the flows behind it because only its
// excluded upstream has a free slot.
TEST(Shard, FlowWithExcludedUpstreamDoesNotBlockTheQueue)
{
  auto fixture = MakeFixture(MakeTable(2, 1));
  PlaceNext(fixture, FlowClass::Work, 1);
  PlaceNext(fixture, FlowClass::Work, 2);
  PlaceNext(fixture, FlowClass::Work, 1, kStart, Ipv4Address{ 1 });
  PlaceNext(fixture, FlowClass::Work, 1);
  OnEnded(*fixture.mShard, { 1 }, FlowClass::Work, kStart, kStart + 10ms);
  const auto served = ServeQueue(*fixture.mShard, kStart + 10ms);
  ASSERT_EQ(served.size(), 1);
  EXPECT_EQ(std::get<Placed>(served[0]).mFlowId, 3);
}

// Guards against long work that takes all slots and then all places in the
// queue: other work must still get both.
TEST(Shard, LongWorkFillsNeitherSlotsNorQueue)
{
  auto fixture = MakeFixture(MakeTable(2, 2));
  int placed = 0;
  std::optional<RefusalReason> last;
  for (int flow = 0; flow < 40; ++flow) {
    const auto decision = PlaceNext(fixture, FlowClass::Long);
    placed += UpstreamOf(decision) != 0 ? 1 : 0;
    last = ReasonOf(decision);
  }
  EXPECT_EQ(placed, 2);
  EXPECT_EQ(last, RefusalReason::QueueFull);
  EXPECT_NE(UpstreamOf(PlaceNext(fixture, FlowClass::Work)), 0);
  EXPECT_NE(UpstreamOf(PlaceNext(fixture, FlowClass::Work)), 0);
  EXPECT_TRUE(
    std::holds_alternative<Queued>(PlaceNext(fixture, FlowClass::Work)));
}

// Guards against a share of long work that includes the slots of a leaving
// upstream: long work could then take all slots of the others.
TEST(Shard, LongShareShrinksWithTheUpstreams)
{
  auto table = MakeTable(2, 2);
  auto fixture = MakeFixture(table);
  EXPECT_EQ(UpstreamOf(PlaceNext(fixture, FlowClass::Long, 2)), 2);
  table.mUpstreams[0].mState = state::UpstreamState::Leaving;
  UpdateShard(*fixture.mShard, table, {}, kStart);
  EXPECT_EQ(UpstreamOf(PlaceNext(fixture, FlowClass::Long)), 0);
  EXPECT_EQ(UpstreamOf(PlaceNext(fixture, FlowClass::Work, 1)), 2);
}

// Guards against work placed on an upstream that has a free slot but no free
// connection.
TEST(Shard, WorkNeedsASlotAndAConnection)
{
  auto fixture = MakeFixture(MakeTable(2, 2, 3));
  for (int feed = 0; feed < 3; ++feed) {
    Adopt(*fixture.mShard, { 1 }, FlowClass::Feed);
  }
  EXPECT_EQ(UpstreamOf(PlaceNext(fixture, FlowClass::Work, 1)), 2);
  EXPECT_EQ(UpstreamOf(PlaceNext(fixture, FlowClass::Work, 1)), 2);
  EXPECT_TRUE(
    std::holds_alternative<Queued>(PlaceNext(fixture, FlowClass::Work, 1)));
}

// Guards against queueing a flow that is not expected to start before its
// deadline, and against placing one after its deadline.
TEST(Shard, RefusesFlowsThatCannotMeetTheirDeadline)
{
  auto fixture = MakeFixture(MakeTable(1, 1));
  PlaceNext(fixture, FlowClass::Work);
  OnEnded(*fixture.mShard, { 1 }, FlowClass::Work, kStart, kStart + 400ms);
  const auto now = kStart + 400ms;
  PlaceNext(fixture, FlowClass::Work, 1, now);
  EXPECT_TRUE(std::holds_alternative<Queued>(
    PlaceNext(fixture, FlowClass::Work, 1, now)));
  EXPECT_TRUE(std::holds_alternative<Queued>(
    PlaceNext(fixture, FlowClass::Work, 1, now)));
  EXPECT_EQ(ReasonOf(PlaceNext(fixture, FlowClass::Work, 1, now)),
            RefusalReason::WaitTooLong);
  OnEnded(*fixture.mShard, { 1 }, FlowClass::Work, now, now + 1s);
  const auto served = ServeQueue(*fixture.mShard, now + 1s);
  ASSERT_EQ(served.size(), 2);
  EXPECT_EQ(ReasonOf(served[0]), RefusalReason::DeadlinePassed);
  EXPECT_EQ(ReasonOf(served[1]), RefusalReason::DeadlinePassed);
}

// Guards against queued flows that keep waiting although no usable upstream is
// left, instead of being placed in another shard.
TEST(Shard, RefusesTheQueueWhenNoUpstreamIsLeft)
{
  auto table = MakeTable(1, 1);
  auto fixture = MakeFixture(table);
  PlaceNext(fixture, FlowClass::Work);
  PlaceNext(fixture, FlowClass::Work);
  table.mUpstreams[0].mState = state::UpstreamState::Leaving;
  UpdateShard(*fixture.mShard, table, {}, kStart);
  const auto served = ServeQueue(*fixture.mShard, kStart);
  ASSERT_EQ(served.size(), 1);
  EXPECT_EQ(ReasonOf(served[0]), RefusalReason::NoUpstream);
  EXPECT_EQ(ReasonOf(PlaceNext(fixture, FlowClass::Work)),
            RefusalReason::NoUpstream);
}

// Guards against a new upstream that gets its full load at once, and against
// limits that slow start leaves reduced.
TEST(Shard, NewUpstreamUsesSlowStart)
{
  auto fixture = MakeFixture(MakeTable(1, 4, 1000));
  UpdateShard(*fixture.mShard, MakeTable(2, 4, 1000), {}, kStart);
  const auto limitsAfter = [&](state::Duration aElapsed) {
    ServeQueue(*fixture.mShard, kStart + aElapsed);
    const auto status = StatusOf(*fixture.mShard, kStart + aElapsed);
    return std::pair{ status.mUpstreams[1].mSlots,
                      status.mUpstreams[1].mConnections };
  };
  EXPECT_EQ(limitsAfter(0s), std::pair(1U, 100U));
  EXPECT_EQ(limitsAfter(5s), std::pair(2U, 500U));
  EXPECT_EQ(limitsAfter(10s), std::pair(4U, 1000U));
}

// Guards against an upstream that gets its full load at once, or still counts
// as ejected, after a successful trial.
TEST(Shard, UpstreamUsesSlowStartAfterItsEjection)
{
  auto fixture = MakeFixture(MakeTable(3, 4));
  FailUntilEjected(fixture, 1, kStart);
  for (int flow = 0; flow < 4; ++flow) {
    EXPECT_NE(UpstreamOf(PlaceNext(fixture, FlowClass::Work, 1)), 1);
  }
  const auto later = kStart + 2s;
  EXPECT_EQ(UpstreamOf(PlaceNext(fixture, FlowClass::Work, 1, later)), 1);
  EXPECT_NE(UpstreamOf(PlaceNext(fixture, FlowClass::Work, 1, later)), 1);
  OnAccepted(*fixture.mShard, { 1 }, later);
  const auto status = StatusOf(*fixture.mShard, later);
  EXPECT_TRUE(status.mUpstreams[0].mEligible);
  EXPECT_EQ(status.mUpstreams[0].mSlots, 1);
}

// Guards against ejecting all upstreams for a fault that affects all of them,
// and against preferring last-resort upstreams to healthy ones.
TEST(Shard, EjectsAtMostAThirdAndUsesLastResortUpstreamsLast)
{
  auto fixture = MakeFixture(MakeTable(3, 2));
  FailUntilEjected(fixture, 1, kStart);
  FailUntilEjected(fixture, 2, kStart);
  EXPECT_EQ(UpstreamOf(PlaceNext(fixture, FlowClass::Work, 2)), 3);
  EXPECT_EQ(UpstreamOf(PlaceNext(fixture, FlowClass::Work, 2)), 3);
  EXPECT_EQ(UpstreamOf(PlaceNext(fixture, FlowClass::Work, 1)), 2);
}

// Guards against more ejections than the limit allows after the table shrank
// while an upstream was ejected.
TEST(Shard, EndsEjectionsAboveTheLimitOfASmallerTable)
{
  auto fixture = MakeFixture(MakeTable(3, 2));
  FailUntilEjected(fixture, 1, kStart);
  EXPECT_FALSE(StatusOf(*fixture.mShard, kStart).mUpstreams[0].mEligible);
  UpdateShard(*fixture.mShard, MakeTable(2, 2), {}, kStart);
  EXPECT_TRUE(StatusOf(*fixture.mShard, kStart).mUpstreams[0].mEligible);
}

// Guards against a new flow that takes a freed slot before the queue is served:
// queued flows, also long work within its share, could be overtaken until their
// deadlines.
TEST(Shard, NewWorkDoesNotOvertakeTheQueue)
{
  for (const auto waiting : { FlowClass::Work, FlowClass::Long }) {
    auto fixture = MakeFixture(MakeTable(1, 2));
    PlaceNext(fixture, FlowClass::Work);
    PlaceNext(fixture, FlowClass::Work);
    PlaceNext(fixture, waiting);
    OnEnded(*fixture.mShard, { 1 }, FlowClass::Work, kStart, kStart + 1ms);
    EXPECT_TRUE(std::holds_alternative<Queued>(
      PlaceNext(fixture, FlowClass::Work, 1, kStart + 1ms)));
    const auto served = ServeQueue(*fixture.mShard, kStart + 1ms);
    ASSERT_EQ(served.size(), 1);
    EXPECT_EQ(std::get<Placed>(served[0]).mFlowId, 2);
  }
}

// Guards against losing the counts of an upstream that is removed from the
// table while flows are open, and against counts that a second end makes
// negative.
TEST(Shard, KeepsCountsOfUpstreamsNotInTheTable)
{
  auto fixture = MakeFixture(MakeTable(2, 2));
  Adopt(*fixture.mShard, { 2 }, FlowClass::Feed);
  Adopt(*fixture.mShard, { 9 }, FlowClass::Work);
  Reclassify(*fixture.mShard, { 2 }, FlowClass::Feed, FlowClass::Work);
  UpdateShard(*fixture.mShard, MakeTable(1, 2), {}, kStart);
  UpdateShard(*fixture.mShard, MakeTable(2, 2), {}, kStart);
  const auto used = [&](std::size_t aIndex) {
    return StatusOf(*fixture.mShard, kStart).mUpstreams.at(aIndex).mSlotsUsed;
  };
  EXPECT_EQ(used(1), 1);
  EXPECT_EQ(used(2), 1);
  for (int end = 0; end < 2; ++end) {
    OnEnded(*fixture.mShard, { 2 }, FlowClass::Work, kStart, kStart);
  }
  EXPECT_EQ(used(1), 0);
}

// Guards against a second decision on a queued flow that is requested again or
// cancelled.
TEST(Shard, DecidesAQueuedFlowOnce)
{
  const auto shard = MakeShard(MakeTable(1, 1), {}, kStart);
  const auto place = [&](std::uint64_t aFlowId) {
    return Place(
      *shard, { aFlowId, FlowClass::Work, { 1 }, 1s, std::nullopt }, kStart);
  };
  place(1);
  EXPECT_TRUE(std::holds_alternative<Queued>(place(2)));
  EXPECT_TRUE(std::holds_alternative<Queued>(place(2)));
  EXPECT_TRUE(std::holds_alternative<Queued>(place(3)));
  EXPECT_EQ(StatusOf(*shard, kStart).mQueued, 2);
  CancelQueued(*shard, 2);
  OnEnded(*shard, { 1 }, FlowClass::Work, kStart, kStart);
  const auto served = ServeQueue(*shard, kStart);
  ASSERT_EQ(served.size(), 1);
  EXPECT_EQ(std::get<Placed>(served[0]).mFlowId, 3);
}

// Guards against work that waits while another shard has a free slot, feeds
// that leave a shard within its part of the connections, and work sent to a
// shard with a queue.
TEST(ChooseShard, LeavesTheFirstShardOnlyForABetterOne)
{
  const ShardLoad full{ 100, 50, 0, 3 };
  const ShardLoad free{ 100, 50, 2, 0 };
  const ShardLoad busy{ 100, 80, 2, 1 };
  EXPECT_EQ(ChooseShard({ full, busy, free }, FlowClass::Work), 2);
  EXPECT_EQ(ChooseShard({ free, free }, FlowClass::Work), 0);
  EXPECT_EQ(ChooseShard({ full, busy }, FlowClass::Work), 0);
  EXPECT_EQ(ChooseShard({ busy, full }, FlowClass::Feed), 1);
  EXPECT_EQ(ChooseShard({ full, free }, FlowClass::Feed), 0);
  EXPECT_EQ(ChooseShard({}, FlowClass::Feed), 0);
}

} // namespace
} // namespace sassafrasknot::coordination
