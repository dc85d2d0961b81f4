#ifndef SASSAFRASKNOT_MESSAGES_FLEET_CODEC_HPP
#define SASSAFRASKNOT_MESSAGES_FLEET_CODEC_HPP

#include "sassafrasknot/fleet/fleet_message.hpp"
#include "sassafrasknot/state/error.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// @brief Encoding of the messages between the instances of a fleet as Protocol
/// Buffers.
namespace sassafrasknot::messages {

/// @brief Encodes a message for one datagram.
/// @param aMessage message to encode
/// @return content of the datagram
std::string
EncodeMessage(const fleet::FleetMessage& aMessage);

/// @brief Decodes a datagram.
/// @param aBytes content of the datagram
/// @return the message, or the error Malformed
state::Result<fleet::FleetMessage>
DecodeMessage(std::span<const std::uint8_t> aBytes);

/// @brief Encodes and compresses the response to a pull.
/// @param aChanges changes to send
/// @return body of the response
std::string
EncodeChanges(const fleet::ChangeSet& aChanges);

/// @brief Decodes the response to a pull.
/// @param aBytes body of the response, of at most 64 MiB when decompressed
/// @return the changes, or the error Malformed
state::Result<fleet::ChangeSet>
DecodeChanges(std::string_view aBytes);

} // namespace sassafrasknot::messages

#endif
