#ifndef SASSAFRASKNOT_SOAK_RELAY_HPP
#define SASSAFRASKNOT_SOAK_RELAY_HPP

#include "sassafrasknot/state/endpoint.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace soak {

using sassafrasknot::state::Endpoint;

/// @brief Converts an endpoint to that of a UDP socket.
boost::asio::ip::udp::endpoint
ToUdp(const Endpoint& aEndpoint);
/// @brief Converts an endpoint to that of a TCP socket.
boost::asio::ip::tcp::endpoint
ToTcp(const Endpoint& aEndpoint);

/// @brief Runs a function on the context after a delay.
void
RunAfter(boost::asio::io_context& aContext,
         std::chrono::milliseconds aDelay,
         std::function<void()> aFunction);

/// @brief Handles a datagram, given its sender's endpoint and its bytes.
using DatagramHandler =
  std::function<void(const Endpoint&, const std::vector<char>&)>;

/// @brief A UDP socket that is used on the run's only thread.
class DatagramSocket : public std::enable_shared_from_this<DatagramSocket>
{
public:
  /// @brief Binds the socket.
  /// @throws boost::system::system_error if the endpoint cannot be bound
  DatagramSocket(boost::asio::io_context& aContext, const Endpoint& aLocal);
  /// @brief Starts to receive datagrams.
  void Start(DatagramHandler aHandler);
  /// @brief Sends a datagram. Errors are ignored, as losses on a network are.
  void Send(const Endpoint& aTo, std::string_view aBytes);
  void Close();

private:
  void Receive();

  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mFrom;
  std::vector<char> mBuffer;
  DatagramHandler mHandler;
};

/// @brief Faults that a relay applies to connections.
struct ConnectionConditions
{
  /// New connections are accepted, but their bytes are discarded.
  bool mBlackhole = false;
  /// Extra delay of the bytes that the target sends, for new connections.
  std::chrono::milliseconds mDelay{ 0 };
};

struct RelayedConnection;

/// @brief Forwards TCP connections to a target. It stays alive until Close is
/// called, as its pending accept holds a reference.
class ConnectionRelay : public std::enable_shared_from_this<ConnectionRelay>
{
public:
  /// @brief Listens at an endpoint, without accepting connections yet.
  /// @param aLocal endpoint to which clients connect
  /// @param aTarget endpoint to which each accepted connection is forwarded
  /// @throws boost::system::system_error if the endpoint cannot be bound
  ConnectionRelay(boost::asio::io_context& aContext,
                  const Endpoint& aLocal,
                  const Endpoint& aTarget);
  /// @brief Starts to accept connections.
  void Start();
  /// @brief Resets all open connections.
  void ResetOpen();
  /// @brief Discards all further bytes of the open connections, without closing
  /// them.
  void BlackholeOpen();
  /// @brief Stops accepting and resets all open connections.
  void Close();

  /// Faults for connections that are accepted from now on.
  ConnectionConditions mConditions;
  /// Called once a connection has been accepted under these conditions, if set.
  std::function<void()> mOnAccepted;

private:
  void Accept();

  boost::asio::io_context& mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  Endpoint mTarget;
  std::vector<std::weak_ptr<RelayedConnection>> mOpenConnections;
};

} // namespace soak

#endif
