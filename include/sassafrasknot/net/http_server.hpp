#ifndef SASSAFRASKNOT_NET_HTTP_SERVER_HPP
#define SASSAFRASKNOT_NET_HTTP_SERVER_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace sassafrasknot::net {

/// @brief Answer to a GET request.
struct HttpServerResponse
{
  unsigned mStatus = 200;
  std::string mContentType = "text/plain";
  std::string mBody;
};

/// Answers a path with its query; called on the server's thread.
using HttpRequestHandler = std::function<HttpServerResponse(std::string_view)>;

/// @brief Serves short GET requests for one thread. It stays alive while it
/// accepts connections.
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
  /// @brief Listens and starts to serve.
  /// @param aContext runs the server
  /// @param aEndpoint endpoint to listen on
  /// @param aHandler answers requests
  /// @return the server, or Unavailable with the endpoint and the cause
  static state::Result<std::shared_ptr<HttpServer>> Open(
    boost::asio::io_context& aContext,
    const state::Endpoint& aEndpoint,
    HttpRequestHandler aHandler);

  HttpServer(boost::asio::io_context& aContext, HttpRequestHandler aHandler);

  /// @brief Accepts no further connection. To be called on the context's
  /// thread.
  void Close();

private:
  void Accept();

  boost::asio::ip::tcp::acceptor mAcceptor;
  HttpRequestHandler mHandler;
};

} // namespace sassafrasknot::net

#endif
