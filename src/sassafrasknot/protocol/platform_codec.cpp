#include "sassafrasknot/protocol/platform_codec.hpp"

#include "sassafrasknot/protocol/document_codec.hpp"
#include "sassafrasknot/protocol/json_parser.hpp"
#include "sassafrasknot/protocol/json_reader.hpp"

#include <algorithm>
#include <limits>
#include <set>

#include <boost/json/serialize.hpp>

namespace sassafrasknot::protocol {
namespace {

using boost::json::value;

constexpr std::string_view kResponseMembers[] = { "revision",
                                                  "records",
                                                  "full" };
constexpr std::string_view kRecordMembers[] = { "key",
                                                "revision",
                                                "value",
                                                "deleted" };
/// Maximum nesting depth of a response. It exceeds that of a document by more
/// than the 3 levels around each value, so that a value that is nested too
/// deeply normally affects only its own record.
constexpr std::size_t kMaxResponseDepth = 32;
/// Maximum number of records in a response.
constexpr std::size_t kMaxRecords = 100000;
/// Larger whole numbers are not exact in JSON implementations that store
/// numbers as double.
constexpr state::Range<std::uint64_t> kRevisionRange{ 0, 1ULL << 53U };
/// Maximum length of a key in a response, in bytes.
constexpr std::size_t kMaxKeyBytes = 128;

/// Whether a path is within records/N/value. An error there affects one record
/// only, and DecodeDocument reports it for the record's text.
bool
IsInRecordValue(std::string_view aLocation)
{
  const auto index = aLocation.find('/');
  const auto member = aLocation.find('/', index + 1);
  return aLocation.starts_with("records/") &&
         member != std::string_view::npos &&
         aLocation.substr(member).starts_with("/value/");
}

/// Reads one record. aResponseRevision is the highest revision that it may
/// have, aText the text of its value.
state::ConfigurationRecord
ReadRecord(std::optional<state::Error>& aFirstError,
           const value& aValue,
           std::string aLocation,
           state::Revision aResponseRevision,
           const std::string& aText)
{
  JsonReader reader(aFirstError, aValue, std::move(aLocation), kRecordMembers);
  state::ConfigurationRecord record;
  record.mKey = reader.String("key");
  if (record.mKey.empty() || record.mKey.size() > kMaxKeyBytes) {
    reader.Fail("key",
                "must have 1 to " + std::to_string(kMaxKeyBytes) + " bytes");
  }
  record.mRevision = reader.Integer("revision", { 1, aResponseRevision });
  record.mDeleted = reader.Boolean("deleted", false);
  if (record.mDeleted == reader.Has("value")) {
    reader.Fail("value",
                record.mDeleted ? "must be absent from a deleted record"
                                : "is required unless deleted is true");
  }
  if (!record.mDeleted && !aFirstError) {
    record.mText = aText;
    if (auto document = DecodeDocument(record.mKey, record.mText)) {
      record.mDocument =
        std::make_shared<const state::Document>(std::move(document).value());
    }
  }
  return record;
}

} // namespace

state::Result<PlatformResponse>
DecodePlatformResponse(std::string_view aText)
{
  JsonSourceInfo sourceInfo;
  const auto tree =
    ParseJson(aText, kMaxPlatformResponseBytes, kMaxResponseDepth, sourceInfo);
  if (!tree) {
    return tree.error();
  }
  if (const auto duplicate =
        std::ranges::find_if_not(sourceInfo.mDuplicateMembers, IsInRecordValue);
      duplicate != sourceInfo.mDuplicateMembers.end()) {
    return MalformedAt(*duplicate, "must occur only once");
  }
  std::optional<state::Error> firstError;
  PlatformResponse response;
  JsonReader reader(firstError, tree.value(), {}, kResponseMembers);
  response.mRevision = reader.Integer("revision", kRevisionRange);
  response.mFull = reader.Boolean("full");
  std::set<std::string> keys;
  reader.Array("records",
               { 0, kMaxRecords },
               [&](const value& aElement, const std::string& aLocation) {
                 const auto index = response.mRecords.size();
                 auto record = ReadRecord(firstError,
                                          aElement,
                                          aLocation,
                                          response.mRevision,
                                          index < sourceInfo.mRecordTexts.size()
                                            ? sourceInfo.mRecordTexts[index]
                                            : "");
                 if (!firstError && !keys.insert(record.mKey).second) {
                   firstError = MalformedAt(aLocation + "/key",
                                            "is already used by an earlier "
                                            "record");
                 }
                 response.mRecords.push_back(std::move(record));
               });
  if (firstError) {
    return *firstError;
  }
  return response;
}

std::string
EncodePlatformResponse(const PlatformResponse& aResponse)
{
  std::string text =
    "{\"revision\":" + std::to_string(aResponse.mRevision) + ",\"records\":[";
  for (const auto& record : aResponse.mRecords) {
    text += &record == aResponse.mRecords.data() ? "{\"key\":" : ",{\"key\":";
    text += boost::json::serialize(boost::json::string_view(record.mKey));
    text += ",\"revision\":" + std::to_string(record.mRevision);
    text +=
      record.mDeleted ? ",\"deleted\":true" : ",\"value\":" + record.mText;
    text += '}';
  }
  text += "],\"full\":";
  text += aResponse.mFull ? "true}" : "false}";
  return text;
}

} // namespace sassafrasknot::protocol
