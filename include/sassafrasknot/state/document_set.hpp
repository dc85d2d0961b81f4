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

/// @brief A validation error in one document.
struct DocumentFinding
{
  /// Key of the document, such as "organisations/a".
  std::string mKey;
  Finding mFinding;

  auto operator<=>(const DocumentFinding&) const = default;
};

/// @brief The organisations rendered from a set of documents and the validation
/// errors of the documents.
struct RenderedSet
{
  /// Organisations that can be rendered. An upstream is leaving if the
  /// organisation's document or the published list says so.
  std::map<OrganisationId, Organisation> mOrganisations;
  /// Validation errors, in order of the keys.
  std::vector<DocumentFinding> mFindings;
};

/// @brief Adds a document or replaces the one with the same key.
/// @param aSet set to update
/// @param aDocument document of any kind
void
AddDocument(DocumentSet& aSet, Document aDocument);

/// @brief Renders all organisations, validates each one and checks the set for
/// endpoints that two organisations claim, data centres without a list of
/// instances (if any list is present), and instances and upstreams that are
/// listed twice.
/// @param aSet documents to check
/// @return the organisations and all validation errors
RenderedSet
RenderSet(const DocumentSet& aSet);

} // namespace sassafrasknot::state

#endif
