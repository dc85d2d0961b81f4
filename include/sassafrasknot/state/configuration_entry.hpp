#ifndef SASSAFRASKNOT_STATE_CONFIGURATION_ENTRY_HPP
#define SASSAFRASKNOT_STATE_CONFIGURATION_ENTRY_HPP

#include "sassafrasknot/state/document.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <optional>
#include <vector>

namespace sassafrasknot::state {

/// @brief The two records from which an organisation's configuration is
/// rendered: its own document and its template.
struct RecordPair
{
  ConfigurationRecord mOrganisation;
  ConfigurationRecord mTemplate;
};

/// @brief An endpoint that an organisation's configuration uses. If several
/// organisations claim an endpoint, the claim with the lowest revision wins.
struct Claim
{
  Endpoint mEndpoint;
  /// Revision since which the organisation has claimed it without
  /// interruption.
  Revision mRevision = 0;

  auto operator<=>(const Claim&) const = default;
};

/// @brief State of one key as instances exchange it.
struct ConfigurationEntry
{
  ConfigurationRecord mLatest;
  /// Highest revision at which the key was deleted, or zero.
  Revision mDeletedAt = 0;
  /// For an organisation whose latest revision is not in force: the records
  /// that are in force instead.
  std::optional<RecordPair> mInForce;
  /// For an organisation: its claims, in ascending order of the endpoints.
  std::vector<Claim> mClaims;
};

} // namespace sassafrasknot::state

#endif
