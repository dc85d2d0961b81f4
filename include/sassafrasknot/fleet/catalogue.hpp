#ifndef SASSAFRASKNOT_FLEET_CATALOGUE_HPP
#define SASSAFRASKNOT_FLEET_CATALOGUE_HPP

#include "sassafrasknot/state/identifiers.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @brief How the instances of a fleet find each other and spread what the
/// platform publishes.
namespace sassafrasknot::fleet {

/// @brief One published item at one revision. The value is opaque here.
struct Record
{
  std::string mKey;
  std::string mValue;
  state::Revision mRevision = 0;
  /// Revision at which the key first came.
  state::Revision mCreateRevision = 0;
  bool mDeleted = false;

  auto operator<=>(const Record&) const = default;
};

/// @brief Changes that lead from one revision to another.
struct ChangeSet
{
  /// Revision that they apply to; 0 stands for a full copy, which replaces
  /// everything of at most mUpTo.
  state::Revision mAfter = 0;
  /// Revision that they lead to.
  state::Revision mUpTo = 0;
  std::vector<Record> mRecords;
};

/// @brief The key that changed at a revision.
struct KeyChange
{
  std::string mKey;
  state::Revision mRevision = 0;
};

/// @brief All published items as of one revision, with the newest changes.
struct Catalogue
{
  std::map<std::string, Record> mRecords;
  /// All changes up to this revision are known.
  state::Revision mRevision = 0;
  /// Newest changes in the order of their revisions, deletions included.
  std::deque<KeyChange> mHistory;
  /// The history has all changes after this revision.
  state::Revision mHistoryAfter = 0;
};

/// Changes that are kept for instances that are behind; one that is further
/// behind takes a full copy.
constexpr std::size_t kHistoryLength = 512;

/// @brief Merges changes. Nothing reverts: a record of an older revision than
/// the known one is left out.
/// @param aCatalogue the catalogue
/// @param aChanges the changes
/// @return keys that changed; nothing if changes between the catalogue's
/// revision and aChanges are missing
std::optional<std::vector<std::string>>
Merge(Catalogue& aCatalogue, const ChangeSet& aChanges);

/// @brief Returns what an instance at a revision lacks.
/// @param aCatalogue the catalogue
/// @param aAfter the instance's revision
/// @return the changes, or a full copy if the history is too short
ChangeSet
ChangesAfter(const Catalogue& aCatalogue, state::Revision aAfter);

} // namespace sassafrasknot::fleet

#endif
