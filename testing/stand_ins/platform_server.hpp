#ifndef SASSAFRASKNOT_STAND_INS_PLATFORM_SERVER_HPP
#define SASSAFRASKNOT_STAND_INS_PLATFORM_SERVER_HPP

#include "sassafrasknot/state/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "platform_store.hpp"
#include <boost/asio/io_context.hpp>

namespace stand_ins {

/// @brief How the server responds to GET /v1/config.
enum class PlatformMode : std::uint8_t
{
  Serve,     ///< Status 200 with the documents.
  Fail,      ///< Status 503.
  Limit,     ///< Status 429.
  Hang,      ///< No response; the connection stays open.
  Malformed, ///< Status 200 with truncated JSON.
};

/// @brief Behaviour of the server, which POST /control changes.
struct PlatformControl
{
  PlatformMode mMode = PlatformMode::Serve;
  /// Responses contain the documents as they were this long ago. The first
  /// documents that the server read count as older than any staleness.
  std::chrono::milliseconds mStaleness{ 0 };
};

/// @brief Replaces the configuration service of the platform in tests: serves a
/// folder of documents over HTTP and reads the folder again every 200 ms.
/// - GET /v1/config is a read: it returns all documents.
/// - GET /v1/config?revision=N&wait=SECONDS is a watch: it returns the keys
///   that changed after revision N. If there are none, the response is delayed
///   until there are, or until the first poll after the wait time.
/// - POST /control with {"mode": MODE, "stale_seconds": N} changes the
///   responses; MODE is serve, fail, limit, hang or malformed (PlatformMode).
/// - GET /control returns the revision and the numbers of reads and watches.
class PlatformServer
{
public:
  /// @brief Starts the server.
  /// @param aContext context on which the server runs
  /// @param aListen TCP endpoint; port 0 selects any free port
  /// @param aFolder folder with the documents
  /// @param aRevision revision before the first documents, so that the
  /// revisions of a restarted server continue those before its restart
  /// @throws boost::system::system_error if the endpoint cannot be bound
  PlatformServer(boost::asio::io_context& aContext,
                 const state::Endpoint& aListen,
                 std::string aFolder,
                 state::Revision aRevision = 0);
  /// @brief Stops the server and responds to all pending watches.
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  /// @brief Returns the TCP endpoint, with the port that was bound.
  /// @return address and port
  state::Endpoint ListenEndpoint() const;
  /// @brief Counts the requests to /v1/config.
  /// @return number of reads and watches so far
  std::uint64_t RequestCount() const;
  /// @brief Changes the responses, as POST /control does.
  /// @param aControl new mode and staleness
  void SetControl(const PlatformControl& aControl);
  /// @brief Reads the folder immediately instead of at the next poll.
  void Reload();

  struct Impl;

private:
  std::shared_ptr<Impl> mImpl;
};

} // namespace stand_ins

#endif
