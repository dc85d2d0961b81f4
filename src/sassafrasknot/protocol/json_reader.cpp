#include "sassafrasknot/protocol/json_reader.hpp"

#include "sassafrasknot/protocol/json_scan.hpp"

#include <algorithm>

namespace sassafrasknot::protocol {
namespace {

/// Unknown member names are quoted in messages up to this length.
constexpr std::size_t kExcerpt = 80;

std::string
Join(std::span<const std::string_view> aWords)
{
  std::string text;
  for (const auto word : aWords) {
    text += (text.empty() ? "" : ", ") + std::string(word);
  }
  return text;
}

/// An element's path uses its name where it has a proper one, as findings of
/// state::Validate do for services.
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

JsonReader::JsonReader(std::optional<state::Error>& aFailure,
                       const boost::json::value& aValue,
                       std::string aPlace,
                       std::span<const std::string_view> aMembers)
  : mFailure(aFailure)
  , mObject(aValue.if_object())
  , mPlace(std::move(aPlace))
{
  if (mObject == nullptr) {
    Fail({}, "must be an object with the members " + Join(aMembers));
    return;
  }
  for (const auto& member : *mObject) {
    const std::string_view name = member.key();
    if (std::ranges::find(aMembers, name) == aMembers.end()) {
      Fail(name.substr(0, kExcerpt),
           "is unknown; allowed are " + Join(aMembers));
    }
  }
}

bool
JsonReader::Has(std::string_view aMember) const
{
  return mObject != nullptr && mObject->contains(aMember);
}

std::string
JsonReader::PlaceOf(std::string_view aMember) const
{
  if (mPlace.empty() || aMember.empty()) {
    return mPlace + std::string(aMember);
  }
  return mPlace + '/' + std::string(aMember);
}

void
JsonReader::Fail(std::string_view aMember, std::string_view aMessage)
{
  if (!mFailure) {
    mFailure = MalformedAt(PlaceOf(aMember), aMessage);
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
    boost::system::error_code failure;
    // A number with a fraction of zero, such as 2.0, is a whole number too.
    const auto number = value->to_number<std::uint64_t>(failure);
    if (!failure && aRange.Contains(number)) {
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
    boost::system::error_code failure;
    const auto number = value->to_number<double>(failure);
    if (!failure && aRange.Contains(number)) {
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
  // The parser stops at a NUL byte; only the canonical form is allowed.
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
    Fail(aMember, "must be an IPv4 address with a port, as in 127.0.0.1:7000");
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
  for (std::size_t index = 0; index < array->size() && !mFailure; ++index) {
    const auto& element = array->at(index);
    aRead(element, PlaceOf(aMember) + '/' + ElementName(element, index));
  }
}

} // namespace sassafrasknot::protocol
