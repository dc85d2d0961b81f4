#include "sassafrasknot/protocol/document_codec.hpp"

#include <fstream>
#include <iterator>
#include <set>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

namespace sassafrasknot::protocol {
namespace {

namespace json = boost::json;

/// A valid document of one kind with all members, and its schema.
struct Subject
{
  std::string mKey;
  /// File name in docs/schema, without ".schema.json".
  std::string mSchemaFile;
  std::string mText;
};

const Subject kSubjects[] = {
  { "templates/t",
    "template",
    R"({"services":[{"name":"feed","listeners":[{"port":443,
      "upstream_port":8443,"protocol":"udp","flow_class":"work",
      "queue_deadline_ms":5}],"slots":1,"connections":1000000,"shards":2,
      "limits":{"queue_per_slot":1,"long_share":1,"ejected_share":1,
      "slow_start_ms":1,"keepalive_ms":1000}}]})" },
  { "organisations/a",
    "organisation",
    R"({"template":"t","weight":2,"services":[{"name":"feed",
      "address":"127.10.0.1","shards":2,"upstreams":[{"address":"127.20.0.1",
      "data_centre":"dc1","slots":1,"connections":1000000,
      "state":"leaving"}],"limits":{"queue_per_slot":1,"long_share":1,
      "ejected_share":1,"slow_start_ms":1,"keepalive_ms":1000}}]})" },
  { "instances/dc1",
    "instances",
    R"({"instances":[{"name":"a","peer_endpoint":"127.1.0.1:7000",
      "control_endpoint":"127.1.0.1:7001","state":"leaving"}]})" },
  { "upstreams/dc1",
    "upstreams",
    R"({"upstreams":[{"address":"127.20.0.1","state":"leaving"}]})" }
};

json::value
ReadSchema(const std::string& aName)
{
  std::ifstream input(SCHEMA_FOLDER "/" + aName + ".schema.json");
  return json::parse(std::string{ std::istreambuf_iterator<char>(input), {} });
}

/// Visits a document together with its schema. Replaces each value by others
/// that the schema allows or forbids, and checks that the decoder accepts the
/// document if and only if the schema does.
class SchemaComparison
{
public:
  explicit SchemaComparison(const Subject& aSubject)
    : mKey(aSubject.mKey)
    , mDocument(json::parse(aSubject.mText))
  {
    Compare(mDocument, ReadSchema(aSubject.mSchemaFile).as_object());
  }

private:
  /// Whether the decoder accepts the document with its current changes.
  bool Accepts() const
  {
    return DecodeDocument(mKey, json::serialize(mDocument)).has_value();
  }

  /// Replaces a part of the document temporarily and checks whether the decoder
  /// accepts it.
  void Expect(json::value& aPart, const json::value& aValue, bool aAccepted)
  {
    const json::value old = aPart;
    aPart = aValue;
    EXPECT_EQ(Accepts(), aAccepted) << json::serialize(mDocument);
    aPart = old;
  }

  /// Compares a value and all values in it with their schema.
  void Compare(json::value& aPart, const json::object& aSchema)
  {
    if (aPart.is_object()) {
      CompareObject(aPart, aSchema);
    } else if (aPart.is_array()) {
      Compare(aPart.get_array().at(0), aSchema.at("items").as_object());
      if (aSchema.at("minItems").to_number<int>() > 0) {
        Expect(aPart, json::array{}, false);
      }
    } else if (const auto* const texts = aSchema.if_contains("enum")) {
      for (const auto& text : texts->as_array()) {
        Expect(aPart, text, true);
      }
      Expect(aPart, "other", false);
    } else if (const auto* const lowest = aSchema.if_contains("minimum")) {
      const auto& highest = aSchema.at("maximum");
      Expect(aPart, *lowest, true);
      Expect(aPart, highest, true);
      Expect(aPart, lowest->to_number<double>() - 0.001, false);
      Expect(aPart, highest.to_number<double>() + 1, false);
      Expect(aPart,
             lowest->to_number<double>() + 0.5,
             aSchema.at("type") == "number");
    } else {
      EXPECT_EQ(aSchema.at("type"), "string");
      Expect(aPart, 1, false);
      Expect(aPart, "", false);
    }
  }

  /// Also checks required members and that unknown ones are rejected.
  void CompareObject(json::value& aPart, const json::object& aSchema)
  {
    EXPECT_EQ(aSchema.at("additionalProperties"), false);
    std::set<std::string> required;
    for (const auto& name : aSchema.at("required").as_array()) {
      required.emplace(name.as_string());
    }
    const auto& properties = aSchema.at("properties").as_object();
    EXPECT_EQ(aPart.get_object().size(), properties.size());
    for (const auto& [name, schema] : properties) {
      ASSERT_TRUE(aPart.get_object().contains(name)) << name;
      Compare(aPart.get_object().at(name), schema.as_object());
      auto without = aPart.get_object();
      without.erase(name);
      Expect(aPart, without, !required.contains(std::string(name)));
    }
    auto more = aPart.get_object();
    more["unknown"] = 1;
    Expect(aPart, more, false);
  }

  std::string mKey;
  json::value mDocument;
};

// Guards against a published schema that allows documents which instances
// reject, or forbids documents which they accept.
TEST(Schema, AgreesWithTheDecoder)
{
  for (const auto& subject : kSubjects) {
    SCOPED_TRACE(subject.mKey);
    ASSERT_TRUE(DecodeDocument(subject.mKey, subject.mText).has_value());
    const SchemaComparison comparison(subject);
  }
}

} // namespace
} // namespace sassafrasknot::protocol
