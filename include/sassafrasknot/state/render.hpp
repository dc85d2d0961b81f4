#ifndef SASSAFRASKNOT_STATE_RENDER_HPP
#define SASSAFRASKNOT_STATE_RENDER_HPP

#include "sassafrasknot/state/document.hpp"
#include "sassafrasknot/state/error.hpp"

namespace sassafrasknot::state {

/// @brief Fills a template in with an organisation's parameters.
/// @param aTemplate the template that the organisation names
/// @param aOrganisation the organisation's parameters
/// @return the organisation; NotFound for a service that the template lacks,
/// InvalidArgument for a service of the template without parameters
Result<Organisation>
Render(const TemplateDocument& aTemplate,
       const OrganisationDocument& aOrganisation);

} // namespace sassafrasknot::state

#endif
