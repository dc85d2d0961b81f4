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

boost::asio::ip::udp::endpoint
ToUdp(const Endpoint& aEndpoint);
boost::asio::ip::tcp::endpoint
ToTcp(const Endpoint& aEndpoint);

/// @brief Runs a function after a time.
void
After(boost::asio::io_context& aContext,
      std::chrono::milliseconds aDelay,
      std::function<void()> aFunction);

/// @brief Takes a datagram and its sender's endpoint.
using DatagramHandler =
  std::function<void(const Endpoint&, const std::vector<char>&)>;

/// @brief A UDP socket for the run's thread.
class Port : public std::enable_shared_from_this<Port>
{
public:
  Port(boost::asio::io_context& aContext, const Endpoint& aLocal);
  void Start(DatagramHandler aHandler);
  void Send(const Endpoint& aTo, std::string_view aBytes);
  void Close();

private:
  void Receive();

  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mFrom;
  std::vector<char> mBuffer;
  DatagramHandler mHandler;
};

/// @brief How a relay treats connections.
struct ConnectionConditions
{
  /// Bytes are read and lost.
  bool mSilent = false;
  /// Answers come later by this time.
  std::chrono::milliseconds mDelay{ 0 };
};

struct RelayedConnection;

/// @brief Passes connections on to a target. It stays alive while it accepts.
class ConnectionRelay : public std::enable_shared_from_this<ConnectionRelay>
{
public:
  ConnectionRelay(boost::asio::io_context& aContext,
                  const Endpoint& aLocal,
                  const Endpoint& aTarget);
  void Start();
  /// @brief Resets all open connections.
  void ResetOpen();
  /// @brief Loses all further bytes of the open connections.
  void SilenceOpen();
  void Close();

  ConnectionConditions mConditions;

private:
  void Accept();

  boost::asio::io_context& mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  Endpoint mTarget;
  std::vector<std::weak_ptr<RelayedConnection>> mOpen;
};

} // namespace soak

#endif
