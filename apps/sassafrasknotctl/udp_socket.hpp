#ifndef SASSAFRASKNOTCTL_UDP_SOCKET_HPP
#define SASSAFRASKNOTCTL_UDP_SOCKET_HPP

#include "sassafrasknot/state/endpoint.hpp"

#include <cstdint>
#include <functional>
#include <span>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace sassafrasknotctl {

/// @brief Function that is called with the bytes and the sender of a datagram.
using DatagramHandler =
  std::function<void(std::span<const std::uint8_t>,
                     const sassafrasknot::state::Endpoint&)>;

/// @brief A UDP socket whose datagrams carry IPv4 packets. It must outlive the
/// run of its io_context.
class UdpSocket
{
public:
  /// @brief Binds the socket.
  /// @param aContext context that runs the handler
  /// @param aListen own address and port
  /// @throw boost::system::system_error if the address cannot be bound
  UdpSocket(boost::asio::io_context& aContext,
            const sassafrasknot::state::Endpoint& aListen);

  /// @brief Starts to receive.
  /// @param aHandler called for each datagram
  void Receive(DatagramHandler aHandler);

  /// @brief Sends a datagram without waiting. If the socket buffer is full, the
  /// datagram is dropped and counted, like a loss in a network.
  /// @param aBytes payload of the datagram
  /// @param aDestination address and port of the receiver
  void Send(std::span<const std::uint8_t> aBytes,
            const sassafrasknot::state::Endpoint& aDestination);

  /// @brief Returns how many datagrams could not be sent.
  std::uint64_t SendFailures() const { return mSendFailures; }

private:
  // Waits until datagrams can be read, then reads them and waits again.
  void Wait();
  // Passes the datagrams that have arrived to the handler, up to a limit.
  void ReadPending();

  boost::asio::ip::udp::socket mSocket;
  DatagramHandler mHandler;
  std::uint64_t mSendFailures = 0;
};

} // namespace sassafrasknotctl

#endif
