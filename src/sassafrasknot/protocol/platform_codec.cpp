#include "sassafrasknot/protocol/platform_codec.hpp"

#include "sassafrasknot/protocol/document_codec.hpp"
#include "sassafrasknot/protocol/json_reader.hpp"
#include "sassafrasknot/protocol/json_scan.hpp"

#include <algorithm>
#include <limits>
#include <set>

#include <boost/json/serialize.hpp>

namespace sassafrasknot::protocol {
namespace {

using boost::json::value;

constexpr std::string_view kAnswerMembers[] = { "revision", "records", "full" };
constexpr std::string_view kRecordMembers[] = { "key",
                                                "revision",
                                                "value",
                                                "deleted" };
/// The deepest document and the answer, its array and its record around it.
constexpr std::size_t kAnswerDepth = 32;
constexpr std::size_t kRecords = 100000;
/// Beyond this a JSON number is not exact in all implementations.
constexpr state::Range<std::uint64_t> kRevisionRange{ 0, 1ULL << 53U };
constexpr std::size_t kKeyBytes = 128;

/// Whether a path lies within records/N/value; such a fault concerns one
/// record only, and DecodeDocument finds it in the record's text.
bool
IsWithinValue(std::string_view aPlace)
{
  const auto index = aPlace.find('/');
  const auto member = aPlace.find('/', index + 1);
  return aPlace.starts_with("records/") && member != std::string_view::npos &&
         aPlace.substr(member).starts_with("/value/");
}

state::ConfigurationRecord
ReadRecord(std::optional<state::Error>& aFailure,
           const value& aValue,
           std::string aPlace,
           state::Revision aLatest,
           const std::string& aText)
{
  JsonReader reader(aFailure, aValue, std::move(aPlace), kRecordMembers);
  state::ConfigurationRecord record;
  record.mKey = reader.String("key");
  if (record.mKey.empty() || record.mKey.size() > kKeyBytes) {
    reader.Fail("key",
                "must have 1 to " + std::to_string(kKeyBytes) + " bytes");
  }
  record.mRevision = reader.Integer("revision", { 1, aLatest });
  record.mDeleted = reader.Boolean("deleted", false);
  if (record.mDeleted == reader.Has("value")) {
    reader.Fail("value",
                record.mDeleted ? "must be absent from a deleted record"
                                : "is required unless deleted is true");
  }
  if (!record.mDeleted && !aFailure) {
    record.mText = aText;
    if (auto document = DecodeDocument(record.mKey, record.mText)) {
      record.mDocument =
        std::make_shared<const state::Document>(std::move(document).value());
    }
  }
  return record;
}

} // namespace

state::Result<PlatformAnswer>
DecodePlatformAnswer(std::string_view aText)
{
  JsonScan scan;
  const auto tree =
    ParseJson(aText, kMaxPlatformAnswerBytes, kAnswerDepth, scan);
  if (!tree) {
    return tree.error();
  }
  if (const auto repeated =
        std::ranges::find_if_not(scan.mRepeated, IsWithinValue);
      repeated != scan.mRepeated.end()) {
    return MalformedAt(*repeated, "must occur only once");
  }
  std::optional<state::Error> failure;
  PlatformAnswer answer;
  JsonReader reader(failure, tree.value(), {}, kAnswerMembers);
  answer.mRevision = reader.Integer("revision", kRevisionRange);
  answer.mFull = reader.Boolean("full");
  std::set<std::string> keys;
  reader.Array("records",
               { 0, kRecords },
               [&](const value& aElement, const std::string& aPlace) {
                 const auto index = answer.mRecords.size();
                 auto record = ReadRecord(
                   failure,
                   aElement,
                   aPlace,
                   answer.mRevision,
                   index < scan.mValues.size() ? scan.mValues[index] : "");
                 if (!failure && !keys.insert(record.mKey).second) {
                   failure = MalformedAt(aPlace + "/key",
                                         "is already used by an earlier "
                                         "record");
                 }
                 answer.mRecords.push_back(std::move(record));
               });
  if (failure) {
    return *failure;
  }
  return answer;
}

std::string
EncodePlatformAnswer(const PlatformAnswer& aAnswer)
{
  std::string text =
    "{\"revision\":" + std::to_string(aAnswer.mRevision) + ",\"records\":[";
  for (const auto& record : aAnswer.mRecords) {
    text += &record == aAnswer.mRecords.data() ? "{\"key\":" : ",{\"key\":";
    text += boost::json::serialize(boost::json::string_view(record.mKey));
    text += ",\"revision\":" + std::to_string(record.mRevision);
    text +=
      record.mDeleted ? ",\"deleted\":true" : ",\"value\":" + record.mText;
    text += '}';
  }
  text += "],\"full\":";
  text += aAnswer.mFull ? "true}" : "false}";
  return text;
}

} // namespace sassafrasknot::protocol
