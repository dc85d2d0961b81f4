// Places work in a shard of two upstreams with one slot each: two flows are
// placed at once, the third is queued until a slot is free.
#include "sassafrasknot/coordination/shard.hpp"
#include "sassafrasknot/state/endpoint.hpp"

#include <chrono>
#include <iostream>

namespace {

using namespace sassafrasknot;

/// Prints a decision and returns whether the flow was placed.
bool
Print(const coordination::PlacementDecision& aDecision)
{
  if (const auto* placed = std::get_if<coordination::Placed>(&aDecision)) {
    std::cout << "flow " << placed->mFlowId << " is placed on "
              << state::ToString(placed->mUpstream) << '\n';
    return true;
  }
  if (const auto* queued = std::get_if<coordination::Queued>(&aDecision)) {
    std::cout << "flow " << queued->mFlowId << " is queued\n";
  }
  return false;
}

} // namespace

int
main()
{
  using namespace std::chrono_literals;
  const state::Ipv4Address first{ 0x0A000001 };
  const state::Ipv4Address second{ 0x0A000002 };
  state::ShardTable table;
  for (const auto address : { first, second }) {
    table.mUpstreams.push_back(
      { address, 1, 2000, state::UpstreamState::Live, 0 });
  }
  const state::TimePoint start{ 1s };
  const auto shard = coordination::MakeShard(table, {}, start);
  for (std::uint64_t flow = 1; flow <= 3; ++flow) {
    coordination::PlacementRequest request;
    request.mFlowId = flow;
    request.mFlowClass = state::FlowClass::Work;
    request.mDefaultUpstream = first;
    request.mQueueDeadline = 1s;
    Print(Place(*shard, request, start));
  }
  OnEnded(*shard, first, state::FlowClass::Work, start, start + 200ms);
  bool wasPlaced = false;
  for (const auto& decision : ServeQueue(*shard, start + 200ms)) {
    wasPlaced = Print(decision);
  }
  return wasPlaced ? 0 : 1;
}
