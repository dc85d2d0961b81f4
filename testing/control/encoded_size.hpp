#ifndef SASSAFRASKNOT_TESTING_CONTROL_ENCODED_SIZE_HPP
#define SASSAFRASKNOT_TESTING_CONTROL_ENCODED_SIZE_HPP

#include "sassafrasknot/coordination/control_message.hpp"

#include <cstddef>

namespace sassafrasknot::testing {

/// @brief Returns the size of a message when it is encoded as protobuf with one
/// tag byte per field, without headers of UDP or gRPC.
/// @param aMessage message of a control core
/// @return size in bytes
std::size_t
EncodedSize(const coordination::ControlMessage& aMessage);

} // namespace sassafrasknot::testing

#endif
