#include "sassafrasknot/protocol/document_codec.hpp"
#include "sassafrasknot/protocol/text_mutation_test.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::protocol {
namespace {

using state::Document;

constexpr std::string_view kTemplate =
  R"({"services":[{"name":"feed","listeners":[{"port":443,
  "upstream_port":8443,"flow_class":"feed"}],"slots":2,"connections":2000,
  "limits":{"long_share":0.25}}]})";
constexpr std::string_view kOrganisation =
  R"({"template":"workshop","services":[{"name":"feed",
  "address":"127.10.0.1","upstreams":[{"address":"127.20.0.1",
  "data_centre":"dc1","slots":3},{"address":"127.20.0.2",
  "data_centre":"dc2","state":"leaving"}]}]})";
constexpr std::string_view kInstances =
  R"({"instances":[{"name":"a","peer_endpoint":"127.0.0.1:7000",
  "control_endpoint":"127.0.0.1:7001","state":"leaving"}]})";
constexpr std::string_view kUpstreams =
  R"({"upstreams":[{"address":"127.20.0.1"},
  {"address":"127.20.0.2","state":"leaving"}]})";

constexpr std::pair<std::string_view, std::string_view> kValid[] = {
  { "templates/workshop", kTemplate },
  { "organisations/org", kOrganisation },
  { "instances/dc1", kInstances },
  { "upstreams/dc1", kUpstreams }
};

/// Replaces the first occurrence of aOld, which must exist.
std::string
ReplaceFirst(std::string_view aText,
             std::string_view aOld,
             std::string_view aNew)
{
  std::string text(aText);
  const auto index = text.find(aOld);
  EXPECT_NE(index, std::string::npos) << aOld;
  return text.replace(index, aOld.size(), aNew);
}

// Guards against a codec that loses or changes a member: instances send
// documents on to each other and must all decode the same.
TEST(DocumentCodec, EncodedDocumentReadsBack)
{
  for (const auto& [key, text] : kValid) {
    const auto document = DecodeDocument(key, text);
    ASSERT_TRUE(document.has_value()) << document.error().mMessage;
    EXPECT_EQ(KeyOf(document.value()), key);
    const auto again = DecodeDocument(key, EncodeDocument(document.value()));
    ASSERT_TRUE(again.has_value()) << again.error().mMessage;
    EXPECT_TRUE(document.value() == again.value()) << key;
  }
}

// Guards against absent members that get other values than the documented
// defaults.
TEST(DocumentCodec, AbsentMembersTakeDefaults)
{
  const auto document = DecodeDocument("templates/workshop", kTemplate);
  const auto& service =
    std::get<state::TemplateDocument>(document.value()).mServices.at(0);
  EXPECT_EQ(service.mShards, 1U);
  EXPECT_EQ(service.mLimits.mLongShare, 0.25);
  EXPECT_EQ(service.mLimits.mQueuePerSlot, 4.0);
  EXPECT_EQ(service.mListeners.at(0).mProtocol, state::TransportProtocol::Tcp);
}

// Guards against errors that are accepted, and against messages that do not
// give the location of the error. Each row replaces a part of a valid document
// and contains the start of the expected message.
TEST(DocumentCodec, RejectsErrorsWithTheirLocation)
{
  struct Row
  {
    std::size_t mDocument;
    std::string_view mOld;
    std::string_view mNew;
    std::string_view mMessage;
  };
  const Row rows[] = {
    { 0, "\"slots\"", "\"slot\"", "services/feed/slot: is unknown" },
    { 0, "443,", "0,", "services/feed/listeners/0/port: must be a whole" },
    { 0, "443,", "65536,", "services/feed/listeners/0/port" },
    { 0, "443,", "\"443\",", "services/feed/listeners/0/port" },
    { 0, "443,", "443.5,", "services/feed/listeners/0/port" },
    { 0, "443,", "-1,", "services/feed/listeners/0/port" },
    { 0, "0.25", "1.25", "services/feed/limits/long_share" },
    { 0, "0.25", "1e400", "services/feed/limits/long_share" },
    { 0, "\"slots\":2", "\"slots\":2,\"slots\":3", "services/0/slots: must" },
    { 0, "\"feed\"}", "\"feeds\"}", "services/feed/listeners/0/flow_class" },
    { 0, "\"feed\",", "\"Feed\",", "services/0/name" },
    { 1, "127.20.0.1", "127.20.0", "services/feed/upstreams/0/address" },
    { 1, "127.20.0.2", "127.20.0.1", "services/feed/upstreams/1/address" },
    { 1, "\"dc2\"", "\"\"", "services/feed/upstreams/1/data_centre" },
    { 1, "\"leaving\"", "null", "services/feed/upstreams/1/state" },
    { 1, "\"slots\":3", "\"slots\":0", "services/feed/upstreams/0/slots" },
    { 1,
      "\"upstreams\":[",
      "\"limits\":{\"long_share\":1},\"upstreams\":[",
      "services/feed/limits/queue_per_slot: is required" },
    { 1, "\"template\":\"workshop\",", "", "template: is required" },
    { 1, "\"template\"", "\"\\u0000\\n\"", "??: is unknown" },
    { 2, "127.0.0.1:7001", "127.0.0.1", "instances/a/control_endpoint" },
    { 2, ":7001", ":07001", "instances/a/control_endpoint" },
    { 3, "127.20.0.1", "127.20.0.1\\u0000x", "upstreams/0/address" },
    { 3, "{\"address\":\"127.20.0.1\"}", "7", "upstreams/0: must be an" },
    { 3, "]}", "]}x", "line 2" },
    { 3, "[{", "[[[[[[[[[{", "line 1 column" },
    { 3, "leaving", "\xFF", "line 2" },
  };
  for (const auto& row : rows) {
    const auto& [key, text] = kValid[row.mDocument];
    const auto document =
      DecodeDocument(key, ReplaceFirst(text, row.mOld, row.mNew));
    ASSERT_FALSE(document.has_value()) << row.mNew;
    EXPECT_TRUE(document.error().mMessage.starts_with(row.mMessage))
      << document.error().mMessage;
    EXPECT_EQ(document.error().mCode, state::ErrorCode::Malformed);
  }
}

// Guards against keys that do not identify a document, and against documents
// above the maximum size.
TEST(DocumentCodec, RejectsInvalidKeysAndSizes)
{
  for (const auto* key : { "",
                           "templates",
                           "templates/",
                           "x/y",
                           "upstreams/A",
                           "instances/a/b" }) {
    EXPECT_FALSE(DecodeDocument(key, kUpstreams).has_value()) << key;
  }
  const std::string padded =
    std::string(kUpstreams) + std::string(kMaxDocumentBytes, ' ');
  EXPECT_FALSE(DecodeDocument("upstreams/dc1", padded).has_value());
}

// Guards against input that crashes or hangs the decoder, and against accepted
// documents that change when they are encoded and decoded.
RC_GTEST_PROP(DocumentCodec,
              ChangedTextIsRejectedOrReadsBack,
              (std::uint64_t aSeed))
{
  std::mt19937_64 random(aSeed);
  for (int round = 0; round < 200; ++round) {
    const auto& [key, valid] = kValid[random() % std::size(kValid)];
    const auto text = MutateText(valid, random);
    if (const auto document = DecodeDocument(key, text)) {
      const auto again = DecodeDocument(key, EncodeDocument(document.value()));
      RC_ASSERT(again.has_value());
      RC_ASSERT(document.value() == again.value());
    }
  }
}

// Guards against random text that is accepted as a document.
RC_GTEST_PROP(DocumentCodec,
              ArbitraryTextIsRejected,
              (const std::string& aText))
{
  for (const auto& [key, text] : kValid) {
    RC_ASSERT(!DecodeDocument(key, aText).has_value());
  }
}

} // namespace
} // namespace sassafrasknot::protocol
