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

std::vector<ToldMember>
SampleMembers(FleetCore& aCore, state::TimePoint aNow)
{
  std::vector<ToldMember> members;
  for (const auto& [endpoint, peer] : aCore.mPeers.mPeers) {
    if (IsAlive(peer, aNow)) {
      members.push_back({ peer.mMember, aNow - peer.mSeen });
    }
  }
  std::ranges::shuffle(members, aCore.mRandom);
  members.resize(
    std::min(members.size(), aCore.mSettings.mPolicy.mMembersTold));
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
  auto message = ComposeMessage(aCore, aNow);
  message.mMembers = SampleMembers(aCore, aNow);
  auto receivers = Sample(RemotePeers(aCore.mPeers, aNow), 1, aCore.mRandom);
  std::ranges::copy(Sample(LocalPeers(aCore.mPeers, aNow), 1, aCore.mRandom),
                    std::back_inserter(receivers));
  Send(aActions, std::move(message), receivers);
}

/// Asks the seeds that are not known to live.
void
SendToSeeds(FleetCore& aCore, FleetActions& aActions, state::TimePoint aNow)
{
  auto seeds = aCore.mSettings.mSeeds;
  std::erase_if(seeds, [&](const state::Endpoint& aSeed) {
    const auto found = aCore.mPeers.mPeers.find(aSeed);
    return aSeed == aCore.mPeers.mSelf.mEndpoint ||
           (found != aCore.mPeers.mPeers.end() && IsAlive(found->second, aNow));
  });
  if (!seeds.empty()) {
    aActions.mSend.push_back({ ComposeMessage(aCore, aNow), std::move(seeds) });
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
  auto message = ComposeMessage(aCore, aNow);
  if (auto changes = ChangesAfter(aCore.mCatalogue, aBefore);
      changes.mAfter != 0 &&
      ValueBytes(changes) <= aCore.mSettings.mPolicy.mChangeBytes) {
    message.mChanges = std::move(changes);
  }
  auto receivers = LocalPeers(aCore.mPeers, aNow);
  if (aFromStore) {
    std::ranges::copy(RemoteSpeakers(aCore.mPeers, aNow),
                      std::back_inserter(receivers));
  }
  Send(aActions, std::move(message), receivers);
}

void
TakeChanges(FleetCore& aCore, FleetActions& aActions, const ChangeSet& aChanges)
{
  if (auto changed = Merge(aCore.mCatalogue, aChanges)) {
    std::ranges::move(*changed, std::back_inserter(aActions.mChanged));
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
    aNow - *aCore.mStarted >= aCore.mSettings.mPolicy.mStrongFirst;
  const bool knowsStrongOne =
    std::ranges::any_of(aCore.mPeers.mPeers, [aNow](const auto& aEntry) {
      return !aEntry.second.mMember.mWeak && IsAlive(aEntry.second, aNow);
    });
  return !aMember.mWeak || hasState || hasWaited || !knowsStrongOne;
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
    const bool isKnown = peer.mHeard != state::TimePoint{};
    if (!peer.mMember.mWeak && !isKnown && IsAlive(peer, aNow) &&
        strong.size() < kMostGreeted) {
      strong.push_back(&peer);
    }
  }
  Send(aActions, ComposeMessage(aCore, aNow), strong);
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
    if (isRemote && !aActions.mChanged.empty() && before != 0 &&
        LocalRank(aCore.mPeers, aNow) == 0) {
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
    NoteConfirmed(aCore.mReader, *aMessage.mConfirmedAge, aNow);
  }
}

state::Duration
SeedPeriod(const FleetCore& aCore, state::TimePoint aNow)
{
  const auto& policy = aCore.mSettings.mPolicy;
  if (aCore.mCatalogue.mRevision == 0) {
    return policy.mFirstSeedPeriod;
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
  core.mRandom.seed(aSettings.mSeed);
  core.mPeers.mSelf = aSettings.mSelf;
  core.mReader.mPauses = aSettings.mReaderPauses;
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
  SendLocal(aCore, actions, aNow);
  if (aNow >= aCore.mNextSeed) {
    aCore.mNextSeed = aNow + SeedPeriod(aCore, aNow);
    SendToSeeds(aCore, actions, aNow);
  }
  if (aNow >= aCore.mNextSum) {
    aCore.mNextSum = aNow + policy.mSumPeriod;
    SendSum(aCore, actions, aNow);
  }
  if (aNow >= aCore.mNextRemote) {
    aCore.mNextRemote = aNow + policy.mRemotePeriod;
    actions.mLost = TakeLost(aCore.mPeers, aNow);
    ForgetDead(aCore.mPeers, aNow);
    SendRemote(aCore, actions, aNow);
    ForgetLoads(aCore, aNow);
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
  const bool isNews = NoteHeard(aCore.mPeers, sender, aNow);
  for (const auto& told : aMessage.mMembers) {
    NoteTold(aCore.mPeers, told.mMember, told.mAge, aNow);
  }
  if (isNews) {
    actions.mJoined.push_back(sender);
    auto reply = ComposeMessage(aCore, aNow);
    reply.mMembers = SampleMembers(aCore, aNow);
    actions.mSend.push_back({ std::move(reply), { sender.mEndpoint } });
  }
  NoteLoads(aCore, aMessage, aNow);
  aCore.mPeerProven.insert(aMessage.mProven.begin(), aMessage.mProven.end());
  aCore.mPeerSilence.insert(aMessage.mSilent.begin(), aMessage.mSilent.end());
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
  NoteRead(aCore.mReader, aRead, !aChanges.mRecords.empty(), aNow);
  aCore.mPeers.mSelf.mBlind = false;
  if (!actions.mChanged.empty() && before != 0) {
    SpreadChanges(aCore, actions, before, true, aNow);
  }
  return actions;
}

void
OnStoreFailure(FleetCore& aCore, ReadFailure aFailure, state::TimePoint aNow)
{
  NoteReadFailure(aCore.mReader, aFailure, aCore.mRandom, aNow);
  if (aFailure != ReadFailure::HistoryLost) {
    aCore.mPeers.mSelf.mBlind = true;
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

std::vector<flows::FlowToken>
UpstreamsToProbe(const FleetCore& aCore, state::TimePoint aNow)
{
  if (LocalRank(aCore.mPeers, aNow) != 0) {
    return {};
  }
  std::set<flows::FlowToken> tokens(aCore.mUnanswering.begin(),
                                    aCore.mUnanswering.end());
  for (const auto& [endpoint, unanswering] : aCore.mPeerUnanswering) {
    tokens.insert(unanswering.begin(), unanswering.end());
  }
  return { tokens.begin(), tokens.end() };
}

} // namespace sassafrasknot::fleet
