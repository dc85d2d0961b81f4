#include "sassafrasknot/coordination/flow_checks.hpp"

#include "sassafrasknot/coordination/flow_lifecycle.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// Keepalive intervals without a packet of an end after which that end counts
/// as unresponsive: three unanswered keepalive probes and a margin for the
/// report of the upstream's last packet.
constexpr double kMaxIdleIntervals = 3.5;
/// Keepalive probes that an upstream must have left unanswered before it counts
/// as unresponsive; they are counted from the first report request on.
constexpr int kMaxUnansweredProbes = 4;
/// Work that was answered and has had no packets for this long is counted as a
/// feed, which holds no slot. Also the interval at which work and flows with
/// unanswered probes or retransmissions are checked.
constexpr auto kWorkIdleTimeout = std::chrono::seconds{ 5 };
/// A UDP flow, or a TCP flow that one end has finished, is closed after this
/// time without packets.
constexpr auto kHalfClosedTimeout = std::chrono::seconds{ 60 };
/// Limits the duration of one tick.
constexpr std::size_t kChecksPerTick = 2000;

/// Returns the keepalive interval of a flow: the configured one, or a longer
/// one if the answers to the keepalive probes of all flows could not be
/// reported within the budget of reports (kReportBytesPerSecond).
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

/// Returns whether the flow's upstream has accepted or answered any flow since
/// aSince. False while an instance is dead, since reports may then be missing.
bool
HaveOtherFlowsProgressed(TrafficState& aState,
                         state::TimePoint aNow,
                         const FlowEntry& aEntry,
                         state::TimePoint aSince)
{
  const auto& snapshot = *aState.mIndex.mSnapshot;
  const bool allInstancesReport =
    std::ranges::none_of(snapshot.mInstances, [](const auto& aInstance) {
      return aInstance.mState == state::InstanceState::Dead;
    });
  const auto& progress =
    FindOrAddOwnedShard(aState, aEntry.mShard, aNow).mLastProgress;
  const auto found = progress.find(aEntry.mUpstream.mAddress);
  return allInstancesReport && found != progress.end() &&
         found->second > aSince;
}

/// Resets both ends of a flow and closes it.
void
ResetUnresponsiveFlow(TrafficState& aState,
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

/// Resets a flow if one of three tests holds and other flows of its upstream
/// progress: the caller retransmits without progress, the caller is idle, or
/// the upstream is idle and has left keepalive probes unanswered.
/// @return true if the flow was reset
bool
ResetIfUnresponsive(TrafficState& aState,
                    state::TimePoint aNow,
                    const state::FlowKey& aKey,
                    FlowEntry& aEntry,
                    state::Duration aInterval)
{
  const auto idleTimeout =
    std::chrono::duration_cast<state::Duration>(aInterval * kMaxIdleIntervals);
  const bool hasRetransmissionTimedOut =
    aEntry.mRetransmittingSince != state::TimePoint{} &&
    aNow - aEntry.mRetransmittingSince >= kRetransmissionTimeout;
  const bool isCallerIdle = aNow - aEntry.mLastCallerActivity >= idleTimeout;
  const bool isUpstreamUnresponsive =
    aNow - aEntry.mLastUpstreamActivity >= idleTimeout &&
    aEntry.mUnansweredProbes >= kMaxUnansweredProbes;
  if ((!hasRetransmissionTimedOut && !isCallerIdle &&
       !isUpstreamUnresponsive) ||
      !HaveOtherFlowsProgressed(aState,
                                aNow,
                                aEntry,
                                hasRetransmissionTimedOut
                                  ? aEntry.mRetransmittingSince
                                  : aNow - aInterval)) {
    return false;
  }
  ResetUnresponsiveFlow(aState, aNow, aKey, aEntry);
  return true;
}

/// Requests that all instances report the packets of a shard's upstreams again,
/// at most once per aInterval and shard. Without the request, the next answer
/// to a keepalive probe may go unreported because the flow was reported in the
/// same period.
void
RequestReports(TrafficState& aState,
               state::TimePoint aNow,
               const FlowEntry& aEntry,
               state::Duration aInterval)
{
  auto& ownedShard = FindOrAddOwnedShard(aState, aEntry.mShard, aNow);
  if (aNow >= ownedShard.mNextReportRequest) {
    ownedShard.mNextReportRequest = aNow + aInterval;
    aState.mReportRequests.insert(aEntry.mShard);
  }
}

/// Sends keepalive probes to the ends of a TCP flow that have been idle for a
/// keepalive interval. After two intervals without a packet of the upstream,
/// its unanswered probes are counted and reports are requested.
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
      std::min<int>(aEntry.mUnansweredProbes + 1, kMaxUnansweredProbes));
  }
}

/// Queues the replication of a flow that a change of the table has moved off
/// its default upstream.
void
ReplicateIfOffDefault(TrafficState& aState,
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

/// Checks an established flow: resets or closes it, counts idle work as a feed,
/// or sends keepalive probes and schedules the next check.
void
CheckEstablished(TrafficState& aState,
                 state::TimePoint aNow,
                 const state::FlowKey& aKey,
                 FlowEntry& aEntry)
{
  const auto interval = KeepaliveInterval(aState, aEntry);
  if (ResetIfUnresponsive(aState, aNow, aKey, aEntry, interval)) {
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
      aEntry.mUnansweredBytes == 0 && idle >= kWorkIdleTimeout) {
    ReclassifyFlow(aState, aNow, aEntry, state::FlowClass::Feed);
  }
  ReplicateIfOffDefault(aState, aNow, aKey, aEntry);
  ProbeIdleEnds(aState, aNow, aKey, aEntry, interval);
  const bool checkSoon = aEntry.mFlowClass != state::FlowClass::Feed ||
                         aEntry.mUnansweredProbes > 0 ||
                         aEntry.mRetransmittingSince != state::TimePoint{};
  ScheduleCheck(aState,
                aKey,
                aEntry,
                aNow +
                  (checkSoon ? state::Duration{ kWorkIdleTimeout } : interval));
}

/// Runs the check that is due for the flow's stage.
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
    const auto check = aState.mScheduledChecks.top();
    aState.mScheduledChecks.pop();
    const auto found = aState.mFlows.find(check.mKey);
    if (found != aState.mFlows.end() && found->second.mNextCheck == check.mAt) {
      CheckFlow(aState, aNow, check.mKey, found->second);
    }
  }
}

} // namespace sassafrasknot::coordination
