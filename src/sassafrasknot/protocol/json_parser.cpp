#include "sassafrasknot/protocol/json_parser.hpp"

#include <algorithm>
#include <set>

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace sassafrasknot::protocol {
namespace {

namespace json = boost::json;
using boost::system::error_code;

/// Maximum number of duplicate members that are recorded within the values of
/// records. Those outside are all recorded, as each of them makes the whole
/// response of the platform malformed.
constexpr std::size_t kMaxDuplicatesInValues = 64;
/// Number of containers around the value of a record in a response of the
/// platform: the root object, the array of records and the record.
constexpr std::size_t kRecordValueDepth = 3;
/// Maximum length of one member name in a path, in bytes.
constexpr std::size_t kMaxQuotedNameBytes = 80;

/// An object or array that has begun and not ended yet.
struct Frame
{
  bool mIsObject = false;
  /// Number of elements or members before the current one.
  std::size_t mIndex = 0;
  /// Name of the current member of an object.
  std::string mKey;
  /// Names of all members so far.
  std::set<std::string, std::less<>> mKeys;
};

/// Collects JsonSourceInfo. boost::json::basic_parser calls the on_ functions
/// for each part of the JSON text, and prescribes their names.
// NOLINTBEGIN(readability-identifier-naming)
class SourceInfoHandler
{
public:
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

  JsonSourceInfo mSourceInfo;

  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_object_begin(error_code&) { return BeginContainer(true); }
  bool on_object_end(std::size_t, error_code&) { return EndContainer('}'); }
  bool on_array_begin(error_code&) { return BeginContainer(false); }
  bool on_array_end(std::size_t, error_code&) { return EndContainer(']'); }
  bool on_key_part(json::string_view aPart, std::size_t, error_code&)
  {
    return AppendPart(aPart);
  }
  bool on_key(json::string_view aPart, std::size_t, error_code&)
  {
    AppendPart(aPart);
    return FinishKey();
  }
  bool on_string_part(json::string_view aPart, std::size_t, error_code&)
  {
    return AppendPart(aPart);
  }
  bool on_string(json::string_view aPart, std::size_t, error_code&)
  {
    AppendPart(aPart);
    return AddScalar(json::serialize(json::string_view(mPart)));
  }
  bool on_number_part(json::string_view aPart, error_code&)
  {
    return AppendPart(aPart);
  }
  bool on_int64(std::int64_t, json::string_view aPart, error_code&)
  {
    return AddNumber(aPart);
  }
  bool on_uint64(std::uint64_t, json::string_view aPart, error_code&)
  {
    return AddNumber(aPart);
  }
  bool on_double(double, json::string_view aPart, error_code&)
  {
    return AddNumber(aPart);
  }
  bool on_bool(bool aValue, error_code&)
  {
    return AddScalar(aValue ? "true" : "false");
  }
  bool on_null(error_code&) { return AddScalar("null"); }
  bool on_comment_part(json::string_view, error_code&) { return true; }
  bool on_comment(json::string_view, error_code&) { return true; }
  // NOLINTEND(readability-identifier-naming)

private:
  /// Collects a name, string or number, which may arrive in several parts.
  bool AppendPart(json::string_view aPart)
  {
    mPart.append(aPart.data(), aPart.size());
    return true;
  }

  bool AddNumber(json::string_view aPart)
  {
    AppendPart(aPart);
    return AddScalar(mPart);
  }

  /// Records the name of a member that has arrived completely.
  bool FinishKey()
  {
    auto& frame = mFrames.back();
    frame.mKey = mPart;
    const bool isInRecordValue =
      mFrames.size() > kRecordValueDepth && IsInRecordValue();
    if (!frame.mKeys.insert(mPart).second &&
        (!isInRecordValue ||
         mSourceInfo.mDuplicateMembers.size() < kMaxDuplicatesInValues)) {
      mSourceInfo.mDuplicateMembers.push_back(Location());
    }
    if (isInRecordValue) {
      AppendSeparator(frame);
      RecordText() += json::serialize(json::string_view(mPart)) + ':';
    }
    mPart.clear();
    return true;
  }

  /// Appends a string, number, boolean or null.
  bool AddScalar(const std::string& aText)
  {
    BeginElement();
    if (IsInRecordValue()) {
      RecordText() += aText;
    }
    EndElement();
    mPart.clear();
    return true;
  }

  bool BeginContainer(bool aIsObject)
  {
    BeginElement();
    if (IsInRecordValue()) {
      RecordText() += aIsObject ? '{' : '[';
    }
    mFrames.push_back({ aIsObject, 0, {}, {} });
    return true;
  }

  bool EndContainer(char aBracket)
  {
    mFrames.pop_back();
    if (IsInRecordValue()) {
      RecordText() += aBracket;
    }
    EndElement();
    return true;
  }

  /// Appends the comma before an array element within the value of a record.
  /// Commas between members of objects are appended with the member's name.
  void BeginElement()
  {
    if (mFrames.size() > kRecordValueDepth && !mFrames.back().mIsObject &&
        IsInRecordValue()) {
      AppendSeparator(mFrames.back());
    }
  }

  /// Counts an element of an array or a member of an object.
  void EndElement()
  {
    if (!mFrames.empty()) {
      ++mFrames.back().mIndex;
    }
  }

  void AppendSeparator(const Frame& aFrame)
  {
    if (aFrame.mIndex > 0) {
      RecordText() += ',';
    }
  }

  /// Whether the current location is records/N/value or within it.
  bool IsInRecordValue() const
  {
    return mFrames.size() >= kRecordValueDepth && mFrames[0].mIsObject &&
           mFrames[0].mKey == "records" && !mFrames[1].mIsObject &&
           mFrames[2].mIsObject && mFrames[2].mKey == "value";
  }

  /// Text of the value of the current record. Call only if IsInRecordValue().
  std::string& RecordText()
  {
    const auto index = mFrames[1].mIndex;
    if (mSourceInfo.mRecordTexts.size() <= index) {
      mSourceInfo.mRecordTexts.resize(index + 1);
    }
    return mSourceInfo.mRecordTexts[index];
  }

  /// Path of the current member or element.
  std::string Location() const
  {
    std::string location;
    for (const auto& frame : mFrames) {
      if (!location.empty()) {
        location += '/';
      }
      location += frame.mIsObject ? frame.mKey.substr(0, kMaxQuotedNameBytes)
                                  : std::to_string(frame.mIndex);
    }
    return location;
  }

  /// Containers around the current location, outermost first.
  std::vector<Frame> mFrames;
  /// Parts of a name, string or number that have arrived so far.
  std::string mPart;
};

/// Describes an offset in a text; lines and columns count from 1.
std::string
LineAndColumn(std::string_view aText, std::size_t aOffset)
{
  const auto before = aText.substr(0, aOffset);
  const auto line = std::ranges::count(before, '\n') + 1;
  const auto start = before.rfind('\n');
  const auto column =
    start == std::string_view::npos ? aOffset + 1 : aOffset - start;
  return "line " + std::to_string(line) + " column " + std::to_string(column);
}

} // namespace

state::Error
MalformedAt(std::string_view aLocation, std::string_view aMessage)
{
  std::string message(aLocation.empty() ? "document" : aLocation);
  // A member's name may contain line breaks, but a message must stay on one
  // line.
  std::ranges::replace_if(
    message,
    [](char aCharacter) {
      return static_cast<unsigned char>(aCharacter) < 0x20 ||
             aCharacter == 0x7F;
    },
    '?');
  return { state::ErrorCode::Malformed,
           state::Verdict::NotRun,
           message + ": " + std::string(aMessage) };
}

state::Result<json::value>
ParseJson(std::string_view aText,
          std::size_t aMaxBytes,
          std::size_t aMaxDepth,
          JsonSourceInfo& aSourceInfo)
{
  if (aText.size() > aMaxBytes) {
    return MalformedAt({},
                       "has " + std::to_string(aText.size()) +
                         " bytes, at most " + std::to_string(aMaxBytes) +
                         " are allowed");
  }
  json::parse_options options;
  options.max_depth = aMaxDepth;
  json::basic_parser<SourceInfoHandler> parser(options);
  error_code errorCode;
  const auto consumed =
    parser.write_some(false, aText.data(), aText.size(), errorCode);
  if (!errorCode && consumed < aText.size()) {
    errorCode = json::error::extra_data;
  }
  if (errorCode) {
    return MalformedAt(LineAndColumn(aText, consumed),
                       errorCode == json::error::too_deep
                         ? "is nested deeper than " +
                             std::to_string(aMaxDepth) + " levels"
                         : "is not valid JSON: " + errorCode.message());
  }
  aSourceInfo = std::move(parser.handler().mSourceInfo);
  auto tree = json::parse(aText, errorCode, {}, options);
  if (errorCode) {
    return MalformedAt({}, "is not valid JSON: " + errorCode.message());
  }
  return tree;
}

} // namespace sassafrasknot::protocol
