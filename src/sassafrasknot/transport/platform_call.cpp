#include "sassafrasknot/transport/platform_call.hpp"

#include <utility>

#include <boost/beast/core/bind_handler.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace sassafrasknot::transport {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// HTTP/1.1 in Beast's form.
constexpr unsigned kHttpVersion = 11;

} // namespace

PlatformCall::PlatformCall(const boost::asio::any_io_executor& aExecutor,
                           const PlatformClientSettings& aSettings,
                           const state::Endpoint& aEndpoint,
                           const std::string& aTarget,
                           std::chrono::milliseconds aAnswerTimeout,
                           PlatformClient::Handler aHandler)
  : mStream(aExecutor)
  , mEndpoint(aEndpoint)
  , mConnectTimeout(aSettings.mConnectTimeout)
  , mAnswerTimeout(aAnswerTimeout)
  , mHandler(std::move(aHandler))
  , mRequest(http::verb::get, aTarget, kHttpVersion)
{
  mRequest.set(http::field::host, ToString(aEndpoint));
  mRequest.set(http::field::accept, "application/json");
  mRequest.keep_alive(false);
  mParser.body_limit(aSettings.mAnswerBytes);
}

void
PlatformCall::Start()
{
  mStream.expires_after(mConnectTimeout);
  mStream.async_connect(
    tcp::endpoint(boost::asio::ip::address_v4(mEndpoint.mAddress.mValue),
                  mEndpoint.mPort),
    beast::bind_front_handler(&PlatformCall::OnConnected, shared_from_this()));
}

void
PlatformCall::Cancel()
{
  mStream.cancel();
}

void
PlatformCall::OnConnected(error_code aError)
{
  if (aError) {
    Fail(aError, "connect");
    return;
  }
  mStream.expires_after(mAnswerTimeout);
  http::async_write(
    mStream,
    mRequest,
    [self = shared_from_this()](error_code aFailure, std::size_t /*aBytes*/) {
      self->OnWritten(aFailure);
    });
}

void
PlatformCall::OnWritten(error_code aError)
{
  if (aError) {
    Fail(aError, "write");
    return;
  }
  http::async_read(
    mStream,
    mBuffer,
    mParser,
    [self = shared_from_this()](error_code aFailure, std::size_t /*aBytes*/) {
      self->OnRead(aFailure);
    });
}

void
PlatformCall::OnRead(error_code aError)
{
  if (aError) {
    Fail(aError, "read");
    return;
  }
  const auto& response = mParser.get();
  if (response.result() != http::status::ok) {
    const auto code = response.result() == http::status::too_many_requests
                        ? state::ErrorCode::Overloaded
                        : state::ErrorCode::Unavailable;
    Finish(MakeError(code, "status " + std::to_string(response.result_int())));
    return;
  }
  auto answer = protocol::DecodePlatformAnswer(response.body());
  if (!answer) {
    Finish(MakeError(state::ErrorCode::Malformed, answer.error().mMessage));
    return;
  }
  Finish(std::move(answer));
}

void
PlatformCall::Finish(state::Result<protocol::PlatformAnswer> aResult)
{
  error_code ignored;
  mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  mStream.close();
  std::exchange(mHandler, nullptr)(std::move(aResult));
}

void
PlatformCall::Fail(error_code aError, const char* aAction)
{
  const auto code = aError == beast::error::timeout
                      ? state::ErrorCode::DeadlineExceeded
                      : state::ErrorCode::Unavailable;
  Finish(MakeError(code, std::string(aAction) + ": " + aError.message()));
}

state::Error
PlatformCall::MakeError(state::ErrorCode aCode,
                        const std::string& aMessage) const
{
  return { aCode,
           state::Verdict::NotRun,
           "platform " + ToString(mEndpoint) + ": " + aMessage };
}

} // namespace sassafrasknot::transport
