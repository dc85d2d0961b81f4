#ifndef SASSAFRASKNOT_STATE_CONFIGURATION_STORE_HPP
#define SASSAFRASKNOT_STATE_CONFIGURATION_STORE_HPP

#include "sassafrasknot/state/configuration_entry.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasknot::state {

/// @brief A pair of records and the organisation rendered from it.
struct RenderedPair
{
  RecordPair mPair;
  /// Null if the pair is invalid.
  std::shared_ptr<const Organisation> mOrganisation;
  /// Endpoints that the organisation claims, in ascending order.
  std::vector<Endpoint> mEndpoints;
  /// Why the pair is invalid; empty if it is valid.
  std::string mReason;
};

/// @brief Latest and applied configuration of one organisation.
struct OrganisationState
{
  /// Rendered from the latest records; absent if deleted.
  std::optional<RenderedPair> mLatest;
  /// The newest other valid pair that was in force here or on another
  /// instance; used while the latest one can't be put in force.
  std::optional<RenderedPair> mFallback;
  /// The organisation of the pair in force; null if none.
  std::shared_ptr<const Organisation> mInForce;
  /// The records of the pair in force.
  std::optional<RecordPair> mInForcePair;
  /// Claimed endpoints and the revision of each claim (Claim::mRevision).
  std::map<Endpoint, Revision> mClaims;
  /// Why the latest records are not in force; empty otherwise.
  std::string mReason;
};

/// @brief This instance's copy of the platform's configuration, and what each
/// organisation has in force.
struct ConfigurationStore
{
  /// Number of groups of keys whose hashes instances compare.
  static constexpr std::size_t kBuckets = 64;

  std::map<std::string, ConfigurationRecord, std::less<>> mRecords;
  /// Highest revision at which a key was deleted, by key.
  std::map<std::string, Revision, std::less<>> mDeletedAt;
  std::map<std::string, OrganisationState, std::less<>> mOrganisations;
  /// Hash of the state of each key.
  std::map<std::string, std::uint64_t, std::less<>> mKeyHashes;
  /// Sum of mKeyHashes of each bucket (BucketOf), modulo 2^64.
  std::array<std::uint64_t, kBuckets> mBucketHashes{};
  /// The store contains all changes up to this revision.
  Revision mCompleteRevision = 0;
  /// Highest revision of any record.
  Revision mHighestRevision = 0;
};

/// @brief An organisation whose latest records are not put in force.
struct Rejection
{
  std::string mKey;
  Revision mRevision = 0;
  std::string mReason;
};

/// @brief Effect of a merge on the store.
struct MergeResult
{
  /// Keys whose state changed, in ascending order.
  std::set<std::string> mChanged;
  /// The changed organisations whose latest records are not in force.
  std::vector<Rejection> mRejected;
};

/// @brief Merges records read from the platform's configuration service. A
/// record never replaces one with a higher revision.
/// @param aStore the store to update
/// @param aRecords records with all changes after aAfterRevision up to
/// aRevision; all records for a full read
/// @param aRevision revision of the configuration service at the read
/// @param aAfterRevision revision after which the changes were read; nothing
/// for a full read. A full read also deletes keys that are missing in aRecords
/// and whose revision is at most aRevision
/// @return changed keys and rejected organisations
MergeResult
MergeRecords(ConfigurationStore& aStore,
             std::span<const ConfigurationRecord> aRecords,
             Revision aRevision,
             std::optional<Revision> aAfterRevision);

/// @brief Merges entries received from another instance.
/// @param aStore the store to update
/// @param aEntries entries of the other instance's store
/// @return changed keys and rejected organisations
MergeResult
MergeEntries(ConfigurationStore& aStore,
             std::span<const ConfigurationEntry> aEntries);

/// @brief Returns the state of a key in the form sent to other instances.
/// @param aStore the store to search
/// @param aKey key of a record, such as "organisations/a"
/// @return the entry, or nothing if the store has no record of the key
std::optional<ConfigurationEntry>
FindEntry(const ConfigurationStore& aStore, std::string_view aKey);

/// @brief Returns a hash of the states of all keys. Instances compare it to
/// detect differences between their stores.
/// @param aStore the store to hash
/// @return a hash that is equal for stores with equal states of all keys
std::uint64_t
StoreHash(const ConfigurationStore& aStore);

/// @brief Returns the bucket of a key, below ConfigurationStore::kBuckets.
/// @param aKey key of a record, such as "organisations/a"
/// @return index into ConfigurationStore::mBucketHashes
std::size_t
BucketOf(std::string_view aKey);

/// @brief Raises the complete revision after the store was found equal to that
/// of another instance.
/// @param aStore the store to update
/// @param aRevision the other instance's complete revision
/// @return whether the complete revision increased
bool
RaiseCompleteRevision(ConfigurationStore& aStore, Revision aRevision);

} // namespace sassafrasknot::state

#endif
