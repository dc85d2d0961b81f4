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

/// @brief How the platform is reached.
struct PlatformClientSettings
{
  /// Tried in turn, starting with the one that answered last.
  std::vector<state::Endpoint> mEndpoints;
  /// Longest time to connect.
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  /// Longest time from the request to the end of the answer, besides the time
  /// that a watch may block.
  std::chrono::milliseconds mAnswerTimeout{ 5000 };
  /// Ceiling of the wait after the first failed call.
  std::chrono::milliseconds mInitialBackoff{ 100 };
  /// Highest ceiling of the wait after failed calls.
  std::chrono::milliseconds mMaxBackoff{ 30000 };
  /// Longest answer that is read, in bytes.
  std::size_t mMaxAnswerBytes = protocol::kMaxPlatformAnswerBytes;
  /// Seed of the jitter.
  std::uint64_t mSeed = 1;
};

/// @brief Reads and watches the platform's configuration service. All members
/// and handlers run on the executor; not safe for use from several threads.
class PlatformClient
{
public:
  /// Receives the answer; or Unavailable (not reached, refused or stopped),
  /// DeadlineExceeded, Overloaded (status 429) or Malformed. It may be called
  /// after the client was destroyed.
  using Handler = std::function<void(state::Result<protocol::PlatformAnswer>)>;

  /// @brief Makes a client without any call.
  /// @param aExecutor runs the calls; must run on one thread
  /// @param aSettings how the platform is reached
  PlatformClient(boost::asio::any_io_executor aExecutor,
                 PlatformClientSettings aSettings);
  /// @brief Stops the client.
  ~PlatformClient();
  PlatformClient(PlatformClient&&) noexcept;
  PlatformClient& operator=(PlatformClient&&) noexcept;

  /// @brief Reads all keys (GET /v1/config). A call tries each endpoint once;
  /// after failed calls the next one waits before it starts (full jitter).
  /// @param aHandler called exactly once, never from within this function
  void Read(Handler aHandler);

  /// @brief Waits for keys that changed after a revision
  /// (GET /v1/config?revision=N&wait=SECONDS). An answer without records says
  /// that none has. Otherwise like Read.
  /// @param aAbove the revision
  /// @param aWait how long the platform may block the call
  /// @param aHandler called exactly once, never from within this function
  void Watch(state::Revision aAbove,
             std::chrono::seconds aWait,
             Handler aHandler);

  /// @brief Ends all calls with Unavailable; later ones end so at once.
  void Stop();

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace sassafrasknot::transport

#endif
