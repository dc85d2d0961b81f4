#include "fleet_view.hpp"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

namespace sassafrasknotctl {

namespace json = boost::json;

namespace {

// Finds a member by name at any depth, outermost first: a dump composes the
// dumps of its parts.
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

std::string
Text(const json::value* aValue)
{
  if (aValue == nullptr) {
    return {};
  }
  return aValue->is_string() ? json::value_to<std::string>(*aValue)
                             : json::serialize(*aValue);
}

// Numbers may be written as strings.
std::uint64_t
Number(const json::value* aValue)
{
  const auto text = Text(aValue);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Calls a function for each entry of the arrays with a name, at any depth.
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

std::vector<FleetMember>
Answering(const FleetView& aView)
{
  std::vector<FleetMember> members;
  std::ranges::copy_if(
    aView.mMembers, std::back_inserter(members), [](const auto& aMember) {
      return aMember.mFault.empty();
    });
  return members;
}

void
CompareRevisions(FleetView& aView, const std::vector<FleetMember>& aMembers)
{
  for (const auto& member : aMembers) {
    aView.mHighest =
      std::max({ aView.mHighest, member.mHighest, member.mInForce });
  }
  aView.mEverywhere = aMembers.empty() ? 0 : aView.mHighest;
  for (const auto& member : aMembers) {
    aView.mEverywhere = std::min(aView.mEverywhere, member.mInForce);
    if (member.mInForce < aView.mHighest) {
      aView.mBehind.push_back(member.mInstance);
    }
  }
}

void
CompareOwners(FleetView& aView, const std::vector<FleetMember>& aMembers)
{
  for (const auto& member : aMembers) {
    for (const auto& shard : member.mOwned) {
      aView.mTwoOwners[shard].push_back(member.mInstance);
    }
  }
  std::erase_if(aView.mTwoOwners,
                [](const auto& aEntry) { return aEntry.second.size() < 2; });
}

void
CompareMembership(FleetView& aView, const std::vector<FleetMember>& aMembers)
{
  for (const auto& seen : aMembers) {
    for (const auto& by : aMembers) {
      if (&seen != &by && !seen.mStopping &&
          std::ranges::find(by.mAlive, seen.mInstance) == by.mAlive.end()) {
        aView.mUnseen[seen.mInstance].push_back(by.mInstance);
      }
    }
  }
}

// A time in ISO 8601 compares as text.
void
CompareOrganisations(FleetView& aView, const std::vector<FleetMember>& aMembers)
{
  for (const auto& member : aMembers) {
    for (const auto& [organisation, here] : member.mInForceSince) {
      auto& everywhere = aView.mOrganisations[organisation];
      everywhere.mRevision = std::max(everywhere.mRevision, here.mRevision);
      everywhere.mSince = std::max(everywhere.mSince, here.mSince);
    }
  }
  for (auto& [organisation, everywhere] : aView.mOrganisations) {
    for (const auto& member : aMembers) {
      const auto here = member.mInForceSince.find(organisation);
      if (here == member.mInForceSince.end() ||
          here->second.mRevision != everywhere.mRevision) {
        everywhere.mSince.clear();
      }
    }
  }
}

} // namespace

FleetMember
ReadMember(std::string aEndpoint, std::string_view aDump)
{
  FleetMember member;
  member.mEndpoint = std::move(aEndpoint);
  boost::system::error_code error;
  const auto dump = json::parse(aDump, error);
  member.mInstance = Text(error ? nullptr : Find(dump, "instance"));
  if (member.mInstance.empty()) {
    member.mFault = "malformed dump";
    return member;
  }
  member.mDataCentre = Text(Find(dump, "data_centre"));
  member.mInForce = Number(Find(dump, "revision_in_force"));
  member.mHighest = Number(Find(dump, "highest_revision"));
  member.mTrusted = Text(Find(dump, "trusted")) != "false";
  member.mStopping = Text(Find(dump, "stopping")) == "true";
  ForEachEntry(dump, "shards", [&](const json::value& aShard) {
    // Several threads of an instance may list the same shard.
    if (Text(Find(aShard, "owned")) == "true") {
      member.mOwned.insert(ShardName(aShard));
    }
  });
  ForEachEntry(dump, "in_force", [&](const json::value& aEntry) {
    member.mInForceSince[Text(Find(aEntry, "organisation"))] = {
      Number(Find(aEntry, "revision")), Text(Find(aEntry, "since"))
    };
  });
  ForEachEntry(dump, "members", [&](const json::value& aMember) {
    if (Text(Find(aMember, "health")) == "alive") {
      member.mAlive.push_back(Text(Find(aMember, "id")));
    }
  });
  return member;
}

FleetView
CompareMembers(std::vector<FleetMember> aMembers)
{
  FleetView view;
  view.mMembers = std::move(aMembers);
  const auto answering = Answering(view);
  CompareRevisions(view, answering);
  CompareOwners(view, answering);
  CompareMembership(view, answering);
  CompareOrganisations(view, answering);
  return view;
}

bool
Agrees(const FleetView& aView)
{
  return aView.mBehind.empty() && aView.mTwoOwners.empty() &&
         aView.mUnseen.empty() && InForceEverywhere(aView, 0);
}

bool
InForceEverywhere(const FleetView& aView, std::uint64_t aRevision)
{
  return std::ranges::all_of(aView.mMembers, [&](const auto& aMember) {
    return aMember.mFault.empty() && aMember.mInForce >= aRevision;
  });
}

} // namespace sassafrasknotctl
