#ifndef SASSAFRASKNOT_PROTOCOL_PLATFORM_CODEC_HPP
#define SASSAFRASKNOT_PROTOCOL_PLATFORM_CODEC_HPP

#include "sassafrasknot/state/document.hpp"
#include "sassafrasknot/state/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasknot::protocol {

/// Longest answer of the platform, in bytes.
constexpr std::size_t kMaxPlatformAnswerBytes = 64U << 20U;

/// @brief What the platform answers to a read or a watch.
struct PlatformAnswer
{
  /// Revision that the answer was made at.
  state::Revision mRevision = 0;
  /// Whether all keys are listed, so that a missing one does not exist.
  bool mFull = false;
  std::vector<state::ConfigurationRecord> mRecords;
};

/// @brief Decodes the platform's answer. A record whose value is malformed
/// keeps its text and has no document, so that one faulty value does not hold
/// up the others.
/// @param aText the answer, in JSON
/// @return the answer, or Malformed with a message "PLACE: what is allowed"
state::Result<PlatformAnswer>
DecodePlatformAnswer(std::string_view aText);

/// @brief Encodes an answer; DecodePlatformAnswer reads it back.
/// @param aAnswer the answer; each mText of a record that is not deleted must
/// be a JSON value
/// @return the answer, in JSON
std::string
EncodePlatformAnswer(const PlatformAnswer& aAnswer);

} // namespace sassafrasknot::protocol

#endif
