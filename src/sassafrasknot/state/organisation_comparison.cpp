#include "sassafrasknot/state/organisation_comparison.hpp"

#include <algorithm>

namespace sassafrasknot::state {
namespace {

std::string
Describe(const Upstream& aUpstream)
{
  return std::to_string(aUpstream.mSlots) + " slots, " +
         std::to_string(aUpstream.mConnections) + " connections";
}

/// Adds the change for an added upstream.
void
AddUpstream(OrganisationComparison& aComparison,
            const Upstream& aUpstream,
            const std::string& aLocation)
{
  AddChange(aComparison,
            ChangeKind::UpstreamAdded,
            aLocation,
            aUpstream.mState == UpstreamState::Live
              ? "receives new flows, with a slow start"
              : "receives no new flows until its state is live");
}

/// Adds the change for a removed upstream, which is unsafe unless the upstream
/// was leaving.
void
RemoveUpstream(OrganisationComparison& aComparison,
               const Upstream& aUpstream,
               const std::string& aLocation)
{
  const bool isLive = aUpstream.mState == UpstreamState::Live;
  AddChange(aComparison,
            ChangeKind::UpstreamRemoved,
            aLocation,
            "is removed; its established flows continue until they end",
            isLive ? "the upstream is not leaving; give it the state leaving "
                     "in an earlier change"
                   : "");
}

/// Adds the changes of an upstream that is in both services.
void
CompareUpstream(OrganisationComparison& aComparison,
                const Upstream& aOld,
                const Upstream& aNew,
                const std::string& aLocation)
{
  if (aOld.mState != aNew.mState) {
    if (aNew.mState == UpstreamState::Leaving) {
      AddChange(aComparison,
                ChangeKind::UpstreamDrained,
                aLocation,
                "receives no new flows; its established flows continue until "
                "they end");
    } else {
      AddChange(aComparison,
                ChangeKind::UpstreamReturned,
                aLocation,
                "receives new flows, with a slow start");
    }
  }
  if (aOld.mSlots != aNew.mSlots || aOld.mConnections != aNew.mConnections) {
    AddChange(aComparison,
              ChangeKind::UpstreamChanged,
              aLocation,
              Describe(aOld) + " become " + Describe(aNew) +
                "; established flows continue");
  }
  if (aOld.mDataCentre != aNew.mDataCentre) {
    AddChange(
      aComparison,
      ChangeKind::UpstreamChanged,
      aLocation,
      "data centre " + aOld.mDataCentre.mValue + " becomes " +
        aNew.mDataCentre.mValue,
      "its established flows would get another owner immediately; drain "
      "and remove it, then add it to the other data centre");
  }
}

/// Returns the element whose member has the given value, or null.
template<typename Element, typename Value, typename Member>
const Element*
FindByMember(const std::vector<Element>& aElements,
             Value aValue,
             const Member& aMember)
{
  const auto found = std::ranges::find(aElements, aValue, aMember);
  return found == aElements.end() ? nullptr : &*found;
}

/// Adds the changes of all upstreams of a service.
void
CompareUpstreams(OrganisationComparison& aComparison,
                 const Service& aOld,
                 const Service& aNew)
{
  const auto location = [&](const Upstream& aUpstream) {
    return "services/" + aOld.mName + "/upstreams/" +
           ToString(aUpstream.mAddress);
  };
  std::map<Ipv4Address, const Upstream*> after;
  for (const auto& upstream : aNew.mUpstreams) {
    after.emplace(upstream.mAddress, &upstream);
  }
  for (const auto& upstream : aOld.mUpstreams) {
    const auto found = after.find(upstream.mAddress);
    if (found == after.end()) {
      RemoveUpstream(aComparison, upstream, location(upstream));
    } else {
      CompareUpstream(
        aComparison, upstream, *found->second, location(upstream));
      after.erase(found);
    }
  }
  for (const auto& [address, upstream] : after) {
    AddUpstream(aComparison, *upstream, location(*upstream));
  }
}

/// Adds the changes of one listener; aNew is null if it is removed. Returns the
/// effect on its established flows.
FlowEffect
CompareListener(OrganisationComparison& aComparison,
                const Listener& aOld,
                const Listener* aNew,
                const std::string& aLocation)
{
  if (aNew == nullptr) {
    AddChange(aComparison,
              ChangeKind::ListenerRemoved,
              aLocation,
              "is removed while its service remains",
              "packets of its established flows would be dropped; keep it "
              "until the whole service is removed");
    return FlowEffect::Break;
  }
  if (aOld.mUpstreamPort != aNew->mUpstreamPort ||
      aOld.mProtocol != aNew->mProtocol) {
    AddChange(aComparison,
              ChangeKind::ListenerChanged,
              aLocation,
              "its upstream port or protocol changes",
              "established flows use the old one; add a service with the new "
              "one");
    return FlowEffect::Break;
  }
  if (aOld != *aNew) {
    AddChange(aComparison,
              ChangeKind::ListenerChanged,
              aLocation,
              "its flow class or queue deadline changes for new flows; "
              "established flows continue");
  }
  return FlowEffect::Stay;
}

/// Adds the changes of all listeners of a service and the effect on the flows
/// of each old listener.
void
CompareListeners(OrganisationComparison& aComparison,
                 const Service& aOld,
                 const Service& aNew)
{
  const auto location = "services/" + aOld.mName + "/listeners/";
  for (const auto& listener : aOld.mListeners) {
    auto effect = CompareListener(
      aComparison,
      listener,
      FindByMember(aNew.mListeners, listener.mPort, &Listener::mPort),
      location + std::to_string(listener.mPort));
    if (aOld.mAddress != aNew.mAddress) {
      effect = FlowEffect::Break;
    }
    aComparison.mDifference.mFlows.push_back(
      { { aComparison.mOrganisation, aOld.mName }, listener.mPort, effect });
  }
  for (const auto& listener : aNew.mListeners) {
    if (FindByMember(aOld.mListeners, listener.mPort, &Listener::mPort) ==
        nullptr) {
      AddChange(aComparison,
                ChangeKind::ListenerAdded,
                location + std::to_string(listener.mPort),
                "accepts new flows");
    }
  }
}

} // namespace

void
AddChange(OrganisationComparison& aComparison,
          ChangeKind aKind,
          std::string aLocation,
          std::string aMessage,
          std::string aUnsafeReason)
{
  aComparison.mDifference.mChanges.push_back(
    { aKind,
      "organisations/" + aComparison.mOrganisation.mValue,
      std::move(aLocation),
      std::move(aMessage),
      std::move(aUnsafeReason) });
}

void
AddService(OrganisationComparison& aComparison, const Service& aService)
{
  const auto location = "services/" + aService.mName;
  AddChange(aComparison,
            ChangeKind::ServiceAdded,
            location,
            "accepts new flows at " + ToString(aService.mAddress));
  for (const auto& upstream : aService.mUpstreams) {
    AddUpstream(aComparison,
                upstream,
                location + "/upstreams/" + ToString(upstream.mAddress));
  }
}

void
RemoveService(OrganisationComparison& aComparison, const Service& aService)
{
  const auto location = "services/" + aService.mName;
  AddChange(
    aComparison,
    ChangeKind::ServiceRemoved,
    location,
    "accepts no new flows; its established flows continue until they end");
  for (const auto& listener : aService.mListeners) {
    aComparison.mDifference.mFlows.push_back(
      { { aComparison.mOrganisation, aService.mName },
        listener.mPort,
        FlowEffect::StayUntilEnd });
  }
  for (const auto& upstream : aService.mUpstreams) {
    RemoveUpstream(aComparison,
                   upstream,
                   location + "/upstreams/" + ToString(upstream.mAddress));
  }
}

void
CompareService(OrganisationComparison& aComparison,
               const Service& aOld,
               const Service& aNew)
{
  const auto location = "services/" + aOld.mName;
  if (aOld.mAddress != aNew.mAddress) {
    AddChange(aComparison,
              ChangeKind::AddressChanged,
              location + "/address",
              ToString(aOld.mAddress) + " becomes " + ToString(aNew.mAddress),
              "established flows use the old address; add a service with the "
              "new one and remove the old one later");
  }
  if (aOld.mShards != aNew.mShards) {
    AddChange(aComparison,
              ChangeKind::ShardsChanged,
              location + "/shards",
              std::to_string(aOld.mShards) + " become " +
                std::to_string(aNew.mShards) +
                "; owners change, established flows stay with their upstreams");
  }
  if (aOld.mLimits != aNew.mLimits) {
    AddChange(aComparison,
              ChangeKind::LimitsChanged,
              location + "/limits",
              "change for new flows; established flows continue");
  }
  CompareListeners(aComparison, aOld, aNew);
  CompareUpstreams(aComparison, aOld, aNew);
}

std::map<Endpoint, EndpointHolder>
EndpointHolders(const std::map<OrganisationId, Organisation>& aOrganisations)
{
  std::map<Endpoint, EndpointHolder> holders;
  for (const auto& [id, organisation] : aOrganisations) {
    for (const auto& service : organisation.mServices) {
      const ServiceId serviceId{ id, service.mName };
      for (const auto& listener : service.mListeners) {
        holders.emplace(Endpoint{ service.mAddress, listener.mPort },
                        EndpointHolder{ serviceId, listener.mPort, false });
        for (const auto& upstream : service.mUpstreams) {
          holders.emplace(Endpoint{ upstream.mAddress, listener.mUpstreamPort },
                          EndpointHolder{ serviceId, listener.mPort, true });
        }
      }
    }
  }
  return holders;
}

void
AddMove(Difference& aDifference,
        const Endpoint& aEndpoint,
        const EndpointHolder& aFrom,
        const EndpointHolder& aTo)
{
  const auto name = [](const EndpointHolder& aHolder) {
    return aHolder.mService.mOrganisation.mValue + '/' +
           aHolder.mService.mName + ':' + std::to_string(aHolder.mListenerPort);
  };
  const bool isSameService = aFrom.mService == aTo.mService;
  const std::string wait = std::to_string(kMoveQuarantine.count()) + " s";
  aDifference.mChanges.push_back(
    { ChangeKind::EndpointMoved,
      "organisations/" + aTo.mService.mOrganisation.mValue,
      "services/" + aTo.mService.mName +
        (aTo.mIsUpstream ? "/upstreams/" : "/address/") + ToString(aEndpoint),
      "moves from " + name(aFrom) + " to " + name(aTo) +
        (isSameService
           ? ""
           : "; neither uses it for new flows for at least " + wait),
      isSameService ? "established flows of the old listener use it; keep the "
                      "upstream port of that listener"
                    : "the endpoint belongs to another service; remove it "
                      "there, wait " +
                        wait + " and add it in a later change" });
  for (auto& flows : aDifference.mFlows) {
    if (flows.mService == aFrom.mService &&
        flows.mPort == aFrom.mListenerPort) {
      flows.mEffect = FlowEffect::Break;
    }
  }
}

} // namespace sassafrasknot::state
