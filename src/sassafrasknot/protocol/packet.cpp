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

constexpr std::size_t kMinimalIpHeader = 20;
constexpr std::size_t kUdpHeader = 8;

// Offsets from the start of the IP header or of the transport header.
constexpr std::size_t kIpProtocolAt = 9;
constexpr std::size_t kIpChecksumAt = 10;
constexpr std::size_t kIpSourceAt = 12;
constexpr std::size_t kIpDestinationAt = 16;
constexpr std::size_t kSourcePortAt = 0;
constexpr std::size_t kDestinationPortAt = 2;
constexpr std::size_t kUdpLengthAt = 4;
constexpr std::size_t kUdpChecksumAt = 6;
constexpr std::size_t kTcpChecksumAt = 16;

state::Error
Dropped(const char* aCounter)
{
  return { state::ErrorCode::Malformed, state::Verdict::NotRun, aCounter };
}

std::uint16_t
Read16(std::span<const std::uint8_t> aBytes, std::size_t aAt)
{
  return static_cast<std::uint16_t>(aBytes[aAt] << 8 | aBytes[aAt + 1]);
}

void
Write16(std::span<std::uint8_t> aBytes, std::size_t aAt, std::uint16_t aValue)
{
  aBytes[aAt] = static_cast<std::uint8_t>(aValue >> 8);
  aBytes[aAt + 1] = static_cast<std::uint8_t>(aValue);
}

std::uint16_t
Fold(std::uint32_t aSum)
{
  while (aSum >> 16 != 0) {
    aSum = (aSum & 0xFFFF) + (aSum >> 16);
  }
  return static_cast<std::uint16_t>(aSum);
}

std::size_t
HeaderLength(std::span<const std::uint8_t> aBytes)
{
  return static_cast<std::size_t>(aBytes[0] & 0x0F) * 4;
}

std::uint32_t
Sum(std::span<const std::uint8_t> aBytes)
{
  return Tins::Utils::sum_range(aBytes.data(), aBytes.data() + aBytes.size());
}

/// Sums the pseudo-header (RFC 9293, RFC 768) and the segment; 0xFFFF is right.
std::uint16_t
TransportSum(std::span<const std::uint8_t> aBytes)
{
  const auto segment = aBytes.subspan(HeaderLength(aBytes));
  const auto length = segment.size();
  const std::array<std::uint8_t, 4> tail{ 0,
                                          aBytes[kIpProtocolAt],
                                          static_cast<std::uint8_t>(length >>
                                                                    8),
                                          static_cast<std::uint8_t>(length) };
  return Fold(Sum(aBytes.subspan(kIpSourceAt, 8)) + Sum(tail) + Sum(segment));
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

/// Checks the IP header; returns the counter of the drop, or null.
const char*
CheckIpHeader(std::span<const std::uint8_t> aBytes)
{
  if (aBytes.size() < kMinimalIpHeader) {
    return "packets_dropped_truncated_total";
  }
  const auto header = HeaderLength(aBytes);
  if (aBytes[0] >> 4 != 4 || header < kMinimalIpHeader) {
    return "packets_dropped_malformed_total";
  }
  const std::size_t total = Read16(aBytes, 2);
  if (header > aBytes.size() || total > aBytes.size()) {
    return "packets_dropped_truncated_total";
  }
  if (total != aBytes.size()) {
    return "packets_dropped_malformed_total";
  }
  if (Fold(Sum(aBytes.first(header))) != 0xFFFF) {
    return "packets_dropped_checksum_total";
  }
  return nullptr;
}

state::Result<PacketView>
ReadTcp(std::span<const std::uint8_t> aBytes, const Tins::IP& aPacket)
{
  const auto* tcp = dynamic_cast<const Tins::TCP*>(aPacket.inner_pdu());
  if (tcp == nullptr) {
    return Dropped("packets_dropped_malformed_total");
  }
  if (TransportSum(aBytes) != 0xFFFF) {
    return Dropped("packets_dropped_checksum_total");
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

state::Result<PacketView>
ReadUdp(std::span<const std::uint8_t> aBytes, const Tins::IP& aPacket)
{
  const auto* udp = dynamic_cast<const Tins::UDP*>(aPacket.inner_pdu());
  const auto segment = aBytes.subspan(HeaderLength(aBytes));
  if (udp == nullptr || Read16(segment, kUdpLengthAt) != segment.size()) {
    return Dropped("packets_dropped_malformed_total");
  }
  // A checksum of zero says that the sender computed none (RFC 768).
  if (udp->checksum() != 0 && TransportSum(aBytes) != 0xFFFF) {
    return Dropped("packets_dropped_checksum_total");
  }
  PacketView view;
  view.mHeader.mProtocol = TransportProtocol::Udp;
  view.mHeader.mSource = { FromTins(aPacket.src_addr()), udp->sport() };
  view.mHeader.mDestination = { FromTins(aPacket.dst_addr()), udp->dport() };
  view.mPayload = segment.subspan(kUdpHeader);
  return view;
}

/// Replaces a 16-bit field that the checksums at the given places cover, by
/// equation 3 of RFC 1624.
void
Replace16(std::span<std::uint8_t> aBytes,
          std::size_t aAt,
          std::uint16_t aValue,
          std::span<const std::size_t> aChecksums)
{
  const std::uint32_t removed =
    static_cast<std::uint16_t>(~Read16(aBytes, aAt));
  for (const auto at : aChecksums) {
    const std::uint32_t sum = static_cast<std::uint16_t>(~Read16(aBytes, at));
    Write16(
      aBytes, at, static_cast<std::uint16_t>(~Fold(sum + removed + aValue)));
  }
  Write16(aBytes, aAt, aValue);
}

void
RewriteEndpoint(std::span<std::uint8_t> aBytes,
                std::size_t aAddressAt,
                std::size_t aPortAt,
                const Endpoint& aEndpoint)
{
  const auto transport = HeaderLength(aBytes);
  const bool udp =
    aBytes[kIpProtocolAt] == static_cast<std::uint8_t>(TransportProtocol::Udp);
  const auto checksumAt = transport + (udp ? kUdpChecksumAt : kTcpChecksumAt);
  const bool checked = !udp || Read16(aBytes, checksumAt) != 0;
  const std::array<std::size_t, 2> checksums{ checksumAt, kIpChecksumAt };
  const std::span all(checksums);
  const auto ofAddress = checked ? all : all.last(1);
  const auto ofPort = checked ? all.first(1) : all.first(0);

  const auto address = aEndpoint.mAddress.mValue;
  Replace16(
    aBytes, aAddressAt, static_cast<std::uint16_t>(address >> 16), ofAddress);
  Replace16(
    aBytes, aAddressAt + 2, static_cast<std::uint16_t>(address), ofAddress);
  Replace16(aBytes, transport + aPortAt, aEndpoint.mPort, ofPort);
  // Zero would say that there is no checksum (RFC 768).
  if (udp && checked && Read16(aBytes, checksumAt) == 0) {
    Write16(aBytes, checksumAt, 0xFFFF);
  }
}

Bytes
Serialize(const PacketHeader& aHeader,
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
    return Dropped(counter);
  }
  try {
    const Tins::IP packet(aBytes.data(),
                          static_cast<std::uint32_t>(aBytes.size()));
    if (packet.is_fragmented()) {
      return Dropped("packets_dropped_fragment_total");
    }
    switch (packet.protocol()) {
      case static_cast<std::uint8_t>(TransportProtocol::Tcp):
        return ReadTcp(aBytes, packet);
      case static_cast<std::uint8_t>(TransportProtocol::Udp):
        return ReadUdp(aBytes, packet);
      default:
        return Dropped("packets_dropped_protocol_total");
    }
  } catch (const Tins::exception_base&) {
    return Dropped("packets_dropped_malformed_total");
  }
}

Bytes
BuildPacket(const PacketHeader& aHeader, std::span<const std::uint8_t> aPayload)
{
  // libtins puts an interface's address in place of the source 0.0.0.0, so
  // that source is written after serialization.
  auto source = aHeader.mSource.mAddress;
  if (source.mValue == 0) {
    source.mValue = 1;
  }
  Tins::IP packet(ToTins(aHeader.mDestination.mAddress), ToTins(source));
  packet.ttl(64);
  auto bytes = Serialize(aHeader, aPayload, std::move(packet));
  if (source != aHeader.mSource.mAddress) {
    RewriteSource(bytes, aHeader.mSource);
  }
  return bytes;
}

void
RewriteDestination(std::span<std::uint8_t> aBytes, const Endpoint& aDestination)
{
  RewriteEndpoint(aBytes, kIpDestinationAt, kDestinationPortAt, aDestination);
}

void
RewriteSource(std::span<std::uint8_t> aBytes, const Endpoint& aSource)
{
  RewriteEndpoint(aBytes, kIpSourceAt, kSourcePortAt, aSource);
}

} // namespace sassafrasknot::protocol
