#include "sassafrasknot/net/http_server.hpp"

#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace sassafrasknot::net {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Connections without a request are closed after this time, so that idle ones
/// do not use up the file descriptors of the process.
constexpr std::chrono::seconds kIdleTimeout{ 10 };
/// Time until connections are accepted again after a failure.
constexpr std::chrono::milliseconds kAcceptRetryInterval{ 100 };
/// Maximum size of a request's header, in bytes; requests have no body.
constexpr std::uint32_t kMaxHeaderBytes = 4096;

/// Serves one connection. It keeps itself alive until the connection ends.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(tcp::socket aSocket, HttpAsyncHandler aHandler)
    : mStream(std::move(aSocket))
    , mHandler(std::move(aHandler))
  {
  }

  void Read()
  {
    mParser.emplace();
    mParser->header_limit(kMaxHeaderBytes);
    mStream.expires_after(kIdleTimeout);
    http::async_read(
      mStream,
      mBuffer,
      *mParser,
      [self = shared_from_this()](error_code aFailure, std::size_t /*aBytes*/) {
        if (!aFailure) {
          self->Respond();
        }
      });
  }

private:
  void Respond()
  {
    const auto& request = mParser->get();
    if (request.method() != http::verb::get) {
      Write({ 405, "text/plain", "only GET is supported\n" });
      return;
    }
    const auto target = request.target();
    mHandler({ target.data(), target.size() },
             [self = shared_from_this()](HttpServerResponse aResponse) {
               self->Write(std::move(aResponse));
             });
  }

  void Write(HttpServerResponse aResponse)
  {
    const auto& request = mParser->get();
    mResponse = {};
    mResponse.version(request.version());
    mResponse.result(aResponse.mStatus);
    mResponse.set(http::field::content_type, aResponse.mContentType);
    mResponse.body() = std::move(aResponse.mBody);
    mResponse.keep_alive(request.keep_alive());
    mResponse.prepare_payload();
    http::async_write(
      mStream,
      mResponse,
      [self = shared_from_this()](error_code aFailure, std::size_t /*aBytes*/) {
        if (!aFailure && self->mResponse.keep_alive()) {
          self->Read();
        }
      });
  }

  beast::tcp_stream mStream;
  HttpAsyncHandler mHandler;
  beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::empty_body>> mParser;
  http::response<http::string_body> mResponse;
};

} // namespace

HttpServer::HttpServer(boost::asio::io_context& aContext,
                       HttpAsyncHandler aHandler)
  : mAcceptor(aContext)
  , mRetryTimer(aContext)
  , mHandler(std::move(aHandler))
{
}

state::Result<std::shared_ptr<HttpServer>>
HttpServer::Open(boost::asio::io_context& aContext,
                 const state::Endpoint& aEndpoint,
                 HttpRequestHandler aHandler)
{
  return OpenAsync(aContext,
                   aEndpoint,
                   [handler = std::move(aHandler)](
                     std::string_view aTarget, const HttpResponder& aRespond) {
                     aRespond(handler(aTarget));
                   });
}

state::Result<std::shared_ptr<HttpServer>>
HttpServer::OpenAsync(boost::asio::io_context& aContext,
                      const state::Endpoint& aEndpoint,
                      HttpAsyncHandler aHandler)
{
  auto server = std::make_shared<HttpServer>(aContext, std::move(aHandler));
  const tcp::endpoint endpoint(
    boost::asio::ip::address_v4(aEndpoint.mAddress.mValue), aEndpoint.mPort);
  error_code failure;
  auto& acceptor = server->mAcceptor;
  acceptor.open(endpoint.protocol(), failure);
  if (!failure) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  }
  if (!failure) {
    acceptor.bind(endpoint, failure);
  }
  if (!failure) {
    acceptor.listen(tcp::acceptor::max_listen_connections, failure);
  }
  if (failure) {
    return state::Error{ state::ErrorCode::Unavailable,
                         state::Verdict::NotRun,
                         "cannot listen on TCP " + ToString(aEndpoint) + ": " +
                           failure.message() };
  }
  server->Accept();
  return server;
}

void
HttpServer::Close()
{
  error_code ignored; // The acceptor is closed in any case.
  mAcceptor.close(ignored);
  mRetryTimer.cancel();
}

void
HttpServer::Accept()
{
  mAcceptor.async_accept([self = shared_from_this()](error_code aFailure,
                                                     tcp::socket aSocket) {
    if (!self->mAcceptor.is_open()) {
      return;
    }
    if (!aFailure) {
      std::make_shared<HttpSession>(std::move(aSocket), self->mHandler)->Read();
      self->Accept();
      return;
    }
    // Without free descriptors, accept fails at once for as long as a
    // connection is pending.
    self->mRetryTimer.expires_after(kAcceptRetryInterval);
    self->mRetryTimer.async_wait([self](auto aCancelled) {
      if (!aCancelled && self->mAcceptor.is_open()) {
        self->Accept();
      }
    });
  });
}

} // namespace sassafrasknot::net
