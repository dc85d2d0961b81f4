#ifndef SASSAFRASKNOT_STATE_CLAIMS_HPP
#define SASSAFRASKNOT_STATE_CLAIMS_HPP

#include "sassafrasknot/state/configuration_store.hpp"

#include <map>
#include <string>

namespace sassafrasknot::state {

/// @brief Which pair of an organisation may take effect.
enum class ActivePairChoice : std::uint8_t
{
  None,
  Fallback,
  Latest,
};

/// @brief Returns the revision from which a pair takes effect.
/// @param aPair the pair
/// @return the higher one of its revisions
Revision
PairRevision(const RecordPair& aPair);

/// @brief Chooses a pair for each organisation such that no endpoint has two
/// holders. The claim with the lower revision wins; an organisation that loses
/// one keeps its fallback.
/// @param aOrganisations the organisations by key; their reasons are set
/// @return the choice by key
std::map<std::string, ActivePairChoice, std::less<>>
ResolveClaims(
  std::map<std::string, OrganisationState, std::less<>>& aOrganisations);

} // namespace sassafrasknot::state

#endif
