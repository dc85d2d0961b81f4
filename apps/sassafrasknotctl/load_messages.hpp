#ifndef SASSAFRASKNOTCTL_LOAD_MESSAGES_HPP
#define SASSAFRASKNOTCTL_LOAD_MESSAGES_HPP

#include "sassafrasknot/state/error.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The messages between the load tool's callers and the upstream stand-in: one
/// JSON object a line, and an upload's bytes after its request.
namespace sassafrasknotctl {

namespace state = sassafrasknot::state;

/// @brief What a flow does.
enum class FlowKind : std::uint8_t
{
  Feed,         ///< The upstream sends a message each period until the FIN.
  Upload,       ///< The caller sends bytes and gets their checksum.
  Confirmation, ///< One request that must run at most once.
};

/// @brief Returns "feed", "upload" or "confirmation".
/// @param aKind the kind
std::string_view
ToString(FlowKind aKind);

/// @brief Reads what ToString writes.
/// @param aText the text
/// @return the kind, or nothing
std::optional<FlowKind>
ParseFlowKind(std::string_view aText);

/// @brief First line that a caller sends.
struct Request
{
  std::uint64_t mId = 0;
  FlowKind mKind = FlowKind::Confirmation;
  std::string mOrganisation;
  std::string mService;
  /// Size of the upload that follows, in bytes.
  std::uint64_t mUploadBytes = 0;
  /// Interval between a feed's messages.
  std::chrono::milliseconds mPeriod{};
  /// Factor on the upstream's service time; above 1 for a straggler.
  double mServiceTimeFactor = 1.0;

  auto operator<=>(const Request&) const = default;
};

/// @brief A line that an upstream sends.
struct Answer
{
  std::uint64_t mId = 0;
  std::string mOrganisation;
  std::string mService;
  /// Address of the upstream.
  std::string mUpstream;
  /// Number of a feed's message, from 0.
  std::uint64_t mSequence = 0;
  /// Hash of the upload's bytes.
  std::uint64_t mChecksum = 0;
  /// How often the request with this id has run.
  std::uint64_t mRuns = 0;

  auto operator<=>(const Answer&) const = default;
};

/// @brief Writes a request or an answer with its line end.
/// @param aMessage the message
/// @return the line
std::string
Encode(const Request& aMessage);
std::string
Encode(const Answer& aMessage);

/// @brief Reads a line without its end.
/// @param aLine the line
/// @return the message, or Malformed
state::Result<Request>
DecodeRequest(std::string_view aLine);
state::Result<Answer>
DecodeAnswer(std::string_view aLine);

/// @brief Takes the first complete line out of a buffer.
/// @param aBuffer received bytes; the line and its end are removed
/// @return the line without its end, or nothing
std::optional<std::string>
PopLine(std::string& aBuffer);

/// @brief Makes the bytes of an upload; they depend on its id, so that bytes of
/// another upload give another checksum.
/// @param aId id of the request
/// @param aBytes size, in bytes
/// @return the bytes
std::string
MakeUploadPayload(std::uint64_t aId, std::uint64_t aBytes);

/// @brief Hashes an upload.
/// @param aBytes its bytes
/// @return the checksum
std::uint64_t
Checksum(std::string_view aBytes);

} // namespace sassafrasknotctl

#endif
