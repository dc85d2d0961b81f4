#ifndef SASSAFRASKNOT_STATE_CONFIGURATION_ENTRY_HPP
#define SASSAFRASKNOT_STATE_CONFIGURATION_ENTRY_HPP

#include "sassafrasknot/state/document.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <optional>
#include <vector>

namespace sassafrasknot::state {

/// @brief The two records that an organisation's configuration is rendered
/// from.
struct RecordPair
{
  ConfigurationRecord mOrganisation;
  ConfigurationRecord mTemplate;
};

/// @brief An endpoint that an organisation holds, and since when.
struct Claim
{
  Endpoint mEndpoint;
  /// Revision that first claimed it, without a release since.
  Revision mRevision = 0;

  auto operator<=>(const Claim&) const = default;
};

/// @brief All that one instance tells another of one key.
struct ConfigurationEntry
{
  ConfigurationRecord mLatest;
  /// Highest revision at which the key was deleted, or zero.
  Revision mDeletedAt = 0;
  /// For an organisation whose latest revision is not in force: what is.
  std::optional<RecordPair> mInForce;
  /// For an organisation: the endpoints that it holds, in ascending order.
  std::vector<Claim> mClaims;
};

} // namespace sassafrasknot::state

#endif
