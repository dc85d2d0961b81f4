#ifndef SASSAFRASKNOT_FLOWS_ROUTING_HPP
#define SASSAFRASKNOT_FLOWS_ROUTING_HPP

#include "sassafrasknot/flows/upstream.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sassafrasknot::flows {

/// @brief What may be done with a request whose outcome is unknown.
enum class RequestKind : std::uint8_t
{
  Idempotent,    ///< May be repeated; flows stay open for many requests.
  NonIdempotent, ///< Runs at most once.
  Upload,        ///< Runs at most once and has a long body.
};

/// @brief A service that takes a part of a route's new flows.
struct WeightedService
{
  std::string mService;
  std::uint32_t mWeight = 1;

  auto operator<=>(const WeightedService&) const = default;
};

/// @brief A service address with the services that new flows go to.
struct Route
{
  std::string mName;
  state::Endpoint mEndpoint;
  std::vector<WeightedService> mServices;
  RequestKind mKind = RequestKind::NonIdempotent;
  /// Latency objective of its requests.
  std::chrono::milliseconds mObjective{ 0 };
  /// After this time an answer is of no use.
  std::chrono::milliseconds mTimeout{ 0 };
  /// 0 is the most urgent.
  std::uint32_t mPriority = 0;

  auto operator<=>(const Route&) const = default;
};

/// @brief One version of the operators' configuration.
struct Configuration
{
  std::uint64_t mVersion = 0;
  std::map<state::Endpoint, Route> mRoutes;
  /// Paths of the services' health checks.
  std::map<std::string, std::string> mHealthPaths;
  /// Idle flows may be discarded after this time.
  std::chrono::milliseconds mIdleTimeout{ 0 };
};

/// @brief How sure it is that an upstream exists.
enum class Presence : std::uint8_t
{
  Listed,
  /// Its entry has lapsed without a drain. It is used only if no other can be,
  /// since an entry may lapse while its upstream lives.
  Expired,
  /// It takes no new flow; packets that carry its token still go there.
  Removed,
};

/// @brief An upstream of the directory.
struct ListedUpstream
{
  Upstream mUpstream;
  Presence mPresence = Presence::Listed;
};

/// @brief What an instance knows of the platform at one revision; immutable
/// once published to the traffic thread.
struct Directory
{
  state::Revision mRevision = 0;
  std::shared_ptr<const Configuration> mConfiguration;
  std::vector<ListedUpstream> mUpstreams;
};

} // namespace sassafrasknot::flows

#endif
