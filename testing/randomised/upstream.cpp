#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>

#include "world.hpp"

namespace randomised {
namespace {

using state::Direction;
using state::SegmentKind;

constexpr std::uint32_t kAnswerBytes = 500;
constexpr std::uint32_t kPushBytes = 60;
constexpr auto kPushInterval = std::chrono::seconds{ 5 };
constexpr auto kDataTimeout = std::chrono::milliseconds{ 200 };
constexpr auto kLongestTimeout = std::chrono::seconds{ 4 };
/// TCP gives up after 15 minutes or more.
constexpr std::uint32_t kRetries = 200;
constexpr auto kFinishedRetention = std::chrono::seconds{ 10 };
/// An upstream that is leaving receives no new flow after this bound.
constexpr auto kLeavingBound = std::chrono::seconds{ 2 };

void
Answer(World& aWorld,
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

void
SendUnacknowledged(World& aWorld, FakeUpstream& aUpstream, const FlowKey& aKey);

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
    if (++found->second.mRetries > kRetries) {
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
  Answer(aWorld,
         aUpstream,
         aKey,
         connection.mCallerFlow,
         SegmentKind::Data,
         connection.mFirstSent + connection.mAcknowledged,
         connection.mReceived,
         connection.mSent - connection.mAcknowledged);
  ArmTimer(aWorld,
           aUpstream,
           aKey,
           std::min<Duration>(connection.mTimeout * 2, kLongestTimeout));
}

void
Push(World& aWorld, FakeUpstream& aUpstream, const FlowKey& aKey)
{
  const auto found = aUpstream.mConnections.find(aKey);
  if (!aUpstream.mAlive || found == aUpstream.mConnections.end() ||
      found->second.mFinished) {
    return;
  }
  auto& connection = found->second;
  const bool feed = connection.mKind == FlowKind::Feed;
  connection.mSent += feed ? kPushBytes : kAnswerBytes;
  connection.mTimeout = kDataTimeout / 2;
  SendUnacknowledged(aWorld, aUpstream, aKey);
  if (feed) {
    Schedule(aWorld, kPushInterval, [&aWorld, &aUpstream, aKey] {
      Push(aWorld, aUpstream, aKey);
    });
  }
}

/// Runs the request once it has arrived whole.
void
Execute(World& aWorld, FakeUpstream& aUpstream, const FlowKey& aKey)
{
  auto& connection = aUpstream.mConnections.at(aKey);
  connection.mExecuted = true;
  if (++aWorld.mExecutions[connection.mCallerFlow] > 1) {
    ++aWorld.mTally.mRanTwice;
  }
  const auto run = std::chrono::milliseconds{ static_cast<std::int64_t>(
    5 + Uniform(aWorld) * 50) };
  Schedule(aWorld, run, [&aWorld, &aUpstream, aKey] {
    Push(aWorld, aUpstream, aKey);
  });
}

void
OnOpen(World& aWorld, FakeUpstream& aUpstream, const Packet& aPacket)
{
  const auto& event = aPacket.mFlow;
  auto found = aUpstream.mConnections.find(event.mKey);
  if (found == aUpstream.mConnections.end()) {
    if (aUpstream.mShedding) {
      Answer(aWorld,
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
    if (aWorld.mNow - kLeavingBound > aUpstream.mLeavingSince &&
        aUpstream.mLeavingSince != TimePoint::max()) {
      ++aWorld.mTally.mPlacedOnLeaving;
    }
    Connection connection;
    connection.mCallerFlow = aPacket.mCallerFlow;
    connection.mKind = caller->second.mKind;
    connection.mRequestBytes = caller->second.mRequestBytes;
    connection.mFirstSequence = event.mSequence + 1;
    connection.mReceived = event.mSequence + 1;
    connection.mFirstSent =
      static_cast<std::uint32_t>(state::CombineHashes(
        aPacket.mCallerFlow, aUpstream.mEndpoint.mAddress.mValue)) |
      1;
    found = aUpstream.mConnections.emplace(event.mKey, connection).first;
  }
  Answer(aWorld,
         aUpstream,
         event.mKey,
         found->second.mCallerFlow,
         SegmentKind::OpenAnswer,
         found->second.mFirstSent - 1,
         found->second.mFirstSequence,
         0);
}

void
OnData(World& aWorld,
       FakeUpstream& aUpstream,
       const FlowEvent& aEvent,
       Connection& aConnection)
{
  const auto acknowledged = aEvent.mAcknowledged - aConnection.mFirstSent;
  if (acknowledged > aConnection.mSent) {
    // RFC 9293: an acknowledgement of something never sent resets a connection
    // that is not established, and is ignored otherwise.
    if (!aConnection.mEstablished) {
      Answer(aWorld,
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
    Answer(aWorld,
           aUpstream,
           aEvent.mKey,
           aConnection.mCallerFlow,
           SegmentKind::Data,
           aConnection.mFirstSent + aConnection.mSent,
           aConnection.mReceived,
           0);
  }
  if (!aConnection.mExecuted &&
      aConnection.mReceived - aConnection.mFirstSequence >=
        aConnection.mRequestBytes) {
    Execute(aWorld, aUpstream, aEvent.mKey);
  }
}

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
  Answer(aWorld,
         aUpstream,
         aEvent.mKey,
         aConnection.mCallerFlow,
         SegmentKind::Finish,
         aConnection.mFirstSent + aConnection.mSent,
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
    ++aWorld.mTally.mMisrouted;
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
    Answer(aWorld,
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
