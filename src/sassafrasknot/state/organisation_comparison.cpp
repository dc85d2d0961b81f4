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

void
AddUpstream(OrganisationComparison& aParts,
            const Upstream& aUpstream,
            const std::string& aPlace)
{
  AddChange(aParts,
            ChangeKind::UpstreamAdded,
            aPlace,
            aUpstream.mState == UpstreamState::Live
              ? "takes new flows with a slow start"
              : "takes no new flow until it is live");
}

void
RemoveUpstream(OrganisationComparison& aParts,
               const Upstream& aUpstream,
               const std::string& aPlace)
{
  const bool isLive = aUpstream.mState == UpstreamState::Live;
  AddChange(aParts,
            ChangeKind::UpstreamRemoved,
            aPlace,
            "is removed; its flows stay until they end",
            isLive ? "the upstream is not leaving; give it the state leaving "
                     "in an earlier change"
                   : "");
}

void
CompareUpstream(OrganisationComparison& aParts,
                const Upstream& aOld,
                const Upstream& aNew,
                const std::string& aPlace)
{
  if (aOld.mState != aNew.mState) {
    if (aNew.mState == UpstreamState::Leaving) {
      AddChange(aParts,
                ChangeKind::UpstreamDrained,
                aPlace,
                "takes no new flow; its flows stay until they end");
    } else {
      AddChange(aParts,
                ChangeKind::UpstreamReturned,
                aPlace,
                "takes new flows with a slow start");
    }
  }
  if (aOld.mSlots != aNew.mSlots || aOld.mConnections != aNew.mConnections) {
    AddChange(aParts,
              ChangeKind::UpstreamChanged,
              aPlace,
              Describe(aOld) + " become " + Describe(aNew) + "; flows stay");
  }
  if (aOld.mDataCentre != aNew.mDataCentre) {
    AddChange(aParts,
              ChangeKind::UpstreamChanged,
              aPlace,
              "data centre " + aOld.mDataCentre.mValue + " becomes " +
                aNew.mDataCentre.mValue,
              "its flows would change their owner at once; drain and remove "
              "it, then add it to the other data centre");
  }
}

template<typename Element, typename Identity, typename Found>
const Element*
FindBy(const std::vector<Element>& aElements,
       Identity aIdentity,
       const Found& aIdentityOf)
{
  const auto found = std::ranges::find(aElements, aIdentity, aIdentityOf);
  return found == aElements.end() ? nullptr : &*found;
}

void
CompareUpstreams(OrganisationComparison& aParts,
                 const Service& aOld,
                 const Service& aNew)
{
  const auto place = [&](const Upstream& aUpstream) {
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
      RemoveUpstream(aParts, upstream, place(upstream));
    } else {
      CompareUpstream(aParts, upstream, *found->second, place(upstream));
      after.erase(found);
    }
  }
  for (const auto& [address, upstream] : after) {
    AddUpstream(aParts, *upstream, place(*upstream));
  }
}

/// Compares one port; returns what happens to its established flows.
FlowEffect
CompareListener(OrganisationComparison& aParts,
                const Listener& aOld,
                const Listener* aNew,
                const std::string& aPlace)
{
  if (aNew == nullptr) {
    AddChange(aParts,
              ChangeKind::ListenerRemoved,
              aPlace,
              "is removed from a service that stays",
              "packets of its established flows would be dropped; keep it "
              "until the whole service ends");
    return FlowEffect::Break;
  }
  if (aOld.mUpstreamPort != aNew->mUpstreamPort ||
      aOld.mProtocol != aNew->mProtocol) {
    AddChange(aParts,
              ChangeKind::ListenerChanged,
              aPlace,
              "its upstream port or protocol changes",
              "established flows use the old one; add a service with the new "
              "one");
    return FlowEffect::Break;
  }
  if (aOld != *aNew) {
    AddChange(aParts,
              ChangeKind::ListenerChanged,
              aPlace,
              "its flow class or deadline changes for new flows; flows stay");
  }
  return FlowEffect::Stay;
}

void
CompareListeners(OrganisationComparison& aParts,
                 const Service& aOld,
                 const Service& aNew)
{
  const auto place = "services/" + aOld.mName + "/listeners/";
  for (const auto& listener : aOld.mListeners) {
    auto effect =
      CompareListener(aParts,
                      listener,
                      FindBy(aNew.mListeners, listener.mPort, &Listener::mPort),
                      place + std::to_string(listener.mPort));
    if (aOld.mAddress != aNew.mAddress) {
      effect = FlowEffect::Break;
    }
    aParts.mDifference.mFlows.push_back(
      { { aParts.mOrganisation, aOld.mName }, listener.mPort, effect });
  }
  for (const auto& listener : aNew.mListeners) {
    if (FindBy(aOld.mListeners, listener.mPort, &Listener::mPort) == nullptr) {
      AddChange(aParts,
                ChangeKind::ListenerAdded,
                place + std::to_string(listener.mPort),
                "accepts new flows");
    }
  }
}

} // namespace

void
AddChange(OrganisationComparison& aParts,
          ChangeKind aKind,
          std::string aPlace,
          std::string aMessage,
          std::string aDanger)
{
  aParts.mDifference.mChanges.push_back(
    { aKind,
      "organisations/" + aParts.mOrganisation.mValue,
      std::move(aPlace),
      std::move(aMessage),
      std::move(aDanger) });
}

void
AddService(OrganisationComparison& aParts, const Service& aService)
{
  const auto place = "services/" + aService.mName;
  AddChange(aParts,
            ChangeKind::ServiceAdded,
            place,
            "accepts new flows at " + ToString(aService.mAddress));
  for (const auto& upstream : aService.mUpstreams) {
    AddUpstream(
      aParts, upstream, place + "/upstreams/" + ToString(upstream.mAddress));
  }
}

void
RemoveService(OrganisationComparison& aParts, const Service& aService)
{
  const auto place = "services/" + aService.mName;
  AddChange(aParts,
            ChangeKind::ServiceRemoved,
            place,
            "accepts no new flow; its flows stay until they end");
  for (const auto& listener : aService.mListeners) {
    aParts.mDifference.mFlows.push_back(
      { { aParts.mOrganisation, aService.mName },
        listener.mPort,
        FlowEffect::StayUntilEnd });
  }
  for (const auto& upstream : aService.mUpstreams) {
    RemoveUpstream(
      aParts, upstream, place + "/upstreams/" + ToString(upstream.mAddress));
  }
}

void
CompareService(OrganisationComparison& aParts,
               const Service& aOld,
               const Service& aNew)
{
  const auto place = "services/" + aOld.mName;
  if (aOld.mAddress != aNew.mAddress) {
    AddChange(aParts,
              ChangeKind::AddressChanged,
              place + "/address",
              ToString(aOld.mAddress) + " becomes " + ToString(aNew.mAddress),
              "established flows use the old address; add a service with the "
              "new one and remove the old one later");
  }
  if (aOld.mShards != aNew.mShards) {
    AddChange(aParts,
              ChangeKind::ShardsChanged,
              place + "/shards",
              std::to_string(aOld.mShards) + " become " +
                std::to_string(aNew.mShards) +
                "; owners change, flows stay with their upstreams");
  }
  if (aOld.mLimits != aNew.mLimits) {
    AddChange(aParts,
              ChangeKind::LimitsChanged,
              place + "/limits",
              "hold for new flows; flows stay");
  }
  CompareListeners(aParts, aOld, aNew);
  CompareUpstreams(aParts, aOld, aNew);
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
        (isSameService ? "" : "; serves neither for at least " + wait),
      isSameService ? "established flows use it for the old listener; keep the "
                      "listener's upstream port"
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
