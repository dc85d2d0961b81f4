#include <utility>

#include "tcp_connection.hpp"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknotctl {
namespace {

using std::chrono::milliseconds;

constexpr state::Endpoint kCaller{ { 0x7f1e0001 }, 10000 };
constexpr state::Endpoint kService{ { 0x7f0a0001 }, 7001 };
constexpr state::TimePoint kStart{};

// Removes the packets of the output and returns their headers.
std::vector<protocol::PacketHeader>
PopHeaders(TcpConnection& aConnection)
{
  std::vector<protocol::PacketHeader> headers;
  for (const auto& bytes : std::exchange(aConnection.mOutput, {})) {
    headers.push_back(protocol::ParsePacket(bytes).value().mHeader);
  }
  return headers;
}

// Delivers the packets of one end to the other.
void
Exchange(TcpConnection& aFrom, TcpConnection& aTo)
{
  for (const auto& bytes : std::exchange(aFrom.mOutput, {})) {
    OnSegment(aTo, protocol::ParsePacket(bytes).value(), kStart);
  }
}

// Returns the caller's and the server's end of an established connection.
std::pair<TcpConnection, TcpConnection>
Establish(std::uint32_t aCallerSequence = 1000,
          std::uint32_t aServerSequence = 5000)
{
  auto caller = Connect(kCaller, kService, {}, aCallerSequence, kStart);
  const auto syn = PopHeaders(caller).at(0);
  auto server = Accept(syn, {}, aServerSequence, kStart);
  Exchange(server, caller);
  Exchange(caller, server);
  return { std::move(caller), std::move(server) };
}

protocol::PacketView
Segment(const protocol::PacketHeader& aHeader)
{
  return { aHeader, {} };
}

// Guards against payload that is lost when sequence numbers wrap at 2^32.
RC_GTEST_PROP(TcpConnection,
              DeliversAcrossTheWrap,
              (std::uint16_t aBefore, const std::string& aText))
{
  auto [caller, server] = Establish(0U - aBefore, aBefore);
  RC_ASSERT(server.mState == TcpState::Established);
  Send(caller, aText, kStart);
  Close(caller, kStart);
  for (int i = 0; i < 10; ++i) {
    Exchange(caller, server);
    Exchange(server, caller);
  }
  RC_ASSERT(server.mReceived == aText);
  RC_ASSERT(PeerFinished(server));
  Close(server, kStart);
  Exchange(server, caller);
  Exchange(caller, server);
  RC_ASSERT(caller.mEndReason == TcpEndReason::Finished);
  RC_ASSERT(server.mEndReason == TcpEndReason::Finished);
}

// Guards against a caller whose flow ends with a reset that has a wrong
// sequence number (RFC 5961): the load tool would count flows as broken because
// of stray packets, and would not detect malformed resets.
TEST(TcpConnection, AcceptsResetsWithTheExpectedSequenceOnly)
{
  auto [caller, server] = Establish();
  protocol::PacketHeader reset{ .mSource = kService, .mDestination = kCaller };
  reset.mRst = true;
  reset.mSequence = 5000;
  OnSegment(caller, Segment(reset), kStart);
  EXPECT_EQ(caller.mState, TcpState::Established);
  EXPECT_TRUE(caller.mOutput.empty());
  reset.mSequence = 5002;
  OnSegment(caller, Segment(reset), kStart);
  EXPECT_EQ(caller.mState, TcpState::Established);
  EXPECT_EQ(PopHeaders(caller).size(), 1U);
  reset.mSequence = 5001;
  OnSegment(caller, Segment(reset), kStart);
  EXPECT_EQ(caller.mEndReason, TcpEndReason::Reset);
}

// Guards against a connection that ends because of a reset that answered
// another SYN.
TEST(TcpConnection, AcceptsRefusalsOfItsOwnSynOnly)
{
  auto caller = Connect(kCaller, kService, {}, 1000, kStart);
  protocol::PacketHeader reset{ .mSource = kService, .mDestination = kCaller };
  reset.mRst = true;
  reset.mAck = true;
  reset.mAcknowledgementNumber = 900;
  OnSegment(caller, Segment(reset), kStart);
  EXPECT_EQ(caller.mState, TcpState::SynSent);
  reset.mAcknowledgementNumber = 1001;
  OnSegment(caller, Segment(reset), kStart);
  EXPECT_EQ(caller.mEndReason, TcpEndReason::Refused);
}

// Guards against keepalive probes that are not answered, so that the flow's
// upstream would count as unresponsive.
TEST(TcpConnection, AnswersKeepaliveProbes)
{
  auto [caller, server] = Establish();
  protocol::PacketHeader probe{ .mSource = kCaller, .mDestination = kService };
  probe.mAck = true;
  probe.mSequence = 1000;
  probe.mAcknowledgementNumber = 5001;
  OnSegment(server, Segment(probe), kStart);
  const auto answers = PopHeaders(server);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_TRUE(answers[0].mAck);
  EXPECT_FALSE(answers[0].mRst);
  EXPECT_EQ(answers[0].mAcknowledgementNumber, 1001U);
}

// Guards against a SYN that is retransmitted without an end or without
// exponential backoff.
TEST(TcpConnection, RetransmitsItsSynWithBackoff)
{
  TcpSettings settings;
  settings.mMaxRetransmissions = 3;
  auto caller = Connect(kCaller, kService, settings, 1000, kStart);
  std::vector<state::Duration> times;
  PopHeaders(caller);
  for (auto now = kStart; caller.mState != TcpState::Ended;
       now += milliseconds(1)) {
    OnTimer(caller, now);
    for (const auto& header : PopHeaders(caller)) {
      EXPECT_TRUE(header.mSyn);
      times.push_back(now - kStart);
    }
  }
  EXPECT_EQ(times,
            (std::vector<state::Duration>{
              milliseconds(200), milliseconds(600), milliseconds(1400) }));
  EXPECT_EQ(caller.mEndReason, TcpEndReason::TimedOut);
}

// Guards against a reset that a real host would ignore because its sequence or
// acknowledgement number is wrong.
TEST(TcpConnection, AnswersSegmentsOfUnknownConnectionsWithAReset)
{
  protocol::PacketHeader header{ .mSource = kCaller, .mDestination = kService };
  header.mSyn = true;
  header.mSequence = 77;
  const auto refusal =
    protocol::ParsePacket(BuildReset(header, 0).value()).value().mHeader;
  EXPECT_TRUE(refusal.mRst && refusal.mAck);
  EXPECT_EQ(refusal.mAcknowledgementNumber, 78U);
  header.mSyn = false;
  header.mAck = true;
  header.mAcknowledgementNumber = 4321;
  const auto reset =
    protocol::ParsePacket(BuildReset(header, 10).value()).value().mHeader;
  EXPECT_TRUE(reset.mRst && !reset.mAck);
  EXPECT_EQ(reset.mSequence, 4321U);
  EXPECT_FALSE(BuildReset(reset, 0).has_value());
}

} // namespace
} // namespace sassafrasknotctl
