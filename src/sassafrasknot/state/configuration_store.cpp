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

auto
PairKey(const RecordPair& aPair)
{
  return std::tuple(PairRevision(aPair),
                    aPair.mOrganisation.mRevision,
                    aPair.mTemplate.mRevision);
}

template<typename T>
const T*
DocumentOf(const ConfigurationRecord& aRecord)
{
  return aRecord.mDocument ? std::get_if<T>(aRecord.mDocument.get()) : nullptr;
}

/// Renders a pair, or says why it can't take effect.
RenderedPair
RenderPair(RecordPair aPair)
{
  RenderedPair rendered{ std::move(aPair), nullptr, {}, {} };
  const auto& record = rendered.mPair.mOrganisation;
  const auto* parameters = DocumentOf<OrganisationDocument>(record);
  const auto* common = DocumentOf<TemplateDocument>(rendered.mPair.mTemplate);
  if (parameters == nullptr) {
    rendered.mReason = "the value is malformed";
  } else if (std::string(kOrganisations) + parameters->mId.mValue !=
             record.mKey) {
    rendered.mReason = "the value names another organisation";
  } else if (common == nullptr) {
    rendered.mReason =
      "template " + parameters->mTemplate.mValue + " is absent or malformed";
  } else if (auto result = Render(*common, *parameters); !result) {
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

/// Returns the latest records that an organisation is rendered from.
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
    const auto common = aStore.mRecords.find(std::string(kTemplates) +
                                             parameters->mTemplate.mValue);
    if (common != aStore.mRecords.end()) {
      pair.mTemplate = common->second;
    }
  }
  return pair;
}

void
RaiseFallback(OrganisationState& aState,
              const RecordPair& aPair,
              Revision aDeletedAt)
{
  const bool isLatest =
    aState.mLatest && PairKey(aState.mLatest->mPair) == PairKey(aPair);
  const bool isNewer =
    !aState.mFallback || PairKey(aState.mFallback->mPair) < PairKey(aPair);
  if (isLatest || !isNewer || aPair.mOrganisation.mRevision <= aDeletedAt) {
    return;
  }
  if (auto rendered = RenderPair(aPair); rendered.mOrganisation) {
    aState.mFallback = std::move(rendered);
  }
}

/// Renders the latest records of an organisation unless that is done already.
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
  if (!aState.mLatest || PairKey(aState.mLatest->mPair) != PairKey(*pair)) {
    aState.mLatest = RenderPair(*pair);
  }
  if (aState.mInForcePair) {
    RaiseFallback(aState, *aState.mInForcePair, deletedAt);
  }
  if (aState.mFallback &&
      aState.mFallback->mPair.mOrganisation.mRevision <= deletedAt) {
    aState.mFallback.reset();
  }
}

/// Puts a chosen pair in force and keeps the claims of its endpoints, and those
/// that others have told for the latest one.
void
Apply(OrganisationState& aState, ActivePairChoice aChoice)
{
  std::map<Endpoint, Revision> claims;
  const auto keep = [&](const RenderedPair& aPair, bool aAdd) {
    for (const auto& endpoint : aPair.mEndpoints) {
      const auto found = aState.mClaims.find(endpoint);
      if (found != aState.mClaims.end()) {
        claims.insert(*found);
      } else if (aAdd) {
        claims.emplace(endpoint, PairRevision(aPair.mPair));
      }
    }
  };
  const bool isLatest = aChoice == ActivePairChoice::Latest;
  if (aState.mLatest) {
    keep(*aState.mLatest, isLatest);
  }
  if (aChoice == ActivePairChoice::Fallback) {
    keep(*aState.mFallback, true);
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

bool
IsLatestInForce(const OrganisationState& aState)
{
  return aState.mInForcePair && aState.mLatest &&
         PairKey(*aState.mInForcePair) == PairKey(aState.mLatest->mPair);
}

std::uint64_t
HashKey(const ConfigurationStore& aStore, const ConfigurationRecord& aRecord)
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

void
RefreshHash(ConfigurationStore& aStore,
            const ConfigurationRecord& aRecord,
            std::set<std::string>& aChanged)
{
  const auto hash = HashKey(aStore, aRecord);
  auto& known = aStore.mKeyHashes[aRecord.mKey];
  if (hash != known) {
    aStore.mBucketHashes[BucketOf(aRecord.mKey)] += hash - known;
    known = hash;
    aChanged.insert(aRecord.mKey);
  }
}

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

/// Decides what is in force after the records or what others told changed.
MergeResult
Evaluate(ConfigurationStore& aStore,
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
        RaiseFallback(found->second,
                      *entry.mInForce,
                      deleted == aStore.mDeletedAt.end() ? 0 : deleted->second);
      }
    }
    const auto choices = ResolveClaims(aStore.mOrganisations);
    for (auto& [key, state] : aStore.mOrganisations) {
      Apply(state, choices.at(key));
    }
  }
  for (const auto& [key, record] : aStore.mRecords) {
    if (aTouched.contains(key) ||
        (configurationTouched && IsOrganisation(key))) {
      RefreshHash(aStore, record, result.mChanged);
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
             std::optional<Revision> aAbove)
{
  std::set<std::string> touched;
  std::set<std::string_view> present;
  for (const auto& record : aRecords) {
    present.insert(record.mKey);
    if (MergeRecord(aStore, record)) {
      touched.insert(record.mKey);
    }
  }
  if (!aAbove) {
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
  auto result = Evaluate(aStore, touched, {});
  if (!aAbove || *aAbove <= aStore.mCompleteRevision) {
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
  return Evaluate(aStore, touched, aEntries);
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
