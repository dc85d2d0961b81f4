#ifndef SASSAFRASKNOT_STATE_ENDPOINT_HPP
#define SASSAFRASKNOT_STATE_ENDPOINT_HPP

#include "sassafrasknot/state/error.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace sassafrasknot::state {

/// @brief An IPv4 address in host byte order.
struct Ipv4Address
{
  std::uint32_t mValue = 0;

  auto operator<=>(const Ipv4Address&) const = default;
};

/// @brief An IPv4 address and a port, both in host byte order.
struct Endpoint
{
  Ipv4Address mAddress;
  std::uint16_t mPort = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// @brief Reads an address such as "127.0.0.1".
/// @param aText the text
/// @return the address, or Malformed
Result<Ipv4Address>
ParseIpv4Address(std::string_view aText);

/// @brief Reads an endpoint such as "127.0.0.1:7000".
/// @param aText the text
/// @return the endpoint, or Malformed
Result<Endpoint>
ParseEndpoint(std::string_view aText);

/// @brief Writes an address in dotted form.
/// @param aAddress the address
/// @return text such as "127.0.0.1"
std::string
ToString(Ipv4Address aAddress);

/// @brief Writes an endpoint with its port.
/// @param aEndpoint the endpoint
/// @return text such as "127.0.0.1:7000"
std::string
ToString(const Endpoint& aEndpoint);

} // namespace sassafrasknot::state

#endif
