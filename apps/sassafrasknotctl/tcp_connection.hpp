#ifndef SASSAFRASKNOTCTL_TCP_CONNECTION_HPP
#define SASSAFRASKNOTCTL_TCP_CONNECTION_HPP

#include "sassafrasknot/protocol/packet.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @brief The command line tool for operators, with its load generator.
namespace sassafrasknotctl {

namespace protocol = sassafrasknot::protocol;
namespace state = sassafrasknot::state;

/// @brief Timers and sizes of a user-space TCP connection.
struct TcpSettings
{
  /// First retransmission timeout; doubles with each retransmission.
  std::chrono::milliseconds mInitialTimeout{ 200 };
  /// Upper limit of the retransmission timeout.
  std::chrono::milliseconds mMaxTimeout{ 3000 };
  /// Successive retransmissions without progress before the connection ends.
  int mMaxRetransmissions = 10;
  /// Largest payload of one segment, in bytes.
  std::size_t mSegmentSize = 1200;
  /// No new segment is sent while this much is unacknowledged, in bytes.
  std::size_t mWindow = 19200;
};

/// @brief State of a connection. The closing states of RFC 9293 are not
/// distinguished: a connection is Established until both FINs are acknowledged.
enum class TcpState : std::uint8_t
{
  SynSent,     ///< Opened by this end; the SYN is not answered yet.
  SynReceived, ///< Opened by the other end; the handshake is not complete yet.
  Established, ///< The handshake is complete.
  Ended,       ///< Closed, reset or timed out, see TcpEndReason.
};

/// @brief Why a connection ended.
enum class TcpEndReason : std::uint8_t
{
  None,     ///< Not ended yet.
  Finished, ///< Both FINs were acknowledged.
  Refused,  ///< A reset answered the SYN.
  Reset,    ///< A reset was sent, or received after SynSent.
  TimedOut, ///< Retransmissions were not acknowledged.
};

/// @brief One end of a TCP connection in user space (RFC 9293, resets as in
/// RFC 5961). It builds its own IPv4 packets. Positions are 64-bit offsets in
/// the sequence space of one direction that do not wrap: the SYN has position
/// 0, the first byte of payload position 1.
struct TcpConnection
{
  state::Endpoint mLocal;
  state::Endpoint mRemote;
  TcpSettings mSettings;
  TcpState mState = TcpState::SynSent;
  TcpEndReason mEndReason = TcpEndReason::None;

  /// Sequence number of the own SYN.
  std::uint32_t mInitialSendSequence = 0;
  /// First position that the other end has not acknowledged.
  std::uint64_t mUnacknowledged = 0;
  /// Position after everything that was sent at least once.
  std::uint64_t mSendNext = 0;
  /// After a loss, each acknowledgement below this position triggers the
  /// retransmission of the next segment.
  std::uint64_t mRecover = 0;
  /// Successive acknowledgements without progress; the third one triggers a
  /// retransmission.
  int mDuplicateAcks = 0;
  /// Payload from position max(mUnacknowledged, 1) on.
  std::string mSendBuffer;
  /// Total payload queued since the start, in bytes; the FIN follows it.
  std::uint64_t mQueued = 0;
  /// Close was called: a FIN follows the payload.
  bool mClosed = false;
  /// Timer-driven retransmissions since the last progress.
  int mRetransmissions = 0;
  /// Current retransmission timeout.
  std::chrono::milliseconds mTimeout{};
  /// When the retransmission timer expires, if it runs.
  std::optional<state::TimePoint> mDeadline;

  /// Sequence number of the other end's SYN.
  std::uint32_t mInitialReceiveSequence = 0;
  /// Next position that is expected from the other end.
  std::uint64_t mReceiveNext = 0;
  /// Payload received ahead of a gap, by position.
  std::map<std::uint64_t, std::string> mOutOfOrder;
  /// Position of the other end's FIN, once received.
  std::optional<std::uint64_t> mPeerFin;
  /// Payload in order that the application has not consumed yet.
  std::string mReceived;

  /// IPv4 packets to be sent.
  std::vector<protocol::Bytes> mOutput;
};

/// @brief Opens a connection with a SYN.
/// @param aLocal endpoint that opens the connection
/// @param aRemote endpoint of the other end
/// @param aSettings timers and sizes
/// @param aInitialSequence sequence number of the SYN
/// @param aNow current time on the steady clock
/// @return the connection
TcpConnection
Connect(const state::Endpoint& aLocal,
        const state::Endpoint& aRemote,
        const TcpSettings& aSettings,
        std::uint32_t aInitialSequence,
        state::TimePoint aNow);

/// @brief Accepts a connection by answering a SYN with SYN and ACK.
/// @param aSyn header of the other end's SYN
/// @param aSettings timers and sizes
/// @param aInitialSequence sequence number of the own SYN
/// @param aNow current time on the steady clock
/// @return the connection
TcpConnection
Accept(const protocol::PacketHeader& aSyn,
       const TcpSettings& aSettings,
       std::uint32_t aInitialSequence,
       state::TimePoint aNow);

/// @brief Handles a segment of the connection.
/// @param aConnection connection to update
/// @param aPacket segment from the other end
/// @param aNow current time on the steady clock
void
OnSegment(TcpConnection& aConnection,
          const protocol::PacketView& aPacket,
          state::TimePoint aNow);

/// @brief Queues payload and sends what the window allows.
/// @param aConnection connection to update
/// @param aBytes payload to append
/// @param aNow current time on the steady clock
void
Send(TcpConnection& aConnection,
     std::string_view aBytes,
     state::TimePoint aNow);

/// @brief Sends a FIN after the queued payload.
/// @param aConnection connection to update
/// @param aNow current time on the steady clock
void
Close(TcpConnection& aConnection, state::TimePoint aNow);

/// @brief Sends a reset and ends the connection.
/// @param aConnection connection to update
void
Abort(TcpConnection& aConnection);

/// @brief Runs the retransmission timer: if it has expired, retransmits the
/// first unacknowledged segment, or ends the connection after too many
/// attempts.
/// @param aConnection connection to update
/// @param aNow current time on the steady clock
void
OnTimer(TcpConnection& aConnection, state::TimePoint aNow);

/// @brief Returns whether all bytes of the other end up to its FIN have
/// arrived.
/// @param aConnection connection to inspect
bool
PeerFinished(const TcpConnection& aConnection);

/// @brief Returns whether the connection is established and all queued payload
/// is acknowledged.
/// @param aConnection connection to inspect
bool
AllAcknowledged(const TcpConnection& aConnection);

/// @brief Builds the reset with which a host answers a segment that belongs to
/// no connection.
/// @param aHeader header of the segment
/// @param aPayload size of the segment's payload, in bytes
/// @return the reset, or nothing if the segment is a reset itself
std::optional<protocol::Bytes>
BuildReset(const protocol::PacketHeader& aHeader, std::size_t aPayload);

} // namespace sassafrasknotctl

#endif
