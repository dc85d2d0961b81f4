#ifndef SASSAFRASKNOT_STATE_CONFIGURATION_CHECK_HPP
#define SASSAFRASKNOT_STATE_CONFIGURATION_CHECK_HPP

#include "sassafrasknot/state/document_set.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace sassafrasknot::state {

/// @brief Kind of a finding in documents.
enum class CheckKind : std::uint8_t
{
  Error,         ///< Instances reject the organisation's documents.
  NeverMatches,  ///< The entry never applies to any flow.
  Contradiction, ///< Two values cannot both have their effect.
};

/// @brief A finding in one document.
struct CheckFinding
{
  CheckKind mKind = CheckKind::Error;
  DocumentFinding mFinding;

  auto operator<=>(const CheckFinding&) const = default;
};

/// @brief Searches documents for validation errors, for entries that never
/// apply to any flow, and for limits that contradict each other.
/// @param aSet documents to check
/// @param aRendered result of RenderSet for aSet
/// @return the findings: validation errors first, then the others in order of
/// the keys; empty if there are none
std::vector<CheckFinding>
CheckDocuments(const DocumentSet& aSet, const RenderedSet& aRendered);

/// @brief Returns the name of a kind of finding as commands print it.
/// @param aKind kind of finding
/// @return "error", "never-matches" or "contradiction"
std::string_view
ToString(CheckKind aKind);

} // namespace sassafrasknot::state

#endif
