#ifndef SASSAFRASKNOT_PROTOCOL_PLATFORM_CODEC_HPP
#define SASSAFRASKNOT_PROTOCOL_PLATFORM_CODEC_HPP

#include "sassafrasknot/state/document.hpp"
#include "sassafrasknot/state/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasknot::protocol {

/// Maximum size of a response of the platform, in bytes.
constexpr std::size_t kMaxPlatformResponseBytes = 64U << 20U;

/// @brief Response of the platform's configuration service to a read or a
/// watch.
struct PlatformResponse
{
  /// Revision of the configuration that the response describes.
  state::Revision mRevision = 0;
  /// Whether all keys are listed, so that a key that is absent does not exist.
  bool mFull = false;
  std::vector<state::ConfigurationRecord> mRecords;
};

/// @brief Decodes a response of the platform. A record whose value is malformed
/// keeps its text and has no document, so that one malformed value does not
/// block the other records.
/// @param aText the response, in JSON
/// @return the response, or Malformed with a message "LOCATION: what is
/// allowed", as from DecodeDocument
state::Result<PlatformResponse>
DecodePlatformResponse(std::string_view aText);

/// @brief Encodes a response as the JSON text that DecodePlatformResponse
/// accepts.
/// @param aResponse the response; mText of each record that is not deleted must
/// be a JSON value
/// @return the response, in JSON
std::string
EncodePlatformResponse(const PlatformResponse& aResponse);

} // namespace sassafrasknot::protocol

#endif
