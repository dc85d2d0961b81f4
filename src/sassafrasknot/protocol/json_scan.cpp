#include "sassafrasknot/protocol/json_scan.hpp"

#include <algorithm>
#include <set>

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace sassafrasknot::protocol {
namespace {

namespace json = boost::json;
using boost::system::error_code;

/// Bounds the places that are kept of repeated members within values; those
/// outside are all kept, as each of them makes the whole answer malformed.
constexpr std::size_t kRepeatedPlaces = 64;
/// Path of a record's value in an answer: root, records, record.
constexpr std::size_t kValueDepth = 3;
constexpr std::size_t kExcerpt = 80;

struct Frame
{
  bool mIsObject = false;
  std::size_t mIndex = 0;
  std::string mKey;
  std::set<std::string, std::less<>> mKeys;
};

/// Receives the parts of a JSON text from boost::json::basic_parser, which
/// calls its members by their names.
// NOLINTBEGIN(readability-identifier-naming)
class ScanHandler
{
public:
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

  JsonScan mScan;

  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_object_begin(error_code&) { return Open(true); }
  bool on_object_end(std::size_t, error_code&) { return Close('}'); }
  bool on_array_begin(error_code&) { return Open(false); }
  bool on_array_end(std::size_t, error_code&) { return Close(']'); }
  bool on_key_part(json::string_view aPart, std::size_t, error_code&)
  {
    return Keep(aPart);
  }
  bool on_key(json::string_view aPart, std::size_t, error_code&)
  {
    Keep(aPart);
    return Key();
  }
  bool on_string_part(json::string_view aPart, std::size_t, error_code&)
  {
    return Keep(aPart);
  }
  bool on_string(json::string_view aPart, std::size_t, error_code&)
  {
    Keep(aPart);
    return Scalar(json::serialize(json::string_view(mPart)));
  }
  bool on_number_part(json::string_view aPart, error_code&)
  {
    return Keep(aPart);
  }
  bool on_int64(std::int64_t, json::string_view aPart, error_code&)
  {
    return Number(aPart);
  }
  bool on_uint64(std::uint64_t, json::string_view aPart, error_code&)
  {
    return Number(aPart);
  }
  bool on_double(double, json::string_view aPart, error_code&)
  {
    return Number(aPart);
  }
  bool on_bool(bool aValue, error_code&)
  {
    return Scalar(aValue ? "true" : "false");
  }
  bool on_null(error_code&) { return Scalar("null"); }
  bool on_comment_part(json::string_view, error_code&) { return true; }
  bool on_comment(json::string_view, error_code&) { return true; }
  // NOLINTEND(readability-identifier-naming)

private:
  bool Keep(json::string_view aPart)
  {
    mPart.append(aPart.data(), aPart.size());
    return true;
  }

  bool Number(json::string_view aPart)
  {
    Keep(aPart);
    return Scalar(mPart);
  }

  bool Key()
  {
    auto& frame = mFrames.back();
    frame.mKey = mPart;
    const bool isWithinValue = mFrames.size() > kValueDepth && InValue();
    if (!frame.mKeys.insert(mPart).second &&
        (!isWithinValue || mScan.mRepeated.size() < kRepeatedPlaces)) {
      mScan.mRepeated.push_back(Place());
    }
    if (isWithinValue) {
      StartElement(frame);
      Value() += json::serialize(json::string_view(mPart)) + ':';
    }
    mPart.clear();
    return true;
  }

  bool Scalar(const std::string& aText)
  {
    BeginValue();
    if (InValue()) {
      Value() += aText;
    }
    EndValue();
    mPart.clear();
    return true;
  }

  bool Open(bool aIsObject)
  {
    BeginValue();
    if (InValue()) {
      Value() += aIsObject ? '{' : '[';
    }
    mFrames.push_back({ aIsObject, 0, {}, {} });
    return true;
  }

  bool Close(char aBracket)
  {
    mFrames.pop_back();
    if (InValue()) {
      Value() += aBracket;
    }
    EndValue();
    return true;
  }

  /// Separates an element of an array within a captured value.
  void BeginValue()
  {
    if (mFrames.size() > kValueDepth && !mFrames.back().mIsObject &&
        InValue()) {
      StartElement(mFrames.back());
    }
  }

  void EndValue()
  {
    if (!mFrames.empty()) {
      ++mFrames.back().mIndex;
    }
  }

  void StartElement(const Frame& aFrame)
  {
    if (aFrame.mIndex > 0) {
      Value() += ',';
    }
  }

  /// Whether the current place is records/N/value or below.
  bool InValue() const
  {
    return mFrames.size() >= kValueDepth && mFrames[0].mIsObject &&
           mFrames[0].mKey == "records" && !mFrames[1].mIsObject &&
           mFrames[2].mIsObject && mFrames[2].mKey == "value";
  }

  std::string& Value()
  {
    const auto index = mFrames[1].mIndex;
    if (mScan.mValues.size() <= index) {
      mScan.mValues.resize(index + 1);
    }
    return mScan.mValues[index];
  }

  std::string Place() const
  {
    std::string place;
    for (const auto& frame : mFrames) {
      if (!place.empty()) {
        place += '/';
      }
      place += frame.mIsObject ? frame.mKey.substr(0, kExcerpt)
                               : std::to_string(frame.mIndex);
    }
    return place;
  }

  std::vector<Frame> mFrames;
  std::string mPart;
};

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
MalformedAt(std::string_view aPlace, std::string_view aMessage)
{
  std::string message(aPlace.empty() ? "document" : aPlace);
  // Members may have any name; messages stay on one line.
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
          std::size_t aMaximumBytes,
          std::size_t aMaximumDepth,
          JsonScan& aScan)
{
  if (aText.size() > aMaximumBytes) {
    return MalformedAt({},
                       "has " + std::to_string(aText.size()) +
                         " bytes, at most " + std::to_string(aMaximumBytes) +
                         " are allowed");
  }
  json::parse_options options;
  options.max_depth = aMaximumDepth;
  json::basic_parser<ScanHandler> parser(options);
  error_code failure;
  const auto consumed =
    parser.write_some(false, aText.data(), aText.size(), failure);
  if (!failure && consumed < aText.size()) {
    failure = json::error::extra_data;
  }
  if (failure) {
    return MalformedAt(LineAndColumn(aText, consumed),
                       failure == json::error::too_deep
                         ? "nested deeper than " +
                             std::to_string(aMaximumDepth) + " levels"
                         : "is no JSON: " + failure.message());
  }
  aScan = std::move(parser.handler().mScan);
  auto tree = json::parse(aText, failure, {}, options);
  if (failure) {
    return MalformedAt({}, "is no JSON: " + failure.message());
  }
  return tree;
}

} // namespace sassafrasknot::protocol
