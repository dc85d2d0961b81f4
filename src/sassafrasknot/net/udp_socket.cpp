#include "sassafrasknot/net/udp_socket.hpp"

#include "sassafrasknot/net/clock.hpp"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <sys/socket.h>

namespace sassafrasknot::net {
namespace {

using boost::asio::ip::udp;
using ReusePort =
  boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Maximum number of datagrams that are handled in a row before other events of
/// the context, such as timers, can run.
constexpr int kMaxDatagramsPerBatch = 64;

udp::endpoint
ToAsio(const state::Endpoint& aEndpoint)
{
  return { boost::asio::ip::address_v4(aEndpoint.mAddress.mValue),
           aEndpoint.mPort };
}

} // namespace

UdpSocket::UdpSocket(boost::asio::io_context& aContext,
                     std::size_t aMaxDatagramBytes)
  : mSocket(aContext)
  , mBuffer(aMaxDatagramBytes)
  , mQueueEmptyAt(Now())
{
}

state::Result<std::shared_ptr<UdpSocket>>
UdpSocket::Open(boost::asio::io_context& aContext, const Options& aOptions)
{
  auto udpSocket =
    std::make_shared<UdpSocket>(aContext, aOptions.mMaxDatagramBytes);
  auto& socket = udpSocket->mSocket;
  boost::system::error_code failure;
  socket.open(udp::v4(), failure);
  if (!failure && aOptions.mReusePort) {
    socket.set_option(ReusePort(true), failure);
  }
  if (!failure) {
    socket.bind(ToAsio(aOptions.mLocal), failure);
  }
  if (!failure) {
    socket.non_blocking(true, failure);
  }
  if (failure) {
    return state::Error{ state::ErrorCode::Unavailable,
                         state::Verdict::NotRun,
                         "cannot listen on UDP " +
                           state::ToString(aOptions.mLocal) + ": " +
                           failure.message() };
  }
  // The kernel may grant a smaller buffer; this is not an error.
  socket.set_option(udp::socket::receive_buffer_size(
                      static_cast<int>(aOptions.mReceiveBufferBytes)),
                    failure);
  return udpSocket;
}

void
UdpSocket::StartReceiving(Handler aHandler)
{
  mHandler = std::move(aHandler);
  WaitReadable();
}

bool
UdpSocket::Send(const state::Endpoint& aTo,
                std::span<const std::uint8_t> aDatagram)
{
  boost::system::error_code failure;
  mSocket.send_to(boost::asio::buffer(aDatagram.data(), aDatagram.size()),
                  ToAsio(aTo),
                  0,
                  failure);
  return !failure;
}

bool
UdpSocket::Send(const state::Endpoint& aTo,
                std::span<const std::uint8_t> aPrefix,
                std::span<const std::uint8_t> aRest)
{
  const std::array<boost::asio::const_buffer, 2> parts{
    boost::asio::buffer(aPrefix.data(), aPrefix.size()),
    boost::asio::buffer(aRest.data(), aRest.size()),
  };
  boost::system::error_code failure;
  mSocket.send_to(parts, ToAsio(aTo), 0, failure);
  return !failure;
}

void
UdpSocket::Close()
{
  boost::system::error_code failure;
  mSocket.close(failure);
  mHandler = nullptr;
}

state::Endpoint
UdpSocket::LocalEndpoint() const
{
  boost::system::error_code failure;
  const auto endpoint = mSocket.local_endpoint(failure);
  if (failure) {
    return {};
  }
  return { { endpoint.address().to_v4().to_uint() }, endpoint.port() };
}

void
UdpSocket::WaitReadable()
{
  mSocket.async_wait(udp::socket::wait_read,
                     [self = shared_from_this()](auto aFailure) {
                       if (!aFailure && self->mHandler) {
                         self->HandleQueued();
                       }
                       if (!aFailure && self->mHandler) {
                         self->WaitReadable();
                       }
                     });
}

void
UdpSocket::HandleQueued()
{
  for (int count = 0; count < kMaxDatagramsPerBatch && mHandler; ++count) {
    // The queue is empty at a time before the call: a datagram may arrive right
    // after it.
    const auto now = Now();
    boost::system::error_code failure;
    const auto size = mSocket.receive(boost::asio::buffer(mBuffer), 0, failure);
    if (failure) {
      if (failure == boost::asio::error::would_block) {
        mQueueEmptyAt = now;
      }
      break;
    }
    mHandler(std::span(mBuffer).first(size));
  }
}

state::TimePoint
UdpSocket::QueueEmptyAt() const
{
  return mQueueEmptyAt;
}

} // namespace sassafrasknot::net
