#ifndef SASSAFRASKNOTCTL_LOAD_MESSAGES_HPP
#define SASSAFRASKNOTCTL_LOAD_MESSAGES_HPP

#include "sassafrasknot/state/error.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Messages between the callers of the load tool and the upstreams of the test
/// programs: one JSON object per line. The bytes of an upload follow its
/// request.
namespace sassafrasknotctl {

namespace state = sassafrasknot::state;

/// @brief Kind of a flow.
enum class FlowKind : std::uint8_t
{
  Feed,         ///< The upstream sends a message per period until the FIN.
  Upload,       ///< The caller sends bytes; the answer has their checksum.
  Confirmation, ///< One request that must not run more than once.
};

/// @brief Returns "feed", "upload" or "confirmation".
/// @param aKind kind to name
std::string_view
ToString(FlowKind aKind);

/// @brief Parses the text that ToString returns.
/// @param aText name of a kind
/// @return the kind, or nothing for any other text
std::optional<FlowKind>
ParseFlowKind(std::string_view aText);

/// @brief Request that a caller sends as the first line of its flow.
struct Request
{
  /// Number that is unique among the requests of a run.
  std::uint64_t mId = 0;
  FlowKind mKind = FlowKind::Confirmation;
  std::string mOrganisation;
  std::string mService;
  /// Size of the upload that follows, in bytes.
  std::uint64_t mUploadBytes = 0;
  /// Interval between a feed's messages.
  std::chrono::milliseconds mPeriod{};
  /// Factor by which the upstream multiplies its service time; above 1 for a
  /// straggler, a request that takes unusually long.
  double mServiceTimeFactor = 1.0;

  auto operator<=>(const Request&) const = default;
};

/// @brief Answer of an upstream: one line; a feed consists of many.
struct Answer
{
  /// Id of the request that is answered.
  std::uint64_t mId = 0;
  std::string mOrganisation;
  std::string mService;
  /// Address of the upstream.
  std::string mUpstream;
  /// Number of the message within its feed, from 0.
  std::uint64_t mSequence = 0;
  /// Checksum of the bytes of the upload.
  std::uint64_t mChecksum = 0;
  /// Number of times that the request with this id has run.
  std::uint64_t mRuns = 0;

  auto operator<=>(const Answer&) const = default;
};

/// @brief Encodes a request or an answer.
/// @param aMessage message to encode
/// @return one line of JSON with its line end
std::string
Encode(const Request& aMessage);
std::string
Encode(const Answer& aMessage);

/// @brief Decodes a request or an answer.
/// @param aLine one line of JSON without its line end
/// @return the message, or Malformed
state::Result<Request>
DecodeRequest(std::string_view aLine);
state::Result<Answer>
DecodeAnswer(std::string_view aLine);

/// @brief Removes the first complete line from a buffer.
/// @param aBuffer received bytes; the line and its end are removed
/// @return the line without its end, or nothing if no line is complete
std::optional<std::string>
PopLine(std::string& aBuffer);

/// @brief Makes the bytes of an upload. They depend on the id, so that the
/// bytes of another upload give a different checksum.
/// @param aId id of the request
/// @param aBytes size, in bytes
/// @return the bytes
std::string
MakeUploadPayload(std::uint64_t aId, std::uint64_t aBytes);

/// @brief Returns the checksum of an upload.
/// @param aBytes bytes of the upload
/// @return the checksum
std::uint64_t
Checksum(std::string_view aBytes);

} // namespace sassafrasknotctl

#endif
