#include "udp_socket.hpp"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>

namespace sassafrasknotctl {

namespace asio = boost::asio;
namespace state = sassafrasknot::state;
using asio::ip::udp;

namespace {

// Bytes requested for each socket buffer, so that the datagrams of a burst fit.
// The kernel may grant less.
constexpr int kSocketBufferBytes = 4 * 1024 * 1024;

// Datagrams read in a row before the context can run timers again.
constexpr int kMaxBatch = 256;

udp::endpoint
ToAsio(const state::Endpoint& aEndpoint)
{
  return { asio::ip::address_v4(aEndpoint.mAddress.mValue), aEndpoint.mPort };
}

} // namespace

UdpSocket::UdpSocket(asio::io_context& aContext, const state::Endpoint& aListen)
  : mSocket(aContext, udp::v4())
{
  boost::system::error_code ignored;
  mSocket.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes),
                     ignored);
  mSocket.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes),
                     ignored);
  mSocket.bind(ToAsio(aListen));
  mSocket.non_blocking(true);
}

void
UdpSocket::Receive(DatagramHandler aHandler)
{
  mHandler = std::move(aHandler);
  Wait();
}

void
UdpSocket::Send(std::span<const std::uint8_t> aBytes,
                const state::Endpoint& aDestination)
{
  boost::system::error_code error;
  mSocket.send_to(
    asio::buffer(aBytes.data(), aBytes.size()), ToAsio(aDestination), 0, error);
  if (error) {
    ++mSendFailures;
  }
}

void
UdpSocket::Wait()
{
  mSocket.async_wait(udp::socket::wait_read,
                     [this](const boost::system::error_code& aError) {
                       if (!aError) {
                         ReadPending();
                         Wait();
                       }
                     });
}

void
UdpSocket::ReadPending()
{
  std::array<std::uint8_t, 65536> buffer{};
  for (int i = 0; i < kMaxBatch; ++i) {
    udp::endpoint sender;
    boost::system::error_code error;
    const auto size =
      mSocket.receive_from(asio::buffer(buffer), sender, 0, error);
    if (error) {
      return;
    }
    mHandler({ buffer.data(), size },
             { { sender.address().to_v4().to_uint() }, sender.port() });
  }
}

} // namespace sassafrasknotctl
