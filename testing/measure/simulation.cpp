#include "simulation.hpp"

#include "sassafrasknot/coordination/shard.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <optional>
#include <queue>
#include <random>
#include <tuple>

namespace sassafrasknot::measure {
namespace {

using coordination::Placed;
using coordination::Queued;
using coordination::Refused;
using state::Duration;
using state::FlowClass;
using state::TimePoint;

/// From a queued flow or a freed slot to the start of the flow in another data
/// centre: announcement or offer, answer and forwarded packet, 1 ms each.
constexpr std::chrono::milliseconds kOfferDelay{ 3 };
/// Interval at which a traffic core ticks.
constexpr std::chrono::milliseconds kTick{ 10 };
constexpr std::uint32_t kNone = UINT32_MAX;

enum class FlowState : std::uint8_t
{
  Deciding,
  WaitingAtFront,
  WaitingAtUpstream,
  Running,
  Done,
};

struct Flow
{
  Demand mDemand;
  FlowState mState = FlowState::Deciding;
  std::uint32_t mFront = kNone;
  std::uint32_t mUpstream = kNone;
  TimePoint mPlaced;
};

enum class EventKind : std::uint8_t
{
  Arrival,
  End,
  GiveUp,
  Tick,
  Offer,
  Sample,
};

struct Event
{
  TimePoint mTime;
  std::uint64_t mOrder = 0;
  EventKind mKind = EventKind::Tick;
  std::uint64_t mFlow = 0;

  bool operator>(const Event& aOther) const
  {
    return std::tie(mTime, mOrder) > std::tie(aOther.mTime, aOther.mOrder);
  }
};

/// An upstream: runs as many flows as it has slots and queues the others.
struct UpstreamModel
{
  std::uint32_t mOpen = 0;
  std::uint32_t mRunning = 0;
  std::deque<std::uint64_t> mWaiting;
};

/// A shard and its owner, or an instance that counts by itself.
struct Front
{
  coordination::ShardPointer mShard;
  /// Index of its first upstream, and their number.
  std::uint32_t mFirst = 0;
  std::uint32_t mCount = 0;
  /// What the other fronts know of its load.
  coordination::ShardLoad mKnown;
};

struct Simulation
{
  RunOptions mOptions;
  const DemandSource* mSource = nullptr;
  std::vector<Front> mFronts;
  std::vector<UpstreamModel> mUpstreams;
  std::vector<Flow> mFlows;
  std::deque<std::uint64_t> mCentralQueue;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::uint64_t mOrder = 0;
  TimePoint mNow;
  TimePoint mKnowledge;
  std::mt19937_64 mRandom;
  RunResult mResult;
  double mGoodSlotSeconds = 0;
};

void
Schedule(Simulation& aRun, TimePoint aTime, EventKind aKind, std::uint64_t aId)
{
  aRun.mEvents.push({ aTime, aRun.mOrder++, aKind, aId });
}

bool
InWindow(const Simulation& aRun, const Flow& aFlow)
{
  return aFlow.mDemand.mArrival >= aRun.mOptions.mWindowStart &&
         aFlow.mDemand.mArrival < aRun.mOptions.mWindowEnd;
}

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
StartFlow(Simulation& aRun, std::uint64_t aId)
{
  auto& flow = aRun.mFlows[aId];
  auto& upstream = aRun.mUpstreams[flow.mUpstream];
  flow.mState = FlowState::Running;
  const auto end = aRun.mNow + flow.mDemand.mHolding;
  Schedule(aRun, end, EventKind::End, aId);
  if (flow.mDemand.mFlowClass == FlowClass::Feed) {
    return;
  }
  ++upstream.mRunning;
  const std::chrono::duration<double> overlap =
    std::min(end, aRun.mOptions.mWindowEnd) -
    std::max(aRun.mNow, aRun.mOptions.mWindowStart);
  aRun.mGoodSlotSeconds += std::max(0.0, overlap.count());
  if (InWindow(aRun, flow)) {
    ++aRun.mResult.mAnswered;
    const std::chrono::duration<double> wait =
      aRun.mNow - flow.mDemand.mArrival;
    if (!flow.mDemand.mStraggler) {
      aRun.mResult.mShortWaits.push_back(wait.count());
    }
  }
}

void
RefuseFlow(Simulation& aRun, std::uint64_t aId, bool aEarly)
{
  auto& flow = aRun.mFlows[aId];
  flow.mState = FlowState::Done;
  if (InWindow(aRun, flow)) {
    ++(aEarly ? aRun.mResult.mRefusedEarly : aRun.mResult.mRefusedLate);
  }
}

/// Sends a flow to an upstream, which runs it or makes it wait.
void
SendFlow(Simulation& aRun, std::uint64_t aId, std::uint32_t aUpstream)
{
  auto& flow = aRun.mFlows[aId];
  auto& upstream = aRun.mUpstreams[aUpstream];
  flow.mUpstream = aUpstream;
  flow.mPlaced = aRun.mNow;
  ++upstream.mOpen;
  if (flow.mDemand.mFlowClass == FlowClass::Feed ||
      upstream.mRunning < aRun.mOptions.mDeployment.mSlots) {
    StartFlow(aRun, aId);
    return;
  }
  flow.mState = FlowState::WaitingAtUpstream;
  upstream.mWaiting.push_back(aId);
  Schedule(aRun,
           flow.mDemand.mArrival + aRun.mOptions.mDeadline,
           EventKind::GiveUp,
           aId);
}

void
ApplyDecisions(Simulation& aRun,
               const std::vector<coordination::PlacementDecision>& aDecisions)
{
  for (const auto& decision : aDecisions) {
    if (const auto* placed = std::get_if<Placed>(&decision)) {
      SendFlow(aRun, placed->mFlow, placed->mUpstream.mValue - 1);
    } else if (const auto* refused = std::get_if<Refused>(&decision)) {
      RefuseFlow(aRun, refused->mFlow, false);
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
  request.mFlow = aId;
  request.mFlowClass = flow.mDemand.mFlowClass;
  request.mDefault = AddressOf(aDefault);
  request.mQueueDeadline =
    flow.mDemand.mArrival + aRun.mOptions.mDeadline - aRun.mNow;
  const auto decision = Place(*aRun.mFronts[aFront].mShard, request, aRun.mNow);
  if (const auto* placed = std::get_if<Placed>(&decision)) {
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
OnArrival(Simulation& aRun, std::uint64_t aId)
{
  if (InWindow(aRun, aRun.mFlows[aId])) {
    ++aRun.mResult.mArrived;
  }
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
ScheduleNextArrival(Simulation& aRun)
{
  Flow flow;
  flow.mDemand = (*aRun.mSource)();
  if (flow.mDemand.mArrival >= aRun.mOptions.mWindowEnd) {
    return;
  }
  aRun.mFlows.push_back(flow);
  Schedule(
    aRun, flow.mDemand.mArrival, EventKind::Arrival, aRun.mFlows.size() - 1);
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
OnEnd(Simulation& aRun, std::uint64_t aId)
{
  auto& flow = aRun.mFlows[aId];
  auto& upstream = aRun.mUpstreams[flow.mUpstream];
  flow.mState = FlowState::Done;
  --upstream.mOpen;
  if (flow.mDemand.mFlowClass != FlowClass::Feed) {
    --upstream.mRunning;
  }
  auto& waiting = upstream.mWaiting;
  while (!waiting.empty() &&
         upstream.mRunning < aRun.mOptions.mDeployment.mSlots) {
    const auto next = waiting.front();
    waiting.pop_front();
    if (aRun.mFlows[next].mState == FlowState::WaitingAtUpstream) {
      StartFlow(aRun, next);
    }
  }
  EndAtFront(aRun, flow);
  ServeCentralQueue(aRun);
}

void
OnGiveUp(Simulation& aRun, std::uint64_t aId)
{
  auto& flow = aRun.mFlows[aId];
  if (flow.mState == FlowState::WaitingAtUpstream) {
    --aRun.mUpstreams[flow.mUpstream].mOpen;
    RefuseFlow(aRun, aId, false);
    EndAtFront(aRun, flow);
  } else if (flow.mState == FlowState::WaitingAtFront) {
    RefuseFlow(aRun, aId, false);
  }
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

/// Lets shards with free slots take the flows that have waited longest.
void
OnOffer(Simulation& aRun)
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
      ++aRun.mResult.mMoved;
      PlaceInFront(aRun, id, index, taker.mFirst);
    }
  }
}

void
OnTick(Simulation& aRun)
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
  Schedule(aRun, aRun.mNow + kTick, EventKind::Tick, 0);
}

void
OnSample(Simulation& aRun)
{
  Schedule(
    aRun, aRun.mNow + aRun.mOptions.mSampleInterval, EventKind::Sample, 0);
  if (aRun.mNow < aRun.mOptions.mWindowStart) {
    return;
  }
  double sum = 0;
  double squares = 0;
  double maximum = 0;
  for (const auto& upstream : aRun.mUpstreams) {
    const double open = upstream.mOpen;
    sum += open;
    squares += open * open;
    maximum = std::max(maximum, open);
  }
  const auto count = static_cast<double>(aRun.mUpstreams.size());
  const double mean = sum / count;
  if (mean > 0) {
    const double variance = std::max(0.0, squares / count - mean * mean);
    aRun.mResult.mLoads.push_back(
      { maximum / mean, std::sqrt(variance) / mean });
  }
}

void
Handle(Simulation& aRun, const Event& aEvent)
{
  switch (aEvent.mKind) {
    case EventKind::Arrival:
      ScheduleNextArrival(aRun);
      OnArrival(aRun, aEvent.mFlow);
      break;
    case EventKind::End:
      OnEnd(aRun, aEvent.mFlow);
      break;
    case EventKind::GiveUp:
      OnGiveUp(aRun, aEvent.mFlow);
      break;
    case EventKind::Tick:
      OnTick(aRun);
      break;
    case EventKind::Offer:
      OnOffer(aRun);
      break;
    case EventKind::Sample:
      OnSample(aRun);
      break;
  }
}

} // namespace

RunResult
Run(const RunOptions& aOptions, const DemandSource& aDemand)
{
  Simulation run;
  run.mOptions = aOptions;
  run.mSource = &aDemand;
  run.mRandom.seed(aOptions.mSeed);
  run.mUpstreams.resize(aOptions.mDeployment.mUpstreams);
  const auto policy = aOptions.mLayout.mPolicy;
  if (policy != Policy::Hashing && policy != Policy::CentralQueue) {
    MakeFronts(run);
    Schedule(run, run.mNow + kTick, EventKind::Tick, 0);
  }
  Schedule(run, run.mNow + aOptions.mSampleInterval, EventKind::Sample, 0);
  ScheduleNextArrival(run);
  while (run.mEvents.top().mTime < aOptions.mWindowEnd) {
    const auto event = run.mEvents.top();
    run.mEvents.pop();
    run.mNow = event.mTime;
    Handle(run, event);
  }
  const std::chrono::duration<double> window =
    aOptions.mWindowEnd - aOptions.mWindowStart;
  run.mResult.mGoodput =
    run.mGoodSlotSeconds / (window.count() * aOptions.mDeployment.mUpstreams *
                            aOptions.mDeployment.mSlots);
  std::sort(run.mResult.mShortWaits.begin(), run.mResult.mShortWaits.end());
  return std::move(run.mResult);
}

} // namespace sassafrasknot::measure
