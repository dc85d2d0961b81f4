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

/// @brief How the stand-in answers GET /v1/config.
enum class PlatformMode : std::uint8_t
{
  Serve,
  Fail,      ///< Status 503.
  Limit,     ///< Status 429.
  Hang,      ///< Never answers.
  Malformed, ///< Status 200 with half an answer.
};

/// @brief What a control request changes.
struct PlatformControl
{
  PlatformMode mMode = PlatformMode::Serve;
  /// Answers show the documents as of this long ago.
  std::chrono::milliseconds mStale{ 0 };
};

/// @brief Stands in for the platform's configuration service: serves a folder
/// of documents over HTTP. It reads the folder again every 200 ms.
/// POST /control with {"mode": MODE, "stale_seconds": N} changes its answers;
/// GET /control shows them and counts reads and watches.
class PlatformServer
{
public:
  /// @brief Starts to serve.
  /// @param aContext runs the server
  /// @param aListen TCP address; with port 0 any free one
  /// @param aFolder folder with the documents
  /// @param aRevision revision that the first documents follow, so that a
  /// restarted server does not go back
  /// @throws boost::system::system_error if the address can't be used
  PlatformServer(boost::asio::io_context& aContext,
                 const state::Endpoint& aListen,
                 std::string aFolder,
                 state::Revision aRevision = 0);
  /// @brief Stops to serve.
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  state::Endpoint ListensAt() const;
  /// @brief Reads and watches received so far.
  std::uint64_t Requests() const;
  void SetControl(const PlatformControl& aControl);
  /// @brief Reads the folder now instead of at the next poll.
  void Reload();

  struct Impl;

private:
  std::shared_ptr<Impl> mImpl;
};

} // namespace stand_ins

#endif
