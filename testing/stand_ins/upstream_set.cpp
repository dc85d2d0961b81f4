#include "upstream_set.hpp"

#include <algorithm>
#include <iterator>

namespace stand_ins {

namespace ctl = sassafrasknotctl;

namespace {

// A finished connection still acknowledges a repeated FIN for this long.
constexpr std::chrono::seconds kLinger{ 3 };

UpstreamServer&
ServerOf(UpstreamSet& aSet, const ConnectionKey& aKey)
{
  return aSet.mUpstreams.at(aKey.first.mAddress);
}

ctl::Answer
AnswerOf(const UpstreamServer& aServer, const ServerConnection& aConnection)
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

state::Duration
ServiceTime(UpstreamSet& aSet,
            const UpstreamServer& aServer,
            const ServerConnection& aConnection,
            state::TimePoint aNow)
{
  const auto& settings = aServer.mSettings;
  double factor = aConnection.mRequest->mServiceTimeFactor *
                  std::uniform_real_distribution<>(0.5, 1.5)(aSet.mRandom);
  if (aNow < aServer.mStarted + settings.mCold) {
    factor *= settings.mColdFactor;
  }
  return std::chrono::duration_cast<state::Duration>(settings.mServiceTime *
                                                     factor);
}

void
StartRequest(UpstreamSet& aSet,
             UpstreamServer& aServer,
             ServerConnection& aConnection,
             state::TimePoint aNow)
{
  aConnection.mStage = Stage::Running;
  aConnection.mDue = aNow + ServiceTime(aSet, aServer, aConnection, aNow);
  ++aServer.mRunning;
  ++aServer.mTotals.mRan;
  if (++aSet.mRuns[aConnection.mRequest->mId] == 2) {
    ++aServer.mTotals.mRanTwice;
  }
}

void
SendFeedMessage(const UpstreamServer& aServer,
                ServerConnection& aConnection,
                state::TimePoint aNow)
{
  ctl::Send(
    aConnection.mTcp, ctl::Encode(AnswerOf(aServer, aConnection)), aNow);
  ++aConnection.mSequence;
  aConnection.mDue = aNow + aConnection.mRequest->mPeriod;
}

void
SendResult(const UpstreamSet& aSet,
           const UpstreamServer& aServer,
           ServerConnection& aConnection,
           state::TimePoint aNow)
{
  auto answer = AnswerOf(aServer, aConnection);
  answer.mRuns = aSet.mRuns.at(answer.mId);
  ctl::Send(aConnection.mTcp, ctl::Encode(answer), aNow);
  aConnection.mStage = Stage::Answered;
  aConnection.mDue.reset();
  if (ctl::PeerFinished(aConnection.mTcp)) {
    ctl::Close(aConnection.mTcp, aNow);
  }
}

void
BeginRequest(UpstreamSet& aSet,
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
    aConnection.mStage = Stage::Feeding;
    SendFeedMessage(server, aConnection, aNow);
  } else if (server.mRunning < server.mSettings.mSlots) {
    StartRequest(aSet, server, aConnection, aNow);
  } else {
    aConnection.mStage = Stage::Waiting;
    server.mWaiting.push_back(aKey);
    server.mTotals.mLongestQueue = std::max<std::uint64_t>(
      server.mTotals.mLongestQueue, server.mWaiting.size());
  }
}

// Returns false if the connection sent something that is no request.
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
    BeginRequest(aSet, aKey, aConnection, aNow);
  }
  return true;
}

void
Collect(UpstreamSet& aSet,
        const ConnectionKey& aKey,
        ServerConnection& aConnection,
        state::TimePoint aNow);

void
ServeWaiting(UpstreamSet& aSet, UpstreamServer& aServer, state::TimePoint aNow)
{
  while (aServer.mRunning < aServer.mSettings.mSlots &&
         !aServer.mWaiting.empty()) {
    const auto key = aServer.mWaiting.front();
    aServer.mWaiting.pop_front();
    const auto found = aSet.mConnections.find(key);
    if (found != aSet.mConnections.end() &&
        found->second.mStage == Stage::Waiting && !found->second.mRemoveAt) {
      StartRequest(aSet, aServer, found->second, aNow);
      Collect(aSet, key, found->second, aNow);
    }
  }
}

void
EndRunning(UpstreamSet& aSet, UpstreamServer& aServer, state::TimePoint aNow)
{
  --aServer.mRunning;
  ServeWaiting(aSet, aServer, aNow);
}

// Moves the output on, notes an end and sets the timer.
void
Collect(UpstreamSet& aSet,
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
    aConnection.mRemoveAt = finished ? aNow + kLinger : aNow;
    auto& server = ServerOf(aSet, aKey);
    --server.mOpen;
    server.mTotals.mReset += finished ? 0 : 1;
    if (aConnection.mStage == Stage::Running) {
      EndRunning(aSet, server, aNow);
    }
  }
  auto next = aConnection.mRemoveAt ? aConnection.mRemoveAt : tcp.mDeadline;
  if (!aConnection.mRemoveAt && aConnection.mDue) {
    next = next ? std::min(*next, *aConnection.mDue) : aConnection.mDue;
  }
  ScheduleEarlier(aSet.mTimers, aKey, aConnection, next);
}

void
OnNewConnection(UpstreamSet& aSet,
                UpstreamServer& aServer,
                const ConnectionKey& aKey,
                const protocol::PacketHeader& aSyn,
                state::TimePoint aNow)
{
  if (aServer.mSettings.mMode == UpstreamMode::Shedding ||
      aServer.mOpen >= aServer.mSettings.mConnections) {
    ++aServer.mTotals.mRefused;
    aSet.mOutput.push_back(*ctl::BuildReset(aSyn, 0));
    return;
  }
  ++aServer.mOpen;
  ++aServer.mTotals.mAccepted;
  aServer.mTotals.mLastAccepted = aNow;
  ServerConnection connection;
  connection.mTcp = ctl::Accept(
    aSyn, aSet.mTcp, static_cast<std::uint32_t>(aSet.mRandom()), aNow);
  auto& entry = aSet.mConnections[aKey];
  entry = std::move(connection);
  Collect(aSet, aKey, entry, aNow);
}

void
OnUnknown(UpstreamSet& aSet,
          UpstreamServer& aServer,
          const protocol::PacketView& aPacket)
{
  if (auto reset = ctl::BuildReset(aPacket.mHeader, aPacket.mPayload.size())) {
    ++aServer.mTotals.mUnknown;
    aSet.mOutput.push_back(std::move(*reset));
  }
}

void
OnKnown(UpstreamSet& aSet,
        const ConnectionKey& aKey,
        ServerConnection& aConnection,
        const protocol::PacketView& aPacket,
        state::TimePoint aNow)
{
  auto& tcp = aConnection.mTcp;
  ctl::OnSegment(tcp, aPacket, aNow);
  if (aConnection.mStage == Stage::Reading &&
      !ReadRequest(aSet, aKey, aConnection, aNow)) {
    ctl::Abort(tcp);
  }
  const bool busy = aConnection.mStage == Stage::Running ||
                    aConnection.mStage == Stage::Waiting;
  if (ctl::PeerFinished(tcp) && !busy) {
    aConnection.mDue.reset();
    ctl::Close(tcp, aNow);
  }
  Collect(aSet, aKey, aConnection, aNow);
}

void
OnDue(UpstreamSet& aSet,
      const ConnectionKey& aKey,
      ServerConnection& aConnection,
      state::TimePoint aNow)
{
  auto& server = ServerOf(aSet, aKey);
  if (aConnection.mStage == Stage::Feeding) {
    SendFeedMessage(server, aConnection, aNow);
  } else if (aConnection.mStage == Stage::Running) {
    SendResult(aSet, server, aConnection, aNow);
    EndRunning(aSet, server, aNow);
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
  const bool opens = header.mSyn && !header.mAck;
  const bool known = found != aSet.mConnections.end() &&
                     !(opens && found->second.mRemoveAt.has_value());
  if (known) {
    OnKnown(aSet, key, found->second, packet.value(), aNow);
  } else if (opens) {
    OnNewConnection(aSet, server->second, key, header, aNow);
  } else {
    OnUnknown(aSet, server->second, packet.value());
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
             OnDue(aSet, aKey, aConnection, aNow);
           }
           Collect(aSet, aKey, aConnection, aNow);
         });
}

} // namespace stand_ins
