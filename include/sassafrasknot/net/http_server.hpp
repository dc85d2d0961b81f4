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
#include <boost/asio/steady_timer.hpp>

namespace sassafrasknot::net {

/// @brief Response to a GET request.
struct HttpServerResponse
{
  unsigned mStatus = 200;
  std::string mContentType = "text/plain";
  std::string mBody;
};

/// @brief Returns the response to a path with its query. It is called on the
/// thread that runs the server's context.
using HttpRequestHandler = std::function<HttpServerResponse(std::string_view)>;

/// @brief Sends the response to one request; must be called at most once, on
/// the thread that runs the server's context.
using HttpResponder = std::function<void(HttpServerResponse)>;

/// @brief Handles a request to a path with its query and responds at once or
/// later. If the responder is destroyed without a call, the connection ends.
using HttpAsyncHandler = std::function<void(std::string_view, HttpResponder)>;

/// @brief HTTP server for short GET requests, which are all handled on one
/// thread. The server keeps itself alive until Close.
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
  /// @brief Creates a server that listens on an endpoint and accepts requests.
  /// @param aContext runs the server; must be run by one thread
  /// @param aEndpoint endpoint to listen on
  /// @param aHandler handles GET requests; other methods receive status 405
  /// @return the server, or Unavailable with the endpoint and the cause
  static state::Result<std::shared_ptr<HttpServer>> Open(
    boost::asio::io_context& aContext,
    const state::Endpoint& aEndpoint,
    HttpRequestHandler aHandler);

  /// @brief The same for requests whose responses may come later.
  /// @param aContext runs the server; must be run by one thread
  /// @param aEndpoint endpoint to listen on
  /// @param aHandler handles GET requests; other methods receive status 405
  /// @return the server, or Unavailable with the endpoint and the cause
  static state::Result<std::shared_ptr<HttpServer>> OpenAsync(
    boost::asio::io_context& aContext,
    const state::Endpoint& aEndpoint,
    HttpAsyncHandler aHandler);

  /// @brief Creates a server that does not listen yet; see Open.
  /// @param aContext runs the server
  /// @param aHandler handles GET requests
  HttpServer(boost::asio::io_context& aContext, HttpAsyncHandler aHandler);

  /// @brief Stops accepting connections; open ones remain. Must be called on
  /// the thread that runs the context.
  void Close();

private:
  void Accept();

  boost::asio::ip::tcp::acceptor mAcceptor;
  /// Delays the next accept after a failure.
  boost::asio::steady_timer mRetryTimer;
  HttpAsyncHandler mHandler;
};

} // namespace sassafrasknot::net

#endif
