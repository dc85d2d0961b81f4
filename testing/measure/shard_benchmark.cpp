// Measures the time of the shard's decisions per flow with 15, 100 and 1,000
// upstreams, at half of their connections or slots and with a queue.
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

/// Flows per timed batch; the shard is half full or fuller meanwhile.
constexpr std::size_t kBatch = 8;

/// A shard that is half full of one class, and the upstreams of its flows.
struct Load
{
  coordination::ShardPointer mShard;
  state::FlowClass mFlowClass = state::FlowClass::Feed;
  std::uint32_t mCount = 0;
  state::TimePoint mNow{ std::chrono::hours{ 1 } };
  std::uint64_t mNext = 0;
  std::mt19937_64 mRandom{ 1 };
  std::vector<state::Ipv4Address> mOpen;
};

coordination::PlacementDecision
PlaceNext(Load& aLoad)
{
  coordination::PlacementRequest request;
  request.mFlowId = ++aLoad.mNext;
  request.mFlowClass = aLoad.mFlowClass;
  request.mDefaultUpstream = { 1 + static_cast<std::uint32_t>(aLoad.mRandom() %
                                                              aLoad.mCount) };
  request.mQueueDeadline = std::chrono::hours{ 1 };
  aLoad.mNow += std::chrono::microseconds{ 10 };
  return Place(*aLoad.mShard, request, aLoad.mNow);
}

void
PlaceBatch(Load& aLoad)
{
  for (std::size_t flow = 0; flow < kBatch; ++flow) {
    aLoad.mOpen.push_back(
      std::get<coordination::Placed>(PlaceNext(aLoad)).mUpstream);
  }
}

void
EndBatch(Load& aLoad)
{
  for (std::size_t flow = 0; flow < kBatch; ++flow) {
    auto& ended = aLoad.mOpen[aLoad.mRandom() % aLoad.mOpen.size()];
    OnEnded(*aLoad.mShard, ended, aLoad.mFlowClass, aLoad.mNow, aLoad.mNow);
    ended = aLoad.mOpen.back();
    aLoad.mOpen.pop_back();
  }
}

Load
MakeLoad(std::uint32_t aCount, state::FlowClass aFlowClass)
{
  Load load;
  load.mShard = coordination::MakeShard(MakeTable(aCount), {}, load.mNow);
  load.mFlowClass = aFlowClass;
  load.mCount = aCount;
  const std::size_t open =
    std::size_t{ aCount } * (aFlowClass == state::FlowClass::Feed ? 1000 : 1);
  while (load.mOpen.size() < open) {
    PlaceBatch(load);
  }
  return load;
}

/// Times Place; the ends between the batches are not timed.
void
PlaceFlow(benchmark::State& aState, state::FlowClass aFlowClass)
{
  auto load = MakeLoad(static_cast<std::uint32_t>(aState.range(0)), aFlowClass);
  while (aState.KeepRunningBatch(kBatch)) {
    PlaceBatch(load);
    aState.PauseTiming();
    EndBatch(load);
    aState.ResumeTiming();
  }
}

/// Times Place, OnAccepted and OnEnded of one flow.
void
WholeFlow(benchmark::State& aState, state::FlowClass aFlowClass)
{
  auto load = MakeLoad(static_cast<std::uint32_t>(aState.range(0)), aFlowClass);
  while (aState.KeepRunningBatch(kBatch)) {
    PlaceBatch(load);
    for (std::size_t flow = 0; flow < kBatch; ++flow) {
      OnAccepted(*load.mShard, load.mOpen.rbegin()[flow], load.mNow);
    }
    EndBatch(load);
  }
}

/// Times Place, OnEnded and ServeQueue of a flow that waits, at full slots.
void
QueuedFlow(benchmark::State& aState)
{
  auto load = MakeLoad(static_cast<std::uint32_t>(aState.range(0)),
                       state::FlowClass::Work);
  const std::size_t slots = std::size_t{ 2 } * load.mCount;
  for (std::size_t flow = load.mOpen.size(); flow < 2 * slots; ++flow) {
    if (const auto decision = PlaceNext(load);
        const auto* placed = std::get_if<coordination::Placed>(&decision)) {
      load.mOpen.push_back(placed->mUpstream);
    }
  }
  for (auto _ : aState) {
    PlaceNext(load);
    auto& ended = load.mOpen[load.mRandom() % load.mOpen.size()];
    OnEnded(*load.mShard, ended, load.mFlowClass, load.mNow, load.mNow);
    for (const auto& decision : ServeQueue(*load.mShard, load.mNow)) {
      ended = std::get<coordination::Placed>(decision).mUpstream;
    }
  }
}

void
Sizes(benchmark::internal::Benchmark* aBenchmark)
{
  aBenchmark->Arg(15)->Arg(100)->Arg(1000);
}

BENCHMARK_CAPTURE(PlaceFlow, feed, state::FlowClass::Feed)->Apply(Sizes);
BENCHMARK_CAPTURE(PlaceFlow, work, state::FlowClass::Work)->Apply(Sizes);
BENCHMARK_CAPTURE(WholeFlow, feed, state::FlowClass::Feed)->Apply(Sizes);
BENCHMARK_CAPTURE(WholeFlow, work, state::FlowClass::Work)->Apply(Sizes);
BENCHMARK(QueuedFlow)->Apply(Sizes);

} // namespace

BENCHMARK_MAIN();
