#include "sassafrasknot/state/document_set.hpp"

#include "sassafrasknot/state/render.hpp"

#include <algorithm>
#include <set>

namespace sassafrasknot::state {
namespace {

void
Add(DocumentSet& aSet, TemplateDocument aDocument)
{
  aSet.mTemplates[aDocument.mId] = std::move(aDocument);
}

void
Add(DocumentSet& aSet, OrganisationDocument aDocument)
{
  aSet.mOrganisations[aDocument.mId] = std::move(aDocument);
}

void
Add(DocumentSet& aSet, InstanceListDocument aDocument)
{
  aSet.mInstances[aDocument.mDataCentre] = std::move(aDocument);
}

void
Add(DocumentSet& aSet, UpstreamListDocument aDocument)
{
  aSet.mUpstreams[aDocument.mDataCentre] = std::move(aDocument);
}

void
AddFinding(RenderedSet& aRendered,
           std::string aKey,
           std::string aPlace,
           std::string aMessage)
{
  aRendered.mFindings.push_back(
    { std::move(aKey), { std::move(aPlace), std::move(aMessage) } });
}

/// The published list and the organisation each may say that an upstream
/// leaves; either is enough, as both lag.
void
ApplyUpstreamLists(Organisation& aOrganisation, const DocumentSet& aSet)
{
  for (auto& service : aOrganisation.mServices) {
    for (auto& upstream : service.mUpstreams) {
      const auto list = aSet.mUpstreams.find(upstream.mDataCentre);
      if (list == aSet.mUpstreams.end()) {
        continue;
      }
      const auto& listed = list->second.mUpstreams;
      const auto found =
        std::ranges::find(listed, upstream.mAddress, &ListedUpstream::mAddress);
      if (found != listed.end() && found->mState == UpstreamState::Leaving) {
        upstream.mState = UpstreamState::Leaving;
      }
    }
  }
}

void
RenderOrganisation(RenderedSet& aRendered,
                   const DocumentSet& aSet,
                   const OrganisationDocument& aDocument)
{
  const auto key = "organisations/" + aDocument.mId.mValue;
  const auto found = aSet.mTemplates.find(aDocument.mTemplate);
  if (found == aSet.mTemplates.end()) {
    AddFinding(aRendered,
               key,
               "template",
               "there is no template " + aDocument.mTemplate.mValue);
    return;
  }
  auto organisation = Render(found->second, aDocument);
  if (!organisation) {
    const auto& message = organisation.error().mMessage;
    const auto colon = message.find(": ");
    AddFinding(
      aRendered, key, message.substr(0, colon), message.substr(colon + 2));
    return;
  }
  for (auto& finding : Validate(organisation.value())) {
    aRendered.mFindings.push_back({ key, std::move(finding) });
  }
  ApplyUpstreamLists(organisation.value(), aSet);
  aRendered.mOrganisations.emplace(aDocument.mId,
                                   std::move(organisation).value());
}

std::string
PlaceOf(const Organisation& aOrganisation, const Endpoint& aEndpoint)
{
  for (const auto& service : aOrganisation.mServices) {
    const auto place = "services/" + service.mName;
    if (service.mAddress == aEndpoint.mAddress) {
      return place + "/address";
    }
    for (std::size_t index = 0; index < service.mUpstreams.size(); ++index) {
      if (service.mUpstreams[index].mAddress == aEndpoint.mAddress) {
        return place + "/upstreams/" + std::to_string(index) + "/address";
      }
    }
  }
  return "services";
}

void
CheckClaims(RenderedSet& aRendered)
{
  std::map<Endpoint, OrganisationId> claims;
  for (const auto& [id, organisation] : aRendered.mOrganisations) {
    std::set<std::string> places;
    for (const auto& endpoint : ClaimedEndpoints(organisation)) {
      const auto [claim, isNew] = claims.emplace(endpoint, id);
      auto place = isNew ? std::string() : PlaceOf(organisation, endpoint);
      if (!isNew && places.insert(place).second) {
        AddFinding(aRendered,
                   "organisations/" + id.mValue,
                   std::move(place),
                   ToString(endpoint) + " is also claimed by organisation " +
                     claim->second.mValue);
      }
    }
  }
}

/// A misspelt data centre would leave its upstreams without any owner. Sets
/// without lists of instances are allowed, for checks before a rollout.
void
CheckDataCentres(RenderedSet& aRendered, const DocumentSet& aSet)
{
  if (aSet.mInstances.empty()) {
    return;
  }
  for (const auto& [id, organisation] : aRendered.mOrganisations) {
    std::set<DataCentreId> unknown;
    for (const auto& service : organisation.mServices) {
      for (const auto& upstream : service.mUpstreams) {
        if (!aSet.mInstances.contains(upstream.mDataCentre) &&
            unknown.insert(upstream.mDataCentre).second) {
          AddFinding(aRendered,
                     "organisations/" + id.mValue,
                     "services/" + service.mName + "/upstreams/" +
                       ToString(upstream.mAddress) + "/data_centre",
                     "there is no list instances/" +
                       upstream.mDataCentre.mValue);
        }
      }
    }
  }
}

/// Notes the first list that names something, and a fault for each later one.
template<typename T>
void
RequireFirst(RenderedSet& aRendered,
             std::map<T, std::string>& aSeen,
             const T& aIdentity,
             const std::string& aKey,
             std::string aPlace)
{
  const auto [first, isNew] = aSeen.emplace(aIdentity, aKey);
  if (!isNew) {
    AddFinding(aRendered,
               aKey,
               std::move(aPlace),
               "is already listed in " + first->second);
  }
}

void
CheckLists(RenderedSet& aRendered, const DocumentSet& aSet)
{
  std::map<InstanceId, std::string> instances;
  std::map<Endpoint, std::string> peers;
  std::map<Endpoint, std::string> controls;
  for (const auto& [dataCentre, list] : aSet.mInstances) {
    const auto key = "instances/" + dataCentre.mValue;
    for (const auto& instance : list.mInstances) {
      const auto place = "instances/" + instance.mId.mValue;
      RequireFirst(aRendered, instances, instance.mId, key, place + "/name");
      RequireFirst(aRendered,
                   peers,
                   instance.mPeerEndpoint,
                   key,
                   place + "/peer_endpoint");
      RequireFirst(aRendered,
                   controls,
                   instance.mControlEndpoint,
                   key,
                   place + "/control_endpoint");
    }
  }
  std::map<Ipv4Address, std::string> upstreams;
  for (const auto& [dataCentre, list] : aSet.mUpstreams) {
    const auto key = "upstreams/" + dataCentre.mValue;
    for (std::size_t index = 0; index < list.mUpstreams.size(); ++index) {
      RequireFirst(aRendered,
                   upstreams,
                   list.mUpstreams[index].mAddress,
                   key,
                   "upstreams/" + std::to_string(index) + "/address");
    }
  }
}

} // namespace

void
AddDocument(DocumentSet& aSet, Document aDocument)
{
  std::visit([&](auto& aAlternative) { Add(aSet, std::move(aAlternative)); },
             aDocument);
}

RenderedSet
RenderSet(const DocumentSet& aSet)
{
  RenderedSet rendered;
  for (const auto& [id, document] : aSet.mOrganisations) {
    RenderOrganisation(rendered, aSet, document);
  }
  CheckClaims(rendered);
  CheckDataCentres(rendered, aSet);
  CheckLists(rendered, aSet);
  std::ranges::stable_sort(rendered.mFindings, {}, &DocumentFinding::mKey);
  return rendered;
}

} // namespace sassafrasknot::state
