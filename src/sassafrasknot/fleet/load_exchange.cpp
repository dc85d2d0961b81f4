#include "load_exchange.hpp"

#include <algorithm>

namespace sassafrasknot::fleet {
namespace {

/// How long an answer to a probe is told: a few periods of messages, so that
/// one may be lost, and less than the pause between probes.
constexpr std::chrono::milliseconds kProvenTold{ 500 };
/// Instances of these ranks may soon have to read the platform for the others,
/// which therefore have to hear them within kDirectContactTimeout.
constexpr std::size_t kLeadingRanks = 3;

using LoadsByToken = std::map<flows::UpstreamToken, flows::UpstreamLoad>;

void
AddLoads(LoadsByToken& aSums, const std::vector<UpstreamLoadEntry>& aLoads)
{
  for (const auto& load : aLoads) {
    auto& sum = aSums[load.mToken];
    sum.mFeeds += load.mLoad.mFeeds;
    sum.mActiveRequests += load.mLoad.mActiveRequests;
  }
}

/// Loads of the other instances of this data centre.
LoadsByToken
SumLocalLoads(const FleetCore& aCore)
{
  LoadsByToken sums;
  for (const auto& [endpoint, loads] : aCore.mPeerLoads) {
    AddLoads(sums, loads);
  }
  return sums;
}

/// A message of what all local peers need.
FleetMessage
ComposeLocal(FleetCore& aCore, std::size_t aRank, state::TimePoint aNow)
{
  auto message = BuildMessage(aCore, aNow);
  // Empty for peers that share no upstream, so that they forget earlier ones.
  message.mLoads.emplace();
  message.mUnresponsive = aCore.mUnresponsive;
  message.mProbeCandidates = aCore.mProbeCandidates;
  std::erase_if(aCore.mReachable, [&](const auto& aItem) {
    return aNow - aItem.second > kProvenTold;
  });
  for (const auto& [token, sent] : aCore.mReachable) {
    message.mReachable.push_back(token);
  }
  if (aRank == 0) {
    for (const auto& [dataCentre, received] : aCore.mDataCentreLoads) {
      message.mDataCentreLoads.push_back(received.mLoads);
      message.mDataCentreLoads.back().mAge = aNow - received.mAggregatedAt;
    }
  }
  return message;
}

/// Returns whether all local peers have to learn of upstreams soon.
bool
HasFarNews(const FleetCore& aCore, state::TimePoint aNow)
{
  const auto& [silent, unanswering, proven] = aCore.mLastSentToOthers;
  const auto isTold = [&proven = proven](const auto& aItem) {
    return std::ranges::find(proven, aItem.first) != proven.end();
  };
  return aNow - aCore.mLastOthersMessage >=
           aCore.mSettings.mPolicy.mTriggeredUpdateInterval &&
         (aCore.mUnresponsive != silent ||
          aCore.mProbeCandidates != unanswering ||
          !std::ranges::all_of(aCore.mReachable, isTold));
}

/// The periods grow with the number of receivers, so that an instance's
/// messages per second stay bounded.
state::Duration
NearPeriod(const FleetPolicy& aPolicy, std::size_t aPeers)
{
  return std::clamp<state::Duration>(static_cast<std::int64_t>(aPeers) *
                                       aPolicy.mNeighbourPeriodPerPeer,
                                     aPolicy.mNeighbourPeriod,
                                     aPolicy.mMaxNeighbourPeriod);
}

state::Duration
FarPeriod(const FleetPolicy& aPolicy, std::size_t aPeers, std::size_t aRank)
{
  return std::clamp<state::Duration>(
    static_cast<std::int64_t>(aPeers) * aPolicy.mOthersPeriodPerPeer,
    aPolicy.mNeighbourPeriod,
    aRank < kLeadingRanks ? aPolicy.mMaxNeighbourPeriod
                          : aPolicy.mMaxOthersPeriod);
}

} // namespace

FleetMessage
BuildMessage(const FleetCore& aCore, state::TimePoint aNow)
{
  FleetMessage message;
  message.mSender = aCore.mPeers.mSelf;
  message.mRevision = aCore.mCatalogue.mRevision;
  if (aCore.mReader.mEverConfirmed) {
    message.mConfirmedAge = aNow - aCore.mReader.mConfirmed;
  }
  return message;
}

void
QueueMessage(FleetActions& aActions,
             FleetMessage aMessage,
             const std::vector<const Peer*>& aPeers)
{
  if (aPeers.empty()) {
    return;
  }
  OutgoingMessage sending{ std::move(aMessage), {} };
  for (const auto* peer : aPeers) {
    sending.mReceivers.push_back(peer->mMember.mEndpoint);
  }
  aActions.mSend.push_back(std::move(sending));
}

void
QueueLocalMessages(FleetCore& aCore,
                   FleetActions& aActions,
                   state::TimePoint aNow)
{
  const bool isNearDue = aNow >= aCore.mNextNeighbourMessage;
  const bool isFarDue =
    aNow >= aCore.mNextOthersMessage || HasFarNews(aCore, aNow);
  if (!isNearDue && !isFarDue) {
    return;
  }
  const auto& policy = aCore.mSettings.mPolicy;
  const auto rank = RepresentativeRank(aCore.mPeers, aNow);
  const auto neighbours = GroupLocalPeers(aCore.mPeers, aNow);
  const auto message = ComposeLocal(aCore, rank, aNow);
  if (isNearDue) {
    aCore.mNextNeighbourMessage =
      aNow + NearPeriod(policy, neighbours.mNeighbours.size());
    auto withLoads = message;
    withLoads.mLoads = aCore.mLoads;
    QueueMessage(aActions, std::move(withLoads), neighbours.mNeighbours);
  }
  if (isFarDue) {
    aCore.mNextOthersMessage =
      aNow + FarPeriod(policy, neighbours.mOthers.size(), rank);
    aCore.mLastOthersMessage = aNow;
    aCore.mLastSentToOthers = { message.mUnresponsive,
                                message.mProbeCandidates,
                                message.mReachable };
    QueueMessage(aActions, message, neighbours.mOthers);
  }
}

void
QueueDataCentreLoads(FleetCore& aCore,
                     FleetActions& aActions,
                     state::TimePoint aNow)
{
  if (RepresentativeRank(aCore.mPeers, aNow) != 0) {
    return;
  }
  DataCentreLoads sum{ aCore.mPeers.mSelf.mDataCentre, {}, {}, {} };
  if (flows::UsesSubsetting(LocalPosition(aCore.mPeers, aNow).mCount)) {
    // The speaker's own subset is a sample of the data centre.
    sum.mMeanUtilisation = aCore.mLocalUtilisation;
  } else {
    auto sums = SumLocalLoads(aCore);
    AddLoads(sums, aCore.mLoads);
    for (const auto& [token, load] : sums) {
      sum.mLoads.push_back({ token, load });
    }
  }
  auto message = BuildMessage(aCore, aNow);
  message.mDataCentreLoads.push_back(std::move(sum));
  QueueMessage(
    aActions, std::move(message), RemoteRepresentatives(aCore.mPeers, aNow));
}

void
UpdateLoads(FleetCore& aCore,
            const FleetMessage& aMessage,
            state::TimePoint aNow)
{
  if (aMessage.mLoads) {
    const auto& sender = aMessage.mSender.mEndpoint;
    aCore.mPeerLoads[sender] = *aMessage.mLoads;
    aCore.mPeerProbeCandidates[sender] = aMessage.mProbeCandidates;
  }
  for (const auto& sum : aMessage.mDataCentreLoads) {
    if (sum.mDataCentre != aCore.mPeers.mSelf.mDataCentre) {
      auto& received = aCore.mDataCentreLoads[sum.mDataCentre];
      if (const auto summed = aNow - sum.mAge;
          summed > received.mAggregatedAt) {
        received = { summed, sum };
      }
    }
  }
}

void
RemoveStaleLoads(FleetCore& aCore, state::TimePoint aNow)
{
  std::erase_if(aCore.mDataCentreLoads, [&](const auto& aEntry) {
    return aNow - aEntry.second.mAggregatedAt > kDeadTimeout;
  });
  const auto isDead = [&](const auto& aEntry) {
    const auto found = aCore.mPeers.mPeers.find(aEntry.first);
    return found == aCore.mPeers.mPeers.end() || !IsAlive(found->second, aNow);
  };
  std::erase_if(aCore.mPeerLoads, isDead);
  std::erase_if(aCore.mPeerProbeCandidates, isDead);
}

std::map<flows::UpstreamToken, flows::UpstreamLoad>
PeerLoads(const FleetCore& aCore)
{
  auto loads = SumLocalLoads(aCore);
  for (const auto& [dataCentre, received] : aCore.mDataCentreLoads) {
    AddLoads(loads, received.mLoads.mLoads);
  }
  return loads;
}

std::map<state::DataCentreId, double>
MeanUtilisations(const FleetCore& aCore)
{
  std::map<state::DataCentreId, double> uses;
  for (const auto& [dataCentre, received] : aCore.mDataCentreLoads) {
    if (received.mLoads.mMeanUtilisation) {
      uses[dataCentre] = *received.mLoads.mMeanUtilisation;
    }
  }
  return uses;
}

} // namespace sassafrasknot::fleet
