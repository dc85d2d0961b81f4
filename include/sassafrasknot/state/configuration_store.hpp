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

/// @brief A pair of records as rendered; without value if it can't take effect.
struct RenderedPair
{
  RecordPair mPair;
  std::shared_ptr<const Organisation> mOrganisation;
  std::vector<Endpoint> mEndpoints;
  /// Why it can't take effect; empty otherwise.
  std::string mReason;
};

/// @brief What is known of one organisation.
struct OrganisationState
{
  /// Rendered from the latest records; absent when deleted.
  std::optional<RenderedPair> mLatest;
  /// The pair that was in force before the latest one.
  std::optional<RenderedPair> mFallback;
  /// Which of the two is in force; null if none.
  std::shared_ptr<const Organisation> mInForce;
  std::optional<RecordPair> mInForcePair;
  /// Endpoints of the organisation and since when it holds them.
  std::map<Endpoint, Revision> mClaims;
  /// Why the latest records are not in force; empty if they are.
  std::string mReason;
};

/// @brief Records by key, and what each organisation has in force.
struct ConfigurationStore
{
  static constexpr std::size_t kBuckets = 64;

  std::map<std::string, ConfigurationRecord, std::less<>> mRecords;
  std::map<std::string, Revision, std::less<>> mDeletedAt;
  std::map<std::string, OrganisationState, std::less<>> mOrganisations;
  std::map<std::string, std::uint64_t, std::less<>> mKeyHashes;
  /// Sums of the key hashes, by hash of the key.
  std::array<std::uint64_t, kBuckets> mBucketHashes{};
  /// All changes up to this revision are in the store.
  Revision mCompleteRevision = 0;
  /// Highest revision of any record.
  Revision mHighestRevision = 0;
};

/// @brief An organisation whose latest records do not take effect.
struct Rejection
{
  std::string mKey;
  Revision mRevision = 0;
  std::string mReason;
};

/// @brief What a merge changed.
struct MergeResult
{
  /// Keys of which something new is known, in ascending order.
  std::set<std::string> mChanged;
  std::vector<Rejection> mRejected;
};

/// @brief Merges records of the platform. A record never replaces one with a
/// higher revision.
/// @param aStore the store
/// @param aRecords the records
/// @param aRevision revision that they are complete up to
/// @param aAbove they hold all changes above this revision; nothing for a full
/// read, which also deletes absent keys whose revision is at most aRevision
/// @return what changed
MergeResult
MergeRecords(ConfigurationStore& aStore,
             std::span<const ConfigurationRecord> aRecords,
             Revision aRevision,
             std::optional<Revision> aAbove);

/// @brief Merges what another instance knows.
/// @param aStore the store
/// @param aEntries what it knows
/// @return what changed
MergeResult
MergeEntries(ConfigurationStore& aStore,
             std::span<const ConfigurationEntry> aEntries);

/// @brief Returns all that is known of a key.
/// @param aStore the store
/// @param aKey the key
/// @return the entry, or nothing for an unknown key
std::optional<ConfigurationEntry>
FindEntry(const ConfigurationStore& aStore, std::string_view aKey);

/// @brief Returns a hash that is equal for stores that know the same.
/// @param aStore the store
/// @return the hash
std::uint64_t
StoreHash(const ConfigurationStore& aStore);

/// @brief Returns the bucket of a key, below ConfigurationStore::kBuckets.
/// @param aKey the key
/// @return index into ConfigurationStore::mBucketHashes
std::size_t
BucketOf(std::string_view aKey);

/// @brief Notes that the store equals that of another instance, which holds
/// all changes up to a revision.
/// @param aStore the store
/// @param aRevision the other instance's complete revision
/// @return whether the complete revision rose
bool
RaiseCompleteRevision(ConfigurationStore& aStore, Revision aRevision);

} // namespace sassafrasknot::state

#endif
