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
           std::string aLocation,
           std::string aMessage)
{
  aRendered.mFindings.push_back(
    { std::move(aKey), { std::move(aLocation), std::move(aMessage) } });
}

/// Sets upstreams to leaving that are leaving in the published lists. Both the
/// lists and the organisation's document may be out of date, so an upstream is
/// leaving if either of them says so.
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

/// Adds the rendered organisation, if its template and services match, and its
/// validation errors.
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
    // Messages of Render start with the location, as in "services/x: ...".
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

/// Returns the location of the first use of an endpoint's address in an
/// organisation.
std::string
LocationOf(const Organisation& aOrganisation, const Endpoint& aEndpoint)
{
  for (const auto& service : aOrganisation.mServices) {
    const auto location = "services/" + service.mName;
    if (service.mAddress == aEndpoint.mAddress) {
      return location + "/address";
    }
    for (std::size_t index = 0; index < service.mUpstreams.size(); ++index) {
      if (service.mUpstreams[index].mAddress == aEndpoint.mAddress) {
        return location + "/upstreams/" + std::to_string(index) + "/address";
      }
    }
  }
  return "services";
}

/// Adds an error for each location at which an organisation uses an endpoint
/// that an organisation earlier in the order of ids claims too.
void
CheckClaims(RenderedSet& aRendered)
{
  std::map<Endpoint, OrganisationId> claims;
  for (const auto& [id, organisation] : aRendered.mOrganisations) {
    std::set<std::string> locations;
    for (const auto& endpoint : ClaimedEndpoints(organisation)) {
      const auto [claim, isNew] = claims.emplace(endpoint, id);
      auto location =
        isNew ? std::string() : LocationOf(organisation, endpoint);
      if (!isNew && locations.insert(location).second) {
        AddFinding(aRendered,
                   "organisations/" + id.mValue,
                   std::move(location),
                   ToString(endpoint) + " is also claimed by organisation " +
                     claim->second.mValue);
      }
    }
  }
}

/// Adds an error for each data centre of an upstream that has no list of
/// instances: upstreams of a misspelt data centre would have no owner. Sets
/// without any list are accepted, so that documents can be checked before a
/// rollout.
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
                     "there is no document instances/" +
                       upstream.mDataCentre.mValue);
        }
      }
    }
  }
}

/// Records the key of the list that contains an identity first, and adds an
/// error for each repetition.
template<typename T>
void
CheckUnique(RenderedSet& aRendered,
            std::map<T, std::string>& aSeen,
            const T& aIdentity,
            const std::string& aKey,
            std::string aLocation)
{
  const auto [first, isNew] = aSeen.emplace(aIdentity, aKey);
  if (!isNew) {
    AddFinding(aRendered,
               aKey,
               std::move(aLocation),
               "is already listed in " + first->second);
  }
}

/// Adds errors for instances, endpoints of instances and upstreams that occur
/// more than once in the published lists.
void
CheckLists(RenderedSet& aRendered, const DocumentSet& aSet)
{
  std::map<InstanceId, std::string> instances;
  std::map<Endpoint, std::string> peers;
  std::map<Endpoint, std::string> controls;
  for (const auto& [dataCentre, list] : aSet.mInstances) {
    const auto key = "instances/" + dataCentre.mValue;
    for (const auto& instance : list.mInstances) {
      const auto location = "instances/" + instance.mId.mValue;
      CheckUnique(aRendered, instances, instance.mId, key, location + "/name");
      CheckUnique(aRendered,
                  peers,
                  instance.mPeerEndpoint,
                  key,
                  location + "/peer_endpoint");
      CheckUnique(aRendered,
                  controls,
                  instance.mControlEndpoint,
                  key,
                  location + "/control_endpoint");
    }
  }
  std::map<Ipv4Address, std::string> upstreams;
  for (const auto& [dataCentre, list] : aSet.mUpstreams) {
    const auto key = "upstreams/" + dataCentre.mValue;
    for (std::size_t index = 0; index < list.mUpstreams.size(); ++index) {
      CheckUnique(aRendered,
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
