#ifndef SASSAFRASKNOT_NET_UDP_SOCKET_HPP
#define SASSAFRASKNOT_NET_UDP_SOCKET_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

/// @brief UDP sockets, HTTP and structured logs. Nothing here depends on gRPC.
namespace sassafrasknot::net {

/// @brief UDP socket whose datagrams are all handled on one thread. It keeps
/// itself alive while a receive is pending.
class UdpSocket : public std::enable_shared_from_this<UdpSocket>
{
public:
  /// @brief Handles one datagram. The bytes may be changed; they are valid only
  /// during the call.
  using Handler = std::function<void(std::span<std::uint8_t>)>;

  /// @brief Options of a socket.
  struct Options
  {
    /// Endpoint to bind.
    state::Endpoint mLocal;
    /// Whether other sockets may bind the same endpoint (SO_REUSEPORT). The
    /// kernel then distributes datagrams over them by source.
    bool mReusePort = false;
    /// Requested receive buffer of the kernel, in bytes; it may grant less.
    std::size_t mReceiveBufferBytes = std::size_t{ 4 } << 20U;
    /// Maximum size of a datagram, in bytes; the rest of longer ones is cut
    /// off. The default is the maximum of UDP over IPv4, rounded up.
    std::size_t mMaxDatagramBytes = 65536;
  };

  /// @brief Opens and binds a socket.
  /// @param aContext runs the handler; must be run by one thread
  /// @param aOptions endpoint, sharing and sizes
  /// @return the socket, or Unavailable with the endpoint and the cause
  static state::Result<std::shared_ptr<UdpSocket>> Open(
    boost::asio::io_context& aContext,
    const Options& aOptions);

  /// @brief Creates a socket that is not open yet; see Open.
  /// @param aContext runs the handler
  /// @param aMaxDatagramBytes size of the buffer of received datagrams
  UdpSocket(boost::asio::io_context& aContext, std::size_t aMaxDatagramBytes);

  /// @brief Starts receiving.
  /// @param aHandler called on the thread of the context until Close
  void StartReceiving(Handler aHandler);

  /// @brief Handles datagrams that are in the receive queue, without waiting
  /// for further ones. Must be called on the thread of the context, and not
  /// from within the handler.
  void HandleQueued();

  /// @brief Returns when the receive queue was last found empty. A datagram
  /// that is being handled arrived later; it may have waited since then, for
  /// example while the process was stopped.
  /// @return time on the clock of Now
  state::TimePoint QueueEmptyAt() const;

  /// @brief Sends a datagram without waiting.
  /// @param aTo receiver
  /// @param aDatagram payload of the datagram
  /// @return false if the kernel rejected it
  bool Send(const state::Endpoint& aTo,
            std::span<const std::uint8_t> aDatagram);

  /// @brief Sends two byte ranges as one datagram, without waiting.
  /// @param aTo receiver
  /// @param aPrefix first bytes of the payload
  /// @param aRest remaining bytes of the payload
  /// @return false if the kernel rejected it
  bool Send(const state::Endpoint& aTo,
            std::span<const std::uint8_t> aPrefix,
            std::span<const std::uint8_t> aRest);

  /// @brief Closes the socket and stops receiving. Must be called on the thread
  /// of the context.
  void Close();

  /// @brief Returns the bound endpoint, or 0.0.0.0:0 if there is none.
  state::Endpoint LocalEndpoint() const;

private:
  void WaitReadable();

  boost::asio::ip::udp::socket mSocket;
  Handler mHandler;
  std::vector<std::uint8_t> mBuffer;
  state::TimePoint mQueueEmptyAt;
};

} // namespace sassafrasknot::net

#endif
