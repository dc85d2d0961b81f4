#include "sassafrasknot/protocol/peer_message.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::protocol {
namespace {

using namespace coordination;

/// Generates any value of a type.
template<typename Value>
Value
Any()
{
  return *rc::gen::arbitrary<Value>();
}

/// Generates a list of 0 to 5 elements.
template<typename Make>
auto
ListOf(const Make& aMake)
{
  std::vector<decltype(aMake())> list;
  list.resize(*rc::gen::inRange<std::size_t>(0, 6));
  for (auto& element : list) {
    element = aMake();
  }
  return list;
}

std::string
AnyName()
{
  return *rc::gen::element<std::string>("galle-1", "brno.2", "C_3");
}

state::Endpoint
AnyEndpoint()
{
  return { { Any<std::uint32_t>() }, Any<std::uint16_t>() };
}

state::FlowKey
AnyKey()
{
  return { AnyEndpoint(),
           AnyEndpoint(),
           *rc::gen::element(state::TransportProtocol::Tcp,
                             state::TransportProtocol::Udp) };
}

FlowRecord
AnyFlowRecord()
{
  return { AnyKey(),
           AnyEndpoint(),
           *rc::gen::element(state::FlowClass::Work, state::FlowClass::Long),
           Any<bool>(),
           Any<bool>(),
           Any<bool>() };
}

AnswerReport
AnyReport()
{
  return { AnyKey(),
           AnyEndpoint(),
           *rc::gen::element(state::SegmentKind::Open,
                             state::SegmentKind::Reset),
           Any<bool>(),
           Any<std::uint32_t>() };
}

TrafficMessage
AnyTrafficMessage()
{
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      return AnswerReports{ ListOf(AnyReport) };
    case 1:
      return FlowRecords{ ListOf(AnyFlowRecord) };
    case 2:
      return HandoverBatch{ Any<std::uint64_t>(),
                            Any<bool>(),
                            ListOf(AnyFlowRecord) };
    case 3:
      return HandoverAcknowledgement{ Any<std::uint64_t>() };
    case 4:
      return ReportRequest{ Any<std::uint64_t>() };
    default:
      return FlowLookup{ AnyKey() };
  }
}

MemberUpdate
AnyMember()
{
  return { { AnyName() },
           { AnyName() },
           AnyEndpoint(),
           AnyEndpoint(),
           *rc::gen::element(MemberHealth::Suspected, MemberHealth::Dead),
           Any<bool>(),
           Any<std::uint64_t>() };
}

DigestEntry
AnyDigestEntry()
{
  return { "organisations/" + AnyName(),
           Any<std::uint64_t>(),
           Any<std::uint64_t>() };
}

std::chrono::milliseconds
AnyAge()
{
  return std::chrono::milliseconds(*rc::gen::inRange(0, 1000000));
}

ControlBody
AnyControlBody()
{
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      return Probe{ Any<std::uint32_t>(), ListOf(AnyMember) };
    case 1:
      return IndirectProbe{
        Any<std::uint32_t>(), { AnyName() }, AnyEndpoint(), ListOf(AnyMember)
      };
    case 2:
      return Acknowledgement{ Any<std::uint32_t>(),
                              { AnyName() },
                              ListOf(AnyMember) };
    case 3:
      return Digest{ ListOf(AnyDigestEntry),
                     Any<std::uint64_t>(),
                     Any<bool>() };
    case 4:
      return Pull{ Any<std::uint32_t>(),
                   ListOf(AnyName),
                   ListOf(Any<std::uint64_t>) };
    default:
      return DataCentreSummary{ { AnyName() },
                                Any<std::uint64_t>(),
                                ListOf(AnyMember) };
  }
}

ControlMessage
AnyControlMessage()
{
  return {
    AnyMember(),
    Any<std::uint64_t>(),
    ListOf([] {
      return RelayedSummary{ { AnyName() }, Any<std::uint64_t>(), AnyAge() };
    }),
    AnyControlBody()
  };
}

PeerMessage
AnyPeerMessage()
{
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      return ForwardedPacket{ { { AnyName() }, { AnyName() } }, Any<Bytes>() };
    case 1:
      return TrafficEnvelope{ { AnyName() }, AnyTrafficMessage() };
    default:
      return AnyControlMessage();
  }
}

/// Encodes and decodes a message.
template<typename Message>
Message
ReadBack(const Message& aMessage)
{
  const auto decoded = DecodePeerMessage(EncodePeerMessage(aMessage));
  RC_ASSERT(decoded.has_value());
  return std::get<Message>(decoded.value());
}

// Guards against a codec that loses or changes fields of traffic messages.
RC_GTEST_PROP(PeerMessage, TrafficMessagesReadBack, ())
{
  const TrafficEnvelope sent{ { AnyName() }, AnyTrafficMessage() };
  const auto received = ReadBack(sent);
  RC_ASSERT(received.mSender == sent.mSender);
  RC_ASSERT(received.mMessage == sent.mMessage);
}

// Guards against a codec that loses or changes fields of control messages.
// PullResponse has no comparison operator; the next test covers it.
RC_GTEST_PROP(PeerMessage, ControlMessagesReadBack, ())
{
  const auto sent = AnyControlMessage();
  const auto received = ReadBack(sent);
  RC_ASSERT(received.mSender == sent.mSender);
  RC_ASSERT(received.mRevisionInForce == sent.mRevisionInForce);
  RC_ASSERT(received.mRelayedSummaries == sent.mRelayedSummaries);
  RC_ASSERT(received.mBody.index() == sent.mBody.index());
  std::visit(
    [&](const auto& aBody) {
      using Body = std::decay_t<decltype(aBody)>;
      if constexpr (!std::is_same_v<Body, PullResponse>) {
        RC_ASSERT(std::get<Body>(received.mBody) == aBody);
      }
    },
    sent.mBody);
}

// Guards against records that arrive from a peer without the configuration in
// force, the claims or the decoded document.
TEST(PeerMessage, RecordsReadBack)
{
  const std::string text = R"({"instances":[]})";
  state::ConfigurationEntry entry;
  entry.mLatest = { "instances/galle", 7, false, text, nullptr };
  entry.mDeletedAt = 3;
  entry.mInForce =
    state::RecordPair{ { "organisations/chime", 5, false, "{}", nullptr },
                       { "templates/workshop", 4, true, "", nullptr } };
  entry.mClaims = { { { { 1 }, 80 }, 2 } };
  ControlMessage sent;
  sent.mSender.mId = { "a" };
  sent.mSender.mDataCentre = { "galle" };
  sent.mBody = PullResponse{ 9,
                             { entry },
                             { { "k", 1, 2 } },
                             { { { { 4 }, 5 }, 6, std::chrono::seconds(7) } } };
  const auto decoded = DecodePeerMessage(EncodePeerMessage(sent));
  ASSERT_TRUE(decoded.has_value());
  const auto& records =
    std::get<PullResponse>(std::get<ControlMessage>(decoded.value()).mBody);
  ASSERT_EQ(records.mEntries.size(), 1);
  const auto& received = records.mEntries[0];
  EXPECT_EQ(received.mLatest.mText, text);
  EXPECT_NE(received.mLatest.mDocument, nullptr);
  EXPECT_EQ(received.mDeletedAt, 3);
  ASSERT_TRUE(received.mInForce.has_value());
  EXPECT_EQ(received.mInForce->mOrganisation.mRevision, 5);
  EXPECT_EQ(received.mInForce->mOrganisation.mDocument, nullptr);
  EXPECT_TRUE(received.mInForce->mTemplate.mDeleted);
  EXPECT_EQ(received.mClaims, entry.mClaims);
  EXPECT_EQ(records.mDifferingKeys,
            std::get<PullResponse>(sent.mBody).mDifferingKeys);
  EXPECT_EQ(records.mQuarantined,
            std::get<PullResponse>(sent.mBody).mQuarantined);
}

// Guards against a crash on corrupted messages, and against errors without the
// name of their counter.
RC_GTEST_PROP(PeerMessage, CorruptedMessagesNeverCrash, ())
{
  auto bytes = EncodePeerMessage(AnyPeerMessage());
  const int changes = *rc::gen::inRange(1, 8);
  for (int change = 0; change < changes; ++change) {
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
      Any<std::uint8_t>();
  }
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  if (const auto decoded = DecodePeerMessage(bytes); !decoded) {
    RC_ASSERT(decoded.error().mMessage ==
              "peer_messages_dropped_malformed_total");
  }
}

// Guards against a crash on random bytes after the first byte of a message.
RC_GTEST_PROP(PeerMessage, ArbitraryBytesNeverCrash, (Bytes aBytes))
{
  aBytes.insert(aBytes.begin(), 0x01);
  (void)DecodePeerMessage(aBytes);
}

// Guards against a packet that is handled as a message, or the reverse.
RC_GTEST_PROP(PeerMessage, FirstByteDistinguishesItFromAPacket, ())
{
  RC_ASSERT(IsPeerMessage(EncodePeerMessage(AnyPeerMessage())));
  RC_ASSERT(!IsPeerMessage(BuildPacket({}, {})));
}

// Guards against forwarded packets with no hops, with an empty name as hop, or
// with more than kMaxHops, as a forwarding loop would cause.
TEST(PeerMessage, RejectsInvalidHops)
{
  for (const auto& hops : { std::vector<state::InstanceId>{},
                            std::vector<state::InstanceId>{ { "" } },
                            std::vector<state::InstanceId>(
                              kMaxHops + 1, state::InstanceId{ "a" }) }) {
    EXPECT_FALSE(DecodePeerMessage(EncodeForwardedPacket(hops, Bytes{ 0x45 }))
                   .has_value());
  }
}

} // namespace
} // namespace sassafrasknot::protocol
