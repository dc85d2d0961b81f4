#include "sassafrasknot/fleet/fleet_core.hpp"

#include <algorithm>
#include <iterator>

#include "load_exchange.hpp"

namespace sassafrasknot::fleet {
namespace {

std::size_t
ValueBytes(const ChangeSet& aChanges)
{
  std::size_t bytes = 0;
  for (const auto& record : aChanges.mRecords) {
    bytes += record.mKey.size() + record.mValue.size();
  }
  return bytes;
}

std::vector<MemberGossip>
SampleMembers(FleetCore& aCore, state::TimePoint aNow)
{
  std::vector<MemberGossip> members;
  for (const auto& [endpoint, peer] : aCore.mPeers.mPeers) {
    if (IsAlive(peer, aNow)) {
      members.push_back({ peer.mMember, aNow - peer.mLastContact });
    }
  }
  std::ranges::shuffle(members, aCore.mRandom);
  members.resize(
    std::min(members.size(), aCore.mSettings.mPolicy.mMembersPerMessage));
  return members;
}

std::vector<const Peer*>
Sample(std::vector<const Peer*> aPeers,
       std::size_t aCount,
       std::minstd_rand& aRandom)
{
  std::ranges::shuffle(aPeers, aRandom);
  aPeers.resize(std::min(aPeers.size(), aCount));
  return aPeers;
}

/// Sends members to one instance of another data centre and to one of this
/// data centre.
void
SendRemote(FleetCore& aCore, FleetActions& aActions, state::TimePoint aNow)
{
  auto message = BuildMessage(aCore, aNow);
  message.mMembers = SampleMembers(aCore, aNow);
  auto receivers = Sample(RemotePeers(aCore.mPeers, aNow), 1, aCore.mRandom);
  std::ranges::copy(Sample(LocalPeers(aCore.mPeers, aNow), 1, aCore.mRandom),
                    std::back_inserter(receivers));
  QueueMessage(aActions, std::move(message), receivers);
}

/// Asks the seeds that are not known to live.
void
SendToSeeds(FleetCore& aCore, FleetActions& aActions, state::TimePoint aNow)
{
  auto seeds = aCore.mSettings.mSeedEndpoints;
  std::erase_if(seeds, [&](const state::Endpoint& aSeed) {
    const auto found = aCore.mPeers.mPeers.find(aSeed);
    return aSeed == aCore.mPeers.mSelf.mEndpoint ||
           (found != aCore.mPeers.mPeers.end() && IsAlive(found->second, aNow));
  });
  if (!seeds.empty()) {
    aActions.mSend.push_back({ BuildMessage(aCore, aNow), std::move(seeds) });
  }
}

/// Tells all local peers, and the speakers of other data centres, of changes
/// that have just come from outside of this data centre.
void
SpreadChanges(FleetCore& aCore,
              FleetActions& aActions,
              state::Revision aBefore,
              bool aFromStore,
              state::TimePoint aNow)
{
  auto message = BuildMessage(aCore, aNow);
  if (auto changes = ChangesAfter(aCore.mCatalogue, aBefore);
      changes.mAfter != 0 &&
      ValueBytes(changes) <= aCore.mSettings.mPolicy.mMaxInlineChangeBytes) {
    message.mChanges = std::move(changes);
  }
  auto receivers = LocalPeers(aCore.mPeers, aNow);
  if (aFromStore) {
    std::ranges::copy(RemoteRepresentatives(aCore.mPeers, aNow),
                      std::back_inserter(receivers));
  }
  QueueMessage(aActions, std::move(message), receivers);
}

void
TakeChanges(FleetCore& aCore, FleetActions& aActions, const ChangeSet& aChanges)
{
  if (auto changed = Merge(aCore.mCatalogue, aChanges)) {
    std::ranges::move(*changed, std::back_inserter(aActions.mChangedKeys));
  }
}

/// Returns whether a member is to send its full state to this instance.
bool
IsSourceOfState(const FleetCore& aCore,
                const Member& aMember,
                state::TimePoint aNow)
{
  const bool hasState = aCore.mCatalogue.mRevision != 0;
  const bool hasWaited =
    aCore.mStarted &&
    aNow - *aCore.mStarted >= aCore.mSettings.mPolicy.mLowCapacityPullDelay;
  const bool knowsStrongOne =
    std::ranges::any_of(aCore.mPeers.mPeers, [aNow](const auto& aEntry) {
      return !aEntry.second.mMember.mLowCapacity &&
             IsAlive(aEntry.second, aNow);
    });
  return !aMember.mLowCapacity || hasState || hasWaited || !knowsStrongOne;
}

/// Asks the members that can send a full state to many at once. A weak one that
/// did would hold up its callers' packets on its own link.
void
GreetStrongMembers(const FleetCore& aCore,
                   FleetActions& aActions,
                   state::TimePoint aNow)
{
  constexpr std::size_t kMostGreeted = 8;
  std::vector<const Peer*> strong;
  for (const auto& [endpoint, peer] : aCore.mPeers.mPeers) {
    const bool isKnown = peer.mLastDirectContact != state::TimePoint{};
    if (!peer.mMember.mLowCapacity && !isKnown && IsAlive(peer, aNow) &&
        strong.size() < kMostGreeted) {
      strong.push_back(&peer);
    }
  }
  QueueMessage(aActions, BuildMessage(aCore, aNow), strong);
}

/// Takes the changes of a message, or asks its sender for those that lack here.
void
NoteRevision(FleetCore& aCore,
             FleetActions& aActions,
             const FleetMessage& aMessage,
             state::TimePoint aNow)
{
  const auto& sender = aMessage.mSender;
  if (aMessage.mChanges) {
    const auto before = aCore.mCatalogue.mRevision;
    TakeChanges(aCore, aActions, *aMessage.mChanges);
    const bool isRemote = sender.mDataCentre != aCore.mPeers.mSelf.mDataCentre;
    if (isRemote && !aActions.mChangedKeys.empty() && before != 0 &&
        RepresentativeRank(aCore.mPeers, aNow) == 0) {
      SpreadChanges(aCore, aActions, before, false, aNow);
    }
  }
  const auto revision = aCore.mCatalogue.mRevision;
  if (aMessage.mRevision > revision && !aCore.mPulling) {
    if (IsSourceOfState(aCore, sender, aNow)) {
      aCore.mPulling = true;
      aActions.mPull = PullRequest{ sender.mEndpoint, revision };
    } else {
      GreetStrongMembers(aCore, aActions, aNow);
    }
  }
  if (aMessage.mRevision == revision && revision != 0 &&
      aMessage.mConfirmedAge) {
    RecordConfirmation(aCore.mReader, *aMessage.mConfirmedAge, aNow);
  }
}

state::Duration
SeedPeriod(const FleetCore& aCore, state::TimePoint aNow)
{
  const auto& policy = aCore.mSettings.mPolicy;
  if (aCore.mCatalogue.mRevision == 0) {
    return policy.mBootstrapPeriod;
  }
  const bool isAlone = LocalPeers(aCore.mPeers, aNow).empty() &&
                       RemotePeers(aCore.mPeers, aNow).empty();
  return isAlone ? policy.mSeedPeriod : policy.mRejoinPeriod;
}

} // namespace

FleetCore
MakeFleetCore(FleetSettings aSettings)
{
  FleetCore core;
  core.mRandom.seed(aSettings.mRandomSeed);
  core.mPeers.mSelf = aSettings.mSelf;
  core.mReader.mTiming = aSettings.mReaderTiming;
  core.mSettings = std::move(aSettings);
  return core;
}

FleetActions
OnTick(FleetCore& aCore, state::TimePoint aNow)
{
  FleetActions actions;
  const auto& policy = aCore.mSettings.mPolicy;
  if (!aCore.mStarted) {
    aCore.mStarted = aNow;
  }
  QueueLocalMessages(aCore, actions, aNow);
  if (aNow >= aCore.mNextSeed) {
    aCore.mNextSeed = aNow + SeedPeriod(aCore, aNow);
    SendToSeeds(aCore, actions, aNow);
  }
  if (aNow >= aCore.mNextDataCentreLoads) {
    aCore.mNextDataCentreLoads = aNow + policy.mDataCentreLoadsPeriod;
    QueueDataCentreLoads(aCore, actions, aNow);
  }
  if (aNow >= aCore.mNextGossip) {
    aCore.mNextGossip = aNow + policy.mGossipPeriod;
    actions.mDead = CollectNewlyDead(aCore.mPeers, aNow);
    RemoveDead(aCore.mPeers, aNow);
    SendRemote(aCore, actions, aNow);
    RemoveStaleLoads(aCore, aNow);
  }
  actions.mRead = NextRead(aCore.mReader,
                           ReaderRank(aCore.mPeers, aNow),
                           aCore.mCatalogue.mRevision,
                           aNow);
  return actions;
}

FleetActions
OnMessage(FleetCore& aCore, const FleetMessage& aMessage, state::TimePoint aNow)
{
  FleetActions actions;
  const auto& sender = aMessage.mSender;
  if (sender.mEndpoint == aCore.mPeers.mSelf.mEndpoint) {
    return actions;
  }
  const bool isNews = RecordContact(aCore.mPeers, sender, aNow);
  for (const auto& told : aMessage.mMembers) {
    RecordGossip(aCore.mPeers, told.mMember, told.mContactAge, aNow);
  }
  if (isNews) {
    actions.mJoined.push_back(sender);
    auto reply = BuildMessage(aCore, aNow);
    reply.mMembers = SampleMembers(aCore, aNow);
    actions.mSend.push_back({ std::move(reply), { sender.mEndpoint } });
  }
  UpdateLoads(aCore, aMessage, aNow);
  aCore.mReportedReachable.insert(aMessage.mReachable.begin(),
                                  aMessage.mReachable.end());
  aCore.mReportedUnresponsive.insert(aMessage.mUnresponsive.begin(),
                                     aMessage.mUnresponsive.end());
  NoteRevision(aCore, actions, aMessage, aNow);
  return actions;
}

FleetActions
OnStoreAnswer(FleetCore& aCore,
              const StoreRead& aRead,
              const ChangeSet& aChanges,
              state::TimePoint aNow)
{
  FleetActions actions;
  const auto before = aCore.mCatalogue.mRevision;
  TakeChanges(aCore, actions, aChanges);
  RecordRead(aCore.mReader, aRead, !aChanges.mRecords.empty(), aNow);
  aCore.mPeers.mSelf.mStoreUnreachable = false;
  if (!actions.mChangedKeys.empty() && before != 0) {
    SpreadChanges(aCore, actions, before, true, aNow);
  }
  return actions;
}

void
OnStoreFailure(FleetCore& aCore, ReadFailure aFailure, state::TimePoint aNow)
{
  RecordReadFailure(aCore.mReader, aFailure, aCore.mRandom, aNow);
  if (aFailure != ReadFailure::HistoryCompacted) {
    aCore.mPeers.mSelf.mStoreUnreachable = true;
  }
}

FleetActions
OnPulled(FleetCore& aCore, const std::optional<ChangeSet>& aChanges)
{
  FleetActions actions;
  aCore.mPulling = false;
  if (aChanges) {
    TakeChanges(aCore, actions, *aChanges);
  }
  return actions;
}

std::vector<flows::UpstreamToken>
UpstreamsToProbe(const FleetCore& aCore, state::TimePoint aNow)
{
  if (RepresentativeRank(aCore.mPeers, aNow) != 0) {
    return {};
  }
  std::set<flows::UpstreamToken> tokens(aCore.mProbeCandidates.begin(),
                                        aCore.mProbeCandidates.end());
  for (const auto& [endpoint, unanswering] : aCore.mPeerProbeCandidates) {
    tokens.insert(unanswering.begin(), unanswering.end());
  }
  return { tokens.begin(), tokens.end() };
}

} // namespace sassafrasknot::fleet
