// Measures the time of one placement and one end of a flow, at 50% of the
// connections or slots of 15, 100 and 1,000 upstreams.
#include "sassafrasknot/coordination/shard.hpp"

#include <random>

#include <benchmark/benchmark.h>

namespace {

using namespace sassafrasknot;

state::ShardTable
MakeTable(std::uint32_t aCount)
{
  state::ShardTable table;
  for (std::uint32_t index = 0; index < aCount; ++index) {
    table.mUpstreams.push_back(
      { { index + 1 }, 2, 2000, state::UpstreamState::Live, index });
  }
  return table;
}

/// One iteration is one Place, one OnAccepted and one OnEnded.
void
PlaceAndEnd(benchmark::State& aState, state::FlowClass aFlowClass)
{
  const auto count = static_cast<std::uint32_t>(aState.range(0));
  state::TimePoint now{ std::chrono::hours{ 1 } };
  const auto shard = coordination::MakeShard(MakeTable(count), {}, now);
  std::mt19937_64 random{ 1 };
  std::uniform_int_distribution<std::uint32_t> upstream{ 1, count };
  const std::size_t open =
    count * (aFlowClass == state::FlowClass::Feed ? 1000 : 1);
  std::vector<state::Ipv4Address> flows(open);
  std::uint64_t flow = 0;
  const auto place = [&] {
    coordination::PlacementRequest request;
    request.mFlow = ++flow;
    request.mFlowClass = aFlowClass;
    request.mDefault = { upstream(random) };
    request.mQueueDeadline = std::chrono::seconds{ 1 };
    return std::get<coordination::Placed>(Place(*shard, request, now))
      .mUpstream;
  };
  for (auto& address : flows) {
    address = place();
  }
  for (auto _ : aState) {
    now += std::chrono::microseconds{ 10 };
    auto& address = flows[random() % open];
    OnEnded(*shard, address, aFlowClass, now, now);
    address = place();
    OnAccepted(*shard, address, now);
  }
}

BENCHMARK_CAPTURE(PlaceAndEnd, feed, state::FlowClass::Feed)
  ->Arg(15)
  ->Arg(100)
  ->Arg(1000);
BENCHMARK_CAPTURE(PlaceAndEnd, work, state::FlowClass::Work)
  ->Arg(15)
  ->Arg(100)
  ->Arg(1000);

} // namespace

BENCHMARK_MAIN();
