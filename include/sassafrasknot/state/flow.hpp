#ifndef SASSAFRASKNOT_STATE_FLOW_HPP
#define SASSAFRASKNOT_STATE_FLOW_HPP

#include "sassafrasknot/state/endpoint.hpp"

#include <compare>
#include <cstdint>

namespace sassafrasknot::state {

/// @brief Transport protocol of a flow; the value is the IP protocol number.
enum class TransportProtocol : std::uint8_t
{
  Tcp = 6,
  Udp = 17,
};

/// @brief Class of the flows of a listener: what a flow occupies at its
/// upstream.
enum class FlowClass : std::uint8_t
{
  Feed, ///< Long-lived flow with many requests; occupies a connection.
  Work, ///< Occupies a connection and a slot until it ends.
  Long, ///< Like Work, but expected to last much longer.
};

/// @brief Identifies a flow by the endpoints of its caller (the client) and of
/// the service, which is the destination that the caller uses.
struct FlowKey
{
  Endpoint mCaller;
  Endpoint mService;
  TransportProtocol mProtocol = TransportProtocol::Tcp;

  auto operator<=>(const FlowKey&) const = default;
};

/// @brief Which end of a flow sent a packet.
enum class Direction : std::uint8_t
{
  FromCaller,
  FromUpstream,
};

/// @brief Kind of a packet within its flow.
enum class SegmentKind : std::uint8_t
{
  Open,       ///< TCP SYN, or a datagram from the caller.
  OpenAnswer, ///< TCP SYN and ACK, or a datagram from the upstream.
  Data,       ///< Established segment with or without payload.
  Finish,     ///< TCP FIN.
  Reset,      ///< TCP RST.
};

/// @brief The fields of a packet that decisions on its flow use.
struct FlowEvent
{
  FlowKey mKey;
  Direction mDirection = Direction::FromCaller;
  SegmentKind mKind = SegmentKind::Data;
  /// The upstream that sent the packet; only for FromUpstream.
  Endpoint mUpstream;
  /// Length of the payload, in bytes.
  std::uint32_t mPayloadBytes = 0;
  /// Sequence number of the first payload byte, modulo 2^32.
  std::uint32_t mSequence = 0;
  /// Cumulative acknowledgement number, modulo 2^32.
  std::uint32_t mAcknowledged = 0;

  auto operator<=>(const FlowEvent&) const = default;
};

/// @brief Returns a 64-bit hash of a flow that is the same on every instance.
/// @param aKey flow to hash
/// @return the 64-bit XXH3 hash of the key's fields
std::uint64_t
Hash(const FlowKey& aKey);

} // namespace sassafrasknot::state

template<>
struct std::hash<sassafrasknot::state::FlowKey>
{
  std::size_t operator()(
    const sassafrasknot::state::FlowKey& aKey) const noexcept
  {
    return sassafrasknot::state::Hash(aKey);
  }
};

#endif
