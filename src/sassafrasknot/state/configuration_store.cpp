#include "sassafrasknot/state/configuration_store.hpp"

#include "sassafrasknot/state/claims.hpp"
#include "sassafrasknot/state/hashing.hpp"
#include "sassafrasknot/state/render.hpp"
#include "sassafrasknot/state/validation.hpp"

#include <algorithm>
#include <tuple>

namespace sassafrasknot::state {
namespace {

constexpr std::string_view kOrganisations = "organisations/";
constexpr std::string_view kTemplates = "templates/";

bool
IsOrganisation(std::string_view aKey)
{
  return aKey.starts_with(kOrganisations);
}

/// Returns the sort key of a pair; a newer pair has a higher one.
auto
PairOrder(const RecordPair& aPair)
{
  return std::tuple(PairRevision(aPair),
                    aPair.mOrganisation.mRevision,
                    aPair.mTemplate.mRevision);
}

/// Returns the document of a record, or null if the record is deleted,
/// malformed or of another kind than T.
template<typename T>
const T*
DocumentOf(const ConfigurationRecord& aRecord)
{
  return aRecord.mDocument ? std::get_if<T>(aRecord.mDocument.get()) : nullptr;
}

/// Renders and validates a pair; RenderedPair::mReason says why it is invalid.
RenderedPair
RenderPair(RecordPair aPair)
{
  RenderedPair rendered{ std::move(aPair), nullptr, {}, {} };
  const auto& record = rendered.mPair.mOrganisation;
  const auto* parameters = DocumentOf<OrganisationDocument>(record);
  const auto* templateDocument =
    DocumentOf<TemplateDocument>(rendered.mPair.mTemplate);
  if (parameters == nullptr) {
    rendered.mReason = "the value is not a valid organisation document";
  } else if (std::string(kOrganisations) + parameters->mId.mValue !=
             record.mKey) {
    rendered.mReason = "the value names organisation " +
                       parameters->mId.mValue + ", its key is " + record.mKey;
  } else if (templateDocument == nullptr) {
    rendered.mReason =
      "template " + parameters->mTemplate.mValue + " is missing or malformed";
  } else if (auto result = Render(*templateDocument, *parameters); !result) {
    rendered.mReason = result.error().mMessage;
  } else if (const auto findings = Validate(result.value());
             !findings.empty()) {
    rendered.mReason =
      findings.front().mLocation + ": " + findings.front().mMessage;
  } else {
    rendered.mOrganisation =
      std::make_shared<const Organisation>(std::move(result).value());
    rendered.mEndpoints = ClaimedEndpoints(*rendered.mOrganisation);
  }
  return rendered;
}

/// Returns the latest records of an organisation and its template, or nothing
/// if the organisation is unknown or deleted. The template's record is empty if
/// it can't be found.
std::optional<RecordPair>
LatestPair(const ConfigurationStore& aStore, const std::string& aKey)
{
  const auto found = aStore.mRecords.find(aKey);
  if (found == aStore.mRecords.end() || found->second.mDeleted) {
    return std::nullopt;
  }
  RecordPair pair{ found->second, {} };
  if (const auto* parameters =
        DocumentOf<OrganisationDocument>(found->second)) {
    const auto templateDocument = aStore.mRecords.find(
      std::string(kTemplates) + parameters->mTemplate.mValue);
    if (templateDocument != aStore.mRecords.end()) {
      pair.mTemplate = templateDocument->second;
    }
  }
  return pair;
}

/// Replaces the fallback by a pair that was in force if the pair is newer than
/// the fallback, not the latest one, valid, and not deleted since.
void
UpdateFallback(OrganisationState& aState,
               const RecordPair& aPair,
               Revision aDeletedAt)
{
  const bool isLatest =
    aState.mLatest && PairOrder(aState.mLatest->mPair) == PairOrder(aPair);
  const bool isNewer =
    !aState.mFallback || PairOrder(aState.mFallback->mPair) < PairOrder(aPair);
  if (isLatest || !isNewer || aPair.mOrganisation.mRevision <= aDeletedAt) {
    return;
  }
  if (auto rendered = RenderPair(aPair); rendered.mOrganisation) {
    aState.mFallback = std::move(rendered);
  }
}

/// Renders the latest records of an organisation if they have changed, keeps
/// the pair in force as fallback and drops a fallback that was deleted.
void
UpdateLatest(const ConfigurationStore& aStore,
             const std::string& aKey,
             OrganisationState& aState)
{
  auto pair = LatestPair(aStore, aKey);
  if (!pair) {
    aState = {};
    return;
  }
  const auto deleted = aStore.mDeletedAt.find(aKey);
  const Revision deletedAt =
    deleted == aStore.mDeletedAt.end() ? 0 : deleted->second;
  if (!aState.mLatest || PairOrder(aState.mLatest->mPair) != PairOrder(*pair)) {
    aState.mLatest = RenderPair(*pair);
  }
  if (aState.mInForcePair) {
    UpdateFallback(aState, *aState.mInForcePair, deletedAt);
  }
  if (aState.mFallback &&
      aState.mFallback->mPair.mOrganisation.mRevision <= deletedAt) {
    aState.mFallback.reset();
  }
}

/// Puts the chosen pair in force and updates the claims. The organisation
/// claims all endpoints of this pair. If the latest pair is not the chosen one,
/// existing claims to its endpoints are kept as well, such as those that
/// another instance has reported.
void
ApplyChoice(OrganisationState& aState, ActivePairChoice aChoice)
{
  std::map<Endpoint, Revision> claims;
  const auto keepClaims = [&](const RenderedPair& aPair, bool aAddMissing) {
    for (const auto& endpoint : aPair.mEndpoints) {
      const auto found = aState.mClaims.find(endpoint);
      if (found != aState.mClaims.end()) {
        claims.insert(*found);
      } else if (aAddMissing) {
        claims.emplace(endpoint, PairRevision(aPair.mPair));
      }
    }
  };
  const bool isLatest = aChoice == ActivePairChoice::Latest;
  if (aState.mLatest) {
    keepClaims(*aState.mLatest, isLatest);
  }
  if (aChoice == ActivePairChoice::Fallback) {
    keepClaims(*aState.mFallback, true);
  }
  aState.mClaims = std::move(claims);
  if (aChoice == ActivePairChoice::None) {
    aState.mInForce.reset();
    aState.mInForcePair.reset();
    return;
  }
  const auto& pair = isLatest ? *aState.mLatest : *aState.mFallback;
  aState.mInForce = pair.mOrganisation;
  aState.mInForcePair = pair.mPair;
}

/// Returns whether the latest records of an organisation are in force.
bool
IsLatestInForce(const OrganisationState& aState)
{
  return aState.mInForcePair && aState.mLatest &&
         PairOrder(*aState.mInForcePair) == PairOrder(aState.mLatest->mPair);
}

/// Hashes the state of a key: the revisions of its record, of its last deletion
/// and of the pair in force, and its claims. Equal hashes on two instances mean
/// that they have the same state of the key.
std::uint64_t
HashKeyState(const ConfigurationStore& aStore,
             const ConfigurationRecord& aRecord)
{
  auto hash = CombineHashes(HashBytes(aRecord.mKey),
                            aRecord.mRevision * 2 + (aRecord.mDeleted ? 1 : 0));
  if (const auto found = aStore.mDeletedAt.find(aRecord.mKey);
      found != aStore.mDeletedAt.end()) {
    hash = CombineHashes(hash, found->second);
  }
  const auto found = aStore.mOrganisations.find(aRecord.mKey);
  if (found == aStore.mOrganisations.end()) {
    return hash;
  }
  if (const auto& pair = found->second.mInForcePair) {
    hash = CombineHashes(hash, pair->mOrganisation.mRevision);
    hash = CombineHashes(hash, pair->mTemplate.mRevision);
  }
  for (const auto& [endpoint, revision] : found->second.mClaims) {
    hash = CombineHashes(
      hash,
      CombineHashes((std::uint64_t{ endpoint.mAddress.mValue } << 16) |
                      endpoint.mPort,
                    revision));
  }
  return hash;
}

/// Updates the hash of a key and of its bucket, and adds the key to aChanged if
/// the hash is different.
void
UpdateKeyHash(ConfigurationStore& aStore,
              const ConfigurationRecord& aRecord,
              std::set<std::string>& aChanged)
{
  const auto hash = HashKeyState(aStore, aRecord);
  auto& known = aStore.mKeyHashes[aRecord.mKey];
  if (hash != known) {
    aStore.mBucketHashes[BucketOf(aRecord.mKey)] += hash - known;
    known = hash;
    aChanged.insert(aRecord.mKey);
  }
}

/// Stores a record unless the store has the same or a newer one of its key. A
/// deletion is newer than a value of the same revision. Returns whether the
/// record was stored.
bool
MergeRecord(ConfigurationStore& aStore, const ConfigurationRecord& aRecord)
{
  const auto [at, inserted] =
    aStore.mRecords.try_emplace(aRecord.mKey, aRecord);
  const auto order = [](const ConfigurationRecord& aOrdered) {
    return std::pair(aOrdered.mRevision, aOrdered.mDeleted);
  };
  if (!inserted && order(aRecord) <= order(at->second)) {
    return false;
  }
  at->second = aRecord;
  aStore.mHighestRevision =
    std::max(aStore.mHighestRevision, aRecord.mRevision);
  if (aRecord.mDeleted) {
    aStore.mDeletedAt[aRecord.mKey] = aRecord.mRevision;
  }
  if (IsOrganisation(aRecord.mKey)) {
    aStore.mOrganisations[aRecord.mKey];
  }
  return true;
}

/// Decides what is in force after records or entries were merged, and updates
/// the hashes of the changed keys. aTouched are the keys of the merged records
/// or entries. aEntries are the entries received from another instance, which
/// may contain fallbacks; empty after a merge of records.
MergeResult
UpdateInForce(ConfigurationStore& aStore,
              const std::set<std::string>& aTouched,
              std::span<const ConfigurationEntry> aEntries)
{
  MergeResult result;
  const bool configurationTouched =
    std::any_of(aTouched.begin(), aTouched.end(), [](const auto& aKey) {
      return IsOrganisation(aKey) || aKey.starts_with(kTemplates);
    });
  if (configurationTouched) {
    for (auto& [key, state] : aStore.mOrganisations) {
      UpdateLatest(aStore, key, state);
    }
    for (const auto& entry : aEntries) {
      const auto found = aStore.mOrganisations.find(entry.mLatest.mKey);
      if (entry.mInForce && found != aStore.mOrganisations.end() &&
          found->second.mLatest) {
        const auto deleted = aStore.mDeletedAt.find(entry.mLatest.mKey);
        UpdateFallback(found->second,
                       *entry.mInForce,
                       deleted == aStore.mDeletedAt.end() ? 0
                                                          : deleted->second);
      }
    }
    const auto choices = ResolveClaims(aStore.mOrganisations);
    for (auto& [key, state] : aStore.mOrganisations) {
      ApplyChoice(state, choices.at(key));
    }
  }
  for (const auto& [key, record] : aStore.mRecords) {
    if (aTouched.contains(key) ||
        (configurationTouched && IsOrganisation(key))) {
      UpdateKeyHash(aStore, record, result.mChanged);
    }
  }
  for (const auto& key : result.mChanged) {
    const auto found = aStore.mOrganisations.find(key);
    if (found != aStore.mOrganisations.end() &&
        !found->second.mReason.empty()) {
      result.mRejected.push_back({ key,
                                   aStore.mRecords.find(key)->second.mRevision,
                                   found->second.mReason });
    }
  }
  return result;
}

} // namespace

MergeResult
MergeRecords(ConfigurationStore& aStore,
             std::span<const ConfigurationRecord> aRecords,
             Revision aRevision,
             std::optional<Revision> aAfterRevision)
{
  std::set<std::string> touched;
  std::set<std::string_view> present;
  for (const auto& record : aRecords) {
    present.insert(record.mKey);
    if (MergeRecord(aStore, record)) {
      touched.insert(record.mKey);
    }
  }
  if (!aAfterRevision) {
    // A full read returns each existing key, so missing ones were deleted at or
    // before its revision.
    std::vector<ConfigurationRecord> absent;
    for (const auto& [key, record] : aStore.mRecords) {
      if (!record.mDeleted && record.mRevision <= aRevision &&
          !present.contains(key)) {
        absent.push_back({ key, aRevision, true, {}, nullptr });
      }
    }
    for (const auto& tombstone : absent) {
      MergeRecord(aStore, tombstone);
      touched.insert(tombstone.mKey);
    }
  }
  auto result = UpdateInForce(aStore, touched, {});
  if (!aAfterRevision || *aAfterRevision <= aStore.mCompleteRevision) {
    RaiseCompleteRevision(aStore, aRevision);
  }
  return result;
}

MergeResult
MergeEntries(ConfigurationStore& aStore,
             std::span<const ConfigurationEntry> aEntries)
{
  std::set<std::string> touched;
  for (const auto& entry : aEntries) {
    const auto& key = entry.mLatest.mKey;
    MergeRecord(aStore, entry.mLatest);
    touched.insert(key);
    if (entry.mDeletedAt > 0) {
      auto& deletedAt = aStore.mDeletedAt[key];
      deletedAt = std::max(deletedAt, entry.mDeletedAt);
    }
    // Claims of an entry that is older than the stored record are ignored.
    const auto found = aStore.mOrganisations.find(key);
    if (found == aStore.mOrganisations.end() ||
        aStore.mRecords.find(key)->second.mRevision !=
          entry.mLatest.mRevision) {
      continue;
    }
    for (const auto& claim : entry.mClaims) {
      const auto [at, inserted] =
        found->second.mClaims.try_emplace(claim.mEndpoint, claim.mRevision);
      at->second = std::min(at->second, claim.mRevision);
    }
  }
  return UpdateInForce(aStore, touched, aEntries);
}

std::optional<ConfigurationEntry>
FindEntry(const ConfigurationStore& aStore, std::string_view aKey)
{
  const auto record = aStore.mRecords.find(aKey);
  if (record == aStore.mRecords.end()) {
    return std::nullopt;
  }
  ConfigurationEntry entry{ record->second, 0, std::nullopt, {} };
  if (const auto found = aStore.mDeletedAt.find(aKey);
      found != aStore.mDeletedAt.end()) {
    entry.mDeletedAt = found->second;
  }
  if (const auto found = aStore.mOrganisations.find(aKey);
      found != aStore.mOrganisations.end()) {
    if (!IsLatestInForce(found->second)) {
      entry.mInForce = found->second.mInForcePair;
    }
    for (const auto& [endpoint, revision] : found->second.mClaims) {
      entry.mClaims.push_back({ endpoint, revision });
    }
  }
  return entry;
}

std::uint64_t
StoreHash(const ConfigurationStore& aStore)
{
  const auto* data = reinterpret_cast<const char*>(aStore.mBucketHashes.data());
  return HashBytes({ data, sizeof(aStore.mBucketHashes) });
}

std::size_t
BucketOf(std::string_view aKey)
{
  return HashBytes(aKey, 1) % ConfigurationStore::kBuckets;
}

bool
RaiseCompleteRevision(ConfigurationStore& aStore, Revision aRevision)
{
  if (aRevision <= aStore.mCompleteRevision) {
    return false;
  }
  aStore.mCompleteRevision = aRevision;
  return true;
}

} // namespace sassafrasknot::state
