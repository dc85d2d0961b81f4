#ifndef SASSAFRASKNOT_FLOWS_UPSTREAM_TABLE_HPP
#define SASSAFRASKNOT_FLOWS_UPSTREAM_TABLE_HPP

#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/flows/silence.hpp"
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
  std::uint32_t mAtWork = 0;

  auto operator<=>(const UpstreamLoad&) const = default;
};

/// @brief An upstream with all that this instance has seen of it.
struct UpstreamRecord
{
  Upstream mUpstream;
  FlowToken mToken = kNoToken;
  Presence mPresence = Presence::Listed;
  /// When it ceased to be slow after its start.
  state::TimePoint mWarm;
  /// When it left the directory; only for Presence::Gone.
  state::TimePoint mGone;
  Silence mSilence;
  /// Load by this instance's flows.
  UpstreamLoad mOwn;
  /// Load by other instances' flows, as they last told.
  UpstreamLoad mPeers;
  /// All requests at work, averaged over kBusyAverage.
  double mBusy = 0;
};

/// Time over which the number of requests at work is averaged: some ten
/// requests long, and longer than the reports of other data centres are apart.
constexpr std::chrono::milliseconds kBusyAverage{ 1000 };

/// @brief All upstreams that packets may name, found by token or by service.
struct UpstreamTable
{
  std::unordered_map<FlowToken, UpstreamRecord> mByToken;
  std::map<std::string, std::vector<UpstreamRecord*>, std::less<>> mByService;
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

/// @brief Advances the averages of requests at work.
/// @param aTable the table
/// @param aElapsed time since the last call
void
AverageBusy(UpstreamTable& aTable, state::Duration aElapsed);

/// @brief Returns the upstream that a token names.
/// @param aTable the table
/// @param aToken the token
/// @return the upstream, or null
UpstreamRecord*
FindUpstream(UpstreamTable& aTable, FlowToken aToken);

} // namespace sassafrasknot::flows

#endif
