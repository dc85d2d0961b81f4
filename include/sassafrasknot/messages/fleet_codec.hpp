#ifndef SASSAFRASKNOT_MESSAGES_FLEET_CODEC_HPP
#define SASSAFRASKNOT_MESSAGES_FLEET_CODEC_HPP

#include "sassafrasknot/fleet/fleet_message.hpp"
#include "sassafrasknot/state/error.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// @brief Encoding of the messages between the instances of a fleet.
namespace sassafrasknot::messages {

/// @brief Encodes a message for one datagram.
/// @param aMessage the message
/// @return its bytes
std::string
EncodeMessage(const fleet::FleetMessage& aMessage);

/// @brief Decodes a datagram.
/// @param aBytes the datagram
/// @return the message, or Malformed
state::Result<fleet::FleetMessage>
DecodeMessage(std::span<const std::uint8_t> aBytes);

/// @brief Encodes the answer to a pull.
/// @param aChanges the changes
/// @return its bytes
std::string
EncodeChanges(const fleet::ChangeSet& aChanges);

/// @brief Decodes the answer to a pull.
/// @param aBytes the answer
/// @return the changes, or Malformed
state::Result<fleet::ChangeSet>
DecodeChanges(std::string_view aBytes);

} // namespace sassafrasknot::messages

#endif
