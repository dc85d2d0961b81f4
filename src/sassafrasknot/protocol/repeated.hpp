#ifndef SASSAFRASKNOT_PROTOCOL_REPEATED_HPP
#define SASSAFRASKNOT_PROTOCOL_REPEATED_HPP

#include <cstddef>
#include <vector>

#include <google/protobuf/repeated_ptr_field.h>

namespace sassafrasknot::protocol {

/// Appends each value to a repeated protobuf field, converted by
/// aToWire(value, wire).
template<typename Value, typename Wire, typename Convert>
void
ListToWire(const std::vector<Value>& aValues,
           google::protobuf::RepeatedPtrField<Wire>& aWire,
           const Convert& aToWire)
{
  aWire.Reserve(static_cast<int>(aValues.size()));
  for (const auto& value : aValues) {
    aToWire(value, *aWire.Add());
  }
}

/// Converts each element of a repeated protobuf field by aFromWire(wire,
/// value), which returns false for an invalid element. Stops and returns false
/// at the first invalid element.
template<typename Value, typename Wire, typename Convert>
bool
ListFromWire(const google::protobuf::RepeatedPtrField<Wire>& aWire,
             std::vector<Value>& aValues,
             const Convert& aFromWire)
{
  aValues.resize(static_cast<std::size_t>(aWire.size()));
  for (int index = 0; index < aWire.size(); ++index) {
    if (!aFromWire(aWire[index], aValues[static_cast<std::size_t>(index)])) {
      return false;
    }
  }
  return true;
}

} // namespace sassafrasknot::protocol

#endif
