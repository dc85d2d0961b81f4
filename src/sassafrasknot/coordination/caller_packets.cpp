#include "sassafrasknot/coordination/caller_packets.hpp"

#include "sassafrasknot/coordination/flow_checks.hpp"
#include "sassafrasknot/coordination/flow_lifecycle.hpp"
#include "sassafrasknot/coordination/flow_placement.hpp"
#include "sassafrasknot/coordination/recovery.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// A feed that sends more than this without an answer is an upload.
constexpr std::uint32_t kUploadBytes = 64 * 1024;
/// A caller repeats its opening segment for about this long.
constexpr auto kOpeningRepeats = std::chrono::seconds{ 10 };

/// Shorter than the first retransmission of an opening segment (1 s, RFC 6298)
/// and longer than any answer that is still under way.
constexpr auto kOpeningRetry = std::chrono::milliseconds{ 900 };

bool
IsAfter(std::uint32_t aFirst, std::uint32_t aSecond)
{
  return static_cast<std::int32_t>(aFirst - aSecond) > 0;
}

/// Follows the caller's sequence numbers: new data or a higher acknowledgement
/// is progress, repeated data without either is a stall.
void
TrackCaller(TrafficState& aState,
            state::TimePoint aNow,
            const state::FlowEvent& aEvent,
            FlowEntry& aEntry)
{
  const auto next = aEvent.mSequence + aEvent.mPayloadBytes;
  const bool first = aEntry.mAcknowledged == 0;
  const bool acknowledges =
    !first && IsAfter(aEvent.mAcknowledged, aEntry.mAcknowledged);
  const bool isNew = IsAfter(next, aEntry.mNextSequence);
  if (acknowledges) {
    aEntry.mAnswered = true;
    aEntry.mUnansweredBytes = 0;
    aEntry.mLastUpstreamActivity = aNow;
    aEntry.mUnansweredProbes = 0;
    FindOrAddOwnedShard(aState, aEntry.mShard, aNow)
      .mLastProgress[aEntry.mUpstream.mAddress] = aNow;
  }
  if (acknowledges || isNew || first) {
    aEntry.mRetransmittingSince = {};
  } else if (aEvent.mPayloadBytes > 0 &&
             aEntry.mRetransmittingSince == state::TimePoint{}) {
    aEntry.mRetransmittingSince = aNow;
    ScheduleCheck(aState, aEvent.mKey, aEntry, aNow + kRetransmissionTimeout);
  }
  if (isNew || first) {
    aEntry.mNextSequence = next;
  }
  if (first || acknowledges) {
    aEntry.mAcknowledged = aEvent.mAcknowledged;
  }
  aEntry.mUnansweredBytes += aEvent.mPayloadBytes;
  aEntry.mPayloadForwarded |= aEvent.mPayloadBytes > 0;
  aEntry.mLastCallerActivity = aNow;
  if (aEntry.mFlowClass == state::FlowClass::Feed &&
      aEntry.mUnansweredBytes > kUploadBytes) {
    ReclassifyFlow(aState, aNow, aEntry, state::FlowClass::Work);
  }
}

/// Drops the packet at hand. @return true, as the packet was decided on
bool
DropUnknown(TrafficState& aState)
{
  DropPacket(aState, "packets_dropped_unknown_flow_total");
  return true;
}

/// Sends the packet at hand to the flow's upstream, unless the upstream's
/// endpoint is not bound to the flow's service.
bool
SendOn(TrafficState& aState, std::uint32_t aService, const FlowEntry& aEntry)
{
  if (!IsBoundToService(aState.mIndex, aService, aEntry.mUpstream)) {
    DropPacket(aState, "packets_dropped_unbound_upstream_total");
    return false;
  }
  AddAction(aState, SendToUpstream{ aEntry.mUpstream });
  return true;
}

/// @return false if the flow is to be treated as unknown
bool
OnQueuedFlow(TrafficState& aState,
             state::TimePoint aNow,
             const state::FlowEvent& aEvent)
{
  if (aEvent.mKind != state::SegmentKind::Open) {
    // Either the caller gave up, or it is established through another owner
    // that its repeated opening segment has reached.
    RemoveFlowEntry(aState, aNow, aEvent.mKey);
    return aEvent.mKind == state::SegmentKind::Reset && DropUnknown(aState);
  }
  DropPacket(aState, "packets_dropped_queued_flow_total");
  return true;
}

/// @return false if the flow is to be treated as unknown
bool
OnOpeningFlow(TrafficState& aState,
              state::TimePoint aNow,
              const state::FlowEvent& aEvent,
              std::uint32_t aService,
              FlowEntry& aEntry)
{
  if (aEvent.mKind == state::SegmentKind::Open &&
      aNow - aEntry.mStarted >= kOpeningRetry) {
    // The caller repeats its opening segment, so it has no answer yet and the
    // flow can still be placed elsewhere.
    DropPacket(aState, "packets_dropped_placed_again_total");
    AddAction(
      aState,
      ResetUpstream{ aEvent.mKey, aEntry.mUpstream, aEntry.mNextSequence });
    RetryPlacement(aState, aNow, aEvent.mKey, FailureKind::NoAnswer);
    return true;
  }
  if (aEvent.mKind == state::SegmentKind::Open) {
    SendOn(aState, aService, aEntry);
    return true;
  }
  if (aEvent.mKind == state::SegmentKind::Reset) {
    SendOn(aState, aService, aEntry);
    CloseFlow(aState, aNow, aEvent.mKey, aEntry);
    return true;
  }
  // The caller is established although this owner has not seen the answer of
  // the upstream that it chose. Another owner may have placed the flow as well,
  // so that payload must not go to this one's upstream unverified.
  AddAction(aState, DropHeld{ aEntry.mHoldId });
  RemoveFlowEntry(aState, aNow, aEvent.mKey);
  return false;
}

void
OnEstablishedFlow(TrafficState& aState,
                  state::TimePoint aNow,
                  const state::FlowEvent& aEvent,
                  std::uint32_t aService,
                  FlowEntry& aEntry)
{
  if (!SendOn(aState, aService, aEntry)) {
    return;
  }
  if (aEvent.mKind == state::SegmentKind::Reset) {
    CloseFlow(aState, aNow, aEvent.mKey, aEntry);
    return;
  }
  TrackCaller(aState, aNow, aEvent, aEntry);
  if (aEvent.mKind != state::SegmentKind::Finish) {
    return;
  }
  aEntry.mCallerFinished = true;
  if (aEntry.mUpstreamFinished) {
    CloseFlow(aState, aNow, aEvent.mKey, aEntry);
  }
}

/// @return false if the flow is to be treated as unknown
bool
OnElsewhereFlow(TrafficState& aState,
                state::TimePoint aNow,
                const PacketEvent& aPacket,
                FlowEntry& aEntry)
{
  const bool opensAgain = aPacket.mFlow.mKind == state::SegmentKind::Open &&
                          aNow - aEntry.mStarted > kOpeningRepeats;
  const auto* const owner = OwnerOf(aState.mIndex, aEntry.mShard);
  const bool visited =
    owner != nullptr && HasForwarded(aPacket.mHops, owner->mId);
  const bool neverLocated = aEntry.mUpstream == state::Endpoint{} &&
                            aNow - aEntry.mStarted > kOpeningRepeats;
  if (opensAgain || neverLocated || owner == nullptr || visited ||
      IsSelf(aState.mIndex, owner)) {
    aState.mFlows.erase(aPacket.mFlow.mKey);
    return false;
  }
  aEntry.mLastCallerActivity = aNow;
  if (aPacket.mHops.size() >= kMaxHops) {
    DropPacket(aState, "packets_dropped_hop_limit_total");
    return true;
  }
  AddAction(aState, Forward{ owner->mId });
  return true;
}

void
OnUnknownFlow(TrafficState& aState,
              state::TimePoint aNow,
              const PacketEvent& aPacket,
              std::uint32_t aService)
{
  const auto& event = aPacket.mFlow;
  if (event.mKind == state::SegmentKind::Open) {
    OpenFlow(aState, aNow, aPacket, aService);
    return;
  }
  const auto route =
    RankedShardsOfFlow(aState.mIndex, aService, state::Hash(event.mKey));
  if (route.empty()) {
    DropPacket(aState, "packets_dropped_no_owner_total");
    return;
  }
  const auto& first = route.front();
  if (IsSelf(aState.mIndex, first.mOwner)) {
    RecoverFlow(aState, aNow, aPacket, aService);
    return;
  }
  const bool visited = HasForwarded(aPacket.mHops, first.mOwner->mId);
  if (visited) {
    // The first owner took this instance for the flow's owner and may know its
    // upstream.
    AddAction(aState,
              SendToPeer{ first.mOwner->mId, FlowLookup{ event.mKey } });
  }
  if (visited || aPacket.mHops.size() >= kMaxHops) {
    DropPacket(aState, "packets_dropped_unknown_flow_total");
    return;
  }
  AddAction(aState, Forward{ first.mOwner->mId });
}

/// @return false if the flow is not known
bool
OnKnownFlow(TrafficState& aState,
            state::TimePoint aNow,
            const PacketEvent& aPacket,
            std::uint32_t aService)
{
  const auto& event = aPacket.mFlow;
  const auto found = aState.mFlows.find(event.mKey);
  if (found == aState.mFlows.end()) {
    return false;
  }
  auto& entry = found->second;
  switch (entry.mStage) {
    case FlowStage::Queued:
      return OnQueuedFlow(aState, aNow, event);
    case FlowStage::Opening:
      return OnOpeningFlow(aState, aNow, event, aService, entry);
    case FlowStage::Established:
      OnEstablishedFlow(aState, aNow, event, aService, entry);
      return true;
    case FlowStage::Redirected:
      return OnElsewhereFlow(aState, aNow, aPacket, entry);
    case FlowStage::Closed:
      break;
  }
  if (event.mKind == state::SegmentKind::Open) {
    // The caller uses its port again for a new flow.
    aState.mFlows.erase(found);
    return false;
  }
  SendOn(aState, aService, entry);
  return true;
}

} // namespace

void
OnCallerPacket(TrafficState& aState,
               state::TimePoint aNow,
               const PacketEvent& aPacket)
{
  const auto service = ServiceOfFlow(aState.mIndex, aPacket.mFlow.mKey);
  if (!service) {
    DropPacket(aState, "packets_dropped_unknown_service_total");
    return;
  }
  if (!OnKnownFlow(aState, aNow, aPacket, *service)) {
    OnUnknownFlow(aState, aNow, aPacket, *service);
  }
}

} // namespace sassafrasknot::coordination
