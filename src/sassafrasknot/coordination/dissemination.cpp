#include "sassafrasknot/coordination/dissemination.hpp"

#include "sassafrasknot/coordination/member_queries.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// Number of peers to which a change is announced at once.
constexpr std::size_t kDigestFanout = 3;
constexpr std::chrono::seconds kDigestPeriod{ 1 };
/// Time during which digests list a change. The change normally reaches all
/// instances much earlier. If it does not, the hashes of the stores differ and
/// lead to a full comparison.
constexpr std::chrono::seconds kRecentChangeRetention{ 10 };
/// No full comparison takes place for this time after a change, since hashes
/// differ while changes are being propagated.
constexpr std::chrono::seconds kMinTimeSinceChange{ 2 };
constexpr std::chrono::seconds kMinComparisonInterval{ 1 };
constexpr std::size_t kMaxKeysPerPull = 32;
constexpr std::uint32_t kMaxPullAttempts = 5;
/// Well below the default message limit of gRPC, 4 MB.
constexpr std::size_t kMaxResponseBytes = 1 << 20;

using state::TimePoint;

/// Returns the revision of a key's latest record; zero if there is none.
state::Revision
RevisionOf(const state::ConfigurationStore& aStore, const std::string& aKey)
{
  const auto found = aStore.mRecords.find(aKey);
  return found == aStore.mRecords.end() ? 0 : found->second.mRevision;
}

DigestEntry
MakeEntry(const state::ConfigurationStore& aStore, const std::string& aKey)
{
  return { aKey,
           RevisionOf(aStore, aKey),
           aStore.mKeyHashes.find(aKey)->second };
}

/// Returns whether the sender of an entry may have a record that this instance
/// lacks: the key is not on record here, or it differs and this instance's
/// record is not newer.
bool
IsMissing(const state::ConfigurationStore& aStore, const DigestEntry& aEntry)
{
  const auto found = aStore.mKeyHashes.find(aEntry.mKey);
  if (found == aStore.mKeyHashes.end()) {
    return true;
  }
  return found->second != aEntry.mHash &&
         RevisionOf(aStore, aEntry.mKey) <= aEntry.mRevision;
}

/// Adds the missing keys of a digest or response to the wanted keys. A key that
/// was requested without a response in time is requested from the new source.
void
AddWantedKeys(Dissemination& aDissemination,
              const state::ConfigurationStore& aStore,
              const std::vector<DigestEntry>& aEntries,
              const state::Endpoint& aSource,
              TimePoint aNow)
{
  for (const auto& entry : aEntries) {
    if (!IsMissing(aStore, entry)) {
      continue;
    }
    auto& wanted = aDissemination.mWantedKeys[entry.mKey];
    if (wanted.mAttempts == 0 || aNow - wanted.mLastRequest >= kPullTimeout) {
      wanted.mSource = aSource;
    }
  }
}

/// Makes pulls for the wanted keys that have no request in progress, and drops
/// those whose kMaxPullAttempts requests all timed out.
std::vector<OutgoingMessage>
RequestWantedKeys(Dissemination& aDissemination, TimePoint aNow)
{
  auto& wanted = aDissemination.mWantedKeys;
  std::erase_if(wanted, [&](const auto& aEntry) {
    return aEntry.second.mAttempts >= kMaxPullAttempts &&
           aNow - aEntry.second.mLastRequest >= kPullTimeout;
  });
  std::map<state::Endpoint, Pull> pulls;
  for (auto& [key, wantedKey] : wanted) {
    const bool requested =
      wantedKey.mAttempts > 0 && aNow - wantedKey.mLastRequest < kPullTimeout;
    auto& pull = pulls[wantedKey.mSource];
    if (!requested && pull.mKeys.size() < kMaxKeysPerPull) {
      pull.mKeys.push_back(key);
      wantedKey.mLastRequest = aNow;
      ++wantedKey.mAttempts;
    }
  }
  std::vector<OutgoingMessage> outgoing;
  for (auto& [source, pull] : pulls) {
    if (!pull.mKeys.empty()) {
      pull.mToken = aDissemination.mNextToken++;
      outgoing.push_back({ source, std::move(pull) });
    }
  }
  return outgoing;
}

} // namespace

Digest
MakeDigest(Dissemination& aDissemination,
           const state::ConfigurationStore& aStore,
           TimePoint aNow)
{
  auto& recent = aDissemination.mRecentChanges;
  while (!recent.empty() &&
         aNow - recent.back().mSince >= kRecentChangeRetention) {
    recent.pop_back();
  }
  Digest digest;
  for (const auto& change : recent) {
    digest.mRecentChanges.push_back(MakeEntry(aStore, change.mKey));
  }
  digest.mStoreHash = state::StoreHash(aStore);
  return digest;
}

std::vector<OutgoingMessage>
AnnounceChanges(Dissemination& aDissemination,
                const state::ConfigurationStore& aStore,
                const Membership& aMembership,
                const std::set<std::string>& aChanged,
                RandomGenerator& aRandom,
                TimePoint aNow)
{
  if (aChanged.empty()) {
    return {};
  }
  auto& recent = aDissemination.mRecentChanges;
  for (const auto& key : aChanged) {
    std::erase_if(recent,
                  [&](const auto& aChange) { return aChange.mKey == key; });
    recent.push_front({ key, aNow });
  }
  if (recent.size() > kMaxKeysPerDigest) {
    recent.resize(kMaxKeysPerDigest);
  }
  aDissemination.mLastChange = aNow;
  const auto digest = MakeDigest(aDissemination, aStore, aNow);
  std::vector<OutgoingMessage> outgoing;
  for (const auto* peer : ChooseMembers(
         aMembership, aMembership.mSelf.mDataCentre, kDigestFanout, aRandom)) {
    outgoing.push_back({ peer->mUpdate.mPeerEndpoint, digest });
  }
  for (const auto& dataCentre : OtherDataCentres(aMembership)) {
    if (IsAssigned(aMembership, "contact/" + dataCentre.mValue, 1)) {
      for (const auto* peer :
           ChooseMembers(aMembership, dataCentre, 1, aRandom)) {
        outgoing.push_back({ peer->mUpdate.mPeerEndpoint, digest });
      }
    }
  }
  return outgoing;
}

std::vector<OutgoingMessage>
TickDissemination(Dissemination& aDissemination,
                  const state::ConfigurationStore& aStore,
                  const Membership& aMembership,
                  RandomGenerator& aRandom,
                  TimePoint aNow)
{
  auto outgoing = RequestWantedKeys(aDissemination, aNow);
  if (aNow < aDissemination.mNextDigest) {
    return outgoing;
  }
  aDissemination.mNextDigest = aNow + kDigestPeriod;
  const auto digest = MakeDigest(aDissemination, aStore, aNow);
  for (const auto* peer :
       ChooseMembers(aMembership, aMembership.mSelf.mDataCentre, 1, aRandom)) {
    outgoing.push_back({ peer->mUpdate.mPeerEndpoint, digest });
  }
  const auto others = OtherDataCentres(aMembership);
  std::vector<state::DataCentreId> chosen;
  std::sample(
    others.begin(), others.end(), std::back_inserter(chosen), 1, aRandom);
  for (const auto& dataCentre : chosen) {
    if (!IsAssigned(aMembership, "contact", 1)) {
      continue;
    }
    for (const auto* peer :
         ChooseMembers(aMembership, dataCentre, 1, aRandom)) {
      outgoing.push_back({ peer->mUpdate.mPeerEndpoint, digest });
    }
  }
  return outgoing;
}

std::vector<OutgoingMessage>
HandleDigest(Dissemination& aDissemination,
             state::ConfigurationStore& aStore,
             const ControlMessage& aMessage,
             const Digest& aDigest,
             TimePoint aNow)
{
  aDissemination.mLastDigest = aNow;
  if (aDigest.mStoreHash == state::StoreHash(aStore)) {
    state::RaiseCompleteRevision(aStore, aMessage.mRevisionInForce);
    return {};
  }
  const auto& sender = aMessage.mSender;
  AddWantedKeys(aDissemination,
                aStore,
                aDigest.mRecentChanges,
                sender.mControlEndpoint,
                aNow);
  auto outgoing = RequestWantedKeys(aDissemination, aNow);
  if (!outgoing.empty() || !aDissemination.mWantedKeys.empty()) {
    return outgoing;
  }
  const auto own = MakeDigest(aDissemination, aStore, aNow);
  if (!aDigest.mReply && !own.mRecentChanges.empty()) {
    auto reply = own;
    reply.mReply = true;
    outgoing.push_back({ sender.mPeerEndpoint, std::move(reply) });
  }
  if (aNow - aDissemination.mLastChange >= kMinTimeSinceChange) {
    const auto comparison = RequestFullComparison(
      aDissemination, aStore, sender.mControlEndpoint, false, aNow);
    outgoing.insert(outgoing.end(), comparison.begin(), comparison.end());
  }
  return outgoing;
}

std::vector<OutgoingMessage>
RequestFullComparison(Dissemination& aDissemination,
                      const state::ConfigurationStore& aStore,
                      const state::Endpoint& aSource,
                      bool aWantsMembers,
                      TimePoint aNow)
{
  if (aNow - aDissemination.mLastComparison < kMinComparisonInterval) {
    return {};
  }
  aDissemination.mLastComparison = aNow;
  const Pull pull{ aDissemination.mNextToken++,
                   {},
                   { aStore.mBucketHashes.begin(), aStore.mBucketHashes.end() },
                   aWantsMembers };
  return { { aSource, pull } };
}

PullResponse
AnswerPull(const state::ConfigurationStore& aStore, const Pull& aPull)
{
  PullResponse response;
  response.mToken = aPull.mToken;
  std::size_t bytes = 0;
  for (const auto& key : aPull.mKeys) {
    auto entry = state::FindEntry(aStore, key);
    if (!entry) {
      continue;
    }
    bytes += entry->mLatest.mText.size();
    if (entry->mInForce) {
      bytes += entry->mInForce->mOrganisation.mText.size() +
               entry->mInForce->mTemplate.mText.size();
    }
    if (bytes > kMaxResponseBytes && !response.mEntries.empty()) {
      break;
    }
    response.mEntries.push_back(std::move(*entry));
  }
  if (aPull.mBucketHashes.size() == aStore.mBucketHashes.size()) {
    for (const auto& [key, hash] : aStore.mKeyHashes) {
      const auto bucket = state::BucketOf(key);
      if (aPull.mBucketHashes[bucket] != aStore.mBucketHashes[bucket]) {
        response.mDifferingKeys.push_back(MakeEntry(aStore, key));
      }
    }
  }
  return response;
}

std::vector<OutgoingMessage>
UpdateWantedKeys(Dissemination& aDissemination,
                 const state::ConfigurationStore& aStore,
                 const ControlMessage& aMessage,
                 const PullResponse& aResponse,
                 TimePoint aNow)
{
  for (const auto& entry : aResponse.mEntries) {
    aDissemination.mWantedKeys.erase(entry.mLatest.mKey);
  }
  AddWantedKeys(aDissemination,
                aStore,
                aResponse.mDifferingKeys,
                aMessage.mSender.mControlEndpoint,
                aNow);
  return RequestWantedKeys(aDissemination, aNow);
}

} // namespace sassafrasknot::coordination
