#ifndef SASSAFRASKNOTCTL_TCP_SEGMENTS_HPP
#define SASSAFRASKNOTCTL_TCP_SEGMENTS_HPP

#include <cstdint>
#include <string_view>

#include "tcp_connection.hpp"

namespace sassafrasknotctl {

/// @brief Returns the sequence number of a position in the send direction.
/// @param aConnection connection to inspect
/// @param aPosition position as defined for TcpConnection; 0 is the SYN
/// @return the sequence number
std::uint32_t
SequenceAt(const TcpConnection& aConnection, std::uint64_t aPosition);

/// @brief Returns the signed distance of a received sequence number from the
/// expected one.
/// @param aConnection connection to inspect
/// @param aSequence sequence number of a received segment
/// @return the distance in bytes; negative if it was received before
std::int32_t
DistanceFromExpected(const TcpConnection& aConnection, std::uint32_t aSequence);

/// @brief Returns the position of the own FIN.
/// @param aConnection connection to inspect
/// @return the position after all queued payload
std::uint64_t
FinPosition(const TcpConnection& aConnection);

/// @brief Returns the header of a segment without SYN, FIN and RST. The ACK
/// flag is set unless the SYN is still unanswered.
/// @param aConnection connection to inspect
/// @param aPosition position of the segment's first byte
/// @return the header
protocol::PacketHeader
HeaderAt(const TcpConnection& aConnection, std::uint64_t aPosition);

/// @brief Adds a packet to the output.
/// @param aConnection connection to update
/// @param aHeader header of the packet
/// @param aPayload payload of the packet
void
Emit(TcpConnection& aConnection,
     const protocol::PacketHeader& aHeader,
     std::string_view aPayload = {});

/// @brief Adds an acknowledgement to the output.
/// @param aConnection connection to update
void
Acknowledge(TcpConnection& aConnection);

/// @brief Adds the segment that starts at a position to the output.
/// @param aConnection connection to update
/// @param aPosition position of the segment's first byte
/// @return the position after the segment; aPosition if there is nothing to
/// send at it
std::uint64_t
EmitSegment(TcpConnection& aConnection, std::uint64_t aPosition);

/// @brief Restarts the retransmission timer with the current timeout.
/// @param aConnection connection to update
/// @param aNow current time on the steady clock
void
StartTimer(TcpConnection& aConnection, state::TimePoint aNow);

/// @brief Adds the unsent segments that fit the send window to the output.
/// Sends nothing before the connection is established.
/// @param aConnection connection to update
/// @param aNow current time on the steady clock
void
Transmit(TcpConnection& aConnection, state::TimePoint aNow);

} // namespace sassafrasknotctl

#endif
