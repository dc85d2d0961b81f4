#include <iomanip>
#include <sstream>

#include "fleet_view.hpp"
#include <boost/json.hpp>

namespace sassafrasknotctl {

namespace json = boost::json;

namespace {

std::string
Joined(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const auto& name : aNames) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

json::object
ToObject(const std::map<std::string, std::vector<std::string>>& aLists)
{
  json::object object;
  for (const auto& [name, list] : aLists) {
    object[name] = json::array(list.begin(), list.end());
  }
  return object;
}

json::object
ToObject(const FleetMember& aMember)
{
  if (!aMember.mFault.empty()) {
    return { { "endpoint", aMember.mEndpoint }, { "fault", aMember.mFault } };
  }
  return { { "endpoint", aMember.mEndpoint },
           { "instance", aMember.mInstance },
           { "data_centre", aMember.mDataCentre },
           { "revision_in_force", aMember.mInForce },
           { "highest_revision", aMember.mHighest },
           { "trusted", aMember.mTrusted },
           { "stopping", aMember.mStopping },
           { "shards_owned", aMember.mOwned.size() } };
}

std::string
StateOf(const FleetMember& aMember)
{
  if (aMember.mStopping) {
    return "stopping";
  }
  return aMember.mTrusted ? "live" : "not trusted";
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
  for (const auto& member : aView.mMembers) {
    if (member.mFault.empty()) {
      row(member.mInstance,
          member.mDataCentre,
          member.mInForce,
          member.mHighest,
          member.mOwned.size(),
          StateOf(member));
    } else {
      row(member.mEndpoint, "-", "-", "-", "-", member.mFault);
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
    output << "behind: " << Joined(aView.mBehind) << '\n';
  }
  for (const auto& [shard, owners] : aView.mTwoOwners) {
    output << "two owners of " << shard << ": " << Joined(owners) << '\n';
  }
  for (const auto& [instance, by] : aView.mUnseen) {
    output << instance << " is not seen alive by: " << Joined(by) << '\n';
  }
  output << (Agrees(aView) ? "all agree\n" : "instances disagree\n");
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
  json::array members;
  for (const auto& member : aView.mMembers) {
    members.push_back(ToObject(member));
  }
  return json::serialize(json::object{
           { "agree", Agrees(aView) },
           { "in_force_everywhere", aView.mEverywhere },
           { "highest_revision", aView.mHighest },
           { "behind",
             json::array(aView.mBehind.begin(), aView.mBehind.end()) },
           { "two_owners", ToObject(aView.mTwoOwners) },
           { "unseen", ToObject(aView.mUnseen) },
           { "organisations", organisations },
           { "instances", members } }) +
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
  std::size_t silent = 0;
  output << "# TYPE sassafrasknot_fleet_instance_revision gauge\n";
  for (const auto& member : aView.mMembers) {
    if (!member.mFault.empty()) {
      ++silent;
      continue;
    }
    output << "sassafrasknot_fleet_instance_revision{instance=\""
           << member.mInstance << "\",data_centre=\"" << member.mDataCentre
           << "\"} " << member.mInForce << '\n';
  }
  gauge("sassafrasknot_fleet_revision_in_force_everywhere", aView.mEverywhere);
  gauge("sassafrasknot_fleet_highest_revision", aView.mHighest);
  gauge("sassafrasknot_fleet_instances_behind", aView.mBehind.size());
  gauge("sassafrasknot_fleet_instances_silent", silent);
  gauge("sassafrasknot_fleet_shards_with_two_owners", aView.mTwoOwners.size());
  gauge("sassafrasknot_fleet_instances_unseen", aView.mUnseen.size());
  return output.str();
}

} // namespace sassafrasknotctl
