#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>

#include "world.hpp"

namespace randomised {
namespace {

using state::Direction;
using state::SegmentKind;

/// Size of a complete answer, as the callers expect it.
constexpr std::uint32_t kAnswerBytes = 500;
/// Size and interval of the messages of a feed.
constexpr std::uint32_t kFeedMessageBytes = 60;
constexpr auto kFeedMessageInterval = std::chrono::seconds{ 5 };
constexpr auto kDataTimeout = std::chrono::milliseconds{ 200 };
constexpr auto kMaxTimeout = std::chrono::seconds{ 4 };
/// Retransmissions without an acknowledgement before an upstream drops a
/// connection: about 13 minutes at kMaxTimeout. TCP gives up after 15 minutes
/// or more.
constexpr std::uint32_t kMaxRetries = 200;
/// How long a finished connection is kept to answer retransmitted segments.
constexpr auto kFinishedRetention = std::chrono::seconds{ 10 };
/// Unless paused, each instance has applied a change after this time, so that
/// an upstream that left earlier receives no new flow.
constexpr auto kMaxLeavingDelay = std::chrono::seconds{ 2 };

/// Sends a segment of aPayload bytes to the caller through the fabric.
void
SendSegment(World& aWorld,
            const FakeUpstream& aUpstream,
            const FlowKey& aKey,
            std::uint64_t aCallerFlow,
            SegmentKind aKind,
            std::uint32_t aSequence,
            std::uint32_t aAcknowledged,
            std::uint32_t aPayload)
{
  Packet packet;
  packet.mCallerFlow = aCallerFlow;
  packet.mFlow = { aKey,         Direction::FromUpstream,
                   aKind,        aUpstream.mEndpoint,
                   aPayload,     aSequence,
                   aAcknowledged };
  packet.mFlow.mKey.mService = {};
  packet.mOrigin = aUpstream.mDataCentre;
  SendToFabric(aWorld, packet);
}

/// Sends all unacknowledged bytes in one segment and sets the timer.
void
SendUnacknowledged(World& aWorld, FakeUpstream& aUpstream, const FlowKey& aKey);

/// Sets the connection's retransmission timer in place of an earlier one.
void
ArmTimer(World& aWorld,
         FakeUpstream& aUpstream,
         const FlowKey& aKey,
         Duration aTimeout)
{
  auto& connection = aUpstream.mConnections.at(aKey);
  connection.mTimeout = aTimeout;
  connection.mRetransmitAt = aWorld.mNow + aTimeout;
  Schedule(aWorld, aTimeout, [&aWorld, &aUpstream, aKey] {
    const auto found = aUpstream.mConnections.find(aKey);
    if (!aUpstream.mAlive || found == aUpstream.mConnections.end() ||
        found->second.mRetransmitAt > aWorld.mNow ||
        found->second.mAcknowledged == found->second.mSent) {
      return;
    }
    if (++found->second.mRetries > kMaxRetries) {
      aUpstream.mConnections.erase(found);
      return;
    }
    SendUnacknowledged(aWorld, aUpstream, aKey);
  });
}

void
SendUnacknowledged(World& aWorld, FakeUpstream& aUpstream, const FlowKey& aKey)
{
  const auto& connection = aUpstream.mConnections.at(aKey);
  SendSegment(aWorld,
              aUpstream,
              aKey,
              connection.mCallerFlow,
              SegmentKind::Data,
              connection.mInitialSendSequence + connection.mAcknowledged,
              connection.mReceived,
              connection.mSent - connection.mAcknowledged);
  ArmTimer(aWorld,
           aUpstream,
           aKey,
           std::min<Duration>(connection.mTimeout * 2, kMaxTimeout));
}

/// Sends the answer of a request, or the next message of a feed and schedules
/// the one after it.
void
SendNextBytes(World& aWorld, FakeUpstream& aUpstream, const FlowKey& aKey)
{
  const auto found = aUpstream.mConnections.find(aKey);
  if (!aUpstream.mAlive || found == aUpstream.mConnections.end() ||
      found->second.mFinished) {
    return;
  }
  auto& connection = found->second;
  const bool feed = connection.mKind == FlowKind::Feed;
  connection.mSent += feed ? kFeedMessageBytes : kAnswerBytes;
  connection.mTimeout = kDataTimeout / 2; // Doubled by SendUnacknowledged.
  SendUnacknowledged(aWorld, aUpstream, aKey);
  if (feed) {
    Schedule(aWorld, kFeedMessageInterval, [&aWorld, &aUpstream, aKey] {
      SendNextBytes(aWorld, aUpstream, aKey);
    });
  }
}

/// Executes a request that has arrived completely, and answers it after 5 to
/// 55 ms.
void
Execute(World& aWorld, FakeUpstream& aUpstream, const FlowKey& aKey)
{
  auto& connection = aUpstream.mConnections.at(aKey);
  connection.mExecuted = true;
  if (++aWorld.mExecutions[connection.mCallerFlow] > 1) {
    ++aWorld.mTotals.mRanTwice;
  }
  const auto run = std::chrono::milliseconds{ static_cast<std::int64_t>(
    5 + Uniform(aWorld) * 50) };
  Schedule(aWorld, run, [&aWorld, &aUpstream, aKey] {
    SendNextBytes(aWorld, aUpstream, aKey);
  });
}

/// Handles an opening packet: accepts the connection, or refuses it while
/// shedding. A repeated one is answered again.
void
OnOpen(World& aWorld, FakeUpstream& aUpstream, const Packet& aPacket)
{
  const auto& event = aPacket.mFlow;
  auto found = aUpstream.mConnections.find(event.mKey);
  if (found == aUpstream.mConnections.end()) {
    if (aUpstream.mShedding) {
      SendSegment(aWorld,
                  aUpstream,
                  event.mKey,
                  aPacket.mCallerFlow,
                  SegmentKind::Reset,
                  0,
                  event.mSequence + 1,
                  0);
      return;
    }
    const auto caller = aWorld.mCallers.find(aPacket.mCallerFlow);
    if (caller == aWorld.mCallers.end()) {
      return;
    }
    if (aWorld.mNow - kMaxLeavingDelay > aUpstream.mLeavingSince &&
        aUpstream.mLeavingSince != TimePoint::max()) {
      ++aWorld.mTotals.mPlacedOnLeaving;
    }
    Connection connection;
    connection.mCallerFlow = aPacket.mCallerFlow;
    connection.mKind = caller->second.mKind;
    connection.mRequestBytes = caller->second.mRequestBytes;
    connection.mInitialReceiveSequence = event.mSequence + 1;
    connection.mReceived = event.mSequence + 1;
    connection.mInitialSendSequence =
      static_cast<std::uint32_t>(state::CombineHashes(
        aPacket.mCallerFlow, aUpstream.mEndpoint.mAddress.mValue)) |
      1;
    found = aUpstream.mConnections.emplace(event.mKey, connection).first;
  }
  SendSegment(aWorld,
              aUpstream,
              event.mKey,
              found->second.mCallerFlow,
              SegmentKind::OpenAnswer,
              found->second.mInitialSendSequence - 1,
              found->second.mInitialReceiveSequence,
              0);
}

/// Handles a data segment: checks its acknowledgement, accepts its bytes if
/// they are in order and executes a complete request.
void
OnData(World& aWorld,
       FakeUpstream& aUpstream,
       const FlowEvent& aEvent,
       Connection& aConnection)
{
  const auto acknowledged =
    aEvent.mAcknowledged - aConnection.mInitialSendSequence;
  if (acknowledged > aConnection.mSent) {
    // RFC 9293: an acknowledgement of bytes that were not sent resets a
    // connection that is not established, and is ignored otherwise.
    if (!aConnection.mEstablished) {
      SendSegment(aWorld,
                  aUpstream,
                  aEvent.mKey,
                  aConnection.mCallerFlow,
                  SegmentKind::Reset,
                  aEvent.mAcknowledged,
                  0,
                  0);
    }
    return;
  }
  aConnection.mEstablished = true;
  if (acknowledged <= aConnection.mSent &&
      acknowledged > aConnection.mAcknowledged) {
    aConnection.mAcknowledged = acknowledged;
    aConnection.mRetries = 0;
  }
  const bool inOrder = aEvent.mSequence == aConnection.mReceived;
  if (inOrder) {
    aConnection.mReceived += aEvent.mPayloadBytes;
  }
  if (aEvent.mPayloadBytes > 0 || !inOrder) {
    SendSegment(aWorld,
                aUpstream,
                aEvent.mKey,
                aConnection.mCallerFlow,
                SegmentKind::Data,
                aConnection.mInitialSendSequence + aConnection.mSent,
                aConnection.mReceived,
                0);
  }
  if (!aConnection.mExecuted &&
      aConnection.mReceived - aConnection.mInitialReceiveSequence >=
        aConnection.mRequestBytes) {
    Execute(aWorld, aUpstream, aEvent.mKey);
  }
}

/// Handles a FIN and answers it with a FIN, also if it is repeated.
void
OnFinish(World& aWorld,
         FakeUpstream& aUpstream,
         const FlowEvent& aEvent,
         Connection& aConnection)
{
  if (!aConnection.mFinished) {
    aConnection.mFinished = true;
    aConnection.mReceived = aEvent.mSequence + 1;
    Schedule(aWorld, kFinishedRetention, [&aUpstream, key = aEvent.mKey] {
      aUpstream.mConnections.erase(key);
    });
  }
  SendSegment(aWorld,
              aUpstream,
              aEvent.mKey,
              aConnection.mCallerFlow,
              SegmentKind::Finish,
              aConnection.mInitialSendSequence + aConnection.mSent,
              aConnection.mReceived,
              0);
}

} // namespace

void
DeliverToUpstream(World& aWorld,
                  const Endpoint& aUpstream,
                  const Packet& aPacket)
{
  const auto target = aWorld.mUpstreams.find(aUpstream);
  if (target == aWorld.mUpstreams.end() || !target->second.mAlive) {
    return;
  }
  auto& upstream = target->second;
  const auto caller = aWorld.mCallers.find(aPacket.mCallerFlow);
  if (caller != aWorld.mCallers.end() &&
      caller->second.mOrganisation != upstream.mOrganisation) {
    ++aWorld.mTotals.mMisrouted;
    return;
  }
  const auto& event = aPacket.mFlow;
  if (event.mKind == SegmentKind::Open) {
    OnOpen(aWorld, upstream, aPacket);
    return;
  }
  const auto found = upstream.mConnections.find(event.mKey);
  if (event.mKind == SegmentKind::Reset) {
    if (found != upstream.mConnections.end()) {
      upstream.mConnections.erase(found);
    }
    return;
  }
  if (found == upstream.mConnections.end()) {
    SendSegment(aWorld,
                upstream,
                event.mKey,
                aPacket.mCallerFlow,
                SegmentKind::Reset,
                event.mAcknowledged,
                0,
                0);
    return;
  }
  if (event.mKind == SegmentKind::Finish) {
    OnFinish(aWorld, upstream, event, found->second);
    return;
  }
  OnData(aWorld, upstream, event, found->second);
}

} // namespace randomised
