#ifndef SASSAFRASKNOT_REVIEW_NET_HPP
#define SASSAFRASKNOT_REVIEW_NET_HPP

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "wire.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace review {

using Clock = std::chrono::steady_clock;
using boost::asio::io_context;
using std::chrono::milliseconds;

/// @brief Converts an endpoint to that of a TCP socket.
boost::asio::ip::tcp::endpoint
ToTcp(const Endpoint& aEndpoint);

/// @brief Runs a function on the context after a delay.
void
RunAfter(io_context& aContext,
         milliseconds aDelay,
         std::function<void()> aFunction);

/// @brief A UDP socket.
class DatagramSocket : public std::enable_shared_from_this<DatagramSocket>
{
public:
  using Handler = std::function<void(const Endpoint& aFrom, std::string_view)>;

  /// @throws boost::system::system_error if the endpoint cannot be bound
  DatagramSocket(io_context& aContext, const Endpoint& aLocal);
  void Start(Handler aHandler);
  /// @brief Sends a datagram. Errors are ignored, as losses are.
  void Send(const Endpoint& aTo, std::string_view aBytes);
  void Close();

private:
  void Receive();

  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mFrom;
  std::array<char, 65536> mBuffer{};
  Handler mHandler;
};

/// @brief Sends the response to a request, once, now or later.
using Respond = std::function<void(unsigned aStatus, std::string aBody)>;
using RequestHandler = std::function<void(std::string aTarget, Respond)>;

/// @brief An HTTP server for GET requests, one on each connection.
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
  /// @throws boost::system::system_error if the endpoint cannot be bound
  HttpServer(io_context& aContext,
             const Endpoint& aLocal,
             RequestHandler aHandler);
  void Start();
  /// @brief Stops listening, so that new connections are refused.
  void Close();

private:
  boost::asio::ip::tcp::acceptor mAcceptor;
  RequestHandler mHandler;
};

/// @brief Sends a GET request.
/// @param aDone called once, with the status, or 0 without an answer in time
void
Get(io_context& aContext,
    const Endpoint& aServer,
    const std::string& aTarget,
    milliseconds aTimeout,
    std::function<void(unsigned aStatus)> aDone);

/// @brief A TCP proxy in front of one listener. It forwards all bytes, and lets
/// its owner hold back connections before their first byte is forwarded.
class ConnectionProxy : public std::enable_shared_from_this<ConnectionProxy>
{
public:
  /// @throws boost::system::system_error if the endpoint cannot be bound
  ConnectionProxy(io_context& aContext,
                  const Endpoint& aLocal,
                  const Endpoint& aTarget);
  void Start();

  /// Called for each accepted connection, which is forwarded once the given
  /// function is called; unset: at once.
  std::function<void(std::function<void()> aForward)> mOnAccepted;
  /// Called when the target has closed a connection, after its answer.
  std::function<void()> mOnAnswered;

private:
  io_context& mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  Endpoint mTarget;
};

} // namespace review

#endif
