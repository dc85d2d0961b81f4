#ifndef SASSAFRASKNOT_STATE_RENDER_HPP
#define SASSAFRASKNOT_STATE_RENDER_HPP

#include "sassafrasknot/state/document.hpp"
#include "sassafrasknot/state/error.hpp"

namespace sassafrasknot::state {

/// @brief Renders an organisation: combines the services of its template with
/// its own parameters.
/// @param aTemplate template named by OrganisationDocument::mTemplate
/// @param aOrganisation the organisation's document
/// @return the organisation, not yet validated; NotFound if it has a service
/// that the template lacks, InvalidArgument if a service of the template has no
/// parameters
Result<Organisation>
Render(const TemplateDocument& aTemplate,
       const OrganisationDocument& aOrganisation);

} // namespace sassafrasknot::state

#endif
