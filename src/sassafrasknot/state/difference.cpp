#include "sassafrasknot/state/difference.hpp"

#include "sassafrasknot/state/organisation_comparison.hpp"

#include <algorithm>
#include <iterator>

namespace sassafrasknot::state {
namespace {

using Organisations = std::map<OrganisationId, Organisation>;

/// Adds the changes of all services of one organisation.
void
CompareServices(OrganisationComparison& aComparison,
                const Organisation& aOld,
                const Organisation& aNew)
{
  for (const auto& service : aNew.mServices) {
    if (std::ranges::find(aOld.mServices, service.mName, &Service::mName) ==
        aOld.mServices.end()) {
      AddService(aComparison, service);
    }
  }
  for (const auto& service : aOld.mServices) {
    const auto found =
      std::ranges::find(aNew.mServices, service.mName, &Service::mName);
    if (found == aNew.mServices.end()) {
      RemoveService(aComparison, service);
    } else {
      CompareService(aComparison, service, *found);
    }
  }
}

/// Adds the changes of an organisation that is in both sets.
void
CompareOrganisation(Difference& aDifference,
                    const Organisation& aOld,
                    const Organisation& aNew)
{
  OrganisationComparison comparison{ aDifference, aOld.mId };
  if (aOld.mWeight != aNew.mWeight) {
    AddChange(comparison,
              ChangeKind::WeightChanged,
              "weight",
              "its share of an instance changes; established flows continue");
  }
  CompareServices(comparison, aOld, aNew);
}

/// Adds a move for each endpoint that is held by another listener in aNew.
void
CompareEndpoints(Difference& aDifference,
                 const Organisations& aOld,
                 const Organisations& aNew)
{
  const auto before = EndpointHolders(aOld);
  const auto after = EndpointHolders(aNew);
  for (const auto& [endpoint, holder] : before) {
    const auto found = after.find(endpoint);
    if (found == after.end() || found->second == holder) {
      continue;
    }
    AddMove(aDifference, endpoint, holder, found->second);
  }
}

/// Returns the instances of all data centres, and stores the key of the
/// document of each one in aKeys.
std::map<InstanceId, ListedInstance>
CollectInstances(const DocumentSet& aSet,
                 std::map<InstanceId, std::string>& aKeys)
{
  std::map<InstanceId, ListedInstance> instances;
  for (const auto& [dataCentre, list] : aSet.mInstances) {
    for (const auto& instance : list.mInstances) {
      instances[instance.mId] = instance;
      aKeys[instance.mId] = "instances/" + dataCentre.mValue;
    }
  }
  return instances;
}

/// Adds the changes of the published lists of instances.
void
CompareInstances(Difference& aDifference,
                 const DocumentSet& aOld,
                 const DocumentSet& aNew)
{
  std::map<InstanceId, std::string> keys;
  const auto before = CollectInstances(aOld, keys);
  const auto after = CollectInstances(aNew, keys);
  const auto add = [&](ChangeKind aKind,
                       const InstanceId& aId,
                       std::string aMessage) {
    aDifference.mChanges.push_back(
      { aKind, keys[aId], "instances/" + aId.mValue, std::move(aMessage), {} });
  };
  for (const auto& [id, instance] : after) {
    const auto found = before.find(id);
    if (found == before.end()) {
      add(
        ChangeKind::InstanceAdded, id, "becomes owner of a part of the shards");
    } else if (found->second.mState == InstanceState::Live &&
               instance.mState == InstanceState::Leaving) {
      add(ChangeKind::InstanceLeaving,
          id,
          "hands its shards over to other instances");
    }
  }
  for (const auto& [id, instance] : before) {
    if (!after.contains(id)) {
      add(ChangeKind::InstanceRemoved, id, "is no longer listed");
    }
  }
}

/// Returns the changes that are unsafe.
std::vector<Change>
UnsafeChanges(const Difference& aDifference)
{
  std::vector<Change> unsafe;
  std::ranges::copy_if(
    aDifference.mChanges,
    std::back_inserter(unsafe),
    [](const Change& aChange) { return !aChange.mUnsafeReason.empty(); });
  return unsafe;
}

} // namespace

Difference
CompareOrganisations(const Organisations& aOld, const Organisations& aNew)
{
  Difference difference;
  for (const auto& [id, organisation] : aNew) {
    if (!aOld.contains(id)) {
      OrganisationComparison comparison{ difference, id };
      AddChange(comparison, ChangeKind::OrganisationAdded, "", "is added");
      CompareServices(
        comparison, { id, organisation.mWeight, {} }, organisation);
    }
  }
  for (const auto& [id, organisation] : aOld) {
    if (const auto found = aNew.find(id); found != aNew.end()) {
      CompareOrganisation(difference, organisation, found->second);
    } else {
      OrganisationComparison comparison{ difference, id };
      AddChange(comparison,
                ChangeKind::OrganisationRemoved,
                "",
                "is removed; its established flows continue until they end");
      CompareServices(
        comparison, organisation, { id, organisation.mWeight, {} });
    }
  }
  CompareEndpoints(difference, aOld, aNew);
  return difference;
}

Difference
Compare(const DocumentSet& aOld, const DocumentSet& aNew)
{
  auto difference = CompareOrganisations(RenderSet(aOld).mOrganisations,
                                         RenderSet(aNew).mOrganisations);
  CompareInstances(difference, aOld, aNew);
  return difference;
}

SubmissionCheck
CheckSubmission(const DocumentSet& aOld, const DocumentSet& aNew)
{
  return { UnsafeChanges(Compare(aOld, aNew)),
           UnsafeChanges(Compare(aNew, aOld)) };
}

std::string_view
ToString(ChangeKind aKind)
{
  static constexpr std::string_view kNames[] = {
    "organisation-added", "organisation-removed", "weight-changed",
    "service-added",      "service-removed",      "address-changed",
    "shards-changed",     "limits-changed",       "listener-added",
    "listener-removed",   "listener-changed",     "upstream-added",
    "upstream-drained",   "upstream-returned",    "upstream-removed",
    "upstream-changed",   "endpoint-moved",       "instance-added",
    "instance-leaving",   "instance-removed"
  };
  const auto index = static_cast<std::size_t>(aKind);
  return index < std::size(kNames) ? kNames[index] : "unknown";
}

std::string_view
ToString(FlowEffect aEffect)
{
  switch (aEffect) {
    case FlowEffect::Stay:
      return "stay";
    case FlowEffect::StayUntilEnd:
      return "stay-until-end";
    case FlowEffect::Break:
      return "break";
  }
  return "unknown";
}

} // namespace sassafrasknot::state
