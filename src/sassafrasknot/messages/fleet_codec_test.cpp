#include "sassafrasknot/messages/fleet_codec.hpp"

#include "generated/fleet.pb.h"
#include <boost/endian/conversion.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sys/resource.h>

namespace sassafrasknot::messages {
namespace {

std::span<const std::uint8_t>
Bytes(const std::string& aText)
{
  return { reinterpret_cast<const std::uint8_t*>(aText.data()), aText.size() };
}

fleet::FleetMessage
MakeMessage()
{
  fleet::FleetMessage message;
  message.mSender = {
    { { 0x0A010203 }, 7720 }, { "a" }, 77, true, false, true
  };
  message.mRevision = 12;
  message.mConfirmedAge = std::chrono::milliseconds(40);
  message.mMembers = { { { { { 9 }, 7720 }, { "b" }, 5 },
                         std::chrono::milliseconds(7) } };
  message.mLoads = std::vector{ fleet::UpstreamLoadEntry{ 4, { 2, 1 }, 60 },
                                fleet::UpstreamLoadEntry{ 5, { 0, 1 } } };
  message.mDataCentreLoads = {
    { { "b" }, std::chrono::milliseconds(3), { { 8, { 1, 0 } } }, 0.25 }
  };
  message.mUnresponsive = { 1, 2 };
  message.mProbeCandidates = { 3 };
  message.mReachable = { { 4, std::chrono::milliseconds(350) } };
  message.mChanges =
    fleet::ChangeSet{ 11, 12, { { "key", "value", 12, 3, false } } };
  return message;
}

// Guards against ages that become younger each time they are passed on, so that
// an old confirmation or a dead member seems recent.
TEST(FleetCodec, AgesAreNeverDecodedAsYounger)
{
  auto message = MakeMessage();
  for (const auto age : { std::chrono::microseconds(1),
                          std::chrono::microseconds(40000),
                          std::chrono::microseconds(40999) }) {
    message.mConfirmedAge = age;
    message.mMembers.front().mContactAge = age;
    message.mDataCentreLoads.front().mAge = age;
    message.mReachable.front().mProbeAge = age;
    const auto decoded = DecodeMessage(Bytes(EncodeMessage(message)));
    ASSERT_TRUE(decoded);
    const auto& result = decoded.value();
    EXPECT_GE(result.mConfirmedAge, message.mConfirmedAge);
    EXPECT_GE(result.mMembers.front().mContactAge, age);
    EXPECT_GE(result.mDataCentreLoads.front().mAge, age);
    EXPECT_GE(result.mReachable.front().mProbeAge, age);
  }
}

// Guards against fields that are encoded but not decoded, or the reverse.
TEST(FleetCodec, DecodingRestoresAMessage)
{
  const auto message = MakeMessage();
  const auto decoded = DecodeMessage(Bytes(EncodeMessage(message)));
  ASSERT_TRUE(decoded);
  const auto& result = decoded.value();
  EXPECT_EQ(result.mSender, message.mSender);
  EXPECT_EQ(result.mRevision, message.mRevision);
  EXPECT_EQ(result.mConfirmedAge, message.mConfirmedAge);
  EXPECT_EQ(result.mMembers, message.mMembers);
  EXPECT_EQ(result.mLoads, message.mLoads);
  ASSERT_EQ(result.mDataCentreLoads.size(), 1U);
  EXPECT_EQ(result.mDataCentreLoads[0].mLoads,
            message.mDataCentreLoads[0].mLoads);
  EXPECT_EQ(result.mDataCentreLoads[0].mMeanUtilisation, 0.25);
  EXPECT_EQ(result.mUnresponsive, message.mUnresponsive);
  EXPECT_EQ(result.mProbeCandidates, message.mProbeCandidates);
  EXPECT_EQ(result.mReachable, message.mReachable);
  EXPECT_EQ(result.mChanges->mRecords, message.mChanges->mRecords);
}

// Guards against instances of different versions that reject each other's
// messages: earlier versions send and know no speeds.
TEST(FleetCodec, SpeedsAreOptional)
{
  WireMessage wire;
  const auto encoded = EncodeMessage(MakeMessage());
  ASSERT_TRUE(wire.ParseFromString(encoded));
  EXPECT_EQ(wire.loads().speed_percent_size(), 2);
  wire.mutable_loads()->clear_speed_percent();
  const auto decoded = DecodeMessage(Bytes(wire.SerializeAsString()));
  ASSERT_TRUE(decoded);
  ASSERT_EQ(decoded.value().mLoads->size(), 2U);
  EXPECT_EQ(decoded.value().mLoads->at(0).mLoad, (flows::UpstreamLoad{ 2, 1 }));
  EXPECT_EQ(decoded.value().mLoads->at(0).mSpeedPercent, 0U);
  // Two upstreams with at most 2 bytes each, and the tag and length of the
  // list.
  constexpr std::size_t kMaxListBytes = 6;
  EXPECT_LE(encoded.size(), wire.SerializeAsString().size() + kMaxListBytes);
  wire.mutable_loads()->add_speed_percent(60);
  EXPECT_FALSE(DecodeMessage(Bytes(wire.SerializeAsString())));
}

// Guards against messages without any speed that are longer than before.
TEST(FleetCodec, NoListIsSentWithoutSpeeds)
{
  auto message = MakeMessage();
  message.mLoads->at(0).mSpeedPercent = 0;
  WireMessage wire;
  ASSERT_TRUE(wire.ParseFromString(EncodeMessage(message)));
  EXPECT_EQ(wire.loads().speed_percent_size(), 0);
}

// Guards against configurations that take a second to transfer over a link of
// 10 Mbit/s.
TEST(FleetCodec, ChangesAreCompressed)
{
  fleet::ChangeSet changes{ 1, 2, { { "op", "", 2, 1, false } } };
  for (int route = 0; route < 300; ++route) {
    changes.mRecords[0].mValue +=
      R"({"name":"r-)" + std::to_string(route) + R"(","type":"idempotent"},)";
  }
  const auto encoded = EncodeChanges(changes);
  EXPECT_LT(encoded.size(), changes.mRecords[0].mValue.size() / 4);
  EXPECT_EQ(DecodeChanges(encoded).value().mRecords, changes.mRecords);
}

// Guards against a record that makes all others unreadable for the instances
// that receive it, because another program has written its key in an encoding
// other than UTF-8.
TEST(FleetCodec, KeysNeedNotBeUtf8)
{
  const fleet::ChangeSet changes{
    11, 12, { { "servers/\xff\xc0\x80", "x", 12, 3, false } }
  };
  const auto decoded = DecodeChanges(EncodeChanges(changes));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded.value().mRecords, changes.mRecords);
  auto message = MakeMessage();
  message.mChanges = changes;
  ASSERT_TRUE(DecodeMessage(Bytes(EncodeMessage(message))));
}

// Guards against a few bytes that make an instance allocate more memory than it
// has, because they declare a long content.
TEST(FleetCodec, RejectsADeclaredLengthThatTheContentCannotHave)
{
  auto encoded = EncodeChanges({ 11, 12, {} });
  constexpr std::uint32_t kDeclaredBytes = 60U << 20U;
  boost::endian::store_little_u32(
    reinterpret_cast<unsigned char*>(encoded.data()), kDeclaredBytes);
  EXPECT_FALSE(DecodeChanges(encoded));
  rusage before{};
  getrusage(RUSAGE_SELF, &before);
  for (int count = 0; count < 10; ++count) {
    EXPECT_FALSE(DecodeChanges(encoded));
  }
  rusage after{};
  getrusage(RUSAGE_SELF, &after);
  constexpr long kPageBytes = 4096;
  EXPECT_LT((after.ru_minflt - before.ru_minflt) * kPageBytes,
            static_cast<long>(kDeclaredBytes));
}

// Guards against datagrams of other programs that crash the process or are
// accepted as a message without a sender.
RC_GTEST_PROP(FleetCodecFuzz,
              AnyBytesAreDecodedOrRejected,
              (const std::string& aBytes))
{
  if (const auto message = DecodeMessage(Bytes(aBytes))) {
    RC_ASSERT(message.value().mSender.mEndpoint.mPort != 0);
  }
  static_cast<void>(DecodeChanges(aBytes));
}

// Guards against damaged or truncated messages that crash the process.
RC_GTEST_PROP(FleetCodecFuzz, DamagedMessagesAreDecodedOrRejected, ())
{
  auto encoded = EncodeMessage(MakeMessage());
  const auto index = *rc::gen::inRange<std::size_t>(0, encoded.size());
  encoded[index] = *rc::gen::arbitrary<char>();
  encoded.resize(*rc::gen::inRange<std::size_t>(0, encoded.size() + 1));
  static_cast<void>(DecodeMessage(Bytes(encoded)));
}

} // namespace
} // namespace sassafrasknot::messages
