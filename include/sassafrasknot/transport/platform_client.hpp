#ifndef SASSAFRASKNOT_TRANSPORT_PLATFORM_CLIENT_HPP
#define SASSAFRASKNOT_TRANSPORT_PLATFORM_CLIENT_HPP

#include "sassafrasknot/protocol/platform_codec.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

namespace sassafrasknot::transport {

/// @brief Endpoints, time-outs and limits for calls to the platform.
struct PlatformClientSettings
{
  /// Endpoints of the platform, tried in turn. A call starts with the endpoint
  /// of the last call if that succeeded, otherwise with the next one.
  std::vector<state::Endpoint> mEndpoints;
  /// Maximum time to connect.
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  /// Maximum time from the request to the end of the response. For a watch, the
  /// time that the platform may block the call is added.
  std::chrono::milliseconds mResponseTimeout{ 5000 };
  /// Ceiling of the random delay after the first failed call.
  std::chrono::milliseconds mInitialBackoff{ 100 };
  /// Upper limit of that ceiling, which doubles with each failed call.
  std::chrono::milliseconds mMaxBackoff{ 30000 };
  /// Maximum size of a response body, in bytes.
  std::size_t mMaxResponseBytes = protocol::kMaxPlatformResponseBytes;
  /// Seed of the random delays.
  std::uint64_t mSeed = 1;
};

/// @brief Reads and watches the platform's configuration service. All members
/// and handlers run on the executor; not safe for use from several threads.
class PlatformClient
{
public:
  /// @brief Receives the decoded response to a call, or the error that ended
  /// the call: Unavailable (not reached, response too long, any other HTTP
  /// status than 200 and 429, client stopped or without endpoints),
  /// DeadlineExceeded, Overloaded (HTTP status 429) or Malformed. It may be
  /// called after the client was destroyed.
  using ResponseHandler =
    std::function<void(state::Result<protocol::PlatformResponse>)>;

  /// @brief Makes a client; it starts no call.
  /// @param aExecutor runs the calls and handlers; must run on one thread
  /// @param aSettings endpoints, time-outs and limits
  PlatformClient(boost::asio::any_io_executor aExecutor,
                 PlatformClientSettings aSettings);
  /// @brief Stops the client as Stop does.
  ~PlatformClient();
  PlatformClient(PlatformClient&&) noexcept;
  PlatformClient& operator=(PlatformClient&&) noexcept;

  /// @brief Reads all keys (GET /v1/config). A call tries each endpoint at most
  /// once and stops at the first HTTP status 429. After failed calls, the next
  /// call starts after a random delay (see BackoffDelay).
  /// @param aHandler called exactly once, never from within this function
  void Read(ResponseHandler aHandler);

  /// @brief Waits for keys that changed after a revision
  /// (GET /v1/config?revision=N&wait=SECONDS). A response without records means
  /// that no key has changed. Otherwise like Read.
  /// @param aAfterRevision newest revision that the caller already has
  /// @param aWatchTimeout maximum time that the platform may block the call
  /// @param aHandler called exactly once, never from within this function
  void Watch(state::Revision aAfterRevision,
             std::chrono::seconds aWatchTimeout,
             ResponseHandler aHandler);

  /// @brief Cancels all calls, which end with Unavailable. Later calls end with
  /// Unavailable without contacting the platform.
  void Stop();

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace sassafrasknot::transport

#endif
