#include "sassafrasknot/coordination/caller_packets.hpp"

#include "sassafrasknot/coordination/flow_checks.hpp"
#include "sassafrasknot/coordination/flow_lifecycle.hpp"
#include "sassafrasknot/coordination/flow_placement.hpp"
#include "sassafrasknot/coordination/recovery.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// A feed whose caller has sent more than this without an answer is an upload
/// and is counted as work.
constexpr std::uint32_t kUploadBytes = 64 * 1024;
/// A caller retransmits its opening segment for about this long.
constexpr auto kOpeningRetransmissionTime = std::chrono::seconds{ 10 };

/// An opening segment that arrives this long after placement is a
/// retransmission by the caller. Shorter than the first retransmission timeout
/// (1 s, RFC 6298) and longer than an upstream's answer takes to reach the
/// caller.
constexpr auto kMinOpeningRetransmission = std::chrono::milliseconds{ 900 };

/// Compares sequence numbers modulo 2^32.
/// @return whether aFirst is after aSecond
bool
IsSequenceAfter(std::uint32_t aFirst, std::uint32_t aSecond)
{
  return static_cast<std::int32_t>(aFirst - aSecond) > 0;
}

/// Updates the flow from the caller's sequence numbers. A higher
/// acknowledgement means that the upstream has answered. New data or a higher
/// acknowledgement is progress; data without either is a retransmission. The
/// first segment sets the numbers and counts as progress.
void
TrackCaller(TrafficState& aState,
            state::TimePoint aNow,
            const state::FlowEvent& aEvent,
            FlowEntry& aEntry)
{
  const auto next = aEvent.mSequence + aEvent.mPayloadBytes;
  const bool isFirst = aEntry.mAcknowledged == 0;
  const bool hasNewAcknowledgement =
    !isFirst && IsSequenceAfter(aEvent.mAcknowledged, aEntry.mAcknowledged);
  const bool hasNewData = IsSequenceAfter(next, aEntry.mNextSequence);
  if (hasNewAcknowledgement) {
    aEntry.mAnswered = true;
    aEntry.mUnansweredBytes = 0;
    aEntry.mLastUpstreamActivity = aNow;
    aEntry.mUnansweredProbes = 0;
    FindOrAddOwnedShard(aState, aEntry.mShard, aNow)
      .mLastProgress[aEntry.mUpstream.mAddress] = aNow;
  }
  if (hasNewAcknowledgement || hasNewData || isFirst) {
    aEntry.mRetransmittingSince = {};
  } else if (aEvent.mPayloadBytes > 0 &&
             aEntry.mRetransmittingSince == state::TimePoint{}) {
    aEntry.mRetransmittingSince = aNow;
    ScheduleCheck(aState, aEvent.mKey, aEntry, aNow + kRetransmissionTimeout);
  }
  if (hasNewData || isFirst) {
    aEntry.mNextSequence = next;
  }
  if (isFirst || hasNewAcknowledgement) {
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

/// Drops the packet that is being processed.
/// @return true, since the packet needs no further processing
bool
DropUnknown(TrafficState& aState)
{
  DropPacket(aState, "packets_dropped_unknown_flow_total");
  return true;
}

/// Sends the packet that is being processed to the flow's upstream, or drops it
/// if the upstream's endpoint is not bound to the flow's service.
/// @return true if it was sent
bool
SendToBoundUpstream(TrafficState& aState,
                    std::uint32_t aService,
                    const FlowEntry& aEntry)
{
  if (!IsBoundToService(aState.mIndex, aService, aEntry.mUpstream)) {
    DropPacket(aState, "packets_dropped_unbound_upstream_total");
    return false;
  }
  AddAction(aState, SendToUpstream{ aEntry.mUpstream });
  return true;
}

/// Processes a packet of a flow that waits for a slot.
/// @return false if the flow is to be treated as unknown
bool
OnQueuedFlow(TrafficState& aState,
             state::TimePoint aNow,
             const state::FlowEvent& aEvent)
{
  if (aEvent.mKind != state::SegmentKind::Open) {
    // Either the caller gave up, or another owner received its retransmitted
    // opening segment and placed the flow.
    RemoveFlowEntry(aState, aNow, aEvent.mKey);
    return aEvent.mKind == state::SegmentKind::Reset && DropUnknown(aState);
  }
  DropPacket(aState, "packets_dropped_queued_flow_total");
  return true;
}

/// Processes a packet of a flow whose upstream is not known to have accepted
/// it.
/// @return false if the flow is to be treated as unknown
bool
OnOpeningFlow(TrafficState& aState,
              state::TimePoint aNow,
              const state::FlowEvent& aEvent,
              std::uint32_t aService,
              FlowEntry& aEntry)
{
  if (aEvent.mKind == state::SegmentKind::Open &&
      aNow - aEntry.mStarted >= kMinOpeningRetransmission) {
    // The caller retransmits its opening segment, so it has received no answer
    // and the flow can be reassigned to another upstream.
    DropPacket(aState, "packets_dropped_placed_again_total");
    AddAction(
      aState,
      ResetUpstream{ aEvent.mKey, aEntry.mUpstream, aEntry.mNextSequence });
    RetryPlacement(aState, aNow, aEvent.mKey, FailureKind::Unanswered);
    return true;
  }
  if (aEvent.mKind == state::SegmentKind::Open) {
    SendToBoundUpstream(aState, aService, aEntry);
    return true;
  }
  if (aEvent.mKind == state::SegmentKind::Reset) {
    SendToBoundUpstream(aState, aService, aEntry);
    CloseFlow(aState, aNow, aEvent.mKey, aEntry);
    return true;
  }
  // The caller has received an answer, but this instance has received none from
  // the upstream that it chose. Another owner may have placed the flow too, so
  // the flow's upstream must be looked up before payload is sent.
  AddAction(aState, DropHeld{ aEntry.mHoldId });
  RemoveFlowEntry(aState, aNow, aEvent.mKey);
  return false;
}

/// Sends a packet of an established flow to its upstream and updates the flow.
void
OnEstablishedFlow(TrafficState& aState,
                  state::TimePoint aNow,
                  const state::FlowEvent& aEvent,
                  std::uint32_t aService,
                  FlowEntry& aEntry)
{
  if (!SendToBoundUpstream(aState, aService, aEntry)) {
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

/// Forwards a packet to the owner of the shard in which another owner placed
/// the flow. The redirect is removed if that owner forwarded the packet here,
/// if the shard has no owner or this instance owns it now, or if the redirect
/// is older than kOpeningRetransmissionTime and either the packet opens a new
/// flow or the upstream was never recorded.
/// @return false if the flow is to be treated as unknown
bool
OnRedirectedFlow(TrafficState& aState,
                 state::TimePoint aNow,
                 const PacketEvent& aPacket,
                 FlowEntry& aEntry)
{
  const bool reopened = aPacket.mFlow.mKind == state::SegmentKind::Open &&
                        aNow - aEntry.mStarted > kOpeningRetransmissionTime;
  const auto* const owner = OwnerOf(aState.mIndex, aEntry.mShard);
  const bool hasForwarded =
    owner != nullptr && HasForwarded(aPacket.mHops, owner->mId);
  const bool wasNeverLocated =
    aEntry.mUpstream == state::Endpoint{} &&
    aNow - aEntry.mStarted > kOpeningRetransmissionTime;
  if (reopened || wasNeverLocated || owner == nullptr || hasForwarded ||
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

/// Processes a packet of an unknown flow. An opening packet places a new flow.
/// Any other packet starts a look-up if this instance is the flow's first
/// owner, and is forwarded to the first owner otherwise.
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
  const auto rankedShards =
    RankedShardsOfFlow(aState.mIndex, aService, state::Hash(event.mKey));
  if (rankedShards.empty()) {
    DropPacket(aState, "packets_dropped_no_owner_total");
    return;
  }
  const auto& firstShard = rankedShards.front();
  if (IsSelf(aState.mIndex, firstShard.mOwner)) {
    LookUpFlow(aState, aNow, aPacket, aService);
    return;
  }
  const bool hasForwarded = HasForwarded(aPacket.mHops, firstShard.mOwner->mId);
  if (hasForwarded) {
    // The first owner usually forwarded the packet here because of a redirect,
    // which may contain the flow's upstream. With its reply, this instance can
    // adopt the flow.
    AddAction(aState,
              SendToPeer{ firstShard.mOwner->mId, FlowLookup{ event.mKey } });
  }
  if (hasForwarded || aPacket.mHops.size() >= kMaxHops) {
    DropPacket(aState, "packets_dropped_unknown_flow_total");
    return;
  }
  AddAction(aState, Forward{ firstShard.mOwner->mId });
}

/// Processes a packet of a flow that is in the flow table.
/// @return false if the flow is not in the table or is to be treated as unknown
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
      return OnRedirectedFlow(aState, aNow, aPacket, entry);
    case FlowStage::Closed:
      break;
  }
  if (event.mKind == state::SegmentKind::Open) {
    // The caller reuses its port for a new flow.
    aState.mFlows.erase(found);
    return false;
  }
  SendToBoundUpstream(aState, aService, entry);
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
