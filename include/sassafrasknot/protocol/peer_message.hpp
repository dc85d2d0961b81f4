#ifndef SASSAFRASKNOT_PROTOCOL_PEER_MESSAGE_HPP
#define SASSAFRASKNOT_PROTOCOL_PEER_MESSAGE_HPP

#include "sassafrasknot/coordination/control_message.hpp"
#include "sassafrasknot/coordination/traffic_message.hpp"
#include "sassafrasknot/protocol/packet.hpp"
#include "sassafrasknot/state/error.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

namespace sassafrasknot::protocol {

/// Maximum number of instances that may have forwarded one packet. It bounds
/// what is encoded and accepted from peers; the traffic core already stops
/// forwarding a packet after 3 hops.
constexpr std::size_t kMaxHops = 8;

/// @brief A caller's or upstream's packet that an instance forwards unchanged
/// to another instance.
struct ForwardedPacket
{
  /// Instances that forwarded the packet, in that order; 1 to kMaxHops.
  std::vector<state::InstanceId> mHops;
  Bytes mPacket;
};

/// @brief A message between the traffic cores of two instances and its sender.
struct TrafficEnvelope
{
  state::InstanceId mSender;
  coordination::TrafficMessage mMessage;
};

/// @brief Content of a datagram from one instance to another.
using PeerMessage =
  std::variant<ForwardedPacket, TrafficEnvelope, coordination::ControlMessage>;

/// @brief Distinguishes peer messages from IPv4 packets by the first byte, as
/// both arrive on the same UDP socket.
/// @param aDatagram payload of a UDP datagram
/// @return true for a peer message in the current version of the format
bool
IsPeerMessage(std::span<const std::uint8_t> aDatagram);

/// @brief Encodes a message as one datagram.
/// @param aMessage message of any kind
/// @return payload of the UDP datagram
Bytes
EncodePeerMessage(const PeerMessage& aMessage);

/// @brief Encodes a forwarded packet without building a ForwardedPacket first,
/// which would copy its parts.
/// @param aHops instances that forwarded the packet, the sender last
/// @param aPacket the unchanged packet, from its IP header on
/// @return payload of the UDP datagram
Bytes
EncodeForwardedPacket(std::span<const state::InstanceId> aHops,
                      std::span<const std::uint8_t> aPacket);

/// @brief Decodes a peer message. Endpoints, enumerators, names, ages and the
/// number of hops are checked against their ranges.
/// @param aDatagram payload of a UDP datagram
/// @return the message, or Malformed with the name of the counter of dropped
/// messages as message
state::Result<PeerMessage>
DecodePeerMessage(std::span<const std::uint8_t> aDatagram);

} // namespace sassafrasknot::protocol

#endif
