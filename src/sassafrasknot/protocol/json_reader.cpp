#include "sassafrasknot/protocol/json_reader.hpp"

#include "sassafrasknot/protocol/json_parser.hpp"

#include <algorithm>

namespace sassafrasknot::protocol {
namespace {

/// Maximum length in bytes of an unknown member's name in messages.
constexpr std::size_t kMaxQuotedNameBytes = 80;

std::string
JoinNames(std::span<const std::string_view> aNames)
{
  std::string text;
  for (const auto name : aNames) {
    text += (text.empty() ? "" : ", ") + std::string(name);
  }
  return text;
}

/// Returns the last part of an element's path: its name if it has a valid one,
/// otherwise its index. state::Validate names services in the same way.
std::string
ElementName(const boost::json::value& aElement, std::size_t aIndex)
{
  if (const auto* const object = aElement.if_object()) {
    if (const auto* const name = object->if_contains("name");
        name != nullptr && name->is_string() &&
        state::IsName(std::string_view(name->get_string()))) {
      return std::string(name->get_string());
    }
  }
  return std::to_string(aIndex);
}

} // namespace

JsonReader::JsonReader(std::optional<state::Error>& aFirstError,
                       const boost::json::value& aValue,
                       std::string aLocation,
                       std::span<const std::string_view> aMembers)
  : mFirstError(aFirstError)
  , mObject(aValue.if_object())
  , mLocation(std::move(aLocation))
{
  if (mObject == nullptr) {
    Fail({}, "must be an object with the members " + JoinNames(aMembers));
    return;
  }
  for (const auto& member : *mObject) {
    const std::string_view name = member.key();
    if (std::ranges::find(aMembers, name) == aMembers.end()) {
      Fail(name.substr(0, kMaxQuotedNameBytes),
           "is unknown; allowed are " + JoinNames(aMembers));
    }
  }
}

bool
JsonReader::Has(std::string_view aMember) const
{
  return mObject != nullptr && mObject->contains(aMember);
}

std::string
JsonReader::LocationOf(std::string_view aMember) const
{
  if (mLocation.empty() || aMember.empty()) {
    return mLocation + std::string(aMember);
  }
  return mLocation + '/' + std::string(aMember);
}

void
JsonReader::Fail(std::string_view aMember, std::string_view aMessage)
{
  if (!mFirstError) {
    mFirstError = MalformedAt(LocationOf(aMember), aMessage);
  }
}

const boost::json::value*
JsonReader::Find(std::string_view aMember)
{
  const auto* const value =
    mObject == nullptr ? nullptr : mObject->if_contains(aMember);
  if (value == nullptr) {
    Fail(aMember, "is required");
  }
  return value;
}

std::uint64_t
JsonReader::Integer(std::string_view aMember,
                    const state::Range<std::uint64_t>& aRange,
                    std::optional<std::uint64_t> aDefault)
{
  if (!Has(aMember) && aDefault) {
    return *aDefault;
  }
  if (const auto* const value = Find(aMember)) {
    boost::system::error_code errorCode;
    // to_number also accepts a number whose fraction is zero, such as 2.0.
    const auto number = value->to_number<std::uint64_t>(errorCode);
    if (!errorCode && aRange.Contains(number)) {
      return number;
    }
    Fail(aMember, "must be a whole number from " + ToString(aRange));
  }
  return aRange.mLowest;
}

double
JsonReader::Number(std::string_view aMember,
                   const state::Range<double>& aRange,
                   std::optional<double> aDefault)
{
  if (!Has(aMember) && aDefault) {
    return *aDefault;
  }
  if (const auto* const value = Find(aMember)) {
    boost::system::error_code errorCode;
    const auto number = value->to_number<double>(errorCode);
    if (!errorCode && aRange.Contains(number)) {
      return number;
    }
    Fail(aMember, "must be a number from " + ToString(aRange));
  }
  return aRange.mLowest;
}

std::chrono::milliseconds
JsonReader::Milliseconds(std::string_view aMember,
                         const state::Range<std::uint64_t>& aRange,
                         std::optional<std::chrono::milliseconds> aDefault)
{
  std::optional<std::uint64_t> count;
  if (aDefault) {
    count = static_cast<std::uint64_t>(aDefault->count());
  }
  return std::chrono::milliseconds(Integer(aMember, aRange, count));
}

bool
JsonReader::Boolean(std::string_view aMember, std::optional<bool> aDefault)
{
  if (!Has(aMember) && aDefault) {
    return *aDefault;
  }
  if (const auto* const value = Find(aMember)) {
    if (value->is_bool()) {
      return value->get_bool();
    }
    Fail(aMember, "must be true or false");
  }
  return false;
}

std::string
JsonReader::String(std::string_view aMember)
{
  if (const auto* const value = Find(aMember)) {
    if (value->is_string()) {
      return std::string(value->get_string());
    }
    Fail(aMember, "must be a string");
  }
  return {};
}

std::string
JsonReader::Name(std::string_view aMember)
{
  auto name = String(aMember);
  if (!state::IsName(name)) {
    Fail(aMember, "must be " + std::string(state::kNameRule));
  }
  return name;
}

state::Ipv4Address
JsonReader::Address(std::string_view aMember)
{
  const auto text = String(aMember);
  const auto address = state::ParseIpv4Address(text);
  // ParseIpv4Address ignores everything after a NUL byte, so the text is
  // compared with the canonical form.
  if (!address || ToString(address.value()) != text) {
    Fail(aMember, "must be an IPv4 address such as 127.0.0.1");
    return {};
  }
  return address.value();
}

state::Endpoint
JsonReader::Endpoint(std::string_view aMember)
{
  const auto text = String(aMember);
  const auto endpoint = state::ParseEndpoint(text);
  if (!endpoint || ToString(endpoint.value()) != text) {
    Fail(aMember,
         "must be an IPv4 address with a port, such as 127.0.0.1:7000");
    return {};
  }
  return endpoint.value();
}

void
JsonReader::Array(
  std::string_view aMember,
  const state::Range<std::uint64_t>& aCount,
  const std::function<void(const boost::json::value&, std::string)>& aRead)
{
  const auto* const value = Find(aMember);
  if (value == nullptr) {
    return;
  }
  const auto* const array = value->if_array();
  if (array == nullptr || !aCount.Contains(array->size())) {
    Fail(aMember, "must be an array with " + ToString(aCount) + " elements");
    return;
  }
  for (std::size_t index = 0; index < array->size() && !mFirstError; ++index) {
    const auto& element = array->at(index);
    aRead(element, LocationOf(aMember) + '/' + ElementName(element, index));
  }
}

} // namespace sassafrasknot::protocol
