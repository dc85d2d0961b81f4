#include "relay.hpp"

#include <array>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

udp::endpoint
ToUdp(const Endpoint& aEndpoint)
{
  return { asio::ip::address_v4(aEndpoint.mAddress.mValue), aEndpoint.mPort };
}

tcp::endpoint
ToTcp(const Endpoint& aEndpoint)
{
  return { asio::ip::address_v4(aEndpoint.mAddress.mValue), aEndpoint.mPort };
}

void
RunAfter(asio::io_context& aContext,
         std::chrono::milliseconds aDelay,
         std::function<void()> aFunction)
{
  auto timer = std::make_shared<asio::steady_timer>(aContext, aDelay);
  timer->async_wait([timer, function = std::move(aFunction)](auto aFailure) {
    if (!aFailure) {
      function();
    }
  });
}

namespace {

constexpr std::size_t kBufferBytes = 65536;

} // namespace

DatagramSocket::DatagramSocket(asio::io_context& aContext,
                               const Endpoint& aLocal)
  : mSocket(aContext, ToUdp(aLocal))
  , mBuffer(kBufferBytes)
{
  constexpr int kReceiveBuffer = 4 << 20;
  mSocket.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
  mSocket.non_blocking(true);
}

void
DatagramSocket::Start(DatagramHandler aHandler)
{
  mHandler = std::move(aHandler);
  Receive();
}

void
DatagramSocket::Receive()
{
  mSocket.async_receive_from(
    asio::buffer(mBuffer),
    mFrom,
    [self = shared_from_this()](auto aFailure, std::size_t aBytes) {
      if (aFailure == asio::error::operation_aborted ||
          !self->mSocket.is_open()) {
        return;
      }
      if (!aFailure) {
        self->mHandler(
          { { self->mFrom.address().to_v4().to_uint() }, self->mFrom.port() },
          { self->mBuffer.begin(),
            self->mBuffer.begin() + static_cast<std::ptrdiff_t>(aBytes) });
      }
      self->Receive();
    });
}

void
DatagramSocket::Send(const Endpoint& aTo, std::string_view aBytes)
{
  // A datagram to a socket that has just closed is lost, as on a network.
  boost::system::error_code ignored;
  mSocket.send_to(asio::buffer(aBytes), ToUdp(aTo), 0, ignored);
}

void
DatagramSocket::Close()
{
  mSocket.close();
}

/// One relayed connection: the sockets to its client and to the target, and a
/// buffer for each direction.
struct RelayedConnection : std::enable_shared_from_this<RelayedConnection>
{
  RelayedConnection(asio::io_context& aContext, tcp::socket aClient)
    : mContext(aContext)
    , mClient(std::move(aClient))
    , mServer(aContext)
  {
  }

  /// Reads once from a socket and forwards the bytes to the other one.
  void Pump(tcp::socket& aFrom,
            tcp::socket& aTo,
            std::array<char, kBufferBytes>& aBuffer,
            std::chrono::milliseconds aDelay)
  {
    aFrom.async_read_some(
      asio::buffer(aBuffer),
      [self = shared_from_this(), &aFrom, &aTo, &aBuffer, aDelay](
        auto aFailure, std::size_t aBytes) {
        if (aFailure && self->mBlackhole) {
          return; // A blackhole also hides the end from the other side.
        }
        const auto forward =
          [self, &aFrom, &aTo, &aBuffer, aDelay, aFailure, aBytes] {
            self->Forward(aFrom, aTo, aBuffer, aDelay, aFailure, aBytes);
          };
        if (aDelay.count() > 0) {
          RunAfter(self->mContext, aDelay, forward);
        } else {
          forward();
        }
      });
  }

  /// Writes the bytes read and reads again; after an error of the read, closes
  /// the direction instead.
  void Forward(tcp::socket& aFrom,
               tcp::socket& aTo,
               std::array<char, kBufferBytes>& aBuffer,
               std::chrono::milliseconds aDelay,
               boost::system::error_code aFailure,
               std::size_t aBytes)
  {
    boost::system::error_code ignored;
    if (aFailure) {
      aTo.shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    if (mBlackhole) {
      Pump(aFrom, aTo, aBuffer, aDelay);
      return;
    }
    asio::async_write(
      aTo,
      asio::buffer(aBuffer, aBytes),
      [self = shared_from_this(), &aFrom, &aTo, &aBuffer, aDelay](
        auto aWriteFailure, std::size_t) {
        if (!aWriteFailure) {
          self->Pump(aFrom, aTo, aBuffer, aDelay);
        } else {
          self->Reset();
        }
      });
  }

  /// Closes both sockets with a TCP reset.
  void Reset()
  {
    boost::system::error_code ignored;
    for (auto* socket : { &mClient, &mServer }) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  asio::io_context& mContext;
  tcp::socket mClient;
  tcp::socket mServer;
  std::array<char, kBufferBytes> mUp{};   ///< From the client to the target.
  std::array<char, kBufferBytes> mDown{}; ///< From the target to the client.
  /// Bytes of both directions are discarded.
  bool mBlackhole = false;
};

ConnectionRelay::ConnectionRelay(asio::io_context& aContext,
                                 const Endpoint& aLocal,
                                 const Endpoint& aTarget)
  : mContext(aContext)
  , mAcceptor(aContext, ToTcp(aLocal))
  , mTarget(aTarget)
{
}

void
ConnectionRelay::Start()
{
  Accept();
}

void
ConnectionRelay::Accept()
{
  mAcceptor.async_accept([self = shared_from_this()](auto aFailure,
                                                     tcp::socket aSocket) {
    if (!self->mAcceptor.is_open()) {
      return;
    }
    if (!aFailure) {
      auto connection =
        std::make_shared<RelayedConnection>(self->mContext, std::move(aSocket));
      connection->mBlackhole = self->mConditions.mBlackhole;
      const auto delay = self->mConditions.mDelay;
      if (const auto onAccepted = self->mOnAccepted) {
        onAccepted();
      }
      std::erase_if(self->mOpenConnections,
                    [](auto& aOpen) { return aOpen.expired(); });
      self->mOpenConnections.push_back(connection);
      connection->mServer.async_connect(
        ToTcp(self->mTarget), [connection, delay](auto aConnectFailure) {
          if (aConnectFailure) {
            connection->Reset();
            return;
          }
          connection->Pump(
            connection->mClient, connection->mServer, connection->mUp, {});
          connection->Pump(
            connection->mServer, connection->mClient, connection->mDown, delay);
        });
    }
    self->Accept();
  });
}

void
ConnectionRelay::ResetOpen()
{
  for (const auto& open : std::exchange(mOpenConnections, {})) {
    if (const auto connection = open.lock()) {
      connection->Reset();
    }
  }
}

void
ConnectionRelay::BlackholeOpen()
{
  for (const auto& open : mOpenConnections) {
    if (const auto connection = open.lock()) {
      connection->mBlackhole = true;
    }
  }
}

void
ConnectionRelay::Close()
{
  mAcceptor.close();
  ResetOpen();
}

} // namespace soak
