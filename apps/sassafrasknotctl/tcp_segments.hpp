#ifndef SASSAFRASKNOTCTL_TCP_SEGMENTS_HPP
#define SASSAFRASKNOTCTL_TCP_SEGMENTS_HPP

#include <cstdint>
#include <string_view>

#include "tcp_connection.hpp"

namespace sassafrasknotctl {

/// @brief Returns the sequence number of a position of the bytes that are sent.
/// @param aConnection the connection
/// @param aPosition 0 for the SYN
/// @return the sequence number
std::uint32_t
SequenceAt(const TcpConnection& aConnection, std::uint64_t aPosition);

/// @brief Returns the signed distance of a received sequence number from the
/// expected one.
/// @param aConnection the connection
/// @param aSequence the sequence number
/// @return the distance in bytes
std::int32_t
DistanceFromExpected(const TcpConnection& aConnection, std::uint32_t aSequence);

/// @brief Returns the position of the FIN.
/// @param aConnection the connection
/// @return the position behind all payload
std::uint64_t
FinPosition(const TcpConnection& aConnection);

/// @brief Returns the header of a segment without flags of its own.
/// @param aConnection the connection
/// @param aPosition position of its first byte
/// @return the header
protocol::PacketHeader
HeaderAt(const TcpConnection& aConnection, std::uint64_t aPosition);

/// @brief Adds a packet to the output.
/// @param aConnection the connection
/// @param aHeader its header
/// @param aPayload its payload
void
Emit(TcpConnection& aConnection,
     const protocol::PacketHeader& aHeader,
     std::string_view aPayload = {});

/// @brief Adds an acknowledgement to the output.
/// @param aConnection the connection
void
Acknowledge(TcpConnection& aConnection);

/// @brief Adds the segment that starts at a position to the output.
/// @param aConnection the connection
/// @param aPosition a position; at or after the FIN's end there is no segment
/// @return the position after the segment
std::uint64_t
EmitSegment(TcpConnection& aConnection, std::uint64_t aPosition);

/// @brief Starts the retransmission timer anew.
/// @param aConnection the connection
/// @param aNow the time
void
StartTimer(TcpConnection& aConnection, state::TimePoint aNow);

/// @brief Adds what the window allows to the output.
/// @param aConnection the connection
/// @param aNow the time
void
Transmit(TcpConnection& aConnection, state::TimePoint aNow);

} // namespace sassafrasknotctl

#endif
