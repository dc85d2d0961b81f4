#include "sassafrasknot/protocol/platform_codec.hpp"
#include "sassafrasknot/protocol/text_mutation_test.hpp"

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::protocol {
namespace {

using testing::StartsWith;

constexpr std::string_view kResponse =
  R"({"revision": 9, "full": true, "records": [
  {"key": "upstreams/dc1", "revision": 4,
   "value": {"upstreams": [{"address": "127.20.0.1", "state": "live"}]}},
  {"key": "organisations/gone", "revision": 9, "deleted": true},
  {"key": "upstreams/dc2", "revision": 7,
   "value": {"upstreams": [], "x": [1, {"\n": null}, "\u00e9", 1e3, true],
             "x": 2}}]})";

// Guards against one malformed value that blocks all other records, and against
// duplicate members that are missing from the text that is sent to peers.
TEST(PlatformCodec, MalformedValueKeepsItsTextWithoutDocument)
{
  const auto response = DecodePlatformResponse(kResponse);
  ASSERT_TRUE(response.has_value()) << response.error().mMessage;
  EXPECT_EQ(response.value().mRevision, 9U);
  EXPECT_TRUE(response.value().mFull);
  const auto& records = response.value().mRecords;
  ASSERT_EQ(records.size(), 3U);
  EXPECT_NE(records[0].mDocument, nullptr);
  EXPECT_EQ(records[0].mText,
            R"({"upstreams":[{"address":"127.20.0.1","state":"live"}]})");
  EXPECT_TRUE(records[1].mDeleted);
  EXPECT_EQ(records[2].mDocument, nullptr);
  EXPECT_EQ(records[2].mText,
            "{\"upstreams\":[],\"x\":[1,{\"\\n\":null},\"\xC3\xA9\",1e3,true],"
            "\"x\":2}");
}

// Guards against responses that change when they are encoded and decoded.
TEST(PlatformCodec, EncodedResponseReadsBack)
{
  const auto response = DecodePlatformResponse(kResponse).value();
  const auto text = EncodePlatformResponse(response);
  const auto again = DecodePlatformResponse(text);
  ASSERT_TRUE(again.has_value()) << again.error().mMessage;
  EXPECT_EQ(EncodePlatformResponse(again.value()), text);
  EXPECT_EQ(again.value().mRecords[2].mText, response.mRecords[2].mText);
}

// Guards against malformed responses that are accepted, such as a record with a
// revision above that of the response, and against messages that do not give
// the location of the error.
TEST(PlatformCodec, RejectsErrorsWithTheirLocation)
{
  const std::pair<std::string, std::string> rows[] = {
    { R"({"revision":1,"records":[]})", "full: is required" },
    { R"({"revision":-1,"records":[],"full":true})", "revision: must" },
    { R"({"revision":1,"revision":2,"records":[],"full":true})",
      "revision: m" },
    { R"({"revision":1,"records":{},"full":true})", "records: must be" },
    { R"({"revision":1,"records":[1],"full":true})", "records/0: must be" },
    { R"({"revision":1,"full":true,
       "records":[{"key":"upstreams/a","revision":2,"deleted":true}]})",
      "records/0/revision: must be a whole number from 1 to 1" },
    { R"({"revision":1,"full":true,
       "records":[{"key":"upstreams/a","revision":1}]})",
      "records/0/value: is required" },
    { R"({"revision":1,"full":true,"records":[
       {"key":"upstreams/a","revision":1,"deleted":true,"value":{}}]})",
      "records/0/value: must be absent" },
    { R"({"revision":1,"full":true,"records":[
       {"key":"a","revision":1,"value":{},"value":{}}]})",
      "records/0/value: must occur only once" },
    { R"({"revision":1,"full":true,"records":[
       {"key":"a","revision":1,"deleted":true},
       {"key":"a","revision":1,"deleted":true}]})",
      "records/1/key: is already used" },
    { std::string(100, '['), "line 1 column" },
  };
  for (const auto& [text, message] : rows) {
    const auto response = DecodePlatformResponse(text);
    ASSERT_FALSE(response.has_value()) << text;
    EXPECT_THAT(response.error().mMessage, StartsWith(message));
  }
}

// Guards against responses of the platform that crash or hang the decoder, and
// against accepted responses that change when they are encoded and decoded.
RC_GTEST_PROP(PlatformCodec,
              ChangedTextIsRejectedOrReadsBack,
              (std::uint64_t aSeed))
{
  std::mt19937_64 random(aSeed);
  for (int round = 0; round < 200; ++round) {
    if (const auto response =
          DecodePlatformResponse(MutateText(kResponse, random))) {
      const auto encoded = EncodePlatformResponse(response.value());
      const auto again = DecodePlatformResponse(encoded);
      RC_ASSERT(again.has_value());
      RC_ASSERT(EncodePlatformResponse(again.value()) == encoded);
    }
  }
}

} // namespace
} // namespace sassafrasknot::protocol
