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

/// @brief Operator and load commands.
namespace sassafrasknotctl {

namespace protocol = sassafrasknot::protocol;
namespace state = sassafrasknot::state;

/// @brief Timers and sizes of a user-space TCP connection.
struct TcpSettings
{
  /// First retransmission timeout; doubles with each retransmission.
  std::chrono::milliseconds mInitialTimeout{ 200 };
  std::chrono::milliseconds mMaxTimeout{ 3000 };
  /// Retransmissions without progress after which the connection ends.
  int mMaxRetransmissions = 10;
  /// Largest payload of one segment, in bytes.
  std::size_t mSegmentSize = 1200;
  /// Largest amount of unacknowledged payload, in bytes.
  std::size_t mWindow = 19200;
};

enum class TcpState : std::uint8_t
{
  SynSent,
  SynReceived,
  Established,
  Ended,
};

/// @brief Why a connection ended.
enum class TcpEndReason : std::uint8_t
{
  None,
  Finished, ///< Both FINs were acknowledged.
  Refused,  ///< A reset answered the SYN.
  Reset,    ///< A reset of an established connection.
  TimedOut, ///< Retransmissions got no answer.
};

/// @brief One end of a TCP connection (RFC 9293, resets as in RFC 5961) that
/// builds its own packets. Positions count from the SYN, which is position 0.
struct TcpConnection
{
  state::Endpoint mLocal;
  state::Endpoint mRemote;
  TcpSettings mSettings;
  TcpState mState = TcpState::SynSent;
  TcpEndReason mEndReason = TcpEndReason::None;

  std::uint32_t mInitialSendSequence = 0;
  std::uint64_t mUnacknowledged = 0;
  std::uint64_t mSendNext = 0;
  /// End of the sequence that is retransmitted as acknowledgements arrive.
  std::uint64_t mRecover = 0;
  int mDuplicateAcks = 0;
  /// Payload from position max(mUnacknowledged, 1) on.
  std::string mSendBuffer;
  /// All payload that was ever queued, in bytes; the FIN follows it.
  std::uint64_t mQueued = 0;
  bool mClosed = false;
  int mRetransmissions = 0;
  std::chrono::milliseconds mTimeout{};
  /// When the retransmission timer expires, if it runs.
  std::optional<state::TimePoint> mDeadline;

  std::uint32_t mInitialReceiveSequence = 0;
  std::uint64_t mReceiveNext = 0;
  std::map<std::uint64_t, std::string> mOutOfOrder;
  std::optional<std::uint64_t> mPeerFin;
  /// Payload in order that the application has not taken yet.
  std::string mReceived;

  /// Packets to be sent.
  std::vector<protocol::Bytes> mOutput;
};

/// @brief Opens a connection with a SYN.
/// @param aLocal the opening end
/// @param aRemote the other end
/// @param aSettings timers and sizes
/// @param aInitialSequence sequence number of the SYN
/// @param aNow the time
/// @return the connection
TcpConnection
Connect(const state::Endpoint& aLocal,
        const state::Endpoint& aRemote,
        const TcpSettings& aSettings,
        std::uint32_t aInitialSequence,
        state::TimePoint aNow);

/// @brief Accepts a connection with a SYN and ACK.
/// @param aSyn header of the other end's SYN
/// @param aSettings timers and sizes
/// @param aInitialSequence sequence number of the answer
/// @param aNow the time
/// @return the connection
TcpConnection
Accept(const protocol::PacketHeader& aSyn,
       const TcpSettings& aSettings,
       std::uint32_t aInitialSequence,
       state::TimePoint aNow);

/// @brief Takes a segment of the connection.
/// @param aConnection the connection
/// @param aPacket the segment
/// @param aNow the time
void
OnSegment(TcpConnection& aConnection,
          const protocol::PacketView& aPacket,
          state::TimePoint aNow);

/// @brief Queues payload.
/// @param aConnection the connection
/// @param aBytes the payload
/// @param aNow the time
void
Send(TcpConnection& aConnection,
     std::string_view aBytes,
     state::TimePoint aNow);

/// @brief Sends a FIN after the queued payload.
/// @param aConnection the connection
/// @param aNow the time
void
Close(TcpConnection& aConnection, state::TimePoint aNow);

/// @brief Ends the connection with a reset.
/// @param aConnection the connection
void
Abort(TcpConnection& aConnection);

/// @brief Retransmits what is due.
/// @param aConnection the connection
/// @param aNow the time
void
OnTimer(TcpConnection& aConnection, state::TimePoint aNow);

/// @brief Returns whether all bytes of the other end up to its FIN arrived.
/// @param aConnection the connection
bool
PeerFinished(const TcpConnection& aConnection);

/// @brief Returns whether all queued payload was acknowledged.
/// @param aConnection the connection
bool
AllAcknowledged(const TcpConnection& aConnection);

/// @brief Builds the reset that a host answers to a segment of a connection
/// that it does not know.
/// @param aHeader header of the segment
/// @param aPayload its payload, in bytes
/// @return the reset, or nothing if the segment is a reset itself
std::optional<protocol::Bytes>
BuildReset(const protocol::PacketHeader& aHeader, std::size_t aPayload);

} // namespace sassafrasknotctl

#endif
