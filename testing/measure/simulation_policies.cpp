#include <algorithm>

#include "simulation_state.hpp"

namespace sassafrasknot::measure {
namespace {

using coordination::Placed;
using coordination::Queued;
using coordination::Refused;
using state::FlowClass;

/// From a queued flow or a freed slot to the start of the flow in another data
/// centre: announcement or offer, answer and forwarded packet, 1 ms each.
constexpr std::chrono::milliseconds kOfferDelay{ 3 };

std::uint32_t
UniformBelow(Simulation& aRun, std::uint32_t aLimit)
{
  return std::uniform_int_distribution<std::uint32_t>{ 0, aLimit - 1 }(
    aRun.mRandom);
}

state::Ipv4Address
AddressOf(std::uint32_t aUpstream)
{
  return { aUpstream + 1 };
}

bool
SharesUpstreams(Policy aPolicy)
{
  return aPolicy == Policy::OwnCounts;
}

void
ApplyDecisions(Simulation& aRun,
               const std::vector<coordination::PlacementDecision>& aDecisions)
{
  for (const auto& decision : aDecisions) {
    if (const auto* placed = std::get_if<Placed>(&decision)) {
      SendFlow(aRun, placed->mFlowId, placed->mUpstream.mValue - 1);
    } else if (const auto* refused = std::get_if<Refused>(&decision)) {
      RefuseFlow(aRun, refused->mFlowId, false);
    }
  }
}

/// Chooses the front of a new flow. Weights are equal, so that rendezvous
/// hashing over shards and upstreams is a uniform choice of an upstream.
std::uint32_t
ChooseFront(Simulation& aRun, FlowClass aFlowClass, std::uint32_t aDefault)
{
  const auto& layout = aRun.mOptions.mLayout;
  if (SharesUpstreams(layout.mPolicy)) {
    return UniformBelow(aRun, layout.mFronts);
  }
  std::uint32_t front = 0;
  while (aDefault >= aRun.mFronts[front].mFirst + aRun.mFronts[front].mCount) {
    ++front;
  }
  if (layout.mPolicy == Policy::Owners) {
    return front;
  }
  // The order of the next shards differs from flow to flow.
  std::vector<std::uint32_t> ranked{ front };
  std::vector<coordination::ShardLoad> loads{ LoadOf(
    *aRun.mFronts[front].mShard) };
  const auto offset = UniformBelow(aRun, layout.mFronts);
  for (std::uint32_t step = 0; step < layout.mFronts; ++step) {
    if (const auto next = (offset + step) % layout.mFronts; next != front) {
      ranked.push_back(next);
      loads.push_back(aRun.mFronts[next].mKnown);
    }
  }
  const auto chosen = ChooseShard(loads, aFlowClass);
  if (chosen != 0) {
    // What is sent there counts until the next message comes.
    auto& known = aRun.mFronts[ranked[chosen]].mKnown;
    ++known.mConnectionsUsed;
    known.mFreeSlots -= known.mFreeSlots > 0 ? 1 : 0;
    ++aRun.mResult.mMoved;
  }
  return ranked[chosen];
}

void
ScheduleOffer(Simulation& aRun)
{
  if (aRun.mOptions.mLayout.mPolicy == Policy::Offers) {
    Schedule(aRun, aRun.mNow + kOfferDelay, EventKind::Offer, 0);
  }
}

void
PlaceInFront(Simulation& aRun,
             std::uint64_t aId,
             std::uint32_t aFront,
             std::uint32_t aDefault)
{
  auto& flow = aRun.mFlows[aId];
  flow.mFront = aFront;
  coordination::PlacementRequest request;
  request.mFlowId = aId;
  request.mFlowClass = flow.mDemand.mFlowClass;
  request.mDefaultUpstream = AddressOf(aDefault);
  request.mQueueDeadline =
    flow.mDemand.mArrival + aRun.mOptions.mDeadline - aRun.mNow;
  const auto decision = Place(*aRun.mFronts[aFront].mShard, request, aRun.mNow);
  if (const auto* placed = std::get_if<Placed>(&decision)) {
    aRun.mResult.mExceptions +=
      placed->mUpstream != request.mDefaultUpstream ? 1 : 0;
    SendFlow(aRun, aId, placed->mUpstream.mValue - 1);
  } else if (std::holds_alternative<Queued>(decision)) {
    flow.mState = FlowState::WaitingAtFront;
    ScheduleOffer(aRun);
  } else {
    RefuseFlow(aRun, aId, true);
  }
}

void
PlaceAtFront(Simulation& aRun, std::uint64_t aId)
{
  const auto fallback =
    UniformBelow(aRun, aRun.mOptions.mDeployment.mUpstreams);
  const auto flowClass = aRun.mFlows[aId].mDemand.mFlowClass;
  PlaceInFront(aRun, aId, ChooseFront(aRun, flowClass, fallback), fallback);
}

/// The ideal: the least loaded upstream with a free slot, or the queue.
bool
PlaceCentrally(Simulation& aRun, std::uint64_t aId)
{
  const auto slots = aRun.mOptions.mDeployment.mSlots;
  const bool feed = aRun.mFlows[aId].mDemand.mFlowClass == FlowClass::Feed;
  const auto least =
    std::min_element(aRun.mUpstreams.begin(),
                     aRun.mUpstreams.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return std::tie(aLeft.mRunning, aLeft.mOpen) <
                              std::tie(aRight.mRunning, aRight.mOpen);
                     });
  if (!feed && least->mRunning >= slots) {
    return false;
  }
  SendFlow(
    aRun, aId, static_cast<std::uint32_t>(least - aRun.mUpstreams.begin()));
  return true;
}

/// Front whose oldest queued flow arrived first.
std::uint32_t
FrontOfOldest(const Simulation& aRun)
{
  std::uint32_t oldest = kNone;
  std::uint64_t first = UINT64_MAX;
  for (std::uint32_t index = 0; index < aRun.mFronts.size(); ++index) {
    const auto flow = OldestQueued(*aRun.mFronts[index].mShard);
    if (flow && *flow < first) {
      first = *flow;
      oldest = index;
    }
  }
  return oldest;
}

} // namespace

void
MakeFronts(Simulation& aRun)
{
  const auto& [deployment, layout] =
    std::tie(aRun.mOptions.mDeployment, aRun.mOptions.mLayout);
  const auto upstreams = deployment.mUpstreams;
  for (std::uint32_t index = 0; index < layout.mFronts; ++index) {
    Front front;
    front.mFirst = upstreams * index / layout.mFronts;
    front.mCount = upstreams * (index + 1) / layout.mFronts - front.mFirst;
    if (SharesUpstreams(layout.mPolicy)) {
      front.mFirst = 0;
      front.mCount = upstreams;
    }
    state::ShardTable table;
    for (std::uint32_t offset = 0; offset < front.mCount; ++offset) {
      table.mUpstreams.push_back({ AddressOf(front.mFirst + offset),
                                   deployment.mSlots,
                                   deployment.mConnections,
                                   state::UpstreamState::Live,
                                   0 });
    }
    front.mShard =
      coordination::MakeShard(table, aRun.mOptions.mLimits, aRun.mNow);
    aRun.mFronts.push_back(std::move(front));
  }
}

void
PlaceFlow(Simulation& aRun, std::uint64_t aId)
{
  switch (aRun.mOptions.mLayout.mPolicy) {
    case Policy::Hashing:
      SendFlow(
        aRun, aId, UniformBelow(aRun, aRun.mOptions.mDeployment.mUpstreams));
      break;
    case Policy::CentralQueue:
      if (!PlaceCentrally(aRun, aId)) {
        aRun.mFlows[aId].mState = FlowState::WaitingAtFront;
        aRun.mCentralQueue.push_back(aId);
        Schedule(
          aRun, aRun.mNow + aRun.mOptions.mDeadline, EventKind::GiveUp, aId);
      }
      break;
    default:
      PlaceAtFront(aRun, aId);
  }
}

void
EndAtFront(Simulation& aRun, const Flow& aFlow)
{
  if (aFlow.mFront == kNone) {
    return;
  }
  auto& front = aRun.mFronts[aFlow.mFront];
  OnEnded(*front.mShard,
          AddressOf(aFlow.mUpstream),
          aFlow.mDemand.mFlowClass,
          aFlow.mPlaced,
          aRun.mNow);
  ApplyDecisions(aRun, ServeQueue(*front.mShard, aRun.mNow));
  if (LoadOf(*front.mShard).mFreeSlots > 0) {
    ScheduleOffer(aRun);
  }
}

void
ServeCentralQueue(Simulation& aRun)
{
  auto& queue = aRun.mCentralQueue;
  while (!queue.empty()) {
    const auto id = queue.front();
    if (aRun.mFlows[id].mState == FlowState::WaitingAtFront &&
        !PlaceCentrally(aRun, id)) {
      return;
    }
    queue.pop_front();
  }
}

void
TickFronts(Simulation& aRun)
{
  for (auto& front : aRun.mFronts) {
    ApplyDecisions(aRun, ServeQueue(*front.mShard, aRun.mNow));
  }
  if (aRun.mNow - aRun.mKnowledge >= aRun.mOptions.mLayout.mLag) {
    aRun.mKnowledge = aRun.mNow;
    for (auto& front : aRun.mFronts) {
      front.mKnown = LoadOf(*front.mShard);
    }
  }
}

void
MoveQueuedFlows(Simulation& aRun)
{
  for (std::uint32_t index = 0; index < aRun.mFronts.size(); ++index) {
    auto& taker = aRun.mFronts[index];
    for (auto load = LoadOf(*taker.mShard);
         load.mFreeSlots > 0 && load.mQueued == 0;
         load = LoadOf(*taker.mShard)) {
      const auto giver = FrontOfOldest(aRun);
      if (giver == kNone) {
        return;
      }
      const auto id = *OldestQueued(*aRun.mFronts[giver].mShard);
      CancelQueued(*aRun.mFronts[giver].mShard, id);
      if (aRun.mNow >=
          aRun.mFlows[id].mDemand.mArrival + aRun.mOptions.mDeadline) {
        RefuseFlow(aRun, id, false);
        continue;
      }
      ++aRun.mResult.mMoved;
      PlaceInFront(aRun, id, index, taker.mFirst);
    }
  }
}

} // namespace sassafrasknot::measure
