#ifndef SASSAFRASKNOT_STATE_DOCUMENT_SET_HPP
#define SASSAFRASKNOT_STATE_DOCUMENT_SET_HPP

#include "sassafrasknot/state/document.hpp"
#include "sassafrasknot/state/validation.hpp"

#include <map>
#include <string>
#include <vector>

namespace sassafrasknot::state {

/// @brief All documents of a platform at one revision.
struct DocumentSet
{
  std::map<TemplateId, TemplateDocument> mTemplates;
  std::map<OrganisationId, OrganisationDocument> mOrganisations;
  std::map<DataCentreId, InstanceListDocument> mInstances;
  std::map<DataCentreId, UpstreamListDocument> mUpstreams;

  auto operator<=>(const DocumentSet&) const = default;
};

/// @brief A fault of one document.
struct DocumentFinding
{
  /// Key of the document, such as "organisations/a".
  std::string mKey;
  Finding mFinding;

  auto operator<=>(const DocumentFinding&) const = default;
};

/// @brief The organisations of a set and the faults of its documents.
struct RenderedSet
{
  /// Organisations that can be rendered, with upstreams as leaving that the
  /// published lists show as leaving.
  std::map<OrganisationId, Organisation> mOrganisations;
  std::vector<DocumentFinding> mFindings;
};

/// @brief Adds a document; one of the same key is replaced.
/// @param aSet the set
/// @param aDocument the document
void
AddDocument(DocumentSet& aSet, Document aDocument);

/// @brief Renders all organisations and checks them, each by itself and all
/// together: endpoints that two organisations claim, data centres without a
/// list of instances (if any list is present), and instances and upstreams that
/// are listed twice.
/// @param aSet the set
/// @return the organisations and all faults, in order of their keys
RenderedSet
RenderSet(const DocumentSet& aSet);

} // namespace sassafrasknot::state

#endif
