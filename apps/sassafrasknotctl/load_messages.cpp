#include "load_messages.hpp"

#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>
#include <array>
#include <exception>
#include <random>

#include <boost/json.hpp>

namespace sassafrasknotctl {

namespace json = boost::json;

namespace {

// Names of the kinds in the order of the enumerators.
constexpr std::array<std::string_view, 3> kKinds{ "feed",
                                                  "upload",
                                                  "confirmation" };

std::string
Line(const json::object& aObject)
{
  return json::serialize(aObject) + '\n';
}

// Returns a member that is a string; throws if there is none.
std::string
Text(const json::object& aObject, std::string_view aName)
{
  return json::value_to<std::string>(aObject.at(aName));
}

// Returns a member that is a number of 64 bits; throws if there is none.
std::uint64_t
Number(const json::object& aObject, std::string_view aName)
{
  return aObject.at(aName).to_number<std::uint64_t>();
}

// Parses a line as a JSON object and calls a function that copies its members
// to the message. Any exception of the two means that the line is malformed.
template<typename Message, typename Fill>
state::Result<Message>
Decode(std::string_view aLine, Fill aFill)
{
  try {
    const auto value = json::parse(aLine);
    Message message;
    aFill(value.as_object(), message);
    return message;
  } catch (const std::exception& error) {
    return state::Error{ state::ErrorCode::Malformed,
                         state::Verdict::NotRun,
                         error.what() };
  }
}

} // namespace

std::string_view
ToString(FlowKind aKind)
{
  return kKinds.at(static_cast<std::size_t>(aKind));
}

std::optional<FlowKind>
ParseFlowKind(std::string_view aText)
{
  const auto* const found = std::ranges::find(kKinds, aText);
  if (found == kKinds.end()) {
    return std::nullopt;
  }
  return static_cast<FlowKind>(found - kKinds.begin());
}

std::string
Encode(const Request& aMessage)
{
  return Line({ { "id", aMessage.mId },
                { "kind", ToString(aMessage.mKind) },
                { "organisation", aMessage.mOrganisation },
                { "service", aMessage.mService },
                { "bytes", aMessage.mUploadBytes },
                { "period_ms", aMessage.mPeriod.count() },
                { "factor", aMessage.mServiceTimeFactor } });
}

std::string
Encode(const Answer& aMessage)
{
  return Line({ { "id", aMessage.mId },
                { "organisation", aMessage.mOrganisation },
                { "service", aMessage.mService },
                { "upstream", aMessage.mUpstream },
                { "sequence", aMessage.mSequence },
                { "checksum", aMessage.mChecksum },
                { "runs", aMessage.mRuns } });
}

state::Result<Request>
DecodeRequest(std::string_view aLine)
{
  return Decode<Request>(aLine, [](const json::object& aObject, Request& aOut) {
    aOut.mId = Number(aObject, "id");
    aOut.mKind = ParseFlowKind(Text(aObject, "kind")).value();
    aOut.mOrganisation = Text(aObject, "organisation");
    aOut.mService = Text(aObject, "service");
    aOut.mUploadBytes = Number(aObject, "bytes");
    aOut.mPeriod = std::chrono::milliseconds(Number(aObject, "period_ms"));
    aOut.mServiceTimeFactor = aObject.at("factor").to_number<double>();
  });
}

state::Result<Answer>
DecodeAnswer(std::string_view aLine)
{
  return Decode<Answer>(aLine, [](const json::object& aObject, Answer& aOut) {
    aOut.mId = Number(aObject, "id");
    aOut.mOrganisation = Text(aObject, "organisation");
    aOut.mService = Text(aObject, "service");
    aOut.mUpstream = Text(aObject, "upstream");
    aOut.mSequence = Number(aObject, "sequence");
    aOut.mChecksum = Number(aObject, "checksum");
    aOut.mRuns = Number(aObject, "runs");
  });
}

std::optional<std::string>
PopLine(std::string& aBuffer)
{
  const auto end = aBuffer.find('\n');
  if (end == std::string::npos) {
    return std::nullopt;
  }
  auto line = aBuffer.substr(0, end);
  aBuffer.erase(0, end + 1);
  return line;
}

std::string
MakeUploadPayload(std::uint64_t aId, std::uint64_t aBytes)
{
  // The seed must be between 1 and 2^31 - 2.
  std::minstd_rand random(static_cast<std::uint32_t>(aId % 2147483646 + 1));
  std::string bytes(aBytes, '\0');
  std::ranges::generate(bytes,
                        [&] { return static_cast<char>(random() >> 8); });
  return bytes;
}

std::uint64_t
Checksum(std::string_view aBytes)
{
  return sassafrasknot::state::HashBytes(aBytes);
}

} // namespace sassafrasknotctl
