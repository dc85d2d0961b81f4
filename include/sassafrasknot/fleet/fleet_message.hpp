#ifndef SASSAFRASKNOT_FLEET_FLEET_MESSAGE_HPP
#define SASSAFRASKNOT_FLEET_FLEET_MESSAGE_HPP

#include "sassafrasknot/fleet/catalogue.hpp"
#include "sassafrasknot/fleet/peers.hpp"
#include "sassafrasknot/flows/upstream_table.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace sassafrasknot::fleet {

/// @brief Gossip: what the sender of a message knows of another member.
struct MemberGossip
{
  Member mMember;
  /// Time since the last message that any instance received from it.
  state::Duration mContactAge{ 0 };

  auto operator<=>(const MemberGossip&) const = default;
};

/// @brief Load that one instance or data centre puts on one upstream.
struct UpstreamLoadEntry
{
  flows::UpstreamToken mToken = flows::kNoToken;
  flows::UpstreamLoad mLoad;
  /// Speed of the upstream by the instance's own samples, in percent; 0 if it
  /// reports none. Only in messages within a data centre.
  std::uint32_t mSpeedPercent = 0;

  auto operator<=>(const UpstreamLoadEntry&) const = default;
};

/// @brief Aggregated load of all instances of a data centre: by upstream in a
/// small data centre, and as a mean where each instance uses a subset of the
/// upstreams.
struct DataCentreLoads
{
  state::DataCentreId mDataCentre;
  /// Time since the loads were aggregated.
  state::Duration mAge{ 0 };
  std::vector<UpstreamLoadEntry> mLoads;
  /// Active requests per slot of the data centre's upstreams; replaces mLoads
  /// in a large data centre.
  std::optional<double> mMeanUtilisation;

  auto operator<=>(const DataCentreLoads&) const = default;
};

/// @brief An upstream that answered a probe.
struct ReachableUpstream
{
  flows::UpstreamToken mToken = flows::kNoToken;
  /// Time since the probe was sent.
  state::Duration mProbeAge{ 0 };

  auto operator<=>(const ReachableUpstream&) const = default;
};

/// @brief Content of a datagram between two instances.
struct FleetMessage
{
  Member mSender;
  /// Revision of the sender's catalogue.
  state::Revision mRevision = 0;
  /// Time since the store confirmed that revision as its newest; absent if it
  /// never did.
  std::optional<state::Duration> mConfirmedAge;
  std::vector<MemberGossip> mMembers;
  /// Loads of the sender. Present in the regular messages within a data centre;
  /// empty in those to instances that do not share upstreams with the sender.
  /// Speeds are in one message per FleetPolicy::mSpeedsPeriod, which then has
  /// entries for upstreams without load, too; it replaces all speeds that the
  /// sender reported before.
  std::optional<std::vector<UpstreamLoadEntry>> mLoads;
  /// Aggregated loads, sent by representatives of data centres only: those of
  /// the sender's own data centre in messages to other data centres, those of
  /// all others in messages within the data centre.
  std::vector<DataCentreLoads> mDataCentreLoads;
  /// Upstreams that the sender's own detection found unresponsive. Sent within
  /// a data centre only, whose instances are all affected alike by a network
  /// partition between data centres.
  std::vector<flows::UpstreamToken> mUnresponsive;
  /// Upstreams that are suspected or unresponsive at the sender. The
  /// representative of the data centre probes them.
  std::vector<flows::UpstreamToken> mProbeCandidates;
  /// Upstreams that answered a probe which the sender sent within the last
  /// 500 ms (kReachableRetention in load_exchange.cpp).
  std::vector<ReachableUpstream> mReachable;
  /// The newest changes, if they fit within FleetPolicy::mMaxInlineChangeBytes.
  std::optional<ChangeSet> mChanges;
};

} // namespace sassafrasknot::fleet

#endif
