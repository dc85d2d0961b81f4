#include "fleet_view.hpp"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

namespace sassafrasknotctl {

namespace json = boost::json;

namespace {

// Finds a member of a JSON object by name, in the object itself or in objects
// nested in it, because a dump is composed of the dumps of the program's parts.
// Arrays are not searched.
const json::value*
Find(const json::value& aValue, std::string_view aName)
{
  if (!aValue.is_object()) {
    return nullptr;
  }
  const auto& object = aValue.as_object();
  if (const auto* found = object.if_contains(aName)) {
    return found;
  }
  for (const auto& member : object) {
    if (const auto* found = Find(member.value(), aName)) {
      return found;
    }
  }
  return nullptr;
}

// Returns a string without quotes and any other value as JSON; empty for null
// pointers.
std::string
Text(const json::value* aValue)
{
  if (aValue == nullptr) {
    return {};
  }
  return aValue->is_string() ? json::value_to<std::string>(*aValue)
                             : json::serialize(*aValue);
}

// Returns a number, which a dump may also contain as a string; 0 if it is none.
std::uint64_t
Number(const json::value* aValue)
{
  const auto text = Text(aValue);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Calls a function for each entry of all arrays with a given name, at any
// depth.
template<typename Function>
void
ForEachEntry(const json::value& aValue,
             std::string_view aName,
             const Function& aFunction)
{
  if (aValue.is_array()) {
    for (const auto& entry : aValue.as_array()) {
      ForEachEntry(entry, aName, aFunction);
    }
  } else if (aValue.is_object()) {
    for (const auto& member : aValue.as_object()) {
      if (member.key() == aName && member.value().is_array()) {
        std::ranges::for_each(member.value().as_array(), aFunction);
      } else {
        ForEachEntry(member.value(), aName, aFunction);
      }
    }
  }
}

// Returns the name of a shard, such as "kandyan intake 0".
std::string
ShardName(const json::value& aShard)
{
  std::string name;
  for (const auto* part : { "organisation", "service", "index" }) {
    if (const auto text = Text(Find(aShard, part)); !text.empty()) {
      name += (name.empty() ? "" : " ") + text;
    }
  }
  return name;
}

// Returns the instances with a dump.
std::vector<InstanceStatus>
AnsweringInstances(const FleetView& aView)
{
  std::vector<InstanceStatus> instances;
  std::ranges::copy_if(
    aView.mInstances, std::back_inserter(instances), [](const auto& aStatus) {
      return aStatus.mError.empty();
    });
  return instances;
}

// Finds the highest revision, the revision in force everywhere and the
// instances that are behind.
void
CompareRevisions(FleetView& aView,
                 const std::vector<InstanceStatus>& aInstances)
{
  for (const auto& status : aInstances) {
    aView.mHighest =
      std::max({ aView.mHighest, status.mHighest, status.mInForce });
  }
  aView.mEverywhere = aInstances.empty() ? 0 : aView.mHighest;
  for (const auto& status : aInstances) {
    aView.mEverywhere = std::min(aView.mEverywhere, status.mInForce);
    if (status.mInForce < aView.mHighest) {
      aView.mBehind.push_back(status.mInstance);
    }
  }
}

// Finds shards with more than one owner.
void
CompareOwners(FleetView& aView, const std::vector<InstanceStatus>& aInstances)
{
  for (const auto& status : aInstances) {
    for (const auto& shard : status.mOwned) {
      aView.mConflictingOwners[shard].push_back(status.mInstance);
    }
  }
  std::erase_if(aView.mConflictingOwners,
                [](const auto& aEntry) { return aEntry.second.size() < 2; });
}

// Finds instances that others do not list as alive.
void
CompareMembership(FleetView& aView,
                  const std::vector<InstanceStatus>& aInstances)
{
  for (const auto& seen : aInstances) {
    for (const auto& by : aInstances) {
      if (&seen != &by && !seen.mStopping &&
          std::ranges::find(by.mAlive, seen.mInstance) == by.mAlive.end()) {
        aView.mNotSeenBy[seen.mInstance].push_back(by.mInstance);
      }
    }
  }
}

// Finds the highest revision of each organisation and the latest time at which
// an instance applied it. ISO 8601 times are compared as text.
void
CompareOrganisations(FleetView& aView,
                     const std::vector<InstanceStatus>& aInstances)
{
  for (const auto& status : aInstances) {
    for (const auto& [organisation, here] : status.mInForceSince) {
      auto& everywhere = aView.mOrganisations[organisation];
      everywhere.mRevision = std::max(everywhere.mRevision, here.mRevision);
      everywhere.mSince = std::max(everywhere.mSince, here.mSince);
    }
  }
  for (auto& [organisation, everywhere] : aView.mOrganisations) {
    for (const auto& status : aInstances) {
      const auto here = status.mInForceSince.find(organisation);
      if (here == status.mInForceSince.end() ||
          here->second.mRevision != everywhere.mRevision) {
        everywhere.mSince.clear();
      }
    }
  }
}

} // namespace

InstanceStatus
ParseInstanceStatus(std::string aEndpoint, std::string_view aDump)
{
  InstanceStatus status;
  status.mEndpoint = std::move(aEndpoint);
  boost::system::error_code error;
  const auto dump = json::parse(aDump, error);
  status.mInstance = Text(error ? nullptr : Find(dump, "instance"));
  if (status.mInstance.empty()) {
    status.mError = "malformed dump";
    return status;
  }
  status.mDataCentre = Text(Find(dump, "data_centre"));
  status.mInForce = Number(Find(dump, "revision_in_force"));
  status.mHighest = Number(Find(dump, "highest_revision"));
  status.mTrusted = Text(Find(dump, "trusted")) != "false";
  status.mStopping = Text(Find(dump, "stopping")) == "true";
  ForEachEntry(dump, "shards", [&](const json::value& aShard) {
    // Several threads of an instance may list the same shard, so a set is used.
    if (Text(Find(aShard, "owned")) == "true") {
      status.mOwned.insert(ShardName(aShard));
    }
  });
  ForEachEntry(dump, "in_force", [&](const json::value& aEntry) {
    status.mInForceSince[Text(Find(aEntry, "organisation"))] = {
      Number(Find(aEntry, "revision")), Text(Find(aEntry, "since"))
    };
  });
  ForEachEntry(dump, "members", [&](const json::value& aMember) {
    if (Text(Find(aMember, "health")) == "alive") {
      status.mAlive.push_back(Text(Find(aMember, "id")));
    }
  });
  return status;
}

FleetView
CompareInstances(std::vector<InstanceStatus> aInstances)
{
  FleetView view;
  view.mInstances = std::move(aInstances);
  const auto answering = AnsweringInstances(view);
  CompareRevisions(view, answering);
  CompareOwners(view, answering);
  CompareMembership(view, answering);
  CompareOrganisations(view, answering);
  return view;
}

bool
IsConsistent(const FleetView& aView)
{
  return aView.mBehind.empty() && aView.mConflictingOwners.empty() &&
         aView.mNotSeenBy.empty() && InForceEverywhere(aView, 0);
}

bool
InForceEverywhere(const FleetView& aView, std::uint64_t aRevision)
{
  return std::ranges::all_of(aView.mInstances, [&](const auto& aStatus) {
    return aStatus.mError.empty() && aStatus.mInForce >= aRevision;
  });
}

} // namespace sassafrasknotctl
