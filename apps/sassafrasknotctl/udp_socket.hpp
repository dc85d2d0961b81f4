#ifndef SASSAFRASKNOTCTL_UDP_SOCKET_HPP
#define SASSAFRASKNOTCTL_UDP_SOCKET_HPP

#include "sassafrasknot/state/endpoint.hpp"

#include <cstdint>
#include <functional>
#include <span>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace sassafrasknotctl {

/// @brief Called with the bytes and the sender of a datagram.
using DatagramHandler =
  std::function<void(std::span<const std::uint8_t>,
                     const sassafrasknot::state::Endpoint&)>;

/// @brief A UDP socket that carries IPv4 packets as its datagrams. Must outlive
/// the run of its context.
class UdpSocket
{
public:
  /// @brief Binds the socket.
  /// @param aContext runs the handler
  /// @param aListen address and port
  /// @throw boost::system::system_error if the address cannot be bound
  UdpSocket(boost::asio::io_context& aContext,
            const sassafrasknot::state::Endpoint& aListen);

  /// @brief Starts to receive.
  /// @param aHandler takes the datagrams
  void Receive(DatagramHandler aHandler);

  /// @brief Sends a datagram without waiting; a full socket buffer drops it,
  /// as a network would.
  /// @param aBytes the datagram
  /// @param aDestination its destination
  void Send(std::span<const std::uint8_t> aBytes,
            const sassafrasknot::state::Endpoint& aDestination);

  /// @brief Returns how many datagrams the socket did not take.
  std::uint64_t SendFailures() const { return mSendFailures; }

private:
  void Wait();
  void ReadPending();

  boost::asio::ip::udp::socket mSocket;
  DatagramHandler mHandler;
  std::uint64_t mSendFailures = 0;
};

} // namespace sassafrasknotctl

#endif
