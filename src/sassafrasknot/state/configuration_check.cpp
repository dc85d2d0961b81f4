#include "sassafrasknot/state/configuration_check.hpp"

#include "sassafrasknot/state/snapshot.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace sassafrasknot::state {
namespace {

/// Adds a finding.
void
AddFinding(std::vector<CheckFinding>& aFindings,
           CheckKind aKind,
           std::string aKey,
           std::string aLocation,
           std::string aMessage)
{
  aFindings.push_back(
    { aKind,
      { std::move(aKey), { std::move(aLocation), std::move(aMessage) } } });
}

/// Adds a finding for each template that no organisation uses.
void
CheckTemplates(std::vector<CheckFinding>& aFindings, const DocumentSet& aSet)
{
  std::set<TemplateId> used;
  for (const auto& [id, document] : aSet.mOrganisations) {
    used.insert(document.mTemplate);
  }
  for (const auto& [id, document] : aSet.mTemplates) {
    if (!used.contains(id)) {
      AddFinding(aFindings,
                 CheckKind::NeverMatches,
                 "templates/" + id.mValue,
                 "document",
                 "no organisation uses this template");
    }
  }
}

/// Adds a finding for each upstream that is leaving in the published list of
/// another data centre than that of the organisation's document. Only the list
/// of the latter is applied, so the state there has no effect.
void
CheckListedStates(std::vector<CheckFinding>& aFindings,
                  const DocumentSet& aSet,
                  const RenderedSet& aRendered)
{
  std::map<Ipv4Address, DataCentreId> dataCentres;
  for (const auto& [id, organisation] : aRendered.mOrganisations) {
    for (const auto& service : organisation.mServices) {
      for (const auto& upstream : service.mUpstreams) {
        dataCentres.emplace(upstream.mAddress, upstream.mDataCentre);
      }
    }
  }
  for (const auto& [dataCentre, list] : aSet.mUpstreams) {
    for (const auto& listed : list.mUpstreams) {
      const auto found = dataCentres.find(listed.mAddress);
      if (listed.mState == UpstreamState::Leaving &&
          found != dataCentres.end() && found->second != dataCentre) {
        AddFinding(aFindings,
                   CheckKind::NeverMatches,
                   "upstreams/" + dataCentre.mValue,
                   "upstreams/" + ToString(listed.mAddress) + "/state",
                   "leaving has no effect: its organisation's document places "
                   "the upstream in data centre " +
                     found->second.mValue);
      }
    }
  }
}

/// A service and where findings about it are reported.
struct ServiceCheck
{
  std::vector<CheckFinding>& mFindings;
  const Service& mService;
  std::string mKey;

  void Add(CheckKind aKind, std::string aPlace, std::string aMessage) const
  {
    AddFinding(mFindings,
               aKind,
               mKey,
               "services/" + mService.mName + '/' + std::move(aPlace),
               std::move(aMessage));
  }
};

/// Checks that a service has upstreams for new flows and for each shard, and
/// instances that may own its shards.
void
CheckUpstreams(const ServiceCheck& aCheck, const DocumentSet& aSet)
{
  const auto& upstreams = aCheck.mService.mUpstreams;
  if (upstreams.empty()) {
    aCheck.Add(CheckKind::NeverMatches,
               "upstreams",
               "the service has no upstreams; new flows are refused");
    return;
  }
  if (std::ranges::all_of(upstreams, [](const Upstream& aUpstream) {
        return aUpstream.mState == UpstreamState::Leaving;
      })) {
    aCheck.Add(CheckKind::NeverMatches,
               "upstreams",
               "all upstreams are leaving; new flows are refused");
  }
  if (std::ranges::all_of(upstreams, [&](const Upstream& aUpstream) {
        const auto list = aSet.mInstances.find(aUpstream.mDataCentre);
        return list != aSet.mInstances.end() && list->second.mInstances.empty();
      })) {
    aCheck.Add(CheckKind::NeverMatches,
               "upstreams",
               "no instance is listed in a data centre of its upstreams; its "
               "flows have no owner");
  }
  if (aCheck.mService.mShards > upstreams.size()) {
    aCheck.Add(CheckKind::NeverMatches,
               "shards",
               "at least " +
                 std::to_string(aCheck.mService.mShards - upstreams.size()) +
                 " of " + std::to_string(aCheck.mService.mShards) +
                 " shards have no upstream");
  }
}

/// Returns the number of live slots of the service's largest shard.
std::uint64_t
MaxSlotsOfShard(const Service& aService)
{
  std::uint64_t highest = 0;
  for (const auto& shard : MakeServiceTable(aService, {}, 0).mShards) {
    std::uint64_t slots = 0;
    for (const auto& upstream : shard.mUpstreams) {
      slots += upstream.mState == UpstreamState::Live ? upstream.mSlots : 0;
    }
    highest = std::max(highest, slots);
  }
  return highest;
}

/// Checks that the limits let each listener's flow class be served, and queued
/// if they provide for a queue.
void
CheckQueues(const ServiceCheck& aCheck)
{
  const auto& limits = aCheck.mService.mLimits;
  const auto has = [&](FlowClass aClass) {
    return std::ranges::find(
             aCheck.mService.mListeners, aClass, &Listener::mFlowClass) !=
           aCheck.mService.mListeners.end();
  };
  const bool hasLong = has(FlowClass::Long);
  if (hasLong && limits.mLongShare <= 0) {
    aCheck.Add(CheckKind::Contradiction,
               "limits/long_share",
               "is 0, but a listener has flow class long; its flows are "
               "refused");
  }
  const auto slots = MaxSlotsOfShard(aCheck.mService);
  if (limits.mQueuePerSlot <= 0 || slots == 0) {
    return; // No queue is configured, or CheckUpstreams reports the service.
  }
  const double queue = limits.mQueuePerSlot * static_cast<double>(slots);
  const auto text = std::to_string(slots) + " slots";
  if (queue < 1 && (hasLong || has(FlowClass::Work))) {
    aCheck.Add(CheckKind::Contradiction,
               "limits/queue_per_slot",
               "gives less than one place in the queue for the " + text +
                 " of the largest shard; no flow is ever queued");
  } else if (hasLong && limits.mLongShare > 0 &&
             queue * limits.mLongShare < 1) {
    aCheck.Add(CheckKind::Contradiction,
               "limits/long_share",
               "gives long flows less than one place in the queue for the " +
                 text + " of the largest shard; they are never queued");
  }
}

} // namespace

std::vector<CheckFinding>
CheckDocuments(const DocumentSet& aSet, const RenderedSet& aRendered)
{
  std::vector<CheckFinding> findings;
  CheckTemplates(findings, aSet);
  CheckListedStates(findings, aSet, aRendered);
  for (const auto& [id, organisation] : aRendered.mOrganisations) {
    for (const auto& service : organisation.mServices) {
      const ServiceCheck check{ findings,
                                service,
                                "organisations/" + id.mValue };
      CheckUpstreams(check, aSet);
      CheckQueues(check);
    }
  }
  std::ranges::stable_sort(findings, {}, [](const CheckFinding& aFinding) {
    return aFinding.mFinding.mKey;
  });
  std::vector<CheckFinding> all;
  for (const auto& finding : aRendered.mFindings) {
    all.push_back({ CheckKind::Error, finding });
  }
  all.insert(all.end(), findings.begin(), findings.end());
  return all;
}

std::string_view
ToString(CheckKind aKind)
{
  switch (aKind) {
    case CheckKind::Error:
      return "error";
    case CheckKind::NeverMatches:
      return "never-matches";
    case CheckKind::Contradiction:
      return "contradiction";
  }
  return "unknown";
}

} // namespace sassafrasknot::state
