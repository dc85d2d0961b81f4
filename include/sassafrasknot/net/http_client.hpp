#ifndef SASSAFRASKNOT_NET_HTTP_CLIENT_HPP
#define SASSAFRASKNOT_NET_HTTP_CLIENT_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace sassafrasknot::net {

/// @brief A GET request, sent over a new connection.
struct HttpRequest
{
  state::Endpoint mEndpoint;
  /// Path and query.
  std::string mTarget;
  /// Time limit of connecting.
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  /// Time limit from the start of the request to the end of the response.
  std::chrono::milliseconds mResponseTimeout{ 5000 };
  /// Upper limit of the response body, in bytes; longer ones fail the call.
  std::size_t mMaxBodyBytes = std::size_t{ 64 } << 20U;
  /// Interval at which the call checks that no byte of the response is waiting
  /// to be read, for HttpResponse::mArrivedAfter; 0 for no checks.
  std::chrono::milliseconds mArrivalCheckInterval{ 0 };
};

/// @brief A complete response of any status.
struct HttpResponse
{
  unsigned mStatus = 0;
  std::string mBody;
  /// The first byte arrived after this time: that of the last check without
  /// one, or of the start of the call. It may have waited since then, for
  /// example while the process was stopped.
  state::TimePoint mArrivedAfter{};
};

/// @brief Receives the response; or DeadlineExceeded after a time limit; or
/// TooLarge if the body was too long; or Unavailable if connecting, sending or
/// receiving failed or the call was cancelled.
using HttpResponseHandler = std::function<void(state::Result<HttpResponse>)>;

/// @brief Cancels a running call; its handler then receives Unavailable.
using HttpCancel = std::function<void()>;

/// @brief Starts a GET request.
/// @param aExecutor runs the call; must run on one thread
/// @param aRequest endpoint, target and limits
/// @param aHandler called exactly once, never from within this function
/// @return function that cancels the call; no effect once the call has ended
HttpCancel
StartGet(const boost::asio::any_io_executor& aExecutor,
         const HttpRequest& aRequest,
         HttpResponseHandler aHandler);

} // namespace sassafrasknot::net

#endif
