#ifndef SASSAFRASKNOT_NET_HTTP_CLIENT_HPP
#define SASSAFRASKNOT_NET_HTTP_CLIENT_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace sassafrasknot::net {

/// @brief A GET request over a connection of its own.
struct HttpRequest
{
  state::Endpoint mEndpoint;
  /// Path and query.
  std::string mTarget;
  /// Longest time to connect.
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  /// Longest time from the request to the end of the answer.
  std::chrono::milliseconds mResponseTimeout{ 5000 };
  /// Longest body that is read, in bytes.
  std::size_t mMaxBodyBytes = std::size_t{ 64 } << 20U;
};

/// @brief A complete answer of any status.
struct HttpResponse
{
  unsigned mStatus = 0;
  std::string mBody;
};

/// Receives the answer; or DeadlineExceeded, or Unavailable (not reached, cut
/// off or cancelled).
using HttpResponseHandler = std::function<void(state::Result<HttpResponse>)>;

/// @brief Cancels a running call; its handler then gets Unavailable.
using HttpCancel = std::function<void()>;

/// @brief Starts a GET request.
/// @param aExecutor runs the call; must run on one thread
/// @param aRequest the request
/// @param aHandler called exactly once, never from within this function
/// @return cancels the call; does nothing once the call has ended
HttpCancel
StartGet(const boost::asio::any_io_executor& aExecutor,
         const HttpRequest& aRequest,
         HttpResponseHandler aHandler);

} // namespace sassafrasknot::net

#endif
