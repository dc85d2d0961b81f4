#include <iomanip>
#include <sstream>

#include "fleet_view.hpp"
#include <boost/json.hpp>

namespace sassafrasknotctl {

namespace json = boost::json;

namespace {

std::string
Join(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const auto& name : aNames) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

// Converts lists of names by key, such as the owners of shards.
json::object
ToObject(const std::map<std::string, std::vector<std::string>>& aLists)
{
  json::object object;
  for (const auto& [name, list] : aLists) {
    object[name] = json::array(list.begin(), list.end());
  }
  return object;
}

// Converts an instance; without a dump only its endpoint and the error.
json::object
ToObject(const InstanceStatus& aStatus)
{
  if (!aStatus.mError.empty()) {
    return { { "endpoint", aStatus.mEndpoint }, { "fault", aStatus.mError } };
  }
  return { { "endpoint", aStatus.mEndpoint },
           { "instance", aStatus.mInstance },
           { "data_centre", aStatus.mDataCentre },
           { "revision_in_force", aStatus.mInForce },
           { "highest_revision", aStatus.mHighest },
           { "trusted", aStatus.mTrusted },
           { "stopping", aStatus.mStopping },
           { "shards_owned", aStatus.mOwned.size() } };
}

// Returns the state of an instance as the table shows it.
std::string
StateOf(const InstanceStatus& aStatus)
{
  if (aStatus.mStopping) {
    return "stopping";
  }
  return aStatus.mTrusted ? "live" : "not trusted";
}

} // namespace

std::string
FleetToText(const FleetView& aView)
{
  std::ostringstream output;
  const auto row = [&output](const auto& aName,
                             const auto& aDataCentre,
                             const auto& aInForce,
                             const auto& aSeen,
                             const auto& aShards,
                             const auto& aState) {
    output << std::left << std::setw(24) << aName << std::setw(16)
           << aDataCentre << std::setw(10) << aInForce << std::setw(10) << aSeen
           << std::setw(8) << aShards << aState << '\n';
  };
  row("instance", "data centre", "in force", "seen", "shards", "state");
  for (const auto& status : aView.mInstances) {
    if (status.mError.empty()) {
      row(status.mInstance,
          status.mDataCentre,
          status.mInForce,
          status.mHighest,
          status.mOwned.size(),
          StateOf(status));
    } else {
      row(status.mEndpoint, "-", "-", "-", "-", status.mError);
    }
  }
  output << "in force everywhere: " << aView.mEverywhere
         << ", highest seen: " << aView.mHighest << '\n';
  for (const auto& [organisation, everywhere] : aView.mOrganisations) {
    output << organisation << ": revision " << everywhere.mRevision
           << (everywhere.mSince.empty()
                 ? " is not in force everywhere"
                 : " in force everywhere since " + everywhere.mSince)
           << '\n';
  }
  if (!aView.mBehind.empty()) {
    output << "behind: " << Join(aView.mBehind) << '\n';
  }
  for (const auto& [shard, owners] : aView.mConflictingOwners) {
    output << "two owners of " << shard << ": " << Join(owners) << '\n';
  }
  for (const auto& [instance, by] : aView.mNotSeenBy) {
    output << instance << " is not listed as alive by: " << Join(by) << '\n';
  }
  output << (IsConsistent(aView) ? "all instances agree\n"
                                 : "instances disagree\n");
  return output.str();
}

std::string
FleetToJson(const FleetView& aView)
{
  json::object organisations;
  for (const auto& [organisation, everywhere] : aView.mOrganisations) {
    organisations[organisation] = { { "revision", everywhere.mRevision },
                                    { "since", everywhere.mSince } };
  }
  json::array instances;
  for (const auto& status : aView.mInstances) {
    instances.push_back(ToObject(status));
  }
  return json::serialize(json::object{
           { "agree", IsConsistent(aView) },
           { "in_force_everywhere", aView.mEverywhere },
           { "highest_revision", aView.mHighest },
           { "behind",
             json::array(aView.mBehind.begin(), aView.mBehind.end()) },
           { "two_owners", ToObject(aView.mConflictingOwners) },
           { "unseen", ToObject(aView.mNotSeenBy) },
           { "organisations", organisations },
           { "instances", instances } }) +
         '\n';
}

std::string
FleetToPrometheus(const FleetView& aView)
{
  std::ostringstream output;
  const auto gauge = [&output](const char* aName, auto aValue) {
    output << "# TYPE " << aName << " gauge\n"
           << aName << ' ' << aValue << '\n';
  };
  std::size_t unanswered = 0;
  output << "# TYPE sassafrasknot_fleet_instance_revision gauge\n";
  for (const auto& status : aView.mInstances) {
    if (!status.mError.empty()) {
      ++unanswered;
      continue;
    }
    output << "sassafrasknot_fleet_instance_revision{instance=\""
           << status.mInstance << "\",data_centre=\"" << status.mDataCentre
           << "\"} " << status.mInForce << '\n';
  }
  gauge("sassafrasknot_fleet_revision_in_force_everywhere", aView.mEverywhere);
  gauge("sassafrasknot_fleet_highest_revision", aView.mHighest);
  gauge("sassafrasknot_fleet_instances_behind", aView.mBehind.size());
  gauge("sassafrasknot_fleet_instances_silent", unanswered);
  gauge("sassafrasknot_fleet_shards_with_two_owners",
        aView.mConflictingOwners.size());
  gauge("sassafrasknot_fleet_instances_unseen", aView.mNotSeenBy.size());
  return output.str();
}

} // namespace sassafrasknotctl
