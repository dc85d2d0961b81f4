#ifndef SASSAFRASKNOT_PROTOCOL_PACKET_HPP
#define SASSAFRASKNOT_PROTOCOL_PACKET_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"
#include "sassafrasknot/state/flow.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

/// @brief Codecs of packets, messages, documents and settings.
namespace sassafrasknot::protocol {

using Bytes = std::vector<std::uint8_t>;

/// @brief Header fields of a TCP segment or UDP datagram in an IPv4 packet.
struct PacketHeader
{
  state::Endpoint mSource;
  state::Endpoint mDestination;
  state::TransportProtocol mProtocol = state::TransportProtocol::Tcp;
  bool mSyn = false;
  bool mAck = false;
  bool mFin = false;
  bool mRst = false;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledgementNumber = 0;
  /// TCP window, in bytes.
  std::uint16_t mWindow = 65535;

  auto operator<=>(const PacketHeader&) const = default;
};

/// @brief A parsed packet; the payload points into the parsed bytes.
struct PacketView
{
  PacketHeader mHeader;
  std::span<const std::uint8_t> mPayload;
};

/// @brief Parses an IPv4 packet with TCP or UDP and checks lengths and
/// checksums. Fragments and other protocols are refused.
/// @param aBytes the packet
/// @return the packet, or Malformed with the drop counter's name as message,
/// such as "packets_dropped_fragment_total"
state::Result<PacketView>
ParsePacket(std::span<const std::uint8_t> aBytes);

/// @brief Builds an IPv4 packet with valid checksums.
/// @param aHeader its header fields
/// @param aPayload its payload
/// @return the packet
Bytes
BuildPacket(const PacketHeader& aHeader,
            std::span<const std::uint8_t> aPayload);

/// @brief Rewrites the destination of a packet in place, with an incremental
/// update of the checksums (RFC 1624).
/// @param aBytes a packet that ParsePacket has accepted
/// @param aDestination the new destination
void
RewriteDestination(std::span<std::uint8_t> aBytes,
                   const state::Endpoint& aDestination);

/// @brief Rewrites the source of a packet in place, like RewriteDestination.
/// @param aBytes a packet that ParsePacket has accepted
/// @param aSource the new source
void
RewriteSource(std::span<std::uint8_t> aBytes, const state::Endpoint& aSource);

} // namespace sassafrasknot::protocol

#endif
