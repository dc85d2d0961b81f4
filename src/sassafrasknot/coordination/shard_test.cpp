#include "sassafrasknot/coordination/shard.hpp"

#include <gtest/gtest.h>

namespace sassafrasknot::coordination {
namespace {

using namespace std::chrono_literals;
using state::FlowClass;

constexpr state::TimePoint kStart{ 1h };

state::ShardTable
MakeTable(std::uint32_t aCount, std::uint32_t aSlots)
{
  state::ShardTable table;
  for (std::uint32_t index = 0; index < aCount; ++index) {
    table.mUpstreams.push_back(
      { { 1 + index }, aSlots, 2000, state::UpstreamState::Live, index });
  }
  return table;
}

PlacementRequest
Request(std::uint64_t aFlow, FlowClass aFlowClass, std::uint32_t aDefault = 1)
{
  return { aFlow, aFlowClass, { aDefault }, 1s, std::nullopt };
}

// Guards against work placed beyond the slots and against a freed slot that no
// queued flow takes.
TEST(Shard, QueuesWorkBeyondTheSlotsAndServesItInOrder)
{
  const auto shard = MakeShard(MakeTable(2, 1), {}, kStart);
  std::vector<state::Ipv4Address> used;
  for (std::uint64_t flow = 0; flow < 2; ++flow) {
    const auto decision = Place(*shard, Request(flow, FlowClass::Work), kStart);
    ASSERT_TRUE(std::holds_alternative<Placed>(decision));
    used.push_back(std::get<Placed>(decision).mUpstream);
  }
  EXPECT_NE(used[0], used[1]);
  for (std::uint64_t flow = 2; flow < 4; ++flow) {
    const auto decision = Place(*shard, Request(flow, FlowClass::Work), kStart);
    ASSERT_TRUE(std::holds_alternative<Queued>(decision));
  }
  OnEnded(*shard, used[0], FlowClass::Work, kStart, kStart + 10ms);
  const auto served = ServeQueue(*shard, kStart + 10ms);
  ASSERT_EQ(served.size(), 1);
  EXPECT_EQ(std::get<Placed>(served[0]).mFlow, 2);
  EXPECT_EQ(std::get<Placed>(served[0]).mUpstream, used[0]);
}

} // namespace
} // namespace sassafrasknot::coordination
