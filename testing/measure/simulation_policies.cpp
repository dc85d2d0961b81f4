#include <algorithm>

#include "simulation_state.hpp"

namespace sassafrasknot::measure {
namespace {

using coordination::Placed;
using coordination::Queued;
using coordination::Refused;
using state::FlowClass;

/// Time from queueing a flow or freeing a slot to the start of the flow in
/// another data centre: announcement or offer, answer and forwarded packet, 1
/// ms each.
constexpr std::chrono::milliseconds kOfferDelay{ 3 };

/// Returns a uniformly distributed random number below aLimit.
std::uint32_t
UniformBelow(Simulation& aRun, std::uint32_t aLimit)
{
  return std::uniform_int_distribution<std::uint32_t>{ 0, aLimit - 1 }(
    aRun.mRandom);
}

/// Returns the address that stands for the upstream with this index.
state::Ipv4Address
AddressOf(std::uint32_t aUpstream)
{
  return { aUpstream + 1 };
}

/// Returns whether each dispatcher uses all upstreams instead of its own shard.
bool
SharesUpstreams(Policy aPolicy)
{
  return aPolicy == Policy::OwnCounts;
}

/// Carries out decisions on queued flows.
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

/// Chooses the dispatcher of a new flow. Weights are equal, so that rendezvous
/// hashing over shards and upstreams is a uniform choice of an upstream.
std::uint32_t
ChooseDispatcher(Simulation& aRun, FlowClass aFlowClass, std::uint32_t aDefault)
{
  const auto& layout = aRun.mOptions.mLayout;
  if (SharesUpstreams(layout.mPolicy)) {
    return UniformBelow(aRun, layout.mDispatchers);
  }
  std::uint32_t dispatcher = 0;
  while (aDefault >= aRun.mDispatchers[dispatcher].mFirst +
                       aRun.mDispatchers[dispatcher].mCount) {
    ++dispatcher;
  }
  if (layout.mPolicy == Policy::Owners) {
    return dispatcher;
  }
  // The order of the other shards differs from flow to flow.
  std::vector<std::uint32_t> ranked{ dispatcher };
  std::vector<coordination::ShardLoad> loads{ LoadOf(
    *aRun.mDispatchers[dispatcher].mShard) };
  const auto offset = UniformBelow(aRun, layout.mDispatchers);
  for (std::uint32_t step = 0; step < layout.mDispatchers; ++step) {
    if (const auto next = (offset + step) % layout.mDispatchers;
        next != dispatcher) {
      ranked.push_back(next);
      loads.push_back(aRun.mDispatchers[next].mReportedLoad);
    }
  }
  const auto chosen = ChooseShard(loads, aFlowClass);
  if (chosen != 0) {
    // A flow that is sent there counts until the next report replaces the load.
    auto& reported = aRun.mDispatchers[ranked[chosen]].mReportedLoad;
    ++reported.mConnectionsUsed;
    reported.mFreeSlots -= reported.mFreeSlots > 0 ? 1 : 0;
    ++aRun.mResult.mMoved;
  }
  return ranked[chosen];
}

/// Schedules the moving of queued flows to shards with free slots, if the
/// policy has it.
void
ScheduleOffer(Simulation& aRun)
{
  if (aRun.mOptions.mLayout.mPolicy == Policy::Offers) {
    Schedule(aRun, aRun.mNow + kOfferDelay, EventKind::Offer, 0);
  }
}

/// Lets a dispatcher place, queue or refuse a flow within what is left of its
/// deadline.
void
PlaceAtDispatcher(Simulation& aRun,
                  std::uint64_t aId,
                  std::uint32_t aDispatcher,
                  std::uint32_t aDefault)
{
  auto& flow = aRun.mFlows[aId];
  flow.mDispatcher = aDispatcher;
  coordination::PlacementRequest request;
  request.mFlowId = aId;
  request.mFlowClass = flow.mArrival.mFlowClass;
  request.mDefaultUpstream = AddressOf(aDefault);
  request.mQueueDeadline =
    flow.mArrival.mTime + aRun.mOptions.mDeadline - aRun.mNow;
  const auto decision =
    Place(*aRun.mDispatchers[aDispatcher].mShard, request, aRun.mNow);
  if (const auto* placed = std::get_if<Placed>(&decision)) {
    aRun.mResult.mPlacedOffDefault +=
      placed->mUpstream != request.mDefaultUpstream ? 1 : 0;
    SendFlow(aRun, aId, placed->mUpstream.mValue - 1);
  } else if (std::holds_alternative<Queued>(decision)) {
    flow.mState = FlowState::WaitingAtDispatcher;
    ScheduleOffer(aRun);
  } else {
    RefuseFlow(aRun, aId, true);
  }
}

/// Draws a new flow's default upstream and places the flow at the dispatcher
/// that the policy gives.
void
PlaceAtChosenDispatcher(Simulation& aRun, std::uint64_t aId)
{
  const auto defaultUpstream =
    UniformBelow(aRun, aRun.mOptions.mDeployment.mUpstreams);
  const auto flowClass = aRun.mFlows[aId].mArrival.mFlowClass;
  PlaceAtDispatcher(aRun,
                    aId,
                    ChooseDispatcher(aRun, flowClass, defaultUpstream),
                    defaultUpstream);
}

/// Sends a flow to the least loaded upstream.
/// @return false if it is work and no upstream has a free slot
bool
PlaceCentrally(Simulation& aRun, std::uint64_t aId)
{
  const auto slots = aRun.mOptions.mDeployment.mSlots;
  const bool feed = aRun.mFlows[aId].mArrival.mFlowClass == FlowClass::Feed;
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

/// Returns the dispatcher whose oldest queued flow arrived first; kNone if no
/// flow is queued.
std::uint32_t
FindDispatcherOfOldest(const Simulation& aRun)
{
  std::uint32_t oldest = kNone;
  std::uint64_t first = UINT64_MAX;
  for (std::uint32_t index = 0; index < aRun.mDispatchers.size(); ++index) {
    const auto flow = OldestQueued(*aRun.mDispatchers[index].mShard);
    if (flow && *flow < first) {
      first = *flow;
      oldest = index;
    }
  }
  return oldest;
}

} // namespace

void
MakeDispatchers(Simulation& aRun)
{
  const auto& [deployment, layout] =
    std::tie(aRun.mOptions.mDeployment, aRun.mOptions.mLayout);
  const auto upstreams = deployment.mUpstreams;
  for (std::uint32_t index = 0; index < layout.mDispatchers; ++index) {
    Dispatcher dispatcher;
    dispatcher.mFirst = upstreams * index / layout.mDispatchers;
    dispatcher.mCount =
      upstreams * (index + 1) / layout.mDispatchers - dispatcher.mFirst;
    if (SharesUpstreams(layout.mPolicy)) {
      dispatcher.mFirst = 0;
      dispatcher.mCount = upstreams;
    }
    state::ShardTable table;
    for (std::uint32_t offset = 0; offset < dispatcher.mCount; ++offset) {
      table.mUpstreams.push_back({ AddressOf(dispatcher.mFirst + offset),
                                   deployment.mSlots,
                                   deployment.mMaxConnections,
                                   state::UpstreamState::Live,
                                   0 });
    }
    dispatcher.mShard =
      coordination::MakeShard(table, aRun.mOptions.mLimits, aRun.mNow);
    aRun.mDispatchers.push_back(std::move(dispatcher));
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
        aRun.mFlows[aId].mState = FlowState::WaitingAtDispatcher;
        aRun.mCentralQueue.push_back(aId);
        Schedule(
          aRun, aRun.mNow + aRun.mOptions.mDeadline, EventKind::Abandon, aId);
      }
      break;
    default:
      PlaceAtChosenDispatcher(aRun, aId);
  }
}

void
EndAtDispatcher(Simulation& aRun, const Flow& aFlow)
{
  if (aFlow.mDispatcher == kNone) {
    return;
  }
  auto& dispatcher = aRun.mDispatchers[aFlow.mDispatcher];
  OnEnded(*dispatcher.mShard,
          AddressOf(aFlow.mUpstream),
          aFlow.mArrival.mFlowClass,
          aFlow.mPlaced,
          aRun.mNow);
  ApplyDecisions(aRun, ServeQueue(*dispatcher.mShard, aRun.mNow));
  if (LoadOf(*dispatcher.mShard).mFreeSlots > 0) {
    ScheduleOffer(aRun);
  }
}

void
ServeCentralQueue(Simulation& aRun)
{
  auto& queue = aRun.mCentralQueue;
  while (!queue.empty()) {
    const auto id = queue.front();
    if (aRun.mFlows[id].mState == FlowState::WaitingAtDispatcher &&
        !PlaceCentrally(aRun, id)) {
      return;
    }
    queue.pop_front();
  }
}

void
TickDispatchers(Simulation& aRun)
{
  for (auto& dispatcher : aRun.mDispatchers) {
    ApplyDecisions(aRun, ServeQueue(*dispatcher.mShard, aRun.mNow));
  }
  if (aRun.mNow - aRun.mLastLoadReport >=
      aRun.mOptions.mLayout.mLoadReportInterval) {
    aRun.mLastLoadReport = aRun.mNow;
    for (auto& dispatcher : aRun.mDispatchers) {
      dispatcher.mReportedLoad = LoadOf(*dispatcher.mShard);
    }
  }
}

void
MoveQueuedFlows(Simulation& aRun)
{
  for (std::uint32_t index = 0; index < aRun.mDispatchers.size(); ++index) {
    auto& target = aRun.mDispatchers[index];
    for (auto load = LoadOf(*target.mShard);
         load.mFreeSlots > 0 && load.mQueued == 0;
         load = LoadOf(*target.mShard)) {
      const auto source = FindDispatcherOfOldest(aRun);
      if (source == kNone) {
        return;
      }
      const auto id = *OldestQueued(*aRun.mDispatchers[source].mShard);
      CancelQueued(*aRun.mDispatchers[source].mShard, id);
      if (aRun.mNow >=
          aRun.mFlows[id].mArrival.mTime + aRun.mOptions.mDeadline) {
        RefuseFlow(aRun, id, false);
        continue;
      }
      ++aRun.mResult.mMoved;
      PlaceAtDispatcher(aRun, id, index, target.mFirst);
    }
  }
}

} // namespace sassafrasknot::measure
