// Measures the processor time of a shard's decisions per flow with 15, 100 and
// 1,000 upstreams, when at least half of their connections or slots are used
// and when flows are queued.
#include "sassafrasknot/coordination/shard.hpp"

#include <random>

#include <benchmark/benchmark.h>

namespace {

using namespace sassafrasknot;

/// Makes a table of aCount upstreams with 2 slots and 2,000 connections each.
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

/// Flows per timed batch. The shard is at least half full during a batch.
constexpr std::size_t kBatch = 8;

/// A shard with half of its connections or slots used by flows of one class.
struct Load
{
  coordination::ShardPointer mShard;
  state::FlowClass mFlowClass = state::FlowClass::Feed;
  /// Number of upstreams.
  std::uint32_t mCount = 0;
  state::TimePoint mNow{ std::chrono::hours{ 1 } };
  /// Id of the last flow.
  std::uint64_t mLastFlowId = 0;
  std::mt19937_64 mRandom{ 1 };
  /// Upstream of each open flow.
  std::vector<state::Ipv4Address> mOpen;
};

/// Requests the placement of a new flow with a random default upstream.
coordination::PlacementDecision
PlaceNext(Load& aLoad)
{
  coordination::PlacementRequest request;
  request.mFlowId = ++aLoad.mLastFlowId;
  request.mFlowClass = aLoad.mFlowClass;
  request.mDefaultUpstream = { 1 + static_cast<std::uint32_t>(aLoad.mRandom() %
                                                              aLoad.mCount) };
  request.mQueueDeadline = std::chrono::hours{ 1 };
  aLoad.mNow += std::chrono::microseconds{ 10 };
  return Place(*aLoad.mShard, request, aLoad.mNow);
}

/// Places kBatch flows, for which there must be room.
void
PlaceBatch(Load& aLoad)
{
  for (std::size_t flow = 0; flow < kBatch; ++flow) {
    aLoad.mOpen.push_back(
      std::get<coordination::Placed>(PlaceNext(aLoad)).mUpstream);
  }
}

/// Ends kBatch random flows.
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

/// Makes a shard of aCount upstreams and places flows until it is half full.
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

/// Measures Place; the ends of flows between the batches are not timed.
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

/// Measures Place, OnAccepted and OnEnded of one flow.
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

/// Measures Place, OnEnded and ServeQueue of a flow that is queued while all
/// slots are used.
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

/// Runs a benchmark with each number of upstreams.
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
