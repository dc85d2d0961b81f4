#include "upstream_set.hpp"

#include <algorithm>
#include <iterator>

namespace stand_ins {

namespace ctl = sassafrasknotctl;

namespace {

// Time for which a finished connection is kept to acknowledge a repeated FIN.
constexpr std::chrono::seconds kFinishedRetention{ 3 };

// Returns the upstream of a connection.
UpstreamServer&
ServerOf(UpstreamSet& aSet, const ConnectionKey& aKey)
{
  return aSet.mUpstreams.at(aKey.first.mAddress);
}

// Makes the answer to the request of a connection; mRuns is left at 0.
ctl::Answer
MakeAnswer(const UpstreamServer& aServer, const ServerConnection& aConnection)
{
  ctl::Answer answer;
  answer.mId = aConnection.mRequest->mId;
  answer.mOrganisation = aServer.mSettings.mOrganisation;
  answer.mService = aServer.mSettings.mService;
  answer.mUpstream = state::ToString(aServer.mSettings.mAddress);
  answer.mSequence = aConnection.mSequence;
  answer.mChecksum = aConnection.mChecksum;
  return answer;
}

// Returns a random time from half to one and a half times the mean service
// time, scaled by the factors of the request and of the warm-up.
state::Duration
DrawServiceTime(UpstreamSet& aSet,
                const UpstreamServer& aServer,
                const ServerConnection& aConnection,
                state::TimePoint aNow)
{
  const auto& settings = aServer.mSettings;
  double factor = aConnection.mRequest->mServiceTimeFactor *
                  std::uniform_real_distribution<>(0.5, 1.5)(aSet.mRandom);
  if (aNow < aServer.mStarted + settings.mWarmUp) {
    factor *= settings.mWarmUpFactor;
  }
  return std::chrono::duration_cast<state::Duration>(settings.mServiceTime *
                                                     factor);
}

// Takes a slot for a request, counts the run and sets when it completes.
void
StartRequest(UpstreamSet& aSet,
             UpstreamServer& aServer,
             ServerConnection& aConnection,
             state::TimePoint aNow)
{
  aConnection.mState = ConnectionState::Running;
  aConnection.mDue = aNow + DrawServiceTime(aSet, aServer, aConnection, aNow);
  ++aServer.mActiveRequests;
  ++aServer.mTotals.mRan;
  if (++aSet.mRuns[aConnection.mRequest->mId] == 2) {
    ++aServer.mTotals.mRanTwice;
  }
}

// Sends the next message of a feed and sets when the one after it is due.
void
SendFeedMessage(const UpstreamServer& aServer,
                ServerConnection& aConnection,
                state::TimePoint aNow)
{
  ctl::Send(
    aConnection.mTcp, ctl::Encode(MakeAnswer(aServer, aConnection)), aNow);
  ++aConnection.mSequence;
  aConnection.mDue = aNow + aConnection.mRequest->mPeriod;
}

// Sends the answer to a request that has run. If the caller's FIN arrived
// earlier, the connection is closed now, as it was kept open for the answer.
void
SendResult(const UpstreamSet& aSet,
           const UpstreamServer& aServer,
           ServerConnection& aConnection,
           state::TimePoint aNow)
{
  auto answer = MakeAnswer(aServer, aConnection);
  answer.mRuns = aSet.mRuns.at(answer.mId);
  ctl::Send(aConnection.mTcp, ctl::Encode(answer), aNow);
  aConnection.mState = ConnectionState::Answered;
  aConnection.mDue.reset();
  if (ctl::PeerFinished(aConnection.mTcp)) {
    ctl::Close(aConnection.mTcp, aNow);
  }
}

// Starts a feed, or runs a request if a slot is free and queues it otherwise. A
// misrouted request is counted and handled like any other.
void
HandleRequest(UpstreamSet& aSet,
              const ConnectionKey& aKey,
              ServerConnection& aConnection,
              state::TimePoint aNow)
{
  auto& server = ServerOf(aSet, aKey);
  const auto& request = *aConnection.mRequest;
  if (request.mOrganisation != server.mSettings.mOrganisation ||
      request.mService != server.mSettings.mService) {
    ++server.mTotals.mMisrouted;
  }
  if (request.mKind == ctl::FlowKind::Feed) {
    aConnection.mState = ConnectionState::Feeding;
    SendFeedMessage(server, aConnection, aNow);
  } else if (server.mActiveRequests < server.mSettings.mSlots) {
    StartRequest(aSet, server, aConnection, aNow);
  } else {
    aConnection.mState = ConnectionState::Queued;
    server.mQueue.push_back(aKey);
    server.mTotals.mMaxQueueLength = std::max<std::uint64_t>(
      server.mTotals.mMaxQueueLength, server.mQueue.size());
  }
}

// Reads the request line and the uploaded bytes, and handles the request once
// both are complete. Returns false if the line is not a valid request.
bool
ReadRequest(UpstreamSet& aSet,
            const ConnectionKey& aKey,
            ServerConnection& aConnection,
            state::TimePoint aNow)
{
  auto& received = aConnection.mTcp.mReceived;
  if (!aConnection.mRequest) {
    const auto line = ctl::PopLine(received);
    if (!line) {
      return true;
    }
    const auto request = ctl::DecodeRequest(*line);
    if (!request) {
      return false;
    }
    aConnection.mRequest = request.value();
  }
  if (received.size() >= aConnection.mRequest->mUploadBytes) {
    aConnection.mChecksum = ctl::Checksum(received);
    received.clear();
    HandleRequest(aSet, aKey, aConnection, aNow);
  }
  return true;
}

void
UpdateConnection(UpstreamSet& aSet,
                 const ConnectionKey& aKey,
                 ServerConnection& aConnection,
                 state::TimePoint aNow);

// Starts queued requests while slots are free. Requests whose connection has
// ended are skipped.
void
StartQueuedRequests(UpstreamSet& aSet,
                    UpstreamServer& aServer,
                    state::TimePoint aNow)
{
  while (aServer.mActiveRequests < aServer.mSettings.mSlots &&
         !aServer.mQueue.empty()) {
    const auto key = aServer.mQueue.front();
    aServer.mQueue.pop_front();
    const auto found = aSet.mConnections.find(key);
    if (found != aSet.mConnections.end() &&
        found->second.mState == ConnectionState::Queued &&
        !found->second.mRemoveAt) {
      StartRequest(aSet, aServer, found->second, aNow);
      UpdateConnection(aSet, key, found->second, aNow);
    }
  }
}

// Frees the slot of a request and starts queued requests.
void
ReleaseSlot(UpstreamSet& aSet, UpstreamServer& aServer, state::TimePoint aNow)
{
  --aServer.mActiveRequests;
  StartQueuedRequests(aSet, aServer, aNow);
}

// Moves the packets of a connection to the output of the set, or discards them
// if the upstream is down. If the connection has just ended, counts that, frees
// the slot of its request and sets when the connection is removed. Schedules
// the connection's next timer. Called after each change of a connection.
void
UpdateConnection(UpstreamSet& aSet,
                 const ConnectionKey& aKey,
                 ServerConnection& aConnection,
                 state::TimePoint aNow)
{
  auto& tcp = aConnection.mTcp;
  if (ServerOf(aSet, aKey).mSettings.mMode != UpstreamMode::Down) {
    std::ranges::move(tcp.mOutput, std::back_inserter(aSet.mOutput));
  }
  tcp.mOutput.clear();
  if (tcp.mState == ctl::TcpState::Ended && !aConnection.mRemoveAt) {
    const bool finished = tcp.mEndReason == ctl::TcpEndReason::Finished;
    aConnection.mRemoveAt = finished ? aNow + kFinishedRetention : aNow;
    auto& server = ServerOf(aSet, aKey);
    --server.mOpenConnections;
    server.mTotals.mResets += finished ? 0 : 1;
    if (aConnection.mState == ConnectionState::Running) {
      ReleaseSlot(aSet, server, aNow);
    }
  }
  auto wake = aConnection.mRemoveAt ? aConnection.mRemoveAt : tcp.mDeadline;
  if (!aConnection.mRemoveAt && aConnection.mDue) {
    wake = wake ? std::min(*wake, *aConnection.mDue) : aConnection.mDue;
  }
  ScheduleEarlier(aSet.mTimers, aKey, aConnection, wake);
}

// Accepts a connection, or refuses it with a reset if the upstream sheds load
// or has reached its maximum of open connections. An ended connection between
// the same endpoints is replaced.
void
OnNewConnection(UpstreamSet& aSet,
                UpstreamServer& aServer,
                const ConnectionKey& aKey,
                const protocol::PacketHeader& aSyn,
                state::TimePoint aNow)
{
  if (aServer.mSettings.mMode == UpstreamMode::Shedding ||
      aServer.mOpenConnections >= aServer.mSettings.mMaxConnections) {
    ++aServer.mTotals.mRefused;
    aSet.mOutput.push_back(*ctl::BuildReset(aSyn, 0));
    return;
  }
  ++aServer.mOpenConnections;
  ++aServer.mTotals.mAccepted;
  aServer.mTotals.mLastAccepted = aNow;
  ServerConnection connection;
  connection.mTcp = ctl::Accept(
    aSyn, aSet.mTcp, static_cast<std::uint32_t>(aSet.mRandom()), aNow);
  auto& entry = aSet.mConnections[aKey];
  entry = std::move(connection);
  UpdateConnection(aSet, aKey, entry, aNow);
}

// Responds with a reset to a segment of no known connection, unless the segment
// is a reset.
void
OnUnknownSegment(UpstreamSet& aSet,
                 UpstreamServer& aServer,
                 const protocol::PacketView& aPacket)
{
  if (auto reset = ctl::BuildReset(aPacket.mHeader, aPacket.mPayload.size())) {
    ++aServer.mTotals.mUnknownSegments;
    aSet.mOutput.push_back(std::move(*reset));
  }
}

// Handles a packet of a known connection: reads the request, and closes the
// connection after the caller's FIN unless an answer is still to be sent.
void
OnConnectionPacket(UpstreamSet& aSet,
                   const ConnectionKey& aKey,
                   ServerConnection& aConnection,
                   const protocol::PacketView& aPacket,
                   state::TimePoint aNow)
{
  auto& tcp = aConnection.mTcp;
  ctl::OnSegment(tcp, aPacket, aNow);
  if (aConnection.mState == ConnectionState::Reading &&
      !ReadRequest(aSet, aKey, aConnection, aNow)) {
    ctl::Abort(tcp);
  }
  const bool isRequestPending =
    aConnection.mState == ConnectionState::Running ||
    aConnection.mState == ConnectionState::Queued;
  if (ctl::PeerFinished(tcp) && !isRequestPending) {
    aConnection.mDue.reset();
    ctl::Close(tcp, aNow);
  }
  UpdateConnection(aSet, aKey, aConnection, aNow);
}

// Sends the feed message that is due, or the answer to the request that
// completes, whose slot becomes free.
void
HandleDue(UpstreamSet& aSet,
          const ConnectionKey& aKey,
          ServerConnection& aConnection,
          state::TimePoint aNow)
{
  auto& server = ServerOf(aSet, aKey);
  if (aConnection.mState == ConnectionState::Feeding) {
    SendFeedMessage(server, aConnection, aNow);
  } else if (aConnection.mState == ConnectionState::Running) {
    SendResult(aSet, server, aConnection, aNow);
    ReleaseSlot(aSet, server, aNow);
  }
}

} // namespace

void
Configure(UpstreamSet& aSet,
          const std::vector<UpstreamSettings>& aSettings,
          state::TimePoint aNow)
{
  for (auto& [address, server] : aSet.mUpstreams) {
    server.mSettings.mMode = UpstreamMode::Down;
  }
  for (const auto& settings : aSettings) {
    const auto [entry, added] = aSet.mUpstreams.try_emplace(settings.mAddress);
    if (added) {
      entry->second.mStarted = aNow;
    }
    entry->second.mSettings = settings;
  }
}

void
OnDatagram(UpstreamSet& aSet,
           std::span<const std::uint8_t> aBytes,
           state::TimePoint aNow)
{
  const auto packet = protocol::ParsePacket(aBytes);
  if (!packet) {
    return;
  }
  const auto& header = packet.value().mHeader;
  const auto server = aSet.mUpstreams.find(header.mDestination.mAddress);
  if (server == aSet.mUpstreams.end() ||
      server->second.mSettings.mMode == UpstreamMode::Down) {
    return;
  }
  const ConnectionKey key(header.mDestination, header.mSource);
  const auto found = aSet.mConnections.find(key);
  const bool isOpeningPacket = header.mSyn && !header.mAck;
  const bool isKnown =
    found != aSet.mConnections.end() &&
    !(isOpeningPacket && found->second.mRemoveAt.has_value());
  if (isKnown) {
    OnConnectionPacket(aSet, key, found->second, packet.value(), aNow);
  } else if (isOpeningPacket) {
    OnNewConnection(aSet, server->second, key, header, aNow);
  } else {
    OnUnknownSegment(aSet, server->second, packet.value());
  }
}

void
OnTick(UpstreamSet& aSet, state::TimePoint aNow)
{
  RunDue(aSet.mTimers,
         aSet.mConnections,
         aNow,
         [&](const ConnectionKey& aKey, ServerConnection& aConnection) {
           ctl::OnTimer(aConnection.mTcp, aNow);
           if (aConnection.mDue && *aConnection.mDue <= aNow) {
             HandleDue(aSet, aKey, aConnection, aNow);
           }
           UpdateConnection(aSet, aKey, aConnection, aNow);
         });
}

} // namespace stand_ins
