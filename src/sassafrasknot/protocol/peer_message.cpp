#include "sassafrasknot/protocol/peer_message.hpp"

#include "name.hpp"
#include "peer_convert.hpp"

namespace sassafrasknot::protocol {
namespace {

/// First byte of a peer message in version 1 of the format. It distinguishes
/// peer messages from IPv4 packets, whose first byte is 0x40 to 0x4F.
constexpr std::uint8_t kPeerMessageMark = 0x01;

/// Serializes a message after the byte that identifies peer messages.
Bytes
Serialize(const peer::PeerMessage& aWire)
{
  Bytes bytes(aWire.ByteSizeLong() + 1);
  bytes[0] = kPeerMessageMark;
  aWire.SerializeWithCachedSizesToArray(bytes.data() + 1);
  return bytes;
}

/// Converts a message into the field of the oneof for its kind.
struct BodyWriter
{
  peer::PeerMessage& mWire;

  void operator()(const ForwardedPacket& aBody) const
  {
    auto& wire = *mWire.mutable_forwarded();
    for (const auto& hop : aBody.mHops) {
      wire.add_hops(hop.mValue);
    }
    wire.set_packet(aBody.mPacket.data(), aBody.mPacket.size());
  }
  void operator()(const TrafficEnvelope& aBody) const
  {
    ToWire(aBody, *mWire.mutable_traffic());
  }
  void operator()(const coordination::ControlMessage& aBody) const
  {
    ToWire(aBody, *mWire.mutable_control());
  }
};

bool
ForwardedFromWire(const peer::ForwardedPacket& aWire,
                  ForwardedPacket& aForwarded)
{
  const auto hops = static_cast<std::size_t>(aWire.hops_size());
  if (hops == 0 || hops > kMaxHops) {
    return false;
  }
  for (const auto& hop : aWire.hops()) {
    if (!IsName(hop)) {
      return false;
    }
    aForwarded.mHops.push_back({ hop });
  }
  aForwarded.mPacket.assign(aWire.packet().begin(), aWire.packet().end());
  return true;
}

bool
MessageFromWire(const peer::PeerMessage& aWire, PeerMessage& aMessage)
{
  switch (aWire.body_case()) {
    case peer::PeerMessage::kForwarded:
      return ForwardedFromWire(aWire.forwarded(),
                               aMessage.emplace<ForwardedPacket>());
    case peer::PeerMessage::kTraffic:
      return FromWire(aWire.traffic(), aMessage.emplace<TrafficEnvelope>());
    case peer::PeerMessage::kControl:
      return FromWire(aWire.control(),
                      aMessage.emplace<coordination::ControlMessage>());
    case peer::PeerMessage::BODY_NOT_SET:
      return false;
  }
  return false;
}

} // namespace

bool
IsPeerMessage(std::span<const std::uint8_t> aDatagram)
{
  return !aDatagram.empty() && aDatagram[0] == kPeerMessageMark;
}

Bytes
EncodePeerMessage(const PeerMessage& aMessage)
{
  peer::PeerMessage wire;
  std::visit(BodyWriter{ wire }, aMessage);
  return Serialize(wire);
}

Bytes
EncodeForwardedPacket(std::span<const state::InstanceId> aHops,
                      std::span<const std::uint8_t> aPacket)
{
  peer::PeerMessage wire;
  auto& forwarded = *wire.mutable_forwarded();
  for (const auto& hop : aHops) {
    forwarded.add_hops(hop.mValue);
  }
  forwarded.set_packet(aPacket.data(), aPacket.size());
  return Serialize(wire);
}

state::Result<PeerMessage>
DecodePeerMessage(std::span<const std::uint8_t> aDatagram)
{
  peer::PeerMessage wire;
  PeerMessage message;
  if (!IsPeerMessage(aDatagram) ||
      !wire.ParseFromArray(aDatagram.data() + 1,
                           static_cast<int>(aDatagram.size()) - 1) ||
      !MessageFromWire(wire, message)) {
    return state::Error{ state::ErrorCode::Malformed,
                         state::Verdict::NotRun,
                         "peer_messages_dropped_malformed_total" };
  }
  return message;
}

} // namespace sassafrasknot::protocol
