#include "sassafrasknot/state/render.hpp"

#include <algorithm>

namespace sassafrasknot::state {
namespace {

/// Renders one service: address and upstreams are the organisation's, other
/// values are those of the template unless the organisation sets them.
Service
RenderService(const TemplateService& aTemplate,
              const ServiceParameters& aParameters)
{
  Service service;
  service.mName = aParameters.mName;
  service.mAddress = aParameters.mAddress;
  service.mListeners = aTemplate.mListeners;
  service.mShards = aParameters.mShards.value_or(aTemplate.mShards);
  service.mLimits = aParameters.mLimits.value_or(aTemplate.mLimits);
  for (const auto& upstream : aParameters.mUpstreams) {
    service.mUpstreams.push_back(
      { upstream.mAddress,
        upstream.mDataCentre,
        upstream.mSlots.value_or(aTemplate.mSlots),
        upstream.mConnections.value_or(aTemplate.mConnections),
        upstream.mState });
  }
  return service;
}

} // namespace

Result<Organisation>
Render(const TemplateDocument& aTemplate,
       const OrganisationDocument& aOrganisation)
{
  Organisation organisation{ aOrganisation.mId, aOrganisation.mWeight, {} };
  for (const auto& parameters : aOrganisation.mServices) {
    const auto found = std::ranges::find(
      aTemplate.mServices, parameters.mName, &TemplateService::mName);
    if (found == aTemplate.mServices.end()) {
      return Error{ ErrorCode::NotFound,
                    Verdict::NotRun,
                    "services/" + parameters.mName + ": template " +
                      aTemplate.mId.mValue + " has no such service" };
    }
    organisation.mServices.push_back(RenderService(*found, parameters));
  }
  for (const auto& service : aTemplate.mServices) {
    if (std::ranges::find(
          aOrganisation.mServices, service.mName, &ServiceParameters::mName) ==
        aOrganisation.mServices.end()) {
      return Error{ ErrorCode::InvalidArgument,
                    Verdict::NotRun,
                    "services: parameters of service " + service.mName +
                      " of template " + aTemplate.mId.mValue + " are missing" };
    }
  }
  return organisation;
}

} // namespace sassafrasknot::state
