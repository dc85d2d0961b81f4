#ifndef SASSAFRASKNOT_FLEET_FLEET_MESSAGE_HPP
#define SASSAFRASKNOT_FLEET_FLEET_MESSAGE_HPP

#include "sassafrasknot/fleet/catalogue.hpp"
#include "sassafrasknot/fleet/peers.hpp"
#include "sassafrasknot/flows/upstream_table.hpp"
#include "sassafrasknot/state/time.hpp"

#include <optional>
#include <vector>

namespace sassafrasknot::fleet {

/// @brief What the sender knows of another member.
struct MemberGossip
{
  Member mMember;
  /// How long ago it was heard.
  state::Duration mContactAge{ 0 };

  auto operator<=>(const MemberGossip&) const = default;
};

/// @brief Load at one upstream.
struct UpstreamLoadEntry
{
  flows::UpstreamToken mToken = flows::kNoToken;
  flows::UpstreamLoad mLoad;

  auto operator<=>(const UpstreamLoadEntry&) const = default;
};

/// @brief The load of all instances of a data centre: by upstream in a small
/// one, and on average where the instances divide the upstreams.
struct DataCentreLoads
{
  state::DataCentreId mDataCentre;
  /// How long ago they were summed.
  state::Duration mAge{ 0 };
  std::vector<UpstreamLoadEntry> mLoads;
  /// Requests at work per slot of the data centre's upstreams.
  std::optional<double> mMeanUtilisation;

  auto operator<=>(const DataCentreLoads&) const = default;
};

/// @brief A datagram between two instances.
struct FleetMessage
{
  Member mSender;
  /// Revision that the sender knows.
  state::Revision mRevision = 0;
  /// How long ago the platform confirmed that revision as its newest; absent
  /// if it never did.
  std::optional<state::Duration> mConfirmedAge;
  std::vector<MemberGossip> mMembers;
  /// Present in messages within a data centre; empty in those to instances that
  /// do not choose the same upstreams.
  std::optional<std::vector<UpstreamLoadEntry>> mLoads;
  /// Sums by data centre: the sender's own one in messages between data
  /// centres, all others in messages within one.
  std::vector<DataCentreLoads> mDataCentreLoads;
  /// Upstreams that the sender has found silent; present in messages within a
  /// data centre, since a cut between data centres looks alike for all of one.
  std::vector<flows::UpstreamToken> mUnresponsive;
  /// Upstreams that the sender suspects or has found silent, for the probes of
  /// the data centre's speaker.
  std::vector<flows::UpstreamToken> mProbeCandidates;
  /// Upstreams that have answered the sender's probes in the last second.
  std::vector<flows::UpstreamToken> mReachable;
  /// The newest changes, if they are short.
  std::optional<ChangeSet> mChanges;
};

} // namespace sassafrasknot::fleet

#endif
