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

/// @brief How often a route's requests may be executed, which decides what may
/// be done with one whose outcome is unknown.
enum class RequestKind : std::uint8_t
{
  Idempotent,    ///< May be repeated.
  NonIdempotent, ///< Executed at most once.
  Upload,        ///< Executed at most once, with a long body.
  Download,      ///< May be repeated, with a long answer.
};

/// @brief Returns whether a request of this kind may be executed again.
/// @param aKind kind of the request's route
/// @return whether it is idempotent
constexpr bool
IsIdempotent(RequestKind aKind)
{
  return aKind == RequestKind::Idempotent || aKind == RequestKind::Download;
}

/// @brief A service that receives a share of a route's new flows, in proportion
/// to its weight.
struct WeightedService
{
  std::string mService;
  std::uint32_t mWeight = 1;

  auto operator<=>(const WeightedService&) const = default;
};

/// @brief A service address and the services that its new flows go to.
struct Route
{
  std::string mName;
  state::Endpoint mEndpoint;
  std::vector<WeightedService> mServices;
  RequestKind mKind = RequestKind::NonIdempotent;
  /// Latency objective of its requests.
  std::chrono::milliseconds mObjective{ 0 };
  /// After this time a request's answer is of no use.
  std::chrono::milliseconds mTimeout{ 0 };
  /// 0 is the most urgent.
  std::uint32_t mPriority = 0;

  auto operator<=>(const Route&) const = default;
};

/// @brief Limit of the requests that a cold upstream of a service can handle.
struct WarmUpLimit
{
  /// Length of the warm-up after a start.
  std::chrono::milliseconds mWarmUp{ 0 };
  /// Requests per second; 0 if there is no limit.
  double mRequestsPerSecond = 0;

  auto operator<=>(const WarmUpLimit&) const = default;
};

/// @brief Tolerance of warm-up limits: in any second, at most a service's limit
/// times mFactor plus mAddend requests may arrive at one of its cold upstreams.
struct ColdBounds
{
  double mFactor = 1.5;
  double mAddend = 5;

  auto operator<=>(const ColdBounds&) const = default;
};

/// @brief One version of the operators' configuration.
struct Configuration
{
  std::uint64_t mVersion = 0;
  std::map<state::Endpoint, Route> mRoutes;
  /// Paths of the health checks by name of the service.
  std::map<std::string, std::string> mHealthPaths;
  /// Limits of cold upstreams by name of the service; services without a limit
  /// are absent.
  std::map<std::string, WarmUpLimit, std::less<>> mWarmUpLimits;
  /// Idle flows may be discarded after this time.
  std::chrono::milliseconds mIdleTimeout{ 0 };
};

/// @brief Whether an upstream is in the store.
enum class Presence : std::uint8_t
{
  Listed, ///< It has an entry.
  /// Its entry has expired without a drain. New flows go there at a high cost
  /// instead of never, since an entry may expire while its upstream still runs.
  Expired,
  /// It receives no new flow; packets that carry its token still go there.
  Removed,
};

/// @brief An upstream of the directory.
struct ListedUpstream
{
  Upstream mUpstream;
  Presence mPresence = Presence::Listed;
  /// Token of its id, so that not every directory computes it again; kNoToken
  /// if it has not been computed.
  UpstreamToken mToken = kNoToken;
};

/// @brief Evacuated data centres, each with the revision of the store at which
/// its evacuation was last ordered.
using Evacuations = std::map<state::DataCentreId, state::Revision>;

/// @brief Configuration and upstreams at one revision of the store; immutable
/// once passed to the traffic thread. An incremental one only has the upstreams
/// that differ from the previous directory.
struct Directory
{
  state::Revision mRevision = 0;
  std::shared_ptr<const Configuration> mConfiguration;
  std::vector<ListedUpstream> mUpstreams;
  /// Data centres whose upstreams receive no new flow.
  Evacuations mEvacuations;
  bool mIsIncremental = false;
  /// Tokens of the upstreams that left since the previous directory; only for
  /// an incremental one.
  std::vector<UpstreamToken> mRemoved;
};

} // namespace sassafrasknot::flows

#endif
