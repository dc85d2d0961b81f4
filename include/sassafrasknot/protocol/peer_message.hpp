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

/// Most instances that may have forwarded one packet. The chain of owners has
/// 3 hops; membership views that differ can add some.
constexpr std::size_t kMaxHops = 8;

/// @brief A packet from another instance, unchanged.
struct ForwardedPacket
{
  /// Instances that forwarded it, first one first; 1 to kMaxHops.
  std::vector<state::InstanceId> mHops;
  Bytes mPacket;
};

/// @brief A message between traffic cores with its sender.
struct TrafficEnvelope
{
  state::InstanceId mSender;
  coordination::TrafficMessage mMessage;
};

/// @brief What one instance sends another in a datagram.
using PeerMessage =
  std::variant<ForwardedPacket, TrafficEnvelope, coordination::ControlMessage>;

/// @brief Tells a peer message from an IPv4 packet by the first byte.
/// @param aDatagram the datagram
/// @return true for a peer message of this format's version
bool
IsPeerMessage(std::span<const std::uint8_t> aDatagram);

/// @brief Encodes a message as one datagram.
/// @param aMessage the message
/// @return the datagram
Bytes
EncodePeerMessage(const PeerMessage& aMessage);

/// @brief Encodes a forwarded packet without a copy of its parts.
/// @param aHops instances that forwarded it, this one last
/// @param aPacket the packet
/// @return the datagram
Bytes
EncodeForwardedPacket(std::span<const state::InstanceId> aHops,
                      std::span<const std::uint8_t> aPacket);

/// @brief Decodes a datagram for which IsPeerMessage holds. Every field is
/// checked against its range.
/// @param aDatagram the datagram
/// @return the message, or Malformed with the drop counter's name as message
state::Result<PeerMessage>
DecodePeerMessage(std::span<const std::uint8_t> aDatagram);

} // namespace sassafrasknot::protocol

#endif
