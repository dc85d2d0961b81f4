#ifndef SASSAFRASKNOT_REVIEW_WIRE_HPP
#define SASSAFRASKNOT_REVIEW_WIRE_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// @brief Stand-ins of the platform for the cases of the review: store,
/// routers, callers and upstreams, all on loopback addresses and one thread.
namespace review {

/// @brief An IPv4 address in host byte order, and a port.
struct Endpoint
{
  std::uint32_t mAddress = 0;
  std::uint16_t mPort = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// @brief Formats an endpoint as IP:PORT.
std::string
ToString(const Endpoint& aEndpoint);

/// @brief Formats the address of an endpoint.
std::string
AddressOf(const Endpoint& aEndpoint);

/// @brief The two ends of a flow.
struct FlowKey
{
  Endpoint mCaller;
  Endpoint mService;

  auto operator<=>(const FlowKey&) const = default;
};

/// @brief Formats a flow as CALLER>SERVICE.
std::string
FormatFlow(const FlowKey& aKey);

// Flags of a packet.
constexpr std::uint8_t kSyn = 16;
constexpr std::uint8_t kAck = 32;
constexpr std::uint8_t kFin = 128;
constexpr std::uint8_t kRst = 1;

/// @brief A packet of a flow.
struct Packet
{
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
  std::uint8_t mFlags = 0;
  /// Copied by both ends from the last packet that they received.
  std::uint32_t mEcho = 0;
  std::uint32_t mSum = 0;
  Endpoint mSource;
  Endpoint mDestination;
  std::string mData;
};

/// @brief Returns the keyed sum of all fields but the echo.
std::uint32_t
SumOf(const Packet& aPacket);

/// @brief Encodes a packet with its fields as they are.
std::string
Encode(const Packet& aPacket);

/// @brief Decodes a packet, or returns nothing if its length is wrong.
std::optional<Packet>
Decode(std::string_view aBytes);

} // namespace review

#endif
