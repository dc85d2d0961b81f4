#include <algorithm>

#include "world.hpp"

namespace randomised {
namespace {

using state::Direction;
using state::SegmentKind;

/// Sequence number of each caller's opening packet.
constexpr std::uint32_t kInitialSequence = 1000;
constexpr std::uint32_t kSegmentBytes = 1400;
constexpr std::uint32_t kWindowSegments = 4;
/// Size of a complete answer, as the upstreams send it.
constexpr std::uint32_t kAnswerBytes = 500;
constexpr auto kOpeningTimeout = std::chrono::seconds{ 1 };
constexpr auto kDataTimeout = std::chrono::milliseconds{ 200 };
constexpr auto kMaxTimeout = std::chrono::seconds{ 4 };
/// Retransmissions of an opening packet or of a FIN.
constexpr std::uint32_t kMaxOpeningRetries = 5;
/// An established flow without progress for longer than this counts as hung.
constexpr auto kHangTimeout = std::chrono::seconds{ 60 };

/// Sends a segment of aPayload bytes to the service.
void
SendSegment(World& aWorld,
            const CallerFlow& aFlow,
            SegmentKind aKind,
            std::uint32_t aSequence,
            std::uint32_t aPayload)
{
  Packet packet;
  packet.mCallerFlow = aFlow.mId;
  packet.mOrigin = aFlow.mDataCentre;
  packet.mFlow = { aFlow.mKey, Direction::FromCaller, aKind, {}, aPayload,
                   aSequence,  aFlow.mNextExpected };
  SendToFabric(aWorld, packet);
}

/// Handles a timer of a flow; ignores it if the flow has ended or its timer was
/// set again.
void
OnTimer(World& aWorld, std::uint64_t aId);

/// Sets the flow's retransmission timer in place of an earlier one.
void
ArmTimer(World& aWorld, CallerFlow& aFlow, Duration aTimeout)
{
  aFlow.mTimeout = aTimeout;
  aFlow.mRetransmitAt = aWorld.mNow + aTimeout;
  Schedule(
    aWorld, aTimeout, [&aWorld, id = aFlow.mId] { OnTimer(aWorld, id); });
}

/// Returns the sequence number that follows the request.
std::uint32_t
EndOfRequest(const CallerFlow& aFlow)
{
  return kInitialSequence + 1 + aFlow.mRequestBytes;
}

/// Sends the unacknowledged bytes of the request that fit in the window.
void
SendRequest(World& aWorld, CallerFlow& aFlow)
{
  const std::uint32_t last = std::min(
    aFlow.mRequestBytes, aFlow.mAcknowledged + kSegmentBytes * kWindowSegments);
  for (auto offset = aFlow.mAcknowledged; offset < last;
       offset += kSegmentBytes) {
    SendSegment(aWorld,
                aFlow,
                SegmentKind::Data,
                kInitialSequence + 1 + offset,
                std::min(kSegmentBytes, last - offset));
  }
  ArmTimer(aWorld, aFlow, kDataTimeout);
}

/// Sends a FIN after the request.
void
FinishFlow(World& aWorld, CallerFlow& aFlow)
{
  aFlow.mState = CallerFlowState::Finishing;
  aFlow.mRetries = 0;
  SendSegment(aWorld, aFlow, SegmentKind::Finish, EndOfRequest(aFlow), 0);
  ArmTimer(aWorld, aFlow, kDataTimeout);
}

/// Counts the flow in aCounter and removes it.
void
EndFlow(World& aWorld, CallerFlow& aFlow, std::uint64_t& aCounter)
{
  ++aCounter;
  aFlow.mState = CallerFlowState::Done;
  aWorld.mFlowOfKey.erase(aFlow.mKey);
  aWorld.mBlackholedFlows.erase(aFlow.mId);
  aWorld.mCallers.erase(aFlow.mId);
}

/// Ends a flow that was reset or hung: counts it in aCounter, or apart if it
/// was blackholed.
void
BreakFlow(World& aWorld, CallerFlow& aFlow, std::uint64_t& aCounter)
{
  const bool blackholed = aWorld.mBlackholedFlows.contains(aFlow.mId);
  if (!blackholed) {
    aWorld.mBrokenFlows.push_back(aFlow.mId);
  }
  Trace(aWorld, aFlow.mId, "broken");
  EndFlow(
    aWorld, aFlow, blackholed ? aWorld.mTotals.mBrokenBlackholed : aCounter);
}

/// Sends the opening packet, the first unacknowledged segment or the FIN again
/// and doubles the timeout; ends the flow after kMaxOpeningRetries of an
/// opening packet or FIN.
void
Retransmit(World& aWorld, CallerFlow& aFlow)
{
  switch (aFlow.mState) {
    case CallerFlowState::Opening:
      if (++aFlow.mRetries > kMaxOpeningRetries) {
        EndFlow(aWorld, aFlow, aWorld.mTotals.mOpeningTimeouts);
        return;
      }
      SendSegment(aWorld, aFlow, SegmentKind::Open, kInitialSequence, 0);
      break;
    case CallerFlowState::Established:
      if (aFlow.mAcknowledged < aFlow.mRequestBytes) {
        SendSegment(
          aWorld,
          aFlow,
          SegmentKind::Data,
          kInitialSequence + 1 + aFlow.mAcknowledged,
          std::min(kSegmentBytes, aFlow.mRequestBytes - aFlow.mAcknowledged));
      }
      break;
    case CallerFlowState::Finishing:
      if (++aFlow.mRetries > kMaxOpeningRetries) {
        EndFlow(aWorld, aFlow, aWorld.mTotals.mCompleted);
        return;
      }
      SendSegment(aWorld, aFlow, SegmentKind::Finish, EndOfRequest(aFlow), 0);
      break;
    case CallerFlowState::Done:
      return;
  }
  ArmTimer(aWorld, aFlow, std::min<Duration>(aFlow.mTimeout * 2, kMaxTimeout));
}

void
OnTimer(World& aWorld, std::uint64_t aId)
{
  const auto found = aWorld.mCallers.find(aId);
  if (found == aWorld.mCallers.end()) {
    return;
  }
  auto& flow = found->second;
  if (flow.mRetransmitAt > aWorld.mNow) {
    return;
  }
  if (flow.mState == CallerFlowState::Established &&
      aWorld.mNow - flow.mLastProgress > kHangTimeout) {
    BreakFlow(aWorld, flow, aWorld.mTotals.mHung);
    return;
  }
  if (flow.mState == CallerFlowState::Established &&
      flow.mKind == FlowKind::Feed && aWorld.mNow >= flow.mCloseAt) {
    FinishFlow(aWorld, flow);
    return;
  }
  Retransmit(aWorld, flow);
}

/// Handles a data segment: accepts its bytes if they are in order, continues
/// the request, acknowledges, and closes the flow after a complete answer.
void
OnAnswerData(World& aWorld, CallerFlow& aFlow, const FlowEvent& aEvent)
{
  if (aEvent.mSequence == aFlow.mNextExpected && aEvent.mPayloadBytes > 0) {
    aFlow.mNextExpected += aEvent.mPayloadBytes;
    aFlow.mAnswerBytes += aEvent.mPayloadBytes;
    aFlow.mLastProgress = aWorld.mNow;
  }
  const auto acknowledged = aEvent.mAcknowledged - kInitialSequence - 1;
  if (acknowledged <= aFlow.mRequestBytes &&
      acknowledged > aFlow.mAcknowledged) {
    aFlow.mAcknowledged = acknowledged;
    aFlow.mLastProgress = aWorld.mNow;
    if (acknowledged < aFlow.mRequestBytes) {
      SendRequest(aWorld, aFlow);
    }
  }
  // An empty segment out of order is a keepalive probe of an instance, or was
  // repeated or reordered. It is answered with an acknowledgement.
  const bool duplicate =
    aEvent.mPayloadBytes == 0 && aEvent.mSequence != aFlow.mNextExpected;
  if (aEvent.mPayloadBytes > 0 || duplicate) {
    SendSegment(aWorld,
                aFlow,
                SegmentKind::Data,
                kInitialSequence + 1 + aFlow.mAcknowledged,
                0);
  }
  if (aFlow.mState == CallerFlowState::Established &&
      aFlow.mKind != FlowKind::Feed && aFlow.mAnswerBytes >= kAnswerBytes) {
    FinishFlow(aWorld, aFlow);
  }
}

/// Handles a reset: a flow that is opening was refused, a finishing one is
/// complete, an established one breaks.
void
OnReset(World& aWorld, CallerFlow& aFlow, const Packet& aPacket)
{
  // RFC 5961: a reset without the expected sequence number is ignored.
  if (aFlow.mState != CallerFlowState::Opening &&
      aPacket.mFlow.mSequence != aFlow.mNextExpected) {
    return;
  }
  if (aFlow.mState == CallerFlowState::Opening ||
      aPacket.mVerdict == Verdict::NotRun) {
    aWorld.mReportedNotRun.insert(aFlow.mId);
  }
  switch (aFlow.mState) {
    case CallerFlowState::Opening:
      EndFlow(aWorld, aFlow, aWorld.mTotals.mRefusedNotRun);
      return;
    case CallerFlowState::Finishing:
      EndFlow(aWorld, aFlow, aWorld.mTotals.mCompleted);
      return;
    case CallerFlowState::Established:
    case CallerFlowState::Done:
      BreakFlow(aWorld, aFlow, aWorld.mTotals.mBroken);
  }
}

} // namespace

void
OpenCallerFlow(World& aWorld)
{
  const auto& organisations = aWorld.mOrganisations;
  const auto& organisation =
    organisations[RandomIndex(aWorld, organisations.size())];
  const auto& service = organisation.mServices.front();
  CallerFlow flow;
  flow.mId = aWorld.mNextFlow++;
  flow.mOrganisation = organisation.mId;
  flow.mDataCentre =
    aWorld.mDataCentres[RandomIndex(aWorld, aWorld.mDataCentres.size())];
  const double kind = Uniform(aWorld);
  flow.mKind = kind < 0.3   ? FlowKind::Feed
               : kind < 0.5 ? FlowKind::Upload
                            : FlowKind::Confirmation;
  const auto& listener =
    service.mListeners[flow.mKind == FlowKind::Feed ? 0 : 1];
  const auto index = static_cast<std::uint32_t>(flow.mId);
  flow.mKey = { { { 0x7F1E0000 + index / 50000 },
                  static_cast<std::uint16_t>(1024 + index % 50000) },
                { service.mAddress, listener.mPort },
                listener.mProtocol };
  flow.mRequestBytes = flow.mKind == FlowKind::Upload ? kSegmentBytes * 20
                       : flow.mKind == FlowKind::Feed ? 100
                                                      : 200;
  flow.mOpened = aWorld.mNow;
  flow.mLastProgress = aWorld.mNow;
  flow.mCloseAt = aWorld.mNow + std::chrono::milliseconds{
    static_cast<std::int64_t>(20000 + Uniform(aWorld) * 200000)
  };
  aWorld.mFlowOfKey[flow.mKey] = flow.mId;
  auto& stored = aWorld.mCallers[flow.mId] = flow;
  ++aWorld.mTotals.mOpened;
  SendSegment(aWorld, stored, SegmentKind::Open, kInitialSequence, 0);
  ArmTimer(aWorld, stored, kOpeningTimeout);
}

void
DeliverToCaller(World& aWorld, const Packet& aPacket)
{
  const auto found = aWorld.mFlowOfKey.find(aPacket.mFlow.mKey);
  if (found == aWorld.mFlowOfKey.end()) {
    return;
  }
  auto& flow = aWorld.mCallers.at(found->second);
  if (aPacket.mCallerFlow != 0 && aPacket.mCallerFlow != flow.mId) {
    ++aWorld.mTotals.mMisrouted;
    return;
  }
  const auto& event = aPacket.mFlow;
  switch (event.mKind) {
    case SegmentKind::Reset:
      OnReset(aWorld, flow, aPacket);
      return;
    case SegmentKind::OpenAnswer:
      if (flow.mState == CallerFlowState::Opening) {
        flow.mState = CallerFlowState::Established;
        flow.mNextExpected = event.mSequence + 1;
        flow.mLastProgress = aWorld.mNow;
        flow.mRetries = 0;
        ++aWorld.mTotals.mEstablished;
        SendRequest(aWorld, flow);
      }
      return;
    case SegmentKind::Finish:
      if (flow.mState == CallerFlowState::Finishing) {
        ++flow.mNextExpected;
        SendSegment(aWorld, flow, SegmentKind::Data, EndOfRequest(flow) + 1, 0);
        EndFlow(aWorld, flow, aWorld.mTotals.mCompleted);
      }
      return;
    case SegmentKind::Data:
      OnAnswerData(aWorld, flow, event);
      return;
    case SegmentKind::Open:
      return;
  }
}

void
StartArrivals(World& aWorld)
{
  std::exponential_distribution<double> gap(aWorld.mOptions.mArrivals);
  const auto delay = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(gap(aWorld.mRandom)));
  Schedule(aWorld, delay, [&aWorld] {
    OpenCallerFlow(aWorld);
    StartArrivals(aWorld);
  });
}

} // namespace randomised
