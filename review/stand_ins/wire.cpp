#include "wire.hpp"

#include <cstddef>

namespace review {
namespace {

constexpr std::size_t kHeaderBytes = 36;
constexpr std::size_t kSequenceOffset = 0;
constexpr std::size_t kAcknowledgedOffset = 4;
constexpr std::size_t kFlagsOffset = 8;
constexpr std::size_t kEchoOffset = 14;
constexpr std::size_t kSumOffset = 18;
constexpr std::size_t kLengthOffset = 22;
constexpr std::size_t kDestinationOffset = 24;
constexpr std::size_t kSourceOffset = 28;
constexpr std::size_t kDestinationPortOffset = 32;
constexpr std::size_t kSourcePortOffset = 34;

/// Key of the sums, known to callers and upstreams only.
constexpr std::uint32_t kKey = 0x2C1B3C6D;

void
Store(std::string& aBytes,
      std::size_t aOffset,
      std::uint32_t aValue,
      std::size_t aSize)
{
  for (std::size_t index = 0; index < aSize; ++index) {
    aBytes[aOffset + index] = static_cast<char>(aValue >> (8 * index));
  }
}

std::uint32_t
Load(std::string_view aBytes, std::size_t aOffset, std::size_t aSize)
{
  std::uint32_t value = 0;
  for (std::size_t index = 0; index < aSize; ++index) {
    value |=
      std::uint32_t{ static_cast<unsigned char>(aBytes[aOffset + index]) }
      << (8 * index);
  }
  return value;
}

} // namespace

std::string
AddressOf(const Endpoint& aEndpoint)
{
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string(aEndpoint.mAddress >> shift & 0xFFU);
    text += shift > 0 ? "." : "";
  }
  return text;
}

std::string
ToString(const Endpoint& aEndpoint)
{
  return AddressOf(aEndpoint) + ":" + std::to_string(aEndpoint.mPort);
}

std::string
FormatFlow(const FlowKey& aKey)
{
  return ToString(aKey.mCaller) + ">" + ToString(aKey.mService);
}

std::uint32_t
SumOf(const Packet& aPacket)
{
  auto copy = aPacket;
  copy.mEcho = 0;
  copy.mSum = kKey;
  // FNV-1a.
  std::uint32_t hash = 2166136261U;
  for (const char byte : Encode(copy)) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 16777619U;
  }
  return hash;
}

std::string
Encode(const Packet& aPacket)
{
  std::string bytes(kHeaderBytes, '\0');
  Store(bytes, kSequenceOffset, aPacket.mSequence, 4);
  Store(bytes, kAcknowledgedOffset, aPacket.mAcknowledged, 4);
  Store(bytes, kFlagsOffset, aPacket.mFlags, 1);
  Store(bytes, kEchoOffset, aPacket.mEcho, 4);
  Store(bytes, kSumOffset, aPacket.mSum, 4);
  Store(
    bytes, kLengthOffset, static_cast<std::uint32_t>(aPacket.mData.size()), 2);
  Store(bytes, kDestinationOffset, aPacket.mDestination.mAddress, 4);
  Store(bytes, kSourceOffset, aPacket.mSource.mAddress, 4);
  Store(bytes, kDestinationPortOffset, aPacket.mDestination.mPort, 2);
  Store(bytes, kSourcePortOffset, aPacket.mSource.mPort, 2);
  return bytes + aPacket.mData;
}

std::optional<Packet>
Decode(std::string_view aBytes)
{
  if (aBytes.size() < kHeaderBytes ||
      Load(aBytes, kLengthOffset, 2) != aBytes.size() - kHeaderBytes) {
    return std::nullopt;
  }
  Packet packet;
  packet.mSequence = Load(aBytes, kSequenceOffset, 4);
  packet.mAcknowledged = Load(aBytes, kAcknowledgedOffset, 4);
  packet.mFlags = static_cast<std::uint8_t>(Load(aBytes, kFlagsOffset, 1));
  packet.mEcho = Load(aBytes, kEchoOffset, 4);
  packet.mSum = Load(aBytes, kSumOffset, 4);
  packet.mDestination = { Load(aBytes, kDestinationOffset, 4),
                          static_cast<std::uint16_t>(
                            Load(aBytes, kDestinationPortOffset, 2)) };
  packet.mSource = { Load(aBytes, kSourceOffset, 4),
                     static_cast<std::uint16_t>(
                       Load(aBytes, kSourcePortOffset, 2)) };
  packet.mData = aBytes.substr(kHeaderBytes);
  return packet;
}

} // namespace review
