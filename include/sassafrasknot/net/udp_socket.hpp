#ifndef SASSAFRASKNOT_NET_UDP_SOCKET_HPP
#define SASSAFRASKNOT_NET_UDP_SOCKET_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

/// @brief Sockets, HTTP and structured logs without any dependency on gRPC.
namespace sassafrasknot::net {

/// @brief A UDP socket that receives for one thread. It stays alive while a
/// receive is pending.
class UdpSocket : public std::enable_shared_from_this<UdpSocket>
{
public:
  /// @brief Takes one datagram; the bytes may be changed and are valid during
  /// the call only.
  using Handler = std::function<void(std::span<std::uint8_t>)>;

  struct Options
  {
    state::Endpoint mLocal;
    /// Whether other sockets of this process share the endpoint; the kernel
    /// then spreads datagrams by their source.
    bool mReusePort = false;
    /// In bytes.
    std::size_t mReceiveBufferBytes = std::size_t{ 4 } << 20U;
    /// Longest datagram that is received whole, in bytes; the default is the
    /// largest one of UDP over IPv4, rounded up.
    std::size_t mMaxDatagramBytes = 65536;
  };

  /// @brief Opens and binds a socket.
  /// @param aContext runs its handler
  /// @param aOptions endpoint and options
  /// @return the session, or Unavailable with the endpoint and the cause
  static state::Result<std::shared_ptr<UdpSocket>> Open(
    boost::asio::io_context& aContext,
    const Options& aOptions);

  UdpSocket(boost::asio::io_context& aContext, std::size_t aLargestDatagram);

  /// @brief Starts receiving.
  /// @param aHandler is called on the context's thread until Close
  void StartReceiving(Handler aHandler);

  /// @brief Sends a datagram without waiting.
  /// @param aTo receiver
  /// @param aDatagram the datagram
  /// @return false if the kernel did not take it
  bool Send(const state::Endpoint& aTo,
            std::span<const std::uint8_t> aDatagram);

  /// @brief Sends a datagram of two parts without waiting.
  /// @param aTo receiver
  /// @param aPrefix its first bytes
  /// @param aRest its other bytes
  /// @return false if the kernel did not take it
  bool Send(const state::Endpoint& aTo,
            std::span<const std::uint8_t> aPrefix,
            std::span<const std::uint8_t> aRest);

  /// @brief Stops receiving. To be called on the context's thread.
  void Close();

  /// @brief Returns the bound endpoint.
  state::Endpoint LocalEndpoint() const;

private:
  void WaitReadable();
  void ReceiveBatch();

  boost::asio::ip::udp::socket mSocket;
  Handler mHandler;
  std::vector<std::uint8_t> mBuffer;
};

} // namespace sassafrasknot::net

#endif
