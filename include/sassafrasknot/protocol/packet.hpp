#ifndef SASSAFRASKNOT_PROTOCOL_PACKET_HPP
#define SASSAFRASKNOT_PROTOCOL_PACKET_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"
#include "sassafrasknot/state/flow.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

/// @brief Codecs: IPv4 packets, messages between instances (protobuf),
/// documents and responses of the platform (JSON), and settings (INI).
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

/// @brief A parsed packet. The payload refers to the parsed bytes, which must
/// outlive it.
struct PacketView
{
  PacketHeader mHeader;
  std::span<const std::uint8_t> mPayload;
};

/// @brief Parses an IPv4 packet with TCP or UDP and checks its lengths and
/// checksums. Fragments and other protocols are rejected.
/// @param aBytes exactly one packet, from its IP header on
/// @return the packet, or Malformed with the name of the counter of dropped
/// packets as message, such as "packets_dropped_fragment_total"
state::Result<PacketView>
ParsePacket(std::span<const std::uint8_t> aBytes);

/// @brief Builds an IPv4 packet with valid checksums.
/// @param aHeader endpoints, protocol and, for TCP, flags and numbers
/// @param aPayload bytes after the TCP or UDP header; may be empty
/// @return the packet, from its IP header on
Bytes
BuildPacket(const PacketHeader& aHeader,
            std::span<const std::uint8_t> aPayload);

/// @brief Replaces the destination address and port of a packet in place and
/// updates the checksums incrementally (RFC 1624).
/// @param aBytes a packet that ParsePacket has accepted
void
RewriteDestination(std::span<std::uint8_t> aBytes,
                   const state::Endpoint& aDestination);

/// @brief Replaces the source address and port of a packet in place, like
/// RewriteDestination.
/// @param aBytes a packet that ParsePacket has accepted
void
RewriteSource(std::span<std::uint8_t> aBytes, const state::Endpoint& aSource);

} // namespace sassafrasknot::protocol

#endif
