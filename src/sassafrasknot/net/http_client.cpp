#include "sassafrasknot/net/http_client.hpp"

#include "sassafrasknot/net/clock.hpp"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/bind_handler.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
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

/// HTTP/1.1 as Beast encodes it.
constexpr unsigned kHttpVersion = 11;

/// One GET request. It keeps itself alive until its handler has been called.
class HttpCall : public std::enable_shared_from_this<HttpCall>
{
public:
  HttpCall(const boost::asio::any_io_executor& aExecutor,
           const HttpRequest& aRequest,
           HttpResponseHandler aHandler)
    : mStream(aExecutor)
    , mArrivalTimer(aExecutor)
    , mEndpoint(aRequest.mEndpoint)
    , mConnectTimeout(aRequest.mConnectTimeout)
    , mResponseTimeout(aRequest.mResponseTimeout)
    , mArrivalCheckInterval(aRequest.mArrivalCheckInterval)
    , mArrivedAfter(Now())
    , mHandler(std::move(aHandler))
    , mRequest(http::verb::get, aRequest.mTarget, kHttpVersion)
  {
    mRequest.set(http::field::host, ToString(mEndpoint));
    mRequest.set(http::field::accept, "application/json");
    mRequest.keep_alive(false);
    mParser.body_limit(aRequest.mMaxBodyBytes);
  }

  void Start()
  {
    mStream.expires_after(mConnectTimeout);
    mStream.async_connect(
      tcp::endpoint(boost::asio::ip::address_v4(mEndpoint.mAddress.mValue),
                    mEndpoint.mPort),
      beast::bind_front_handler(&HttpCall::OnConnected, shared_from_this()));
  }

  void Cancel() { mStream.cancel(); }

private:
  void OnConnected(error_code aError)
  {
    if (aError) {
      Fail(aError, "connect");
      return;
    }
    mStream.expires_after(mResponseTimeout);
    http::async_write(
      mStream,
      mRequest,
      [self = shared_from_this()](error_code aFailure, std::size_t /*aBytes*/) {
        self->OnWritten(aFailure);
      });
  }

  void OnWritten(error_code aError)
  {
    if (aError) {
      Fail(aError, "write");
      return;
    }
    if (mArrivalCheckInterval.count() > 0) {
      ScheduleArrivalCheck();
    }
    http::async_read(
      mStream,
      mBuffer,
      mParser,
      [self = shared_from_this()](error_code aFailure, std::size_t /*aBytes*/) {
        self->OnRead(aFailure);
      });
  }

  void ScheduleArrivalCheck()
  {
    mArrivalTimer.expires_after(mArrivalCheckInterval);
    mArrivalTimer.async_wait([self = shared_from_this()](error_code aFailure) {
      if (!aFailure && self->CheckArrival()) {
        self->ScheduleArrivalCheck();
      }
    });
  }

  /// Returns whether no byte of the response has arrived, and records the time
  /// of the check if so.
  bool CheckArrival()
  {
    const auto now = Now();
    error_code failure;
    const auto waiting = mStream.socket().available(failure);
    const bool hasArrived = failure || waiting > 0 || mParser.got_some();
    if (!hasArrived) {
      mArrivedAfter = now;
    }
    return !hasArrived;
  }

  void OnRead(error_code aError)
  {
    if (aError) {
      Fail(aError, "read");
      return;
    }
    auto response = mParser.release();
    Finish(HttpResponse{
      response.result_int(), std::move(response.body()), mArrivedAfter });
  }

  void Finish(state::Result<HttpResponse> aResult)
  {
    mArrivalTimer.cancel();
    error_code ignored; // The connection is closed in any case.
    mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    mStream.close();
    std::exchange(mHandler, nullptr)(std::move(aResult));
  }

  /// aMessage is the name of the step that failed, as logs show it.
  void Fail(error_code aError, const char* aMessage)
  {
    auto code = state::ErrorCode::Unavailable;
    if (aError == beast::error::timeout) {
      code = state::ErrorCode::DeadlineExceeded;
    } else if (aError == http::error::body_limit) {
      code = state::ErrorCode::TooLarge;
    }
    Finish(state::Error{ code,
                         state::Verdict::NotRun,
                         ToString(mEndpoint) + ": " + aMessage + ": " +
                           aError.message() });
  }

  beast::tcp_stream mStream;
  boost::asio::steady_timer mArrivalTimer;
  state::Endpoint mEndpoint;
  std::chrono::milliseconds mConnectTimeout;
  std::chrono::milliseconds mResponseTimeout;
  std::chrono::milliseconds mArrivalCheckInterval;
  state::TimePoint mArrivedAfter;
  HttpResponseHandler mHandler;
  http::request<http::empty_body> mRequest;
  http::response_parser<http::string_body> mParser;
  beast::flat_buffer mBuffer;
};

} // namespace

HttpCancel
StartGet(const boost::asio::any_io_executor& aExecutor,
         const HttpRequest& aRequest,
         HttpResponseHandler aHandler)
{
  const auto call =
    std::make_shared<HttpCall>(aExecutor, aRequest, std::move(aHandler));
  call->Start();
  return [weak = std::weak_ptr<HttpCall>(call)] {
    if (const auto running = weak.lock()) {
      running->Cancel();
    }
  };
}

} // namespace sassafrasknot::net
