#include "sassafrasknot/coordination/flow_checks.hpp"

#include "sassafrasknot/coordination/flow_lifecycle.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// Keepalive intervals without a sign of life after which an end is gone:
/// three unanswered probes and a margin for the report of the last answer.
constexpr double kSilentIntervals = 3.5;
/// Unanswered probes after the peers were asked to report all answers.
constexpr int kSilentProbes = 4;
/// Work without traffic for this long after its answer holds no slot.
constexpr auto kWorkIdle = std::chrono::seconds{ 5 };
constexpr auto kHalfClosedTimeout = std::chrono::seconds{ 60 };
/// Bounds the time of one tick.
constexpr std::size_t kChecksPerTick = 2000;

/// Keepalive interval of a flow, longer when answers to the keepalives of all
/// flows would exceed the budget of reports.
state::Duration
KeepaliveInterval(const TrafficState& aState, const FlowEntry& aEntry)
{
  const auto& services = aState.mIndex.mSnapshot->mServices;
  const auto found = aState.mIndex.mShards.find(aEntry.mShard);
  const state::Duration configured =
    found == aState.mIndex.mShards.end()
      ? state::ServiceLimits{}.mKeepaliveInterval
      : services[found->second.mService].mService.mLimits.mKeepaliveInterval;
  const std::chrono::duration<double> budgeted{
    static_cast<double>(aState.mFlows.size()) * kBytesPerReport /
    kReportBytesPerSecond
  };
  return std::max(configured,
                  std::chrono::duration_cast<state::Duration>(budgeted));
}

/// Whether other flows of the upstream have progressed since aSince, with all
/// instances there to report it.
bool
OthersProgress(TrafficState& aState,
               state::TimePoint aNow,
               const FlowEntry& aEntry,
               state::TimePoint aSince)
{
  const auto& snapshot = *aState.mIndex.mSnapshot;
  const bool complete =
    std::ranges::none_of(snapshot.mInstances, [](const auto& aInstance) {
      return aInstance.mState == state::InstanceState::Dead;
    });
  const auto& progress =
    FindOrAddOwnedShard(aState, aEntry.mShard, aNow).mLastProgress;
  const auto found = progress.find(aEntry.mUpstream.mAddress);
  return complete && found != progress.end() && found->second > aSince;
}

void
EndSilentFlow(TrafficState& aState,
              state::TimePoint aNow,
              const state::FlowKey& aKey,
              FlowEntry& aEntry)
{
  state::Increment(aState.mCounters, "flows_ended_silent_total");
  AddAction(
    aState,
    ResetCaller{
      aKey, VerdictOf(aEntry), aEntry.mAcknowledged, aEntry.mNextSequence });
  AddAction(aState,
            ResetUpstream{ aKey, aEntry.mUpstream, aEntry.mNextSequence });
  CloseFlow(aState, aNow, aKey, aEntry);
}

/// @return true if the flow was ended
bool
EndIfSilent(TrafficState& aState,
            state::TimePoint aNow,
            const state::FlowKey& aKey,
            FlowEntry& aEntry,
            state::Duration aInterval)
{
  const auto patience =
    std::chrono::duration_cast<state::Duration>(aInterval * kSilentIntervals);
  const bool stalled =
    aEntry.mRetransmittingSince != state::TimePoint{} &&
    aNow - aEntry.mRetransmittingSince >= kRetransmissionTimeout;
  const bool callerGone = aNow - aEntry.mLastCallerActivity >= patience;
  const bool upstreamGone = aNow - aEntry.mLastUpstreamActivity >= patience &&
                            aEntry.mUnansweredProbes >= kSilentProbes;
  if ((!stalled && !callerGone && !upstreamGone) ||
      !OthersProgress(aState,
                      aNow,
                      aEntry,
                      stalled ? aEntry.mRetransmittingSince
                              : aNow - aInterval)) {
    return false;
  }
  EndSilentFlow(aState, aNow, aKey, aEntry);
  return true;
}

/// Asks all instances to report the answers of a shard again, so that the next
/// answers to probes are not held back as reported before.
void
RequestReports(TrafficState& aState,
               state::TimePoint aNow,
               const FlowEntry& aEntry,
               state::Duration aInterval)
{
  auto& account = FindOrAddOwnedShard(aState, aEntry.mShard, aNow);
  if (aNow >= account.mNextReportRequest) {
    account.mNextReportRequest = aNow + aInterval;
    aState.mReportRequests.insert(aEntry.mShard);
  }
}

void
ProbeIdleEnds(TrafficState& aState,
              state::TimePoint aNow,
              const state::FlowKey& aKey,
              FlowEntry& aEntry,
              state::Duration aInterval)
{
  if (aKey.mProtocol != state::TransportProtocol::Tcp) {
    return;
  }
  if (aNow - aEntry.mLastCallerActivity >= aInterval) {
    AddAction(
      aState,
      ProbeCaller{ aKey, aEntry.mAcknowledged - 1, aEntry.mNextSequence });
  }
  if (aNow - aEntry.mLastUpstreamActivity < aInterval) {
    return;
  }
  AddAction(
    aState,
    ProbeUpstream{
      aKey, aEntry.mUpstream, aEntry.mNextSequence - 1, aEntry.mAcknowledged });
  if (aNow - aEntry.mLastUpstreamActivity >= 2 * aInterval) {
    RequestReports(aState, aNow, aEntry, aInterval);
    aEntry.mUnansweredProbes = static_cast<std::uint8_t>(
      std::min<int>(aEntry.mUnansweredProbes + 1, kSilentProbes));
  }
}

/// Copies a flow that a change of the table has made an exception.
void
NoteException(TrafficState& aState,
              state::TimePoint aNow,
              const state::FlowKey& aKey,
              FlowEntry& aEntry)
{
  if (aEntry.mOffDefault) {
    return;
  }
  const auto service = ServiceOfFlow(aState.mIndex, aKey);
  if (!service) {
    return;
  }
  const auto candidates = CandidateUpstreams(aState.mIndex, *service, aKey);
  if (candidates.empty() || candidates.front() != aEntry.mUpstream) {
    aEntry.mOffDefault = true;
    QueueReplication(
      aState.mReplication, aKey, aEntry.mShard, aEntry.mFlowClass, aNow);
  }
}

void
CheckEstablished(TrafficState& aState,
                 state::TimePoint aNow,
                 const state::FlowKey& aKey,
                 FlowEntry& aEntry)
{
  const auto interval = KeepaliveInterval(aState, aEntry);
  if (EndIfSilent(aState, aNow, aKey, aEntry, interval)) {
    return;
  }
  const auto idle =
    aNow - std::max(aEntry.mLastCallerActivity, aEntry.mLastUpstreamActivity);
  const bool finished = aEntry.mCallerFinished || aEntry.mUpstreamFinished;
  const bool datagrams = aKey.mProtocol == state::TransportProtocol::Udp;
  if ((finished || datagrams) && idle >= kHalfClosedTimeout) {
    CloseFlow(aState, aNow, aKey, aEntry);
    return;
  }
  if (aEntry.mFlowClass != state::FlowClass::Feed && aEntry.mAnswered &&
      aEntry.mUnansweredBytes == 0 && idle >= kWorkIdle) {
    ReclassifyFlow(aState, aNow, aEntry, state::FlowClass::Feed);
  }
  NoteException(aState, aNow, aKey, aEntry);
  ProbeIdleEnds(aState, aNow, aKey, aEntry, interval);
  const bool often = aEntry.mFlowClass != state::FlowClass::Feed ||
                     aEntry.mUnansweredProbes > 0 ||
                     aEntry.mRetransmittingSince != state::TimePoint{};
  ScheduleCheck(aState,
                aKey,
                aEntry,
                aNow + (often ? state::Duration{ kWorkIdle } : interval));
}

void
CheckFlow(TrafficState& aState,
          state::TimePoint aNow,
          const state::FlowKey& aKey,
          FlowEntry& aEntry)
{
  switch (aEntry.mStage) {
    case FlowStage::Queued:
      return;
    case FlowStage::Opening:
      state::Increment(aState.mCounters, "flows_opening_timeout_total");
      AddAction(aState, DropHeld{ aEntry.mHoldId });
      RemoveFlowEntry(aState, aNow, aKey);
      return;
    case FlowStage::Established:
      CheckEstablished(aState, aNow, aKey, aEntry);
      return;
    case FlowStage::Closed:
    case FlowStage::Redirected:
      RemoveFlowEntry(aState, aNow, aKey);
      return;
  }
}

} // namespace

void
CheckFlows(TrafficState& aState, state::TimePoint aNow)
{
  for (std::size_t count = 0; count < kChecksPerTick; ++count) {
    if (aState.mScheduledChecks.empty() ||
        aState.mScheduledChecks.top().mAt > aNow) {
      return;
    }
    const auto deadline = aState.mScheduledChecks.top();
    aState.mScheduledChecks.pop();
    const auto found = aState.mFlows.find(deadline.mKey);
    if (found != aState.mFlows.end() &&
        found->second.mNextCheck == deadline.mAt) {
      CheckFlow(aState, aNow, deadline.mKey, found->second);
    }
  }
}

} // namespace sassafrasknot::coordination
