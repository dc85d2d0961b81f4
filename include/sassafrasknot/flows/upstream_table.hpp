#ifndef SASSAFRASKNOT_FLOWS_UPSTREAM_TABLE_HPP
#define SASSAFRASKNOT_FLOWS_UPSTREAM_TABLE_HPP

#include "sassafrasknot/flows/failure_detector.hpp"
#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/flows/subset.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace sassafrasknot::flows {

/// @brief What some instances have open at one upstream.
struct UpstreamLoad
{
  /// Flows that stay open for many requests.
  std::uint32_t mFeeds = 0;
  /// Requests that it works on or has queued.
  std::uint32_t mActiveRequests = 0;

  auto operator<=>(const UpstreamLoad&) const = default;
};

/// @brief An upstream with all that this instance has seen of it.
struct UpstreamRecord
{
  Upstream mUpstream;
  UpstreamToken mToken = kNoToken;
  Presence mPresence = Presence::Listed;
  /// When it ceased to be slow after its start.
  state::TimePoint mWarmUpEnd;
  /// When it left the directory; only for Presence::Removed.
  state::TimePoint mRemovedAt;
  FailureDetector mFailureDetector;
  /// Load by this instance's flows.
  UpstreamLoad mOwnLoad;
  /// Load by other instances' flows, as they last told.
  UpstreamLoad mPeerLoad;
  /// All requests at work, averaged over kLoadAverageTimeConstant.
  double mAverageActiveRequests = 0;
  /// Requests at work per slot in its data centre, where nothing is known of
  /// the upstream itself.
  double mAssumedUtilisation = 0;
};

/// Time over which the number of requests at work is averaged: some ten
/// requests long, and longer than the reports of other data centres are apart.
constexpr std::chrono::milliseconds kLoadAverageTimeConstant{ 1000 };

/// @brief The upstreams of one service that may take new flows.
struct ServicePool
{
  std::vector<UpstreamRecord*> mAll;
  /// Upstreams of this data centre that this instance chooses among.
  std::vector<UpstreamRecord*> mLocalCandidates;
  /// Upstreams of other data centres.
  std::vector<UpstreamRecord*> mRemote;
  /// Whether mLocalCandidates is a subset of this instance's own.
  bool mIsSubset = false;
};

/// @brief All upstreams that packets may name, found by token or by service.
struct UpstreamTable
{
  std::unordered_map<UpstreamToken, UpstreamRecord> mByToken;
  std::map<std::string, ServicePool, std::less<>> mByService;
};

/// @brief Takes over a new directory. Upstreams that are no longer in it stay
/// known for as long as a flow may live.
/// @param aTable the table
/// @param aDirectory the directory
/// @param aNow the time
void
UpdateTable(UpstreamTable& aTable,
            const Directory& aDirectory,
            state::TimePoint aNow);

/// @brief Forms the pools of services anew.
/// @param aTable the table
/// @param aDataCentre data centre of this instance
/// @param aPlace its place there
void
BuildPools(UpstreamTable& aTable,
           const state::DataCentreId& aDataCentre,
           const InstancePosition& aPlace);

/// @brief Takes over what other instances have told.
/// @param aTable the table
/// @param aLoads loads of other instances' flows; upstreams that are not named
/// have none
/// @param aMeanUses requests at work per slot of data centres whose loads are
/// not known by upstream
void
SetPeerLoads(UpstreamTable& aTable,
             const std::map<UpstreamToken, UpstreamLoad>& aLoads,
             const std::map<state::DataCentreId, double>& aMeanUses);

/// @brief Returns the requests at work per slot among the upstreams that this
/// instance chooses from.
/// @param aTable the table
/// @return the use, 0 without upstreams
double
LocalUtilisation(const UpstreamTable& aTable);

/// @brief Advances the averages of requests at work.
/// @param aTable the table
/// @param aElapsed time since the last call
void
UpdateLoadAverages(UpstreamTable& aTable, state::Duration aElapsed);

/// @brief Returns the upstream that a token names.
/// @param aTable the table
/// @param aToken the token
/// @return the upstream, or null
UpstreamRecord*
FindUpstream(UpstreamTable& aTable, UpstreamToken aToken);

} // namespace sassafrasknot::flows

#endif
