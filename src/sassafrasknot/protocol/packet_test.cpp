#include "sassafrasknot/protocol/packet.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::protocol {
namespace {

using state::Endpoint;

Endpoint
AnyEndpoint()
{
  return { { *rc::gen::arbitrary<std::uint32_t>() },
           *rc::gen::arbitrary<std::uint16_t>() };
}

/// Generates a TCP or UDP header; only TCP has flags and numbers.
PacketHeader
AnyHeader()
{
  PacketHeader header;
  header.mSource = AnyEndpoint();
  header.mDestination = AnyEndpoint();
  if (*rc::gen::arbitrary<bool>()) {
    header.mProtocol = state::TransportProtocol::Udp;
    return header;
  }
  header.mSyn = *rc::gen::arbitrary<bool>();
  header.mAck = *rc::gen::arbitrary<bool>();
  header.mFin = *rc::gen::arbitrary<bool>();
  header.mRst = *rc::gen::arbitrary<bool>();
  header.mSequence = *rc::gen::arbitrary<std::uint32_t>();
  header.mAcknowledgementNumber = *rc::gen::arbitrary<std::uint32_t>();
  header.mWindow = *rc::gen::arbitrary<std::uint16_t>();
  return header;
}

/// Whether an error names a counter of dropped packets.
bool
IsDropCounterError(const state::Error& aError)
{
  return aError.mCode == state::ErrorCode::Malformed &&
         aError.mMessage.starts_with("packets_dropped_") &&
         aError.mMessage.ends_with("_total");
}

/// Recomputes the checksum of an IP header of 20 bytes after a change.
void
UpdateIpChecksum(Bytes& aBytes)
{
  aBytes[10] = aBytes[11] = 0;
  std::uint32_t sum = 0;
  for (std::size_t offset = 0; offset < 20; offset += 2) {
    sum += static_cast<std::uint32_t>(aBytes[offset] << 8 | aBytes[offset + 1]);
  }
  sum = (sum & 0xFFFF) + (sum >> 16);
  sum = ~((sum & 0xFFFF) + (sum >> 16));
  aBytes[10] = static_cast<std::uint8_t>(sum >> 8);
  aBytes[11] = static_cast<std::uint8_t>(sum);
}

// Guards against a header field or payload that the codec loses or misplaces.
RC_GTEST_PROP(Packet, ReadsBackWhatWasBuilt, (const Bytes& aPayload))
{
  const auto header = AnyHeader();
  const auto bytes = BuildPacket(header, aPayload);
  const auto view = ParsePacket(bytes);
  RC_ASSERT(view.has_value());
  RC_ASSERT(view.value().mHeader == header);
  const auto payload = view.value().mPayload;
  RC_ASSERT(Bytes(payload.begin(), payload.end()) == aPayload);
}

// Guards against rewrites that leave an invalid checksum, so that the receiver
// drops the packet.
RC_GTEST_PROP(Packet, RewritesKeepChecksumsValid, (const Bytes& aPayload))
{
  auto header = AnyHeader();
  auto bytes = BuildPacket(header, aPayload);
  header.mSource = AnyEndpoint();
  header.mDestination = AnyEndpoint();
  RewriteSource(bytes, header.mSource);
  RewriteDestination(bytes, header.mDestination);
  const auto view = ParsePacket(bytes);
  RC_ASSERT(view.has_value());
  RC_ASSERT(view.value().mHeader == header);
}

// Guards against a rewrite that turns the checksum 0 of a UDP datagram, which
// means that there is none, into another value, which the receiver would check
// and find wrong.
TEST(Packet, RewriteKeepsAnAbsentUdpChecksum)
{
  PacketHeader header;
  header.mProtocol = state::TransportProtocol::Udp;
  header.mSource = { { 0x0A000001 }, 1000 };
  header.mDestination = { { 0x0A000002 }, 2000 };
  auto bytes = BuildPacket(header, {});
  bytes[26] = bytes[27] = 0;
  RewriteDestination(bytes, { { 0x0A000003 }, 3000 });
  EXPECT_EQ(bytes[26], 0);
  EXPECT_EQ(bytes[27], 0);
  EXPECT_TRUE(ParsePacket(bytes).has_value());
}

// Guards against a crash or a payload beyond the packet on malicious input.
RC_GTEST_PROP(Packet, ArbitraryBytesNeverCrash, (Bytes aBytes))
{
  // Random bytes rarely pass the header checks, so many of them get a header.
  if (aBytes.size() >= 20 && *rc::gen::arbitrary<bool>()) {
    aBytes[0] = 0x45;
    aBytes[2] = static_cast<std::uint8_t>(aBytes.size() >> 8);
    aBytes[3] = static_cast<std::uint8_t>(aBytes.size());
    aBytes[6] = aBytes[7] = 0;
    aBytes[9] = *rc::gen::element<std::uint8_t>(6, 17, 4, 1);
    UpdateIpChecksum(aBytes);
  }
  const auto view = ParsePacket(aBytes);
  if (view) {
    RC_ASSERT(view.value().mPayload.size() <= aBytes.size());
  } else {
    RC_ASSERT(IsDropCounterError(view.error()));
  }
}

// Guards against a truncated packet that is accepted as a shorter one.
RC_GTEST_PROP(Packet, RejectsTruncatedPackets, (const Bytes& aPayload))
{
  auto bytes = BuildPacket(AnyHeader(), aPayload);
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
  const auto view = ParsePacket(bytes);
  RC_ASSERT(!view.has_value());
  RC_ASSERT(view.error().mMessage == "packets_dropped_truncated_total");
}

// Guards against a truncated TCP or UDP header in a packet whose IP length is
// consistent.
RC_GTEST_PROP(Packet, RejectsTruncatedTransportHeaders, ())
{
  auto bytes = BuildPacket(AnyHeader(), {});
  bytes.resize(*rc::gen::inRange<std::size_t>(20, bytes.size()));
  bytes[3] = static_cast<std::uint8_t>(bytes.size());
  UpdateIpChecksum(bytes);
  const auto view = ParsePacket(bytes);
  RC_ASSERT(!view.has_value());
  RC_ASSERT(IsDropCounterError(view.error()));
}

// Guards against fragments, of which all but the first have no TCP or UDP
// header: their payload would be read as ports.
RC_GTEST_PROP(Packet, RejectsFragments, (const Bytes& aPayload))
{
  auto bytes = BuildPacket(AnyHeader(), aPayload);
  const auto field = *rc::gen::inRange<std::uint16_t>(1, 0x3FFF);
  bytes[6] = static_cast<std::uint8_t>(field >> 8);
  bytes[7] = static_cast<std::uint8_t>(field);
  UpdateIpChecksum(bytes);
  const auto view = ParsePacket(bytes);
  RC_ASSERT(!view.has_value());
  RC_ASSERT(view.error().mMessage == "packets_dropped_fragment_total");
}

// Guards against a corrupted packet that is accepted.
RC_GTEST_PROP(Packet, RejectsSingleBitErrors, (const Bytes& aPayload))
{
  auto header = AnyHeader();
  header.mProtocol = state::TransportProtocol::Tcp;
  auto bytes = BuildPacket(header, aPayload);
  const auto offset = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[offset] ^= static_cast<std::uint8_t>(1U << *rc::gen::inRange(0, 8));
  const auto view = ParsePacket(bytes);
  RC_ASSERT(!view.has_value());
  RC_ASSERT(IsDropCounterError(view.error()));
}

// Guards against packets of other protocols whose payload is read as ports.
TEST(Packet, RejectsOtherProtocols)
{
  PacketHeader header;
  header.mSource = { { 0x0A000001 }, 1 };
  auto bytes = BuildPacket(header, {});
  bytes[9] = 1;
  UpdateIpChecksum(bytes);
  const auto view = ParsePacket(bytes);
  ASSERT_FALSE(view.has_value());
  EXPECT_EQ(view.error().mMessage, "packets_dropped_protocol_total");
}

} // namespace
} // namespace sassafrasknot::protocol
