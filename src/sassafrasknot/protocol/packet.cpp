#include "sassafrasknot/protocol/packet.hpp"

#include <array>
#include <cstddef>
#include <utility>

#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>
#include <tins/utils/checksum_utils.h>

namespace sassafrasknot::protocol {
namespace {

using state::Endpoint;
using state::TransportProtocol;

constexpr std::size_t kMinIpHeaderBytes = 20;
constexpr std::size_t kUdpHeaderBytes = 8;

// Offsets in bytes from the start of the IP header, or of the TCP or UDP
// header.
constexpr std::size_t kIpProtocolOffset = 9;
constexpr std::size_t kIpChecksumOffset = 10;
constexpr std::size_t kIpSourceOffset = 12;
constexpr std::size_t kIpDestinationOffset = 16;
constexpr std::size_t kSourcePortOffset = 0;
constexpr std::size_t kDestinationPortOffset = 2;
constexpr std::size_t kUdpLengthOffset = 4;
constexpr std::size_t kUdpChecksumOffset = 6;
constexpr std::size_t kTcpChecksumOffset = 16;

/// Makes the error of a packet that is dropped.
state::Error
DropError(const char* aCounter)
{
  return { state::ErrorCode::Malformed, state::Verdict::NotRun, aCounter };
}

/// Reads a 16-bit field in network byte order.
std::uint16_t
Read16(std::span<const std::uint8_t> aBytes, std::size_t aOffset)
{
  return static_cast<std::uint16_t>(aBytes[aOffset] << 8 | aBytes[aOffset + 1]);
}

/// Writes a 16-bit field in network byte order.
void
Write16(std::span<std::uint8_t> aBytes,
        std::size_t aOffset,
        std::uint16_t aValue)
{
  aBytes[aOffset] = static_cast<std::uint8_t>(aValue >> 8);
  aBytes[aOffset + 1] = static_cast<std::uint8_t>(aValue);
}

/// Adds the carries of a sum of 16-bit words to its low 16 bits, which gives
/// the ones' complement sum (RFC 1071).
std::uint16_t
FoldCarries(std::uint32_t aSum)
{
  while (aSum >> 16 != 0) {
    aSum = (aSum & 0xFFFF) + (aSum >> 16);
  }
  return static_cast<std::uint16_t>(aSum);
}

/// Returns the length of the IP header with its options, in bytes.
std::size_t
HeaderLength(std::span<const std::uint8_t> aBytes)
{
  return static_cast<std::size_t>(aBytes[0] & 0x0F) * 4;
}

/// Sums the 16-bit words of a part of a packet.
std::uint32_t
SumWords(std::span<const std::uint8_t> aBytes)
{
  return Tins::Utils::sum_range(aBytes.data(), aBytes.data() + aBytes.size());
}

/// Returns the folded sum of the pseudo-header (RFC 9293, RFC 768) and the TCP
/// segment or UDP datagram with its checksum field; 0xFFFF if the checksum is
/// valid.
std::uint16_t
TransportSum(std::span<const std::uint8_t> aBytes)
{
  const auto segment = aBytes.subspan(HeaderLength(aBytes));
  const auto length = segment.size();
  const std::array<std::uint8_t, 4> pseudoHeaderTail{
    0,
    aBytes[kIpProtocolOffset],
    static_cast<std::uint8_t>(length >> 8),
    static_cast<std::uint8_t>(length)
  };
  return FoldCarries(SumWords(aBytes.subspan(kIpSourceOffset, 8)) +
                     SumWords(pseudoHeaderTail) + SumWords(segment));
}

Tins::IPv4Address
ToTins(state::Ipv4Address aAddress)
{
  return Tins::IPv4Address(Tins::Endian::host_to_be(aAddress.mValue));
}

state::Ipv4Address
FromTins(Tins::IPv4Address aAddress)
{
  return { Tins::Endian::be_to_host(static_cast<std::uint32_t>(aAddress)) };
}

/// Checks the lengths and the checksum of the IP header. Returns the name of
/// the counter of dropped packets if the packet is to be dropped, otherwise
/// null.
const char*
CheckIpHeader(std::span<const std::uint8_t> aBytes)
{
  if (aBytes.size() < kMinIpHeaderBytes) {
    return "packets_dropped_truncated_total";
  }
  const auto header = HeaderLength(aBytes);
  if (aBytes[0] >> 4 != 4 || header < kMinIpHeaderBytes) {
    return "packets_dropped_malformed_total";
  }
  const std::size_t total = Read16(aBytes, 2);
  if (header > aBytes.size() || total > aBytes.size()) {
    return "packets_dropped_truncated_total";
  }
  if (total != aBytes.size()) {
    return "packets_dropped_malformed_total";
  }
  if (FoldCarries(SumWords(aBytes.first(header))) != 0xFFFF) {
    return "packets_dropped_checksum_total";
  }
  return nullptr;
}

/// Parses the TCP segment of a packet whose IP header is valid.
state::Result<PacketView>
ParseTcp(std::span<const std::uint8_t> aBytes, const Tins::IP& aPacket)
{
  const auto* tcp = dynamic_cast<const Tins::TCP*>(aPacket.inner_pdu());
  if (tcp == nullptr) {
    return DropError("packets_dropped_malformed_total");
  }
  if (TransportSum(aBytes) != 0xFFFF) {
    return DropError("packets_dropped_checksum_total");
  }
  PacketView view;
  auto& header = view.mHeader;
  header.mProtocol = TransportProtocol::Tcp;
  header.mSource = { FromTins(aPacket.src_addr()), tcp->sport() };
  header.mDestination = { FromTins(aPacket.dst_addr()), tcp->dport() };
  header.mSyn = tcp->get_flag(Tins::TCP::SYN) != 0;
  header.mAck = tcp->get_flag(Tins::TCP::ACK) != 0;
  header.mFin = tcp->get_flag(Tins::TCP::FIN) != 0;
  header.mRst = tcp->get_flag(Tins::TCP::RST) != 0;
  header.mSequence = tcp->seq();
  header.mAcknowledgementNumber = tcp->ack_seq();
  header.mWindow = tcp->window();
  view.mPayload = aBytes.subspan(HeaderLength(aBytes) +
                                 std::size_t{ tcp->data_offset() } * 4);
  return view;
}

/// Parses the UDP datagram of a packet whose IP header is valid.
state::Result<PacketView>
ParseUdp(std::span<const std::uint8_t> aBytes, const Tins::IP& aPacket)
{
  const auto* udp = dynamic_cast<const Tins::UDP*>(aPacket.inner_pdu());
  const auto segment = aBytes.subspan(HeaderLength(aBytes));
  if (udp == nullptr || Read16(segment, kUdpLengthOffset) != segment.size()) {
    return DropError("packets_dropped_malformed_total");
  }
  // A checksum of zero means that the sender computed none (RFC 768).
  if (udp->checksum() != 0 && TransportSum(aBytes) != 0xFFFF) {
    return DropError("packets_dropped_checksum_total");
  }
  PacketView view;
  view.mHeader.mProtocol = TransportProtocol::Udp;
  view.mHeader.mSource = { FromTins(aPacket.src_addr()), udp->sport() };
  view.mHeader.mDestination = { FromTins(aPacket.dst_addr()), udp->dport() };
  view.mPayload = segment.subspan(kUdpHeaderBytes);
  return view;
}

/// Replaces a 16-bit field and updates the checksums that cover it by equation
/// 3 of RFC 1624.
void
Replace16(std::span<std::uint8_t> aBytes,
          std::size_t aOffset,
          std::uint16_t aValue,
          std::span<const std::size_t> aChecksumOffsets)
{
  const std::uint32_t removed =
    static_cast<std::uint16_t>(~Read16(aBytes, aOffset));
  for (const auto offset : aChecksumOffsets) {
    const std::uint32_t sum =
      static_cast<std::uint16_t>(~Read16(aBytes, offset));
    Write16(aBytes,
            offset,
            static_cast<std::uint16_t>(~FoldCarries(sum + removed + aValue)));
  }
  Write16(aBytes, aOffset, aValue);
}

/// Replaces the address and port of the source or destination. The TCP or
/// UDP checksum covers the port and, through the pseudo-header, the address;
/// the IP checksum covers only the address.
void
RewriteEndpoint(std::span<std::uint8_t> aBytes,
                std::size_t aAddressOffset,
                std::size_t aPortOffset,
                const Endpoint& aEndpoint)
{
  const auto transportOffset = HeaderLength(aBytes);
  const bool isUdp = aBytes[kIpProtocolOffset] ==
                     static_cast<std::uint8_t>(TransportProtocol::Udp);
  const auto checksumOffset =
    transportOffset + (isUdp ? kUdpChecksumOffset : kTcpChecksumOffset);
  const bool hasChecksum = !isUdp || Read16(aBytes, checksumOffset) != 0;
  const std::array<std::size_t, 2> checksumOffsets{ checksumOffset,
                                                    kIpChecksumOffset };
  const std::span allChecksums(checksumOffsets);
  const auto addressChecksums =
    hasChecksum ? allChecksums : allChecksums.last(1);
  const auto portChecksums =
    hasChecksum ? allChecksums.first(1) : allChecksums.first(0);

  const auto address = aEndpoint.mAddress.mValue;
  Replace16(aBytes,
            aAddressOffset,
            static_cast<std::uint16_t>(address >> 16),
            addressChecksums);
  Replace16(aBytes,
            aAddressOffset + 2,
            static_cast<std::uint16_t>(address),
            addressChecksums);
  Replace16(
    aBytes, transportOffset + aPortOffset, aEndpoint.mPort, portChecksums);
  // A checksum of zero would mean that there is none (RFC 768).
  if (isUdp && hasChecksum && Read16(aBytes, checksumOffset) == 0) {
    Write16(aBytes, checksumOffset, 0xFFFF);
  }
}

/// Adds the TCP or UDP header and the payload to an IP header, and serializes
/// them with their lengths and checksums.
Bytes
SerializePacket(const PacketHeader& aHeader,
                std::span<const std::uint8_t> aPayload,
                Tins::IP aPacket)
{
  if (aHeader.mProtocol == TransportProtocol::Udp) {
    aPacket /= Tins::UDP(aHeader.mDestination.mPort, aHeader.mSource.mPort);
  } else {
    Tins::TCP tcp(aHeader.mDestination.mPort, aHeader.mSource.mPort);
    tcp.set_flag(Tins::TCP::SYN, aHeader.mSyn ? 1 : 0);
    tcp.set_flag(Tins::TCP::ACK, aHeader.mAck ? 1 : 0);
    tcp.set_flag(Tins::TCP::FIN, aHeader.mFin ? 1 : 0);
    tcp.set_flag(Tins::TCP::RST, aHeader.mRst ? 1 : 0);
    tcp.seq(aHeader.mSequence);
    tcp.ack_seq(aHeader.mAcknowledgementNumber);
    tcp.window(aHeader.mWindow);
    aPacket /= tcp;
  }
  if (!aPayload.empty()) {
    aPacket /= Tins::RawPDU(aPayload.data(),
                            static_cast<std::uint32_t>(aPayload.size()));
  }
  return aPacket.serialize();
}

} // namespace

state::Result<PacketView>
ParsePacket(std::span<const std::uint8_t> aBytes)
{
  if (const auto* counter = CheckIpHeader(aBytes)) {
    return DropError(counter);
  }
  try {
    const Tins::IP packet(aBytes.data(),
                          static_cast<std::uint32_t>(aBytes.size()));
    if (packet.is_fragmented()) {
      return DropError("packets_dropped_fragment_total");
    }
    switch (packet.protocol()) {
      case static_cast<std::uint8_t>(TransportProtocol::Tcp):
        return ParseTcp(aBytes, packet);
      case static_cast<std::uint8_t>(TransportProtocol::Udp):
        return ParseUdp(aBytes, packet);
      default:
        return DropError("packets_dropped_protocol_total");
    }
  } catch (const Tins::exception_base&) {
    return DropError("packets_dropped_malformed_total");
  }
}

Bytes
BuildPacket(const PacketHeader& aHeader, std::span<const std::uint8_t> aPayload)
{
  // libtins replaces the source 0.0.0.0 by the address of a network interface.
  // A packet with that source is serialized with another one, which is then
  // rewritten.
  auto source = aHeader.mSource.mAddress;
  if (source.mValue == 0) {
    source.mValue = 1;
  }
  Tins::IP packet(ToTins(aHeader.mDestination.mAddress), ToTins(source));
  packet.ttl(64);
  auto bytes = SerializePacket(aHeader, aPayload, std::move(packet));
  if (source != aHeader.mSource.mAddress) {
    RewriteSource(bytes, aHeader.mSource);
  }
  return bytes;
}

void
RewriteDestination(std::span<std::uint8_t> aBytes, const Endpoint& aDestination)
{
  RewriteEndpoint(
    aBytes, kIpDestinationOffset, kDestinationPortOffset, aDestination);
}

void
RewriteSource(std::span<std::uint8_t> aBytes, const Endpoint& aSource)
{
  RewriteEndpoint(aBytes, kIpSourceOffset, kSourcePortOffset, aSource);
}

} // namespace sassafrasknot::protocol
