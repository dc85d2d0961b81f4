#include "upstream_settings.hpp"

#include <exception>
#include <stdexcept>

#include <boost/json.hpp>

namespace stand_ins {

namespace json = boost::json;

namespace {

// The functions below throw an exception if a member of the JSON object has the
// wrong type or an invalid value, or if a required member is absent.

// Sets aOut to a member of the object; leaves it unchanged if the member is
// absent.
template<typename Number>
void
ReadNumber(const json::object& aObject, std::string_view aName, Number& aOut)
{
  if (const auto* value = aObject.if_contains(aName)) {
    aOut = value->to_number<Number>();
  }
}

// Like ReadNumber, for a whole number of milliseconds.
void
ReadMilliseconds(const json::object& aObject,
                 std::string_view aName,
                 std::chrono::milliseconds& aOut)
{
  auto count = aOut.count();
  ReadNumber(aObject, aName, count);
  aOut = std::chrono::milliseconds(count);
}

UpstreamMode
ReadMode(const json::object& aObject)
{
  const auto* value = aObject.if_contains("mode");
  if (value == nullptr || value->as_string() == "live") {
    return UpstreamMode::Live;
  }
  if (value->as_string() == "shedding") {
    return UpstreamMode::Shedding;
  }
  if (value->as_string() == "down") {
    return UpstreamMode::Down;
  }
  throw std::invalid_argument("unknown mode, expected live, shedding or down");
}

UpstreamSettings
ReadUpstream(const json::object& aObject)
{
  UpstreamSettings settings;
  const auto address =
    state::ParseIpv4Address(aObject.at("address").as_string());
  if (!address) {
    throw std::invalid_argument(
      "address of an upstream is not an IPv4 address");
  }
  settings.mAddress = address.value();
  settings.mOrganisation = aObject.at("organisation").as_string();
  settings.mService = aObject.at("service").as_string();
  ReadNumber(aObject, "slots", settings.mSlots);
  ReadNumber(aObject, "connections", settings.mMaxConnections);
  ReadMilliseconds(aObject, "service_ms", settings.mServiceTime);
  ReadMilliseconds(aObject, "cold_ms", settings.mWarmUp);
  ReadNumber(aObject, "cold_factor", settings.mWarmUpFactor);
  settings.mMode = ReadMode(aObject);
  return settings;
}

} // namespace

state::Result<std::vector<UpstreamSettings>>
ParseUpstreams(std::string_view aText)
{
  try {
    const auto value = json::parse(aText);
    std::vector<UpstreamSettings> upstreams;
    for (const auto& entry : value.at("upstreams").as_array()) {
      upstreams.push_back(ReadUpstream(entry.as_object()));
    }
    return upstreams;
  } catch (const std::exception& error) {
    return state::Error{ state::ErrorCode::Malformed,
                         state::Verdict::NotRun,
                         error.what() };
  }
}

} // namespace stand_ins
