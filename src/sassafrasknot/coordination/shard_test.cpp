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

/// A shard and a counter that names its flows.
struct Fixture
{
  ShardPointer mShard;
  std::uint64_t mNext = 0;
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
    { aFixture.mNext++, aFlowClass, { aDefault }, aDeadline, aExcluded },
    aNow);
}

/// Returns the upstream that a flow was placed on, or 0.
std::uint32_t
UpstreamOf(const PlacementDecision& aDecision)
{
  const auto* placed = std::get_if<Placed>(&aDecision);
  return placed == nullptr ? 0 : placed->mUpstream.mValue;
}

std::optional<RefusalReason>
ReasonOf(const PlacementDecision& aDecision)
{
  const auto* refused = std::get_if<Refused>(&aDecision);
  return refused == nullptr ? std::nullopt : std::optional{ refused->mReason };
}

void
FailUntilOut(Fixture& aFixture, std::uint32_t aUpstream, state::TimePoint aNow)
{
  for (int failure = 0; failure < 5; ++failure) {
    OnFailed(*aFixture.mShard, { aUpstream }, FailureKind::Refused, aNow);
  }
}

// Guards against work placed beyond the slots and against a freed slot that no
// queued flow takes.
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

// Guards against feeds that pile up on an upstream that many flows have as
// their default.
TEST(Shard, FeedsLeaveALoadedDefault)
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

// Guards against a flow that is sent again to the upstream that refused it,
// also when no other one has room.
TEST(Shard, NeverPlacesOnTheExcludedUpstream)
{
  auto fixture = MakeFixture(MakeTable(2, 2, 1));
  const Ipv4Address excluded{ 1 };
  EXPECT_EQ(
    UpstreamOf(PlaceNext(fixture, FlowClass::Feed, 1, kStart, excluded)), 2);
  EXPECT_EQ(ReasonOf(PlaceNext(fixture, FlowClass::Feed, 1, kStart, excluded)),
            RefusalReason::NoUpstream);
}

// Guards against a queued flow whose excluded upstream is the only free one
// blocking the flows behind it.
TEST(Shard, ExcludedFlowLetsOthersPass)
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

// Guards against long work that takes all slots and then, through the queue's
// bound, also all places in the queue: short work must pass both limits.
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

// Guards against a long share that still counts the slots of an upstream that
// leaves: the other one would be filled with long work.
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

// Guards against work that takes a free slot of an upstream whose connections
// are all in use.
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

// Guards against a flow that waits although it cannot start in time, and
// against one that is placed after its deadline.
TEST(Shard, RefusesEarlyWhatCannotMakeItsDeadline)
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

// Guards against queued flows that wait for upstreams that are all gone
// instead of going to another shard.
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

// Guards against a joining upstream that gets its full load while cold, and
// against one that stays limited.
TEST(Shard, JoiningUpstreamStartsSlowly)
{
  auto fixture = MakeFixture(MakeTable(1, 4, 1000));
  UpdateShard(*fixture.mShard, MakeTable(2, 4, 1000), {}, kStart);
  const auto limits = [&](state::Duration aAfter) {
    ServeQueue(*fixture.mShard, kStart + aAfter);
    const auto status = StatusOf(*fixture.mShard, kStart + aAfter);
    return std::pair{ status.mUpstreams[1].mSlots,
                      status.mUpstreams[1].mConnections };
  };
  EXPECT_EQ(limits(0s), std::pair(1U, 100U));
  EXPECT_EQ(limits(5s), std::pair(2U, 500U));
  EXPECT_EQ(limits(10s), std::pair(4U, 1000U));
}

// Guards against ejection and slow start together: an upstream that returns
// must not get back its full load at once, nor count as ejected any longer.
TEST(Shard, ReturningUpstreamStartsSlowly)
{
  auto fixture = MakeFixture(MakeTable(3, 4));
  FailUntilOut(fixture, 1, kStart);
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

// Guards against a fault that all upstreams seem to share ejecting all of
// them, and against suspected ones being preferred to healthy ones.
TEST(Shard, EjectsAtMostAThirdAndUsesSuspectedOnesLast)
{
  auto fixture = MakeFixture(MakeTable(3, 2));
  FailUntilOut(fixture, 1, kStart);
  FailUntilOut(fixture, 2, kStart);
  EXPECT_EQ(UpstreamOf(PlaceNext(fixture, FlowClass::Work, 2)), 3);
  EXPECT_EQ(UpstreamOf(PlaceNext(fixture, FlowClass::Work, 2)), 3);
  EXPECT_EQ(UpstreamOf(PlaceNext(fixture, FlowClass::Work, 1)), 2);
}

// Guards against a table that shrinks while an upstream is ejected: the rest
// would then be above the cap.
TEST(Shard, EndsEjectionsAboveTheCapOfASmallerTable)
{
  auto fixture = MakeFixture(MakeTable(3, 2));
  FailUntilOut(fixture, 1, kStart);
  EXPECT_FALSE(StatusOf(*fixture.mShard, kStart).mUpstreams[0].mEligible);
  UpdateShard(*fixture.mShard, MakeTable(2, 2), {}, kStart);
  EXPECT_TRUE(StatusOf(*fixture.mShard, kStart).mUpstreams[0].mEligible);
}

// Guards against a new flow that takes a freed slot before the queue is served,
// also when long work within its share waits there: it could be overtaken
// until its deadline.
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

// Guards against an account that is lost when the table drops an upstream
// whose flows are open, and against one that a late end makes negative.
TEST(Shard, AccountsOutliveTheTable)
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

// Guards against a caller that asks again for a queued flow, or gives it up,
// getting a second decision.
TEST(Shard, DecidesAQueuedFlowOnce)
{
  const auto shard = MakeShard(MakeTable(1, 1), {}, kStart);
  const auto place = [&](std::uint64_t aFlow) {
    return Place(
      *shard, { aFlow, FlowClass::Work, { 1 }, 1s, std::nullopt }, kStart);
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
// that leave a shard within its part, and flows sent to a shard with a queue.
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
