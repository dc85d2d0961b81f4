#include <algorithm>

#include "simulation_state.hpp"

namespace sassafrasknot::measure {

using state::FlowClass;
using state::TimePoint;

void
Schedule(Simulation& aRun, TimePoint aTime, EventKind aKind, std::uint64_t aId)
{
  aRun.mEvents.push({ aTime, aRun.mOrder++, aKind, aId });
}

bool
InWindow(const Simulation& aRun, const Flow& aFlow)
{
  return aFlow.mArrival.mTime >= aRun.mOptions.mWindowStart &&
         aFlow.mArrival.mTime < aRun.mOptions.mWindowEnd;
}

void
StartFlow(Simulation& aRun, std::uint64_t aId)
{
  auto& flow = aRun.mFlows[aId];
  auto& upstream = aRun.mUpstreams[flow.mUpstream];
  flow.mState = FlowState::Running;
  const auto end = aRun.mNow + flow.mArrival.mHoldingTime;
  Schedule(aRun, end, EventKind::End, aId);
  if (flow.mArrival.mFlowClass == FlowClass::Feed) {
    return;
  }
  ++upstream.mRunning;
  const std::chrono::duration<double> overlap =
    std::min(end, aRun.mOptions.mWindowEnd) -
    std::max(aRun.mNow, aRun.mOptions.mWindowStart);
  aRun.mGoodSlotSeconds += std::max(0.0, overlap.count());
  if (InWindow(aRun, flow)) {
    ++aRun.mResult.mAnswered;
    const std::chrono::duration<double> wait = aRun.mNow - flow.mArrival.mTime;
    if (!flow.mArrival.mStraggler) {
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

void
SendFlow(Simulation& aRun, std::uint64_t aId, std::uint32_t aUpstream)
{
  auto& flow = aRun.mFlows[aId];
  auto& upstream = aRun.mUpstreams[aUpstream];
  flow.mUpstream = aUpstream;
  flow.mPlaced = aRun.mNow;
  ++upstream.mOpen;
  ++aRun.mResult.mPlaced;
  if (flow.mArrival.mFlowClass == FlowClass::Feed ||
      upstream.mRunning < aRun.mOptions.mDeployment.mSlots) {
    StartFlow(aRun, aId);
    return;
  }
  flow.mState = FlowState::WaitingAtUpstream;
  upstream.mWaiting.push_back(aId);
  Schedule(aRun,
           flow.mArrival.mTime + aRun.mOptions.mDeadline,
           EventKind::Abandon,
           aId);
}

} // namespace sassafrasknot::measure
