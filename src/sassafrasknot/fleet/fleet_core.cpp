#include "sassafrasknot/fleet/fleet_core.hpp"

#include <algorithm>
#include <iterator>

#include "load_exchange.hpp"

namespace sassafrasknot::fleet {
namespace {

/// Returns the total length of keys and values.
std::size_t
PayloadBytes(const ChangeSet& aChanges)
{
  std::size_t bytes = 0;
  for (const auto& record : aChanges.mRecords) {
    bytes += record.mKey.size() + record.mValue.size();
  }
  return bytes;
}

/// Returns random live members for the member list of a message, at most
/// mMembersPerMessage.
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

/// Returns at most aCount random peers.
std::vector<const Peer*>
Sample(std::vector<const Peer*> aPeers,
       std::size_t aCount,
       std::minstd_rand& aRandom)
{
  std::ranges::shuffle(aPeers, aRandom);
  aPeers.resize(std::min(aPeers.size(), aCount));
  return aPeers;
}

/// Queues a message with a member list to one random remote peer and to one
/// random local peer.
void
SendGossip(FleetCore& aCore, FleetActions& aActions, state::TimePoint aNow)
{
  auto message = BuildMessage(aCore, aNow);
  message.mMembers = SampleMembers(aCore, aNow);
  auto receivers = Sample(RemotePeers(aCore.mPeers, aNow), 1, aCore.mRandom);
  std::ranges::copy(Sample(LocalPeers(aCore.mPeers, aNow), 1, aCore.mRandom),
                    std::back_inserter(receivers));
  QueueMessage(aActions, std::move(message), receivers);
}

/// Queues a message to the seeds that are not live peers. A seed that does not
/// know this instance replies with a member list.
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

/// Queues a message about changes that have just come from outside of this data
/// centre: to all local peers and, if the changes come from the store, also to
/// the representatives of other data centres. It contains the changes if they
/// are small and the history has them; otherwise the receivers pull them.
void
PropagateChanges(FleetCore& aCore,
                 FleetActions& aActions,
                 state::Revision aBefore,
                 bool aFromStore,
                 state::TimePoint aNow)
{
  auto message = BuildMessage(aCore, aNow);
  if (auto changes = ChangesAfter(aCore.mCatalogue, aBefore);
      changes.mAfter != 0 &&
      PayloadBytes(changes) <= aCore.mSettings.mPolicy.mMaxInlineChangeBytes) {
    message.mChanges = std::move(changes);
  }
  auto receivers = LocalPeers(aCore.mPeers, aNow);
  if (aFromStore) {
    std::ranges::copy(RemoteRepresentatives(aCore.mPeers, aNow),
                      std::back_inserter(receivers));
  }
  QueueMessage(aActions, std::move(message), receivers);
}

/// Merges changes into the catalogue and adds the changed keys to the actions.
/// Changes after a gap are ignored.
void
ApplyChanges(FleetCore& aCore,
             FleetActions& aActions,
             const ChangeSet& aChanges)
{
  if (auto changed = Merge(aCore.mCatalogue, aChanges)) {
    std::ranges::move(*changed, std::back_inserter(aActions.mChangedKeys));
  }
}

/// Returns whether this instance may pull from a member. An instance without
/// state would get a full copy and does not pull it from a low-capacity member
/// until mLowCapacityPullDelay is over, unless it knows no live member without
/// low capacity.
bool
IsSourceOfState(const FleetCore& aCore,
                const Member& aMember,
                state::TimePoint aNow)
{
  const bool hasState = aCore.mCatalogue.mRevision != 0;
  const bool isDelayOver =
    aCore.mStartedAt &&
    aNow - *aCore.mStartedAt >= aCore.mSettings.mPolicy.mLowCapacityPullDelay;
  const bool knowsCapableMember =
    std::ranges::any_of(aCore.mPeers.mPeers, [aNow](const auto& aEntry) {
      return !aEntry.second.mMember.mLowCapacity &&
             IsAlive(aEntry.second, aNow);
    });
  return !aMember.mLowCapacity || hasState || isDelayOver ||
         !knowsCapableMember;
}

/// Queues a message to up to kMaxReceivers live members without low capacity
/// from which no message has come yet. Their replies contain their revision,
/// which lets this instance pull from them. A low-capacity member that sent its
/// full state to many instances would delay its callers' packets on its own
/// link.
void
ContactCapableMembers(const FleetCore& aCore,
                      FleetActions& aActions,
                      state::TimePoint aNow)
{
  constexpr std::size_t kMaxReceivers = 8;
  std::vector<const Peer*> capable;
  for (const auto& [endpoint, peer] : aCore.mPeers.mPeers) {
    const bool hasDirectContact = peer.mLastDirectContact != state::TimePoint{};
    if (!peer.mMember.mLowCapacity && !hasDirectContact &&
        IsAlive(peer, aNow) && capable.size() < kMaxReceivers) {
      capable.push_back(&peer);
    }
  }
  QueueMessage(aActions, BuildMessage(aCore, aNow), capable);
}

/// Returns whether an instance has sent a message after a point in time.
bool
HasContactSince(const Peers& aPeers,
                const state::Endpoint& aEndpoint,
                state::TimePoint aTime)
{
  const auto found = aPeers.mPeers.find(aEndpoint);
  return found != aPeers.mPeers.end() &&
         found->second.mLastDirectContact > aTime;
}

/// Returns whether a pull from an instance that is ahead may start although
/// others may be outstanding. A source that still sends messages is only slow,
/// and another transfer would delay callers' packets. An instance without state
/// does not start several, since each would transfer a full copy.
bool
MayPull(const FleetCore& aCore,
        const state::Endpoint& aFrom,
        state::TimePoint aNow)
{
  if (aCore.mPulls.empty()) {
    return true;
  }
  const auto& policy = aCore.mSettings.mPolicy;
  const bool isOutstanding = std::ranges::any_of(
    aCore.mPulls, [&aFrom](const auto& aPull) { return aPull.mFrom == aFrom; });
  const auto& [source, started] = aCore.mPulls.back();
  const bool isSourceSilent = aNow - started >= policy.mPullHedgeDelay &&
                              !HasContactSince(aCore.mPeers, source, started);
  return aCore.mCatalogue.mRevision != 0 && isSourceSilent && !isOutstanding &&
         aCore.mPulls.size() < policy.mMaxPulls;
}

/// Applies the changes of a message. If the sender's revision is still newer,
/// starts a pull from it or contacts members that are better sources; if it is
/// the same, records the sender's confirmation of it.
void
HandleRevision(FleetCore& aCore,
               FleetActions& aActions,
               const FleetMessage& aMessage,
               state::Duration aMaxWait,
               state::TimePoint aNow)
{
  const auto& sender = aMessage.mSender;
  if (aMessage.mChanges) {
    const auto before = aCore.mCatalogue.mRevision;
    ApplyChanges(aCore, aActions, *aMessage.mChanges);
    const bool isRemote = sender.mDataCentre != aCore.mPeers.mSelf.mDataCentre;
    if (isRemote && !aActions.mChangedKeys.empty() && before != 0 &&
        IsRepresentative(aCore.mPeers, aNow)) {
      PropagateChanges(aCore, aActions, before, false, aNow);
    }
  }
  const auto revision = aCore.mCatalogue.mRevision;
  if (aMessage.mRevision > revision && MayPull(aCore, sender.mEndpoint, aNow)) {
    if (IsSourceOfState(aCore, sender, aNow)) {
      aCore.mPulls.push_back({ sender.mEndpoint, aNow });
      aActions.mPull = PullRequest{ sender.mEndpoint, revision };
    } else {
      ContactCapableMembers(aCore, aActions, aNow);
    }
  }
  if (aMessage.mRevision == revision && revision != 0 &&
      aMessage.mConfirmedAge) {
    RecordConfirmation(
      aCore.mReader, *aMessage.mConfirmedAge + kTransitTime + aMaxWait, aNow);
  }
}

/// Returns whether a read may be due. Most ticks are decided by this, without
/// the reader rank, which takes a pass over all members.
bool
MayBeDue(const FleetCore& aCore, state::TimePoint aNow)
{
  const auto& reader = aCore.mReader;
  if (reader.mOutstanding || aNow < reader.mNextCall) {
    return false;
  }
  // A higher rank than 0 only takes over after the shortest timeout.
  const auto& timing = reader.mTiming;
  return !reader.mEverConfirmed ||
         aNow - reader.mConfirmedAt >
           std::min(timing.mTakeOverTimeout, timing.mMaxTakeOverTimeout) ||
         IsRepresentative(aCore.mPeers, aNow);
}

/// Returns the time until the next message to the seeds.
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
  if (!aCore.mStartedAt) {
    aCore.mStartedAt = aNow;
  }
  QueueLocalMessages(aCore, actions, aNow);
  if (aNow >= aCore.mNextSeedMessage) {
    aCore.mNextSeedMessage = aNow + SeedPeriod(aCore, aNow);
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
    SendGossip(aCore, actions, aNow);
    RemoveStaleLoads(aCore, aNow);
  }
  if (MayBeDue(aCore, aNow)) {
    actions.mRead = NextRead(aCore.mReader,
                             ReaderRank(aCore.mPeers, aNow),
                             aCore.mCatalogue.mRevision,
                             aNow);
  }
  return actions;
}

FleetActions
OnMessage(FleetCore& aCore,
          const FleetMessage& aMessage,
          state::Duration aMaxWait,
          state::TimePoint aNow)
{
  FleetActions actions;
  const auto& sender = aMessage.mSender;
  if (sender.mEndpoint == aCore.mPeers.mSelf.mEndpoint) {
    return actions;
  }
  const auto arrivedAfter = aNow - aMaxWait;
  const bool isNewOrRevived = RecordContact(aCore.mPeers, sender, arrivedAfter);
  for (const auto& [member, contactAge] : aMessage.mMembers) {
    RecordGossip(
      aCore.mPeers, member, contactAge + kTransitTime + aMaxWait, aNow);
  }
  if (isNewOrRevived) {
    actions.mJoined.push_back(sender);
    auto reply = BuildMessage(aCore, aNow);
    reply.mMembers = SampleMembers(aCore, aNow);
    actions.mSend.push_back({ std::move(reply), { sender.mEndpoint } });
    if (sender.mDataCentre == aCore.mPeers.mSelf.mDataCentre) {
      // It may have no estimates of its own yet.
      aCore.mNextSpeeds = aNow;
    }
  }
  UpdateLoads(aCore, aMessage, arrivedAfter - kTransitTime);
  for (const auto& [token, probeAge] : aMessage.mReachable) {
    auto& probeSentAt = aCore.mReportedReachable[token];
    probeSentAt = std::max(probeSentAt, arrivedAfter - probeAge);
  }
  if (aMaxWait <= kMaxReportWait) {
    aCore.mReportedUnresponsive.insert(aMessage.mUnresponsive.begin(),
                                       aMessage.mUnresponsive.end());
  }
  HandleRevision(aCore, actions, aMessage, aMaxWait, aNow);
  return actions;
}

FleetActions
OnStoreResponse(FleetCore& aCore,
                const StoreRead& aRead,
                const ChangeSet& aChanges,
                state::Duration aMaxWait,
                state::TimePoint aNow)
{
  FleetActions actions;
  const auto before = aCore.mCatalogue.mRevision;
  ApplyChanges(aCore, actions, aChanges);
  RecordRead(aCore.mReader, aRead, !aChanges.mRecords.empty(), aNow);
  // Other instances may have sent newer changes meanwhile, which this response
  // does not confirm.
  if (aChanges.mUpTo == aCore.mCatalogue.mRevision) {
    RecordConfirmation(aCore.mReader, aMaxWait, aNow);
  }
  aCore.mPeers.mSelf.mStoreUnreachable = false;
  if (!actions.mChangedKeys.empty() && before != 0) {
    PropagateChanges(aCore, actions, before, true, aNow);
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
OnPulled(FleetCore& aCore,
         const state::Endpoint& aFrom,
         const std::optional<ChangeSet>& aChanges)
{
  FleetActions actions;
  std::erase_if(aCore.mPulls,
                [&aFrom](const auto& aPull) { return aPull.mFrom == aFrom; });
  if (aChanges) {
    ApplyChanges(aCore, actions, *aChanges);
  }
  return actions;
}

std::vector<flows::UpstreamToken>
UpstreamsToProbe(const FleetCore& aCore, state::TimePoint aNow)
{
  const auto hasNone = [](const auto& aItem) { return aItem.second.empty(); };
  if ((aCore.mProbeCandidates.empty() &&
       std::ranges::all_of(aCore.mPeerProbeCandidates, hasNone)) ||
      !IsRepresentative(aCore.mPeers, aNow)) {
    return {};
  }
  std::set<flows::UpstreamToken> tokens(aCore.mProbeCandidates.begin(),
                                        aCore.mProbeCandidates.end());
  for (const auto& [endpoint, candidates] : aCore.mPeerProbeCandidates) {
    tokens.insert(candidates.begin(), candidates.end());
  }
  return { tokens.begin(), tokens.end() };
}

} // namespace sassafrasknot::fleet
