#include "tcp_segments.hpp"

#include <algorithm>

namespace sassafrasknotctl {

std::uint32_t
SequenceAt(const TcpConnection& aConnection, std::uint64_t aPosition)
{
  return aConnection.mInitialSendSequence +
         static_cast<std::uint32_t>(aPosition);
}

std::int32_t
DistanceFromExpected(const TcpConnection& aConnection, std::uint32_t aSequence)
{
  return static_cast<std::int32_t>(
    aSequence - (aConnection.mInitialReceiveSequence +
                 static_cast<std::uint32_t>(aConnection.mReceiveNext)));
}

std::uint64_t
FinPosition(const TcpConnection& aConnection)
{
  return 1 + aConnection.mQueued;
}

protocol::PacketHeader
HeaderAt(const TcpConnection& aConnection, std::uint64_t aPosition)
{
  protocol::PacketHeader header;
  header.mSource = aConnection.mLocal;
  header.mDestination = aConnection.mRemote;
  header.mSequence = SequenceAt(aConnection, aPosition);
  if (aConnection.mState != TcpState::SynSent) {
    header.mAck = true;
    header.mAcknowledgementNumber =
      aConnection.mInitialReceiveSequence +
      static_cast<std::uint32_t>(aConnection.mReceiveNext);
  }
  return header;
}

void
Emit(TcpConnection& aConnection,
     const protocol::PacketHeader& aHeader,
     std::string_view aPayload)
{
  aConnection.mOutput.push_back(protocol::BuildPacket(
    aHeader,
    { reinterpret_cast<const std::uint8_t*>(aPayload.data()),
      aPayload.size() }));
}

void
Acknowledge(TcpConnection& aConnection)
{
  Emit(aConnection, HeaderAt(aConnection, aConnection.mSendNext));
}

std::uint64_t
EmitSegment(TcpConnection& aConnection, std::uint64_t aPosition)
{
  auto header = HeaderAt(aConnection, aPosition);
  if (aPosition == 0) {
    header.mSyn = true;
    Emit(aConnection, header);
    return 1;
  }
  const auto fin = FinPosition(aConnection);
  const auto first = std::max<std::uint64_t>(aConnection.mUnacknowledged, 1);
  if (aPosition < fin) {
    const auto payload =
      std::string_view(aConnection.mSendBuffer)
        .substr(aPosition - first, aConnection.mSettings.mSegmentSize);
    Emit(aConnection, header, payload);
    return aPosition + payload.size();
  }
  if (aPosition == fin && aConnection.mClosed) {
    header.mFin = true;
    Emit(aConnection, header);
    return fin + 1;
  }
  return aPosition;
}

void
StartTimer(TcpConnection& aConnection, state::TimePoint aNow)
{
  aConnection.mDeadline = aNow + aConnection.mTimeout;
}

void
Transmit(TcpConnection& aConnection, state::TimePoint aNow)
{
  if (aConnection.mState != TcpState::Established) {
    return;
  }
  while (aConnection.mSendNext - aConnection.mUnacknowledged <
         aConnection.mSettings.mWindow) {
    const auto next = EmitSegment(aConnection, aConnection.mSendNext);
    if (next == aConnection.mSendNext) {
      break;
    }
    aConnection.mSendNext = next;
    if (!aConnection.mDeadline) {
      StartTimer(aConnection, aNow);
    }
  }
}

} // namespace sassafrasknotctl
