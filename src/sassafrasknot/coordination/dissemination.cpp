#include "sassafrasknot/coordination/dissemination.hpp"

#include "sassafrasknot/coordination/member_queries.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

constexpr std::size_t kDigestFanout = 3;
constexpr std::chrono::seconds kDigestPeriod{ 1 };
/// A change is known everywhere long before; then the map hash is enough.
constexpr std::chrono::seconds kRecentFor{ 10 };
/// While changes are spreading, hashes differ and a comparison is not needed.
constexpr std::chrono::seconds kSettleTime{ 2 };
constexpr std::chrono::seconds kComparePeriod{ 1 };
constexpr std::size_t kKeysPerPull = 32;
constexpr std::uint32_t kPullAttempts = 5;
/// Stays well below the default message limit of gRPC, 4 MB.
constexpr std::size_t kBytesPerAnswer = 1 << 20;

using state::TimePoint;

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

bool
Lacks(const state::ConfigurationStore& aStore, const DigestEntry& aEntry)
{
  const auto found = aStore.mKeyHashes.find(aEntry.mKey);
  if (found == aStore.mKeyHashes.end()) {
    return true;
  }
  return found->second != aEntry.mHash &&
         RevisionOf(aStore, aEntry.mKey) <= aEntry.mRevision;
}

/// A key whose pull got no answer in time is asked of the newer source.
void
NoteWanted(Dissemination& aDissemination,
           const state::ConfigurationStore& aStore,
           const std::vector<DigestEntry>& aEntries,
           const state::Endpoint& aSource,
           TimePoint aNow)
{
  for (const auto& entry : aEntries) {
    if (!Lacks(aStore, entry)) {
      continue;
    }
    auto& wanted = aDissemination.mWantedKeys[entry.mKey];
    if (wanted.mAttempts == 0 || aNow - wanted.mLastRequest >= kPullTimeout) {
      wanted.mSource = aSource;
    }
  }
}

/// Asks for the wanted keys that are not on their way.
std::vector<OutgoingMessage>
PullWanted(Dissemination& aDissemination, TimePoint aNow)
{
  auto& wanted = aDissemination.mWantedKeys;
  std::erase_if(wanted, [&](const auto& aEntry) {
    return aEntry.second.mAttempts >= kPullAttempts &&
           aNow - aEntry.second.mLastRequest >= kPullTimeout;
  });
  std::map<state::Endpoint, Pull> pulls;
  for (auto& [key, want] : wanted) {
    const bool onItsWay =
      want.mAttempts > 0 && aNow - want.mLastRequest < kPullTimeout;
    auto& pull = pulls[want.mSource];
    if (!onItsWay && pull.mKeys.size() < kKeysPerPull) {
      pull.mKeys.push_back(key);
      want.mLastRequest = aNow;
      ++want.mAttempts;
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
  while (!recent.empty() && aNow - recent.back().mSince >= kRecentFor) {
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
  if (recent.size() > kKeysPerDigest) {
    recent.resize(kKeysPerDigest);
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
  auto outgoing = PullWanted(aDissemination, aNow);
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
  NoteWanted(aDissemination,
             aStore,
             aDigest.mRecentChanges,
             sender.mControlEndpoint,
             aNow);
  auto outgoing = PullWanted(aDissemination, aNow);
  if (!outgoing.empty() || !aDissemination.mWantedKeys.empty()) {
    return outgoing;
  }
  const auto own = MakeDigest(aDissemination, aStore, aNow);
  if (!aDigest.mReply && !own.mRecentChanges.empty()) {
    auto answer = own;
    answer.mReply = true;
    outgoing.push_back({ sender.mPeerEndpoint, std::move(answer) });
  }
  if (aNow - aDissemination.mLastChange >= kSettleTime) {
    const auto compare = RequestFullComparison(
      aDissemination, aStore, sender.mControlEndpoint, false, aNow);
    outgoing.insert(outgoing.end(), compare.begin(), compare.end());
  }
  return outgoing;
}

std::vector<OutgoingMessage>
RequestFullComparison(Dissemination& aDissemination,
                      const state::ConfigurationStore& aStore,
                      const state::Endpoint& aSource,
                      bool aMembers,
                      TimePoint aNow)
{
  if (aNow - aDissemination.mLastComparison < kComparePeriod) {
    return {};
  }
  aDissemination.mLastComparison = aNow;
  const Pull pull{ aDissemination.mNextToken++,
                   {},
                   { aStore.mBucketHashes.begin(), aStore.mBucketHashes.end() },
                   aMembers };
  return { { aSource, pull } };
}

PullResponse
AnswerPull(const state::ConfigurationStore& aStore, const Pull& aPull)
{
  PullResponse records;
  records.mToken = aPull.mToken;
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
    if (bytes > kBytesPerAnswer && !records.mEntries.empty()) {
      break;
    }
    records.mEntries.push_back(std::move(*entry));
  }
  if (aPull.mBucketHashes.size() == aStore.mBucketHashes.size()) {
    for (const auto& [key, hash] : aStore.mKeyHashes) {
      const auto bucket = state::BucketOf(key);
      if (aPull.mBucketHashes[bucket] != aStore.mBucketHashes[bucket]) {
        records.mDifferingKeys.push_back(MakeEntry(aStore, key));
      }
    }
  }
  return records;
}

std::vector<OutgoingMessage>
UpdateWantedKeys(Dissemination& aDissemination,
                 const state::ConfigurationStore& aStore,
                 const ControlMessage& aMessage,
                 const PullResponse& aRecords,
                 TimePoint aNow)
{
  for (const auto& entry : aRecords.mEntries) {
    aDissemination.mWantedKeys.erase(entry.mLatest.mKey);
  }
  NoteWanted(aDissemination,
             aStore,
             aRecords.mDifferingKeys,
             aMessage.mSender.mControlEndpoint,
             aNow);
  return PullWanted(aDissemination, aNow);
}

} // namespace sassafrasknot::coordination
