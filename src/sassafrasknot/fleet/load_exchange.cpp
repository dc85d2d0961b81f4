#include "load_exchange.hpp"

#include <algorithm>

namespace sassafrasknot::fleet {
namespace {

/// Time after the sending of a successful probe for which its success is
/// reported to peers: a few periods of messages to neighbours, so that one may
/// be lost, and less than the time between probes (kProbeInterval).
constexpr std::chrono::milliseconds kReachableRetention{ 500 };
/// Instances of the first ranks may soon become the designated reader. The
/// other instances of their data centre therefore need a message from them
/// within kDirectContactTimeout.
constexpr std::size_t kLeadingRanks = 3;
/// Upstreams without load whose speeds one message contains at most: 8 bytes
/// each, of the 8 KiB that a receiver accepts.
constexpr std::size_t kMaxIdleSpeeds = 256;

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

/// Returns the sums of the last loads received from local peers.
LoadsByToken
AggregateLocalLoads(const FleetCore& aCore)
{
  LoadsByToken sums;
  for (const auto& [endpoint, loads] : aCore.mPeerLoads) {
    AddLoads(sums, loads);
  }
  return sums;
}

/// Returns a message with the content for all local peers: unresponsive and
/// reachable upstreams, probe candidates and, from the representative, the
/// loads of other data centres. Removes expired entries of mReachable.
FleetMessage
BuildLocalMessage(FleetCore& aCore, std::size_t aRank, state::TimePoint aNow)
{
  auto message = BuildMessage(aCore, aNow);
  // Empty for peers that share no upstream, so that they drop loads that they
  // received while they shared some.
  message.mLoads.emplace();
  message.mUnresponsive = aCore.mUnresponsive;
  message.mProbeCandidates = aCore.mProbeCandidates;
  std::erase_if(aCore.mReachable, [&](const auto& aItem) {
    return aNow - aItem.second > kReachableRetention;
  });
  for (const auto& [token, sent] : aCore.mReachable) {
    message.mReachable.push_back({ token, aNow - sent });
  }
  if (aRank == 0) {
    for (const auto& [dataCentre, received] : aCore.mDataCentreLoads) {
      message.mDataCentreLoads.push_back(received.mLoads);
      message.mDataCentreLoads.back().mAge = aNow - received.mAggregatedAt;
    }
  }
  return message;
}

/// Returns the own loads with the own estimates of speeds, with entries for
/// upstreams that have either.
std::vector<UpstreamLoadEntry>
LoadsWithSpeeds(const FleetCore& aCore)
{
  auto loads = aCore.mOwnLoads;
  auto speeds = aCore.mOwnSpeeds;
  for (auto& load : loads) {
    if (const auto found = speeds.find(load.mToken); found != speeds.end()) {
      load.mSpeedPercent = found->second;
      speeds.erase(found);
    }
  }
  const auto maxEntries = loads.size() + kMaxIdleSpeeds;
  for (const auto& [token, speed] : speeds) {
    if (loads.size() == maxEntries) {
      break;
    }
    loads.push_back({ token, {}, speed });
  }
  return loads;
}

/// Records the speeds of a message, if it contains any.
void
UpdateSpeeds(FleetCore& aCore,
             const state::Endpoint& aSender,
             const std::vector<UpstreamLoadEntry>& aLoads,
             state::TimePoint aSentAfter)
{
  PeerSpeeds speeds{ aSentAfter, {} };
  bool hasSpeeds = false;
  for (const auto& load : aLoads) {
    if (load.mSpeedPercent == 0) {
      continue;
    }
    hasSpeeds = true;
    if (const auto log = flows::LogOfReportedSpeed(load.mSpeedPercent)) {
      speeds.mLogSpeeds.emplace_back(load.mToken, *log);
    } else {
      ++aCore.mIgnoredSpeeds;
    }
  }
  if (hasSpeeds) {
    aCore.mPeerSpeeds[aSender] = std::move(speeds);
    aCore.mPeerSpeedsChanged = true;
  }
}

/// Returns whether the state of upstreams has changed since the last message to
/// others, and that message is old enough for another one ahead of its period.
bool
HasUpdateForOthers(const FleetCore& aCore, state::TimePoint aNow)
{
  const auto& [unresponsive, candidates, reachable] = aCore.mLastSentToOthers;
  const auto isReported = [&reachable = reachable](const auto& aItem) {
    return std::ranges::find(reachable, aItem.first) != reachable.end();
  };
  return aNow - aCore.mLastOthersMessage >=
           aCore.mSettings.mPolicy.mTriggeredUpdateInterval &&
         (aCore.mUnresponsive != unresponsive ||
          aCore.mProbeCandidates != candidates ||
          !std::ranges::all_of(aCore.mReachable, isReported));
}

/// Returns the period of messages to neighbours. It grows with the number of
/// receivers, so that an instance's messages per second stay bounded.
state::Duration
NeighbourPeriod(const FleetPolicy& aPolicy, std::size_t aPeers)
{
  return std::clamp<state::Duration>(static_cast<std::int64_t>(aPeers) *
                                       aPolicy.mNeighbourPeriodPerPeer,
                                     aPolicy.mNeighbourPeriod,
                                     aPolicy.mMaxNeighbourPeriod);
}

/// Returns the period of messages to others, which grows in the same way. The
/// leading ranks use the shorter maximum of messages to neighbours.
state::Duration
OthersPeriod(const FleetPolicy& aPolicy, std::size_t aPeers, std::size_t aRank)
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
    message.mConfirmedAge = aNow - aCore.mReader.mConfirmedAt;
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
  OutgoingMessage outgoing{ std::move(aMessage), {} };
  for (const auto* peer : aPeers) {
    outgoing.mReceivers.push_back(peer->mMember.mEndpoint);
  }
  aActions.mSend.push_back(std::move(outgoing));
}

void
QueueLocalMessages(FleetCore& aCore,
                   FleetActions& aActions,
                   state::TimePoint aNow)
{
  const bool isNeighbourMessageDue = aNow >= aCore.mNextNeighbourMessage;
  const bool isOthersMessageDue =
    aNow >= aCore.mNextOthersMessage || HasUpdateForOthers(aCore, aNow);
  if (!isNeighbourMessageDue && !isOthersMessageDue) {
    return;
  }
  const auto& policy = aCore.mSettings.mPolicy;
  const auto rank = RepresentativeRank(aCore.mPeers, aNow);
  const auto groups = GroupLocalPeers(aCore.mPeers, aNow);
  const auto message = BuildLocalMessage(aCore, rank, aNow);
  if (isNeighbourMessageDue) {
    aCore.mNextNeighbourMessage =
      aNow + NeighbourPeriod(policy, groups.mNeighbours.size());
    auto withLoads = message;
    if (aNow >= aCore.mNextSpeeds && !aCore.mOwnSpeeds.empty()) {
      aCore.mNextSpeeds = aNow + policy.mSpeedsPeriod;
      withLoads.mLoads = LoadsWithSpeeds(aCore);
    } else {
      withLoads.mLoads = aCore.mOwnLoads;
    }
    QueueMessage(aActions, std::move(withLoads), groups.mNeighbours);
  }
  if (isOthersMessageDue) {
    aCore.mNextOthersMessage =
      aNow + OthersPeriod(policy, groups.mOthers.size(), rank);
    aCore.mLastOthersMessage = aNow;
    std::vector<flows::UpstreamToken> reachable;
    std::ranges::transform(message.mReachable,
                           std::back_inserter(reachable),
                           &ReachableUpstream::mToken);
    aCore.mLastSentToOthers = { message.mUnresponsive,
                                message.mProbeCandidates,
                                std::move(reachable) };
    QueueMessage(aActions, message, groups.mOthers);
  }
}

void
QueueDataCentreLoads(FleetCore& aCore,
                     FleetActions& aActions,
                     state::TimePoint aNow)
{
  if (!IsRepresentative(aCore.mPeers, aNow)) {
    return;
  }
  DataCentreLoads aggregated{ aCore.mPeers.mSelf.mDataCentre, {}, {}, {} };
  if (flows::UsesSubsetting(LocalPosition(aCore.mPeers, aNow).mCount)) {
    // The representative's own subset is a sample of the data centre.
    aggregated.mMeanUtilisation = aCore.mLocalUtilisation;
  } else {
    auto sums = AggregateLocalLoads(aCore);
    AddLoads(sums, aCore.mOwnLoads);
    for (const auto& [token, load] : sums) {
      aggregated.mLoads.push_back({ token, load });
    }
  }
  auto message = BuildMessage(aCore, aNow);
  message.mDataCentreLoads.push_back(std::move(aggregated));
  QueueMessage(
    aActions, std::move(message), RemoteRepresentatives(aCore.mPeers, aNow));
}

void
UpdateLoads(FleetCore& aCore,
            const FleetMessage& aMessage,
            state::TimePoint aSentAfter)
{
  if (aMessage.mLoads) {
    const auto& sender = aMessage.mSender.mEndpoint;
    auto& loads = aCore.mPeerLoads[sender] = *aMessage.mLoads;
    std::erase_if(loads, [](const auto& aLoad) {
      return aLoad.mLoad == flows::UpstreamLoad{};
    });
    UpdateSpeeds(aCore, sender, *aMessage.mLoads, aSentAfter);
    aCore.mPeerProbeCandidates[sender] = aMessage.mProbeCandidates;
  }
  for (const auto& loads : aMessage.mDataCentreLoads) {
    if (loads.mDataCentre != aCore.mPeers.mSelf.mDataCentre) {
      auto& received = aCore.mDataCentreLoads[loads.mDataCentre];
      if (const auto aggregatedAt = aSentAfter - loads.mAge;
          aggregatedAt > received.mAggregatedAt) {
        received = { aggregatedAt, loads };
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
  const auto isPeerDead = [&](const auto& aEntry) {
    const auto found = aCore.mPeers.mPeers.find(aEntry.first);
    return found == aCore.mPeers.mPeers.end() || !IsAlive(found->second, aNow);
  };
  std::erase_if(aCore.mPeerLoads, isPeerDead);
  const auto removed =
    std::erase_if(aCore.mPeerSpeeds, [&](const auto& aEntry) {
      return isPeerDead(aEntry) ||
             aNow - aEntry.second.mReceivedAt >= kSpeedReportRetention;
    });
  aCore.mPeerSpeedsChanged = aCore.mPeerSpeedsChanged || removed > 0;
  std::erase_if(aCore.mPeerProbeCandidates, isPeerDead);
}

std::map<flows::UpstreamToken, flows::UpstreamLoad>
PeerLoads(const FleetCore& aCore)
{
  auto loads = AggregateLocalLoads(aCore);
  for (const auto& [dataCentre, received] : aCore.mDataCentreLoads) {
    AddLoads(loads, received.mLoads.mLoads);
  }
  return loads;
}

std::map<flows::UpstreamToken, flows::SharedSpeed>
SharedSpeeds(const FleetCore& aCore)
{
  std::map<flows::UpstreamToken, flows::SharedSpeed> speeds;
  for (const auto& [endpoint, reported] : aCore.mPeerSpeeds) {
    for (const auto& [token, log] : reported.mLogSpeeds) {
      flows::AddSpeedReport(speeds[token], log);
    }
  }
  return speeds;
}

std::map<state::DataCentreId, double>
MeanUtilisations(const FleetCore& aCore)
{
  std::map<state::DataCentreId, double> utilisations;
  for (const auto& [dataCentre, received] : aCore.mDataCentreLoads) {
    if (received.mLoads.mMeanUtilisation) {
      utilisations[dataCentre] = *received.mLoads.mMeanUtilisation;
    }
  }
  return utilisations;
}

} // namespace sassafrasknot::fleet
