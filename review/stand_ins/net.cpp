#include "net.hpp"

#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace review {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;

std::string
StartLineOf(boost::asio::streambuf& aBuffer)
{
  std::istream stream(&aBuffer);
  std::string line;
  std::getline(stream, line);
  return line;
}

/// Returns the second word of a line.
std::string
SecondWord(const std::string& aLine)
{
  const auto begin = aLine.find(' ') + 1;
  return aLine.substr(begin, aLine.find(' ', begin) - begin);
}

/// One connection of an HttpServer.
struct HttpSession : std::enable_shared_from_this<HttpSession>
{
  explicit HttpSession(tcp::socket aSocket)
    : mSocket(std::move(aSocket))
  {
  }

  void Start(const RequestHandler& aHandler)
  {
    boost::asio::async_read_until(
      mSocket,
      mBuffer,
      "\r\n\r\n",
      [self = shared_from_this(), aHandler](auto aFailure, auto /*aBytes*/) {
        if (!aFailure) {
          aHandler(SecondWord(StartLineOf(self->mBuffer)),
                   [self](unsigned aStatus, const std::string& aBody) {
                     self->Write(aStatus, aBody);
                   });
        }
      });
  }

  void Write(unsigned aStatus, const std::string& aBody)
  {
    mResponse = "HTTP/1.1 " + std::to_string(aStatus) +
                " Status\r\nContent-Type: application/json\r\n"
                "Connection: close\r\nContent-Length: " +
                std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    boost::asio::async_write(
      mSocket,
      boost::asio::buffer(mResponse),
      [self = shared_from_this()](auto /*aFailure*/, auto /*aBytes*/) {
        error_code ignored;
        self->mSocket.shutdown(tcp::socket::shutdown_both, ignored);
      });
  }

  tcp::socket mSocket;
  boost::asio::streambuf mBuffer;
  std::string mResponse;
};

/// One GET request.
struct HttpCall : std::enable_shared_from_this<HttpCall>
{
  HttpCall(io_context& aContext, std::function<void(unsigned)> aDone)
    : mSocket(aContext)
    , mTimer(aContext)
    , mDone(std::move(aDone))
  {
  }

  void Start(const Endpoint& aServer,
             const std::string& aTarget,
             milliseconds aTimeout)
  {
    mRequest = "GET " + aTarget + " HTTP/1.1\r\nHost: " + ToString(aServer) +
               "\r\nConnection: close\r\n\r\n";
    mTimer.expires_after(aTimeout);
    mTimer.async_wait([self = shared_from_this()](auto aFailure) {
      if (!aFailure) {
        self->Finish(0);
      }
    });
    mSocket.async_connect(ToTcp(aServer),
                          [self = shared_from_this()](auto aFailure) {
                            aFailure ? self->Finish(0) : self->SendRequest();
                          });
  }

  void SendRequest()
  {
    boost::asio::async_write(
      mSocket,
      boost::asio::buffer(mRequest),
      [self = shared_from_this()](auto aFailure, auto /*aBytes*/) {
        if (aFailure) {
          self->Finish(0);
          return;
        }
        boost::asio::async_read_until(
          self->mSocket,
          self->mBuffer,
          "\r\n\r\n",
          [self](auto aReadFailure, auto /*aRead*/) {
            self->Finish(aReadFailure
                           ? 0
                           : static_cast<unsigned>(std::stoul(
                               "0" + SecondWord(StartLineOf(self->mBuffer)))));
          });
      });
  }

  void Finish(unsigned aStatus)
  {
    mTimer.cancel();
    error_code ignored;
    mSocket.close(ignored);
    if (auto done = std::exchange(mDone, nullptr)) {
      done(aStatus);
    }
  }

  tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::function<void(unsigned)> mDone;
  std::string mRequest;
  boost::asio::streambuf mBuffer;
};

/// A connection of a ConnectionProxy: two sockets and a buffer per direction.
struct ProxiedConnection : std::enable_shared_from_this<ProxiedConnection>
{
  ProxiedConnection(io_context& aContext, tcp::socket aClient)
    : mClient(std::move(aClient))
    , mServer(aContext)
  {
  }

  void Connect(const Endpoint& aTarget, std::function<void()> aOnAnswered)
  {
    mOnAnswered = std::move(aOnAnswered);
    mServer.async_connect(ToTcp(aTarget),
                          [self = shared_from_this()](auto aFailure) {
                            if (aFailure) {
                              self->Close();
                              return;
                            }
                            self->Copy(self->mClient, self->mServer, 0);
                            self->Copy(self->mServer, self->mClient, 1);
                          });
  }

  void Copy(tcp::socket& aFrom, tcp::socket& aTo, std::size_t aDirection)
  {
    auto& buffer = mBuffers[aDirection];
    aFrom.async_read_some(
      boost::asio::buffer(buffer),
      [self = shared_from_this(), &aFrom, &aTo, &buffer, aDirection](
        auto aFailure, std::size_t aBytes) {
        if (aFailure) {
          if (aDirection == 1 && self->mOnAnswered) {
            self->mOnAnswered();
          }
          error_code ignored;
          aTo.shutdown(tcp::socket::shutdown_send, ignored);
          return;
        }
        boost::asio::async_write(
          aTo,
          boost::asio::buffer(buffer.data(), aBytes),
          [self, &aFrom, &aTo, aDirection](auto aWriteFailure,
                                           auto /*aWritten*/) {
            aWriteFailure ? self->Close() : self->Copy(aFrom, aTo, aDirection);
          });
      });
  }

  void Close()
  {
    error_code ignored;
    mClient.close(ignored);
    mServer.close(ignored);
  }

  tcp::socket mClient;
  tcp::socket mServer;
  std::array<std::array<char, 65536>, 2> mBuffers{};
  std::function<void()> mOnAnswered;
};

/// Accepts connections until the acceptor is closed.
template<typename Handler>
void
AcceptAll(tcp::acceptor& aAcceptor, Handler aHandler)
{
  aAcceptor.async_accept(
    [&aAcceptor, aHandler](auto aFailure, tcp::socket aSocket) {
      if (!aAcceptor.is_open()) {
        return;
      }
      if (!aFailure) {
        aHandler(std::move(aSocket));
      }
      AcceptAll(aAcceptor, aHandler);
    });
}

} // namespace

tcp::endpoint
ToTcp(const Endpoint& aEndpoint)
{
  return { boost::asio::ip::address_v4(aEndpoint.mAddress), aEndpoint.mPort };
}

void
RunAfter(io_context& aContext,
         milliseconds aDelay,
         std::function<void()> aFunction)
{
  const auto timer =
    std::make_shared<boost::asio::steady_timer>(aContext, aDelay);
  timer->async_wait([timer, function = std::move(aFunction)](auto aFailure) {
    if (!aFailure) {
      function();
    }
  });
}

DatagramSocket::DatagramSocket(io_context& aContext, const Endpoint& aLocal)
  : mSocket(
      aContext,
      udp::endpoint(boost::asio::ip::address_v4(aLocal.mAddress), aLocal.mPort))
{
}

void
DatagramSocket::Start(Handler aHandler)
{
  mHandler = std::move(aHandler);
  Receive();
}

void
DatagramSocket::Receive()
{
  mSocket.async_receive_from(
    boost::asio::buffer(mBuffer),
    mFrom,
    [self = shared_from_this()](auto aFailure, std::size_t aBytes) {
      if (!self->mSocket.is_open()) {
        return;
      }
      if (!aFailure) {
        self->mHandler(
          { self->mFrom.address().to_v4().to_uint(), self->mFrom.port() },
          { self->mBuffer.data(), aBytes });
      }
      self->Receive();
    });
}

void
DatagramSocket::Send(const Endpoint& aTo, std::string_view aBytes)
{
  error_code ignored;
  mSocket.send_to(
    boost::asio::buffer(aBytes.data(), aBytes.size()),
    udp::endpoint(boost::asio::ip::address_v4(aTo.mAddress), aTo.mPort),
    0,
    ignored);
}

void
DatagramSocket::Close()
{
  error_code ignored;
  mSocket.close(ignored);
}

HttpServer::HttpServer(io_context& aContext,
                       const Endpoint& aLocal,
                       RequestHandler aHandler)
  : mAcceptor(aContext, ToTcp(aLocal))
  , mHandler(std::move(aHandler))
{
}

void
HttpServer::Start()
{
  AcceptAll(mAcceptor, [self = shared_from_this()](tcp::socket aSocket) {
    std::make_shared<HttpSession>(std::move(aSocket))->Start(self->mHandler);
  });
}

void
HttpServer::Close()
{
  error_code ignored;
  mAcceptor.close(ignored);
}

void
Get(io_context& aContext,
    const Endpoint& aServer,
    const std::string& aTarget,
    milliseconds aTimeout,
    std::function<void(unsigned)> aDone)
{
  std::make_shared<HttpCall>(aContext, std::move(aDone))
    ->Start(aServer, aTarget, aTimeout);
}

ConnectionProxy::ConnectionProxy(io_context& aContext,
                                 const Endpoint& aLocal,
                                 const Endpoint& aTarget)
  : mContext(aContext)
  , mAcceptor(aContext, ToTcp(aLocal))
  , mTarget(aTarget)
{
}

void
ConnectionProxy::Start()
{
  AcceptAll(mAcceptor, [self = shared_from_this()](tcp::socket aSocket) {
    const auto connection =
      std::make_shared<ProxiedConnection>(self->mContext, std::move(aSocket));
    const auto forward = [self, connection] {
      connection->Connect(self->mTarget, [self] {
        if (self->mOnAnswered) {
          self->mOnAnswered();
        }
      });
    };
    if (self->mOnAccepted) {
      self->mOnAccepted(forward);
    } else {
      forward();
    }
  });
}

} // namespace review
