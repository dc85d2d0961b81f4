#include "simulation.hpp"

#include <algorithm>
#include <cmath>

#include "simulation_state.hpp"

namespace sassafrasknot::measure {
namespace {

using state::FlowClass;

/// Requests the next flow from the source and schedules its arrival, unless it
/// lies after the end of the window.
void
ScheduleNextArrival(Simulation& aRun)
{
  Flow flow;
  flow.mArrival = (*aRun.mSource)();
  if (flow.mArrival.mTime >= aRun.mOptions.mWindowEnd) {
    return;
  }
  aRun.mFlows.push_back(flow);
  Schedule(
    aRun, flow.mArrival.mTime, EventKind::Arrival, aRun.mFlows.size() - 1);
}

/// Counts and places a flow that arrives.
void
OnArrival(Simulation& aRun, std::uint64_t aId)
{
  if (InWindow(aRun, aRun.mFlows[aId])) {
    ++aRun.mResult.mArrived;
  }
  PlaceFlow(aRun, aId);
}

/// Ends a running flow, starts flows that wait at its upstream for the slot,
/// and lets the dispatchers place queued flows.
void
OnEnd(Simulation& aRun, std::uint64_t aId)
{
  auto& flow = aRun.mFlows[aId];
  auto& upstream = aRun.mUpstreams[flow.mUpstream];
  flow.mState = FlowState::Done;
  --upstream.mOpen;
  if (flow.mArrival.mFlowClass != FlowClass::Feed) {
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
  EndAtDispatcher(aRun, flow);
  ServeCentralQueue(aRun);
}

/// Abandons a flow that still waits at its deadline.
void
OnAbandon(Simulation& aRun, std::uint64_t aId)
{
  auto& flow = aRun.mFlows[aId];
  if (flow.mState == FlowState::WaitingAtUpstream) {
    --aRun.mUpstreams[flow.mUpstream].mOpen;
    RefuseFlow(aRun, aId, false);
    EndAtDispatcher(aRun, flow);
  } else if (flow.mState == FlowState::WaitingAtDispatcher) {
    RefuseFlow(aRun, aId, false);
  }
}

/// Records the distribution of open flows over the upstreams in the window.
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

/// Handles one event.
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
    case EventKind::Abandon:
      OnAbandon(aRun, aEvent.mFlow);
      break;
    case EventKind::Tick:
      TickDispatchers(aRun);
      Schedule(aRun, aRun.mNow + kTick, EventKind::Tick, 0);
      break;
    case EventKind::Offer:
      MoveQueuedFlows(aRun);
      break;
    case EventKind::Sample:
      OnSample(aRun);
      break;
  }
}

} // namespace

RunResult
Run(const RunOptions& aOptions, const ArrivalSource& aSource)
{
  Simulation run;
  run.mOptions = aOptions;
  run.mSource = &aSource;
  run.mRandom.seed(aOptions.mSeed);
  run.mUpstreams.resize(aOptions.mDeployment.mUpstreams);
  const auto policy = aOptions.mLayout.mPolicy;
  if (policy != Policy::Hashing && policy != Policy::CentralQueue) {
    MakeDispatchers(run);
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
