#ifndef SASSAFRASKNOT_TRANSPORT_FREE_ENDPOINT_HPP
#define SASSAFRASKNOT_TRANSPORT_FREE_ENDPOINT_HPP

#include "sassafrasknot/state/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace sassafrasknot::transport {

/// Returns a loopback endpoint for a test whose port was unused, both for UDP
/// and for TCP, when it was checked. Another process may take it afterwards.
inline state::Endpoint
FreeEndpoint()
{
  const auto loopback = boost::asio::ip::address_v4::loopback();
  boost::asio::io_context context;
  while (true) {
    const boost::asio::ip::tcp::acceptor listener(context, { loopback, 0 });
    const auto port = listener.local_endpoint().port();
    boost::asio::ip::udp::socket socket(context, boost::asio::ip::udp::v4());
    boost::system::error_code error;
    socket.bind({ loopback, port }, error);
    if (!error) {
      return { { loopback.to_uint() }, port };
    }
  }
}

} // namespace sassafrasknot::transport

#endif
