#include "sassafrasknot/state/endpoint.hpp"

#include <charconv>

#include <boost/asio/ip/address_v4.hpp>

namespace sassafrasknot::state {

Result<Ipv4Address>
ParseIpv4Address(std::string_view aText)
{
  boost::system::error_code failure;
  const auto address = boost::asio::ip::make_address_v4(aText, failure);
  if (failure) {
    return Error{ ErrorCode::Malformed,
                  Verdict::NotRun,
                  "not an IPv4 address: " + std::string(aText) };
  }
  return Ipv4Address{ address.to_uint() };
}

Result<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return Error{ ErrorCode::Malformed,
                  Verdict::NotRun,
                  "not an endpoint in the form IP:PORT: " +
                    std::string(aText) };
  }
  auto address = ParseIpv4Address(aText.substr(0, colon));
  if (!address) {
    return address.error();
  }
  const auto portText = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto* const end = portText.data() + portText.size();
  if (const auto [stop, failure] = std::from_chars(portText.data(), end, port);
      failure != std::errc{} || stop != end || port == 0) {
    return Error{ ErrorCode::Malformed,
                  Verdict::NotRun,
                  "not a port from 1 to 65535: " + std::string(portText) };
  }
  return Endpoint{ address.value(), port };
}

std::string
ToString(Ipv4Address aAddress)
{
  return boost::asio::ip::address_v4(aAddress.mValue).to_string();
}

std::string
ToString(const Endpoint& aEndpoint)
{
  return ToString(aEndpoint.mAddress) + ':' + std::to_string(aEndpoint.mPort);
}

} // namespace sassafrasknot::state
