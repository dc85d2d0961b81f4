#ifndef SASSAFRASKNOT_PROTOCOL_PLATFORM_CODEC_HPP
#define SASSAFRASKNOT_PROTOCOL_PLATFORM_CODEC_HPP

#include "sassafrasknot/state/document.hpp"
#include "sassafrasknot/state/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasknot::protocol {

/// Maximum size of an answer of the platform, in bytes.
constexpr std::size_t kMaxPlatformAnswerBytes = 64U << 20U;

/// @brief Answer of the platform's configuration service to a read or a watch.
struct PlatformAnswer
{
  /// Revision of the configuration that the answer describes.
  state::Revision mRevision = 0;
  /// Whether all keys are listed, so that a key that is absent does not exist.
  bool mFull = false;
  std::vector<state::ConfigurationRecord> mRecords;
};

/// @brief Decodes an answer of the platform. A record whose value is malformed
/// keeps its text and has no document, so that one malformed value does not
/// block the other records.
/// @param aText the answer, in JSON
/// @return the answer, or Malformed with a message "LOCATION: what is allowed",
/// as from DecodeDocument
state::Result<PlatformAnswer>
DecodePlatformAnswer(std::string_view aText);

/// @brief Encodes an answer as the JSON text that DecodePlatformAnswer accepts.
/// @param aAnswer the answer; mText of each record that is not deleted must be
/// a JSON value
/// @return the answer, in JSON
std::string
EncodePlatformAnswer(const PlatformAnswer& aAnswer);

} // namespace sassafrasknot::protocol

#endif
