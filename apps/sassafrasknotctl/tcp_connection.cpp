#include "tcp_connection.hpp"

#include <algorithm>
#include <utility>

#include "tcp_segments.hpp"

namespace sassafrasknotctl {

namespace {

// Ends the connection and stops its timer.
void
End(TcpConnection& aConnection, TcpEndReason aReason)
{
  aConnection.mState = TcpState::Ended;
  aConnection.mEndReason = aReason;
  aConnection.mDeadline.reset();
}

// Removes payload before a position from the send buffer and sets
// mUnacknowledged to the position.
void
RemoveAcknowledged(TcpConnection& aConnection, std::uint64_t aPosition)
{
  const auto first = std::max<std::uint64_t>(aConnection.mUnacknowledged, 1);
  if (aPosition > first) {
    aConnection.mSendBuffer.erase(
      0,
      std::min<std::uint64_t>(aPosition - first,
                              aConnection.mSendBuffer.size()));
  }
  aConnection.mUnacknowledged = aPosition;
}

// Handles the acknowledgement number of a segment. New data acknowledged below
// mRecover retransmits the next segment; the third duplicate acknowledgement
// starts a recovery. Returns false if the segment acknowledges something that
// was never sent.
bool
HandleAcknowledgement(TcpConnection& aConnection,
                      const protocol::PacketView& aPacket,
                      state::TimePoint aNow)
{
  const auto distance = static_cast<std::int32_t>(
    aPacket.mHeader.mAcknowledgementNumber -
    SequenceAt(aConnection, aConnection.mUnacknowledged));
  const auto outstanding = aConnection.mSendNext - aConnection.mUnacknowledged;
  if (distance > 0 && static_cast<std::uint64_t>(distance) > outstanding) {
    return false;
  }
  if (distance > 0) {
    RemoveAcknowledged(aConnection, aConnection.mUnacknowledged + distance);
    aConnection.mRetransmissions = 0;
    aConnection.mDuplicateAcks = 0;
    aConnection.mTimeout = aConnection.mSettings.mInitialTimeout;
    aConnection.mDeadline.reset();
    if (aConnection.mUnacknowledged < aConnection.mSendNext) {
      StartTimer(aConnection, aNow);
      if (aConnection.mUnacknowledged < aConnection.mRecover) {
        EmitSegment(aConnection, aConnection.mUnacknowledged);
      }
    }
  } else if (distance == 0 && outstanding > 0 && aPacket.mPayload.empty() &&
             !aPacket.mHeader.mFin && ++aConnection.mDuplicateAcks == 3) {
    aConnection.mRecover = aConnection.mSendNext;
    EmitSegment(aConnection, aConnection.mUnacknowledged);
  }
  return true;
}

// Adds the payload and the FIN of a segment. Payload ahead of a gap is stored
// until the gap is filled.
void
HandlePayload(TcpConnection& aConnection, const protocol::PacketView& aPacket)
{
  const auto distance =
    DistanceFromExpected(aConnection, aPacket.mHeader.mSequence);
  const auto length = static_cast<std::int64_t>(aPacket.mPayload.size());
  if (aPacket.mHeader.mFin && distance + length >= 0) {
    aConnection.mPeerFin = aConnection.mReceiveNext + distance + length;
  }
  if (distance + length > 0 && length > 0) {
    const auto skipped = distance < 0 ? -distance : 0;
    std::string bytes(aPacket.mPayload.begin() + skipped,
                      aPacket.mPayload.end());
    auto& early =
      aConnection.mOutOfOrder[aConnection.mReceiveNext + distance + skipped];
    if (bytes.size() > early.size()) {
      early = std::move(bytes);
    }
  }
  while (!aConnection.mOutOfOrder.empty() &&
         aConnection.mOutOfOrder.begin()->first <= aConnection.mReceiveNext) {
    const auto entry =
      aConnection.mOutOfOrder.extract(aConnection.mOutOfOrder.begin());
    const auto end = entry.key() + entry.mapped().size();
    if (end > aConnection.mReceiveNext) {
      aConnection.mReceived.append(entry.mapped(),
                                   aConnection.mReceiveNext - entry.key());
      aConnection.mReceiveNext = end;
    }
  }
  if (aConnection.mPeerFin == aConnection.mReceiveNext) {
    ++aConnection.mReceiveNext;
  }
}

// Handles a reset as in RFC 5961: one with the expected sequence number ends
// the connection, one that is less than 65535 bytes ahead is answered with an
// acknowledgement, and the rest are ignored. In SynSent a reset counts only if
// it acknowledges the SYN.
void
OnReset(TcpConnection& aConnection, const protocol::PacketHeader& aHeader)
{
  if (aConnection.mState == TcpState::Ended) {
    return;
  }
  if (aConnection.mState == TcpState::SynSent) {
    if (aHeader.mAck &&
        aHeader.mAcknowledgementNumber == SequenceAt(aConnection, 1)) {
      End(aConnection, TcpEndReason::Refused);
    }
    return;
  }
  const auto distance = DistanceFromExpected(aConnection, aHeader.mSequence);
  if (distance == 0) {
    End(aConnection, TcpEndReason::Reset);
  } else if (distance > 0 && distance < 65535) {
    Acknowledge(aConnection);
  }
}

// Handles a segment in SynSent: SYN and ACK establish the connection; a wrong
// acknowledgement number is answered with a reset.
void
OnSynResponse(TcpConnection& aConnection,
              const protocol::PacketHeader& aHeader,
              state::TimePoint aNow)
{
  if (!aHeader.mAck ||
      aHeader.mAcknowledgementNumber != SequenceAt(aConnection, 1)) {
    if (auto reset = BuildReset(aHeader, 0); aHeader.mAck && reset) {
      aConnection.mOutput.push_back(std::move(*reset));
    }
    return;
  }
  if (!aHeader.mSyn) {
    return;
  }
  aConnection.mInitialReceiveSequence = aHeader.mSequence;
  aConnection.mReceiveNext = 1;
  aConnection.mState = TcpState::Established;
  aConnection.mUnacknowledged = 1;
  aConnection.mRetransmissions = 0;
  aConnection.mTimeout = aConnection.mSettings.mInitialTimeout;
  aConnection.mDeadline.reset();
  Acknowledge(aConnection);
  Transmit(aConnection, aNow);
}

// Handles a SYN after SynSent: a retransmission of the SYN that opened the
// connection is answered with SYN and ACK again, any other with an
// acknowledgement (RFC 5961).
void
OnSyn(TcpConnection& aConnection, const protocol::PacketHeader& aHeader)
{
  const bool retransmitted =
    aConnection.mState == TcpState::SynReceived &&
    aHeader.mSequence == aConnection.mInitialReceiveSequence;
  if (retransmitted) {
    EmitSegment(aConnection, 0);
  } else {
    Acknowledge(aConnection);
  }
}

bool
FinAcknowledged(const TcpConnection& aConnection)
{
  return aConnection.mClosed &&
         aConnection.mUnacknowledged == FinPosition(aConnection) + 1;
}

} // namespace

TcpConnection
Connect(const state::Endpoint& aLocal,
        const state::Endpoint& aRemote,
        const TcpSettings& aSettings,
        std::uint32_t aInitialSequence,
        state::TimePoint aNow)
{
  TcpConnection connection;
  connection.mLocal = aLocal;
  connection.mRemote = aRemote;
  connection.mSettings = aSettings;
  connection.mInitialSendSequence = aInitialSequence;
  connection.mTimeout = aSettings.mInitialTimeout;
  connection.mSendNext = EmitSegment(connection, 0);
  StartTimer(connection, aNow);
  return connection;
}

TcpConnection
Accept(const protocol::PacketHeader& aSyn,
       const TcpSettings& aSettings,
       std::uint32_t aInitialSequence,
       state::TimePoint aNow)
{
  TcpConnection connection;
  connection.mLocal = aSyn.mDestination;
  connection.mRemote = aSyn.mSource;
  connection.mSettings = aSettings;
  connection.mState = TcpState::SynReceived;
  connection.mInitialSendSequence = aInitialSequence;
  connection.mInitialReceiveSequence = aSyn.mSequence;
  connection.mReceiveNext = 1;
  connection.mTimeout = aSettings.mInitialTimeout;
  connection.mSendNext = EmitSegment(connection, 0);
  StartTimer(connection, aNow);
  return connection;
}

void
OnSegment(TcpConnection& aConnection,
          const protocol::PacketView& aPacket,
          state::TimePoint aNow)
{
  const auto& header = aPacket.mHeader;
  if (header.mRst) {
    OnReset(aConnection, header);
    return;
  }
  if (aConnection.mState == TcpState::SynSent) {
    OnSynResponse(aConnection, header, aNow);
    return;
  }
  if (header.mSyn) {
    OnSyn(aConnection, header);
    return;
  }
  const auto distance = DistanceFromExpected(aConnection, header.mSequence);
  if (aConnection.mState == TcpState::Ended) {
    if (aConnection.mEndReason != TcpEndReason::Finished) {
      if (auto reset = BuildReset(header, aPacket.mPayload.size())) {
        aConnection.mOutput.push_back(std::move(*reset));
      }
      return;
    }
    // The last acknowledgement was lost: the other end retransmits its FIN.
    if (header.mFin || distance != 0) {
      Acknowledge(aConnection);
    }
    return;
  }
  if (!header.mAck) {
    return;
  }
  if (aConnection.mState == TcpState::SynReceived) {
    if (header.mAcknowledgementNumber != SequenceAt(aConnection, 1)) {
      if (auto reset = BuildReset(header, aPacket.mPayload.size())) {
        aConnection.mOutput.push_back(std::move(*reset));
      }
      return;
    }
    aConnection.mState = TcpState::Established;
  }
  if (!HandleAcknowledgement(aConnection, aPacket, aNow)) {
    Acknowledge(aConnection);
    return;
  }
  HandlePayload(aConnection, aPacket);
  Transmit(aConnection, aNow);
  // An empty segment before the expected position is a keepalive probe, which
  // must be answered too.
  if (!aPacket.mPayload.empty() || header.mFin || distance < 0) {
    Acknowledge(aConnection);
  }
  if (PeerFinished(aConnection) && FinAcknowledged(aConnection)) {
    End(aConnection, TcpEndReason::Finished);
  }
}

void
Send(TcpConnection& aConnection, std::string_view aBytes, state::TimePoint aNow)
{
  aConnection.mSendBuffer.append(aBytes);
  aConnection.mQueued += aBytes.size();
  Transmit(aConnection, aNow);
}

void
Close(TcpConnection& aConnection, state::TimePoint aNow)
{
  if (!aConnection.mClosed) {
    aConnection.mClosed = true;
    Transmit(aConnection, aNow);
  }
}

void
Abort(TcpConnection& aConnection)
{
  if (aConnection.mState != TcpState::Ended) {
    auto header = HeaderAt(aConnection, aConnection.mSendNext);
    header.mRst = true;
    Emit(aConnection, header);
    End(aConnection, TcpEndReason::Reset);
  }
}

void
OnTimer(TcpConnection& aConnection, state::TimePoint aNow)
{
  if (!aConnection.mDeadline || aNow < *aConnection.mDeadline) {
    return;
  }
  if (++aConnection.mRetransmissions >
      aConnection.mSettings.mMaxRetransmissions) {
    End(aConnection, TcpEndReason::TimedOut);
    return;
  }
  aConnection.mTimeout =
    std::min(aConnection.mTimeout * 2, aConnection.mSettings.mMaxTimeout);
  aConnection.mRecover = aConnection.mSendNext;
  EmitSegment(aConnection, aConnection.mUnacknowledged);
  StartTimer(aConnection, aNow);
}

bool
PeerFinished(const TcpConnection& aConnection)
{
  return aConnection.mPeerFin &&
         aConnection.mReceiveNext == *aConnection.mPeerFin + 1;
}

bool
AllAcknowledged(const TcpConnection& aConnection)
{
  return aConnection.mState == TcpState::Established &&
         aConnection.mSendBuffer.empty();
}

std::optional<protocol::Bytes>
BuildReset(const protocol::PacketHeader& aHeader, std::size_t aPayload)
{
  if (aHeader.mRst) {
    return std::nullopt;
  }
  protocol::PacketHeader header;
  header.mSource = aHeader.mDestination;
  header.mDestination = aHeader.mSource;
  header.mRst = true;
  if (aHeader.mAck) {
    header.mSequence = aHeader.mAcknowledgementNumber;
  } else {
    header.mAck = true;
    header.mAcknowledgementNumber =
      aHeader.mSequence + static_cast<std::uint32_t>(aPayload) +
      (aHeader.mSyn ? 1 : 0) + (aHeader.mFin ? 1 : 0);
  }
  return protocol::BuildPacket(header, {});
}

} // namespace sassafrasknotctl
