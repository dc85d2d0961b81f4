#ifndef SASSAFRASKNOT_FLEET_CATALOGUE_HPP
#define SASSAFRASKNOT_FLEET_CATALOGUE_HPP

#include "sassafrasknot/state/identifiers.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @brief Membership of the instances of a fleet by gossip, dissemination of
/// the configuration that the platform's store publishes, exchange of loads,
/// and choice of the instance that reads the store for the others.
namespace sassafrasknot::fleet {

/// @brief One item of the platform's store at one revision. The value is opaque
/// to this module.
struct Record
{
  std::string mKey;
  std::string mValue;
  state::Revision mRevision = 0;
  /// Revision at which the store created the key.
  state::Revision mCreateRevision = 0;
  bool mDeleted = false;

  auto operator<=>(const Record&) const = default;
};

/// @brief The changes between two revisions of the store, or a full copy of it.
struct ChangeSet
{
  /// Revision that the changes apply to. 0 marks a full copy, which replaces
  /// all records with a revision of at most mUpTo.
  state::Revision mAfter = 0;
  /// Revision that a catalogue has once the changes are merged.
  state::Revision mUpTo = 0;
  std::vector<Record> mRecords;
};

/// @brief An entry of the history: a key and a revision at which it changed.
struct KeyChange
{
  std::string mKey;
  state::Revision mRevision = 0;
};

/// @brief All published items as of one revision, with a history of the newest
/// changes.
struct Catalogue
{
  std::map<std::string, Record> mRecords;
  /// The catalogue contains all changes up to this revision.
  state::Revision mRevision = 0;
  /// Newest changes in order of their revisions, including deletions.
  std::deque<KeyChange> mHistory;
  /// The history contains all changes after this revision.
  state::Revision mHistoryAfter = 0;
};

/// Maximum number of changes in the history, from which instances that are
/// behind are updated. An instance that is further behind gets a full copy.
constexpr std::size_t kHistoryLength = 512;

/// @brief Merges changes into a catalogue. Nothing reverts: a record that is
/// older than the catalogue's record of the same key is ignored.
/// @param aCatalogue catalogue to update
/// @param aChanges changes, or a full copy if its mAfter is 0
/// @return keys whose records changed; nullopt, with the catalogue unchanged,
/// if changes between the catalogue's revision and aChanges.mAfter are missing
std::optional<std::vector<std::string>>
Merge(Catalogue& aCatalogue, const ChangeSet& aChanges);

/// @brief Returns the changes that an instance at an older revision needs.
/// @param aCatalogue catalogue that the changes are taken from
/// @param aAfter revision of the other instance, 0 if it has no state yet
/// @return the newest change of each key that changed after aAfter, or a full
/// copy if aAfter is 0 or older than the history
ChangeSet
ChangesAfter(const Catalogue& aCatalogue, state::Revision aAfter);

} // namespace sassafrasknot::fleet

#endif
