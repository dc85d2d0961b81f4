#ifndef SASSAFRASKNOTCTL_FLEET_VIEW_HPP
#define SASSAFRASKNOTCTL_FLEET_VIEW_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasknotctl {

/// @brief Revision of an organisation and when it came into force.
struct RevisionSince
{
  std::uint64_t mRevision = 0;
  /// ISO 8601 time in UTC; empty while it is not in force everywhere.
  std::string mSince;
};

/// @brief What one instance says of itself, or that it does not answer.
struct FleetMember
{
  /// Control endpoint as the operator gave it.
  std::string mEndpoint;
  /// Why there is no dump, or empty.
  std::string mFault;
  std::string mInstance;
  std::string mDataCentre;
  std::uint64_t mInForce = 0;
  std::uint64_t mHighest = 0;
  bool mTrusted = true;
  bool mStopping = false;
  /// Shards that it owns, such as "kandyan/scheduling galle 0".
  std::set<std::string> mOwned;
  /// Organisations that it serves.
  std::map<std::string, RevisionSince> mInForceSince;
  /// Members that it takes for alive.
  std::vector<std::string> mAlive;
};

/// @brief Where the instances of a fleet disagree.
struct FleetView
{
  std::vector<FleetMember> mMembers;
  /// Revision that is in force on every instance that answers.
  std::uint64_t mEverywhere = 0;
  /// Highest revision that any instance has seen.
  std::uint64_t mHighest = 0;
  /// Instances whose revision in force is below mHighest.
  std::vector<std::string> mBehind;
  /// Shards with more than one owner, with the owners.
  std::map<std::string, std::vector<std::string>> mTwoOwners;
  /// Answering instances that another answering one does not take for alive,
  /// with those that do not see them.
  std::map<std::string, std::vector<std::string>> mUnseen;
  /// Highest revision of each organisation and when the last answering
  /// instance put it in force.
  std::map<std::string, RevisionSince> mOrganisations;
};

/// @brief Reads a dump.
/// @param aEndpoint control endpoint of the instance
/// @param aDump its dump; malformed text becomes a fault
/// @return what the instance says
FleetMember
ReadMember(std::string aEndpoint, std::string_view aDump);

/// @brief Compares instances.
/// @param aMembers the instances
/// @return their agreement
FleetView
CompareMembers(std::vector<FleetMember> aMembers);

/// @brief Returns whether all instances answer and agree.
/// @param aView the fleet
bool
Agrees(const FleetView& aView);

/// @brief Returns whether all instances answer and have a revision in force.
/// @param aView the fleet
/// @param aRevision the revision
bool
InForceEverywhere(const FleetView& aView, std::uint64_t aRevision);

/// @brief Writes a fleet as text, as a JSON object or as Prometheus gauges.
/// @param aView the fleet
/// @return the text
std::string
FleetToText(const FleetView& aView);
std::string
FleetToJson(const FleetView& aView);
std::string
FleetToPrometheus(const FleetView& aView);

} // namespace sassafrasknotctl

#endif
