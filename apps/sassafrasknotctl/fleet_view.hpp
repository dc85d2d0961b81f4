#ifndef SASSAFRASKNOTCTL_FLEET_VIEW_HPP
#define SASSAFRASKNOTCTL_FLEET_VIEW_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasknotctl {

/// @brief Revision of an organisation's configuration and the time since which
/// it is in force (applied).
struct ActiveRevision
{
  std::uint64_t mRevision = 0;
  /// ISO 8601 time in UTC. In FleetView it is empty while the revision is not
  /// in force on every instance that answered.
  std::string mSince;
};

/// @brief State of one instance according to its own dump, or the reason why
/// there is none.
struct InstanceStatus
{
  /// Control endpoint of the instance.
  std::string mEndpoint;
  /// Why no dump could be read; empty if there is one.
  std::string mError;
  std::string mInstance;
  std::string mDataCentre;
  /// Revision that is in force on this instance.
  std::uint64_t mInForce = 0;
  /// Highest revision that this instance has received.
  std::uint64_t mHighest = 0;
  /// False while its state is untrusted, as after a stall of the process.
  bool mTrusted = true;
  /// True during a planned stop.
  bool mStopping = false;
  /// Shards that it owns, such as "kandyan scheduling 0".
  std::set<std::string> mOwned;
  /// Organisations that it serves, with the revision in force here.
  std::map<std::string, ActiveRevision> mInForceSince;
  /// Names of the instances that it lists as alive.
  std::vector<std::string> mAlive;
};

/// @brief Comparison of all instances of a fleet: the revisions in force and
/// where the instances disagree.
struct FleetView
{
  std::vector<InstanceStatus> mInstances;
  /// Lowest revision in force among the instances that answered; 0 if none did.
  std::uint64_t mEverywhere = 0;
  /// Highest revision that any answering instance has received.
  std::uint64_t mHighest = 0;
  /// Answering instances whose revision in force is below mHighest.
  std::vector<std::string> mBehind;
  /// Shards that more than one instance claims to own, with these instances.
  std::map<std::string, std::vector<std::string>> mConflictingOwners;
  /// Answering instances that others do not list as alive, with the instances
  /// that do not list them. Stopping instances are left out.
  std::map<std::string, std::vector<std::string>> mNotSeenBy;
  /// Highest revision of each organisation, and when the last answering
  /// instance applied it.
  std::map<std::string, ActiveRevision> mOrganisations;
};

/// @brief Parses the dump of an instance.
/// @param aEndpoint control endpoint of the instance
/// @param aDump dump as JSON; if it is malformed, mError is set
/// @return the state of the instance
InstanceStatus
ParseInstanceStatus(std::string aEndpoint, std::string_view aDump);

/// @brief Compares the instances of a fleet.
/// @param aInstances all instances, also those that did not answer
/// @return the comparison
FleetView
CompareInstances(std::vector<InstanceStatus> aInstances);

/// @brief Returns whether all instances answered and none of them disagree.
/// @param aView comparison to check
bool
IsConsistent(const FleetView& aView);

/// @brief Returns whether all instances answered and have at least a revision
/// in force.
/// @param aView comparison to check
/// @param aRevision lowest accepted revision
bool
InForceEverywhere(const FleetView& aView, std::uint64_t aRevision);

/// @brief Formats a fleet as a table with the disagreements below it.
/// @param aView comparison to format
/// @return lines of text
std::string
FleetToText(const FleetView& aView);

/// @brief Formats a fleet as a JSON object.
/// @param aView comparison to format
/// @return one line of JSON
std::string
FleetToJson(const FleetView& aView);

/// @brief Formats a fleet as gauges in the Prometheus text format.
/// @param aView comparison to format
/// @return lines of text
std::string
FleetToPrometheus(const FleetView& aView);

} // namespace sassafrasknotctl

#endif
