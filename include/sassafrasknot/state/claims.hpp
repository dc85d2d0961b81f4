#ifndef SASSAFRASKNOT_STATE_CLAIMS_HPP
#define SASSAFRASKNOT_STATE_CLAIMS_HPP

#include "sassafrasknot/state/configuration_store.hpp"

#include <map>
#include <string>

namespace sassafrasknot::state {

/// @brief Which pair of records of an organisation is put in force.
enum class ActivePairChoice : std::uint8_t
{
  None,     ///< Neither pair is valid and free of conflicts.
  Fallback, ///< OrganisationState::mFallback.
  Latest,   ///< OrganisationState::mLatest.
};

/// @brief Returns the revision of a pair: the first one at which both of its
/// records exist.
/// @param aPair an organisation's record and its template's record
/// @return the higher revision of the two records
Revision
PairRevision(const RecordPair& aPair);

/// @brief Chooses a pair for each organisation such that no endpoint is used by
/// two organisations. The claim with the lower revision wins, and the lower key
/// if the revisions are equal. An organisation whose latest pair loses a claim
/// gets its fallback, or no pair if it has none or the fallback loses too.
/// @param aOrganisations organisations by key; sets OrganisationState::mReason
/// @return the choice for each key of aOrganisations
std::map<std::string, ActivePairChoice, std::less<>>
ResolveClaims(
  std::map<std::string, OrganisationState, std::less<>>& aOrganisations);

} // namespace sassafrasknot::state

#endif
