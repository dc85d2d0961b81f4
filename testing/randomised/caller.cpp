#include <algorithm>

#include "world.hpp"

namespace randomised {
namespace {

using state::Direction;
using state::SegmentKind;

constexpr std::uint32_t kFirstSequence = 1000;
constexpr std::uint32_t kSegmentBytes = 1400;
constexpr std::uint32_t kWindowSegments = 4;
constexpr std::uint32_t kAnswerBytes = 500;
constexpr auto kOpeningTimeout = std::chrono::seconds{ 1 };
constexpr auto kDataTimeout = std::chrono::milliseconds{ 200 };
constexpr auto kLongestTimeout = std::chrono::seconds{ 4 };
constexpr std::uint32_t kOpeningRetries = 5;
/// A caller that saw no progress for this long hangs.
constexpr auto kHangTimeout = std::chrono::seconds{ 60 };

void
Send(World& aWorld,
     const CallerFlow& aFlow,
     SegmentKind aKind,
     std::uint32_t aSequence,
     std::uint32_t aPayload)
{
  Packet packet;
  packet.mCallerFlow = aFlow.mId;
  packet.mOrigin = aFlow.mHome;
  packet.mFlow = { aFlow.mKey, Direction::FromCaller, aKind, {}, aPayload,
                   aSequence,  aFlow.mNextExpected };
  SendToFabric(aWorld, packet);
}

void
CheckTimer(World& aWorld, std::uint64_t aId);

void
ArmTimer(World& aWorld, CallerFlow& aFlow, Duration aTimeout)
{
  aFlow.mTimeout = aTimeout;
  aFlow.mRetransmitAt = aWorld.mNow + aTimeout;
  Schedule(
    aWorld, aTimeout, [&aWorld, id = aFlow.mId] { CheckTimer(aWorld, id); });
}

/// Next sequence number that the caller would use after its request.
std::uint32_t
EndOfRequest(const CallerFlow& aFlow)
{
  return kFirstSequence + 1 + aFlow.mRequestBytes;
}

void
SendRequest(World& aWorld, CallerFlow& aFlow)
{
  const std::uint32_t last = std::min(
    aFlow.mRequestBytes, aFlow.mAcknowledged + kSegmentBytes * kWindowSegments);
  for (auto offset = aFlow.mAcknowledged; offset < last;
       offset += kSegmentBytes) {
    Send(aWorld,
         aFlow,
         SegmentKind::Data,
         kFirstSequence + 1 + offset,
         std::min(kSegmentBytes, last - offset));
  }
  ArmTimer(aWorld, aFlow, kDataTimeout);
}

void
Finish(World& aWorld, CallerFlow& aFlow)
{
  aFlow.mStage = CallerStage::Finishing;
  aFlow.mRetries = 0;
  Send(aWorld, aFlow, SegmentKind::Finish, EndOfRequest(aFlow), 0);
  ArmTimer(aWorld, aFlow, kDataTimeout);
}

void
EndFlow(World& aWorld, CallerFlow& aFlow, std::uint64_t& aCounter)
{
  ++aCounter;
  aFlow.mStage = CallerStage::Done;
  aWorld.mFlowOfKey.erase(aFlow.mKey);
  aWorld.mSilenced.erase(aFlow.mId);
  aWorld.mCallers.erase(aFlow.mId);
}

void
BreakFlow(World& aWorld, CallerFlow& aFlow, std::uint64_t& aCounter)
{
  const bool silenced = aWorld.mSilenced.contains(aFlow.mId);
  if (!silenced) {
    aWorld.mBrokenFlows.push_back(aFlow.mId);
  }
  Trace(aWorld, aFlow.mId, "broken");
  EndFlow(aWorld, aFlow, silenced ? aWorld.mTally.mBrokenSilenced : aCounter);
}

void
Retransmit(World& aWorld, CallerFlow& aFlow)
{
  switch (aFlow.mStage) {
    case CallerStage::Opening:
      if (++aFlow.mRetries > kOpeningRetries) {
        EndFlow(aWorld, aFlow, aWorld.mTally.mOpeningTimeouts);
        return;
      }
      Send(aWorld, aFlow, SegmentKind::Open, kFirstSequence, 0);
      break;
    case CallerStage::Established:
      if (aFlow.mAcknowledged < aFlow.mRequestBytes) {
        Send(
          aWorld,
          aFlow,
          SegmentKind::Data,
          kFirstSequence + 1 + aFlow.mAcknowledged,
          std::min(kSegmentBytes, aFlow.mRequestBytes - aFlow.mAcknowledged));
      }
      break;
    case CallerStage::Finishing:
      if (++aFlow.mRetries > kOpeningRetries) {
        EndFlow(aWorld, aFlow, aWorld.mTally.mCompleted);
        return;
      }
      Send(aWorld, aFlow, SegmentKind::Finish, EndOfRequest(aFlow), 0);
      break;
    case CallerStage::Done:
      return;
  }
  ArmTimer(
    aWorld, aFlow, std::min<Duration>(aFlow.mTimeout * 2, kLongestTimeout));
}

void
CheckTimer(World& aWorld, std::uint64_t aId)
{
  const auto found = aWorld.mCallers.find(aId);
  if (found == aWorld.mCallers.end()) {
    return;
  }
  auto& flow = found->second;
  if (flow.mRetransmitAt > aWorld.mNow) {
    return;
  }
  if (flow.mStage == CallerStage::Established &&
      aWorld.mNow - flow.mLastProgress > kHangTimeout) {
    BreakFlow(aWorld, flow, aWorld.mTally.mHung);
    return;
  }
  if (flow.mStage == CallerStage::Established && flow.mKind == FlowKind::Feed &&
      aWorld.mNow >= flow.mCloseAt) {
    Finish(aWorld, flow);
    return;
  }
  Retransmit(aWorld, flow);
}

void
OnAnswerData(World& aWorld, CallerFlow& aFlow, const FlowEvent& aEvent)
{
  if (aEvent.mSequence == aFlow.mNextExpected && aEvent.mPayloadBytes > 0) {
    aFlow.mNextExpected += aEvent.mPayloadBytes;
    aFlow.mAnswerBytes += aEvent.mPayloadBytes;
    aFlow.mLastProgress = aWorld.mNow;
  }
  const auto acknowledged = aEvent.mAcknowledged - kFirstSequence - 1;
  if (acknowledged <= aFlow.mRequestBytes &&
      acknowledged > aFlow.mAcknowledged) {
    aFlow.mAcknowledged = acknowledged;
    aFlow.mLastProgress = aWorld.mNow;
    if (acknowledged < aFlow.mRequestBytes) {
      SendRequest(aWorld, aFlow);
    }
  }
  const bool duplicate =
    aEvent.mPayloadBytes == 0 && aEvent.mSequence != aFlow.mNextExpected;
  if (aEvent.mPayloadBytes > 0 || duplicate) {
    Send(aWorld,
         aFlow,
         SegmentKind::Data,
         kFirstSequence + 1 + aFlow.mAcknowledged,
         0);
  }
  if (aFlow.mStage == CallerStage::Established &&
      aFlow.mKind != FlowKind::Feed && aFlow.mAnswerBytes >= kAnswerBytes) {
    Finish(aWorld, aFlow);
  }
}

void
OnReset(World& aWorld, CallerFlow& aFlow, const Packet& aPacket)
{
  // RFC 5961: a reset that does not carry the expected sequence is ignored.
  if (aFlow.mStage != CallerStage::Opening &&
      aPacket.mFlow.mSequence != aFlow.mNextExpected) {
    return;
  }
  if (aFlow.mStage == CallerStage::Opening ||
      aPacket.mVerdict == Verdict::NotRun) {
    aWorld.mToldNotRun.insert(aFlow.mId);
  }
  switch (aFlow.mStage) {
    case CallerStage::Opening:
      EndFlow(aWorld, aFlow, aWorld.mTally.mRefusedNotRun);
      return;
    case CallerStage::Finishing:
      EndFlow(aWorld, aFlow, aWorld.mTally.mCompleted);
      return;
    case CallerStage::Established:
    case CallerStage::Done:
      BreakFlow(aWorld, aFlow, aWorld.mTally.mBroken);
  }
}

} // namespace

void
OpenCallerFlow(World& aWorld)
{
  const auto& organisations = aWorld.mOrganisations;
  const auto& organisation = organisations[Pick(aWorld, organisations.size())];
  const auto& service = organisation.mServices.front();
  CallerFlow flow;
  flow.mId = aWorld.mNextFlow++;
  flow.mOrganisation = organisation.mId;
  flow.mHome = aWorld.mDataCentres[Pick(aWorld, aWorld.mDataCentres.size())];
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
  ++aWorld.mTally.mOpened;
  Send(aWorld, stored, SegmentKind::Open, kFirstSequence, 0);
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
    ++aWorld.mTally.mMisrouted;
    return;
  }
  const auto& event = aPacket.mFlow;
  switch (event.mKind) {
    case SegmentKind::Reset:
      OnReset(aWorld, flow, aPacket);
      return;
    case SegmentKind::OpenAnswer:
      if (flow.mStage == CallerStage::Opening) {
        flow.mStage = CallerStage::Established;
        flow.mNextExpected = event.mSequence + 1;
        flow.mLastProgress = aWorld.mNow;
        flow.mRetries = 0;
        ++aWorld.mTally.mEstablished;
        SendRequest(aWorld, flow);
      }
      return;
    case SegmentKind::Finish:
      if (flow.mStage == CallerStage::Finishing) {
        ++flow.mNextExpected;
        Send(aWorld, flow, SegmentKind::Data, EndOfRequest(flow) + 1, 0);
        EndFlow(aWorld, flow, aWorld.mTally.mCompleted);
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
