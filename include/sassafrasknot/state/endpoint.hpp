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

/// @brief Parses an address.
/// @param aText an address in dotted form, such as "127.0.0.1"
/// @return the address, or ErrorCode::Malformed
Result<Ipv4Address>
ParseIpv4Address(std::string_view aText);

/// @brief Parses an endpoint.
/// @param aText an address and a port from 1 to 65535, such as "127.0.0.1:7000"
/// @return the endpoint, or ErrorCode::Malformed
Result<Endpoint>
ParseEndpoint(std::string_view aText);

/// @brief Formats an address in dotted form.
/// @param aAddress address to format
/// @return text such as "127.0.0.1"
std::string
ToString(Ipv4Address aAddress);

/// @brief Formats an endpoint as address and port.
/// @param aEndpoint endpoint to format
/// @return text such as "127.0.0.1:7000"
std::string
ToString(const Endpoint& aEndpoint);

} // namespace sassafrasknot::state

#endif
