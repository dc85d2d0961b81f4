#include "load_exchange.hpp"

#include <algorithm>

namespace sassafrasknot::fleet {
namespace {

/// How long an answer to a probe is told: a few periods of messages, so that
/// one may be lost, and less than the pause between probes.
constexpr std::chrono::milliseconds kProvenTold{ 500 };
/// Instances of these ranks may soon have to read the platform for the others,
/// which therefore have to hear them within kReaderTimeout.
constexpr std::size_t kLeadingRanks = 3;

using LoadsByToken = std::map<flows::FlowToken, flows::UpstreamLoad>;

void
AddLoads(LoadsByToken& aSums, const std::vector<TokenLoad>& aLoads)
{
  for (const auto& load : aLoads) {
    auto& sum = aSums[load.mToken];
    sum.mFeeds += load.mLoad.mFeeds;
    sum.mAtWork += load.mLoad.mAtWork;
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
  auto message = ComposeMessage(aCore, aNow);
  // Empty for peers that share no upstream, so that they forget earlier ones.
  message.mLoads.emplace();
  message.mSilent = aCore.mSilent;
  message.mUnanswering = aCore.mUnanswering;
  std::erase_if(aCore.mProven, [&](const auto& aItem) {
    return aNow - aItem.second > kProvenTold;
  });
  for (const auto& [token, sent] : aCore.mProven) {
    message.mProven.push_back(token);
  }
  if (aRank == 0) {
    for (const auto& [dataCentre, received] : aCore.mSums) {
      message.mSums.push_back(received.mSum);
      message.mSums.back().mAge = aNow - received.mSummed;
    }
  }
  return message;
}

/// Returns whether all local peers have to learn of upstreams soon.
bool
HasFarNews(const FleetCore& aCore, state::TimePoint aNow)
{
  const auto& [silent, unanswering, proven] = aCore.mFarTold;
  const auto isTold = [&proven = proven](const auto& aItem) {
    return std::ranges::find(proven, aItem.first) != proven.end();
  };
  return aNow - aCore.mLastFar >= aCore.mSettings.mPolicy.mFarNews &&
         (aCore.mSilent != silent || aCore.mUnanswering != unanswering ||
          !std::ranges::all_of(aCore.mProven, isTold));
}

/// The periods grow with the number of receivers, so that an instance's
/// messages per second stay bounded.
state::Duration
NearPeriod(const FleetPolicy& aPolicy, std::size_t aPeers)
{
  return std::clamp<state::Duration>(static_cast<std::int64_t>(aPeers) *
                                       aPolicy.mLocalPeriodPerPeer,
                                     aPolicy.mLocalPeriod,
                                     aPolicy.mLongestLocalPeriod);
}

state::Duration
FarPeriod(const FleetPolicy& aPolicy, std::size_t aPeers, std::size_t aRank)
{
  return std::clamp<state::Duration>(
    static_cast<std::int64_t>(aPeers) * aPolicy.mFarPeriodPerPeer,
    aPolicy.mLocalPeriod,
    aRank < kLeadingRanks ? aPolicy.mLongestLocalPeriod
                          : aPolicy.mLongestFarPeriod);
}

} // namespace

FleetMessage
ComposeMessage(const FleetCore& aCore, state::TimePoint aNow)
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
Send(FleetActions& aActions,
     FleetMessage aMessage,
     const std::vector<const Peer*>& aPeers)
{
  if (aPeers.empty()) {
    return;
  }
  Sending sending{ std::move(aMessage), {} };
  for (const auto* peer : aPeers) {
    sending.mReceivers.push_back(peer->mMember.mEndpoint);
  }
  aActions.mSend.push_back(std::move(sending));
}

void
SendLocal(FleetCore& aCore, FleetActions& aActions, state::TimePoint aNow)
{
  const bool isNearDue = aNow >= aCore.mNextLocal;
  const bool isFarDue = aNow >= aCore.mNextFar || HasFarNews(aCore, aNow);
  if (!isNearDue && !isFarDue) {
    return;
  }
  const auto& policy = aCore.mSettings.mPolicy;
  const auto rank = LocalRank(aCore.mPeers, aNow);
  const auto neighbours = FindNeighbours(aCore.mPeers, aNow);
  const auto message = ComposeLocal(aCore, rank, aNow);
  if (isNearDue) {
    aCore.mNextLocal = aNow + NearPeriod(policy, neighbours.mNear.size());
    auto withLoads = message;
    withLoads.mLoads = aCore.mLoads;
    Send(aActions, std::move(withLoads), neighbours.mNear);
  }
  if (isFarDue) {
    aCore.mNextFar = aNow + FarPeriod(policy, neighbours.mFar.size(), rank);
    aCore.mLastFar = aNow;
    aCore.mFarTold = { message.mSilent, message.mUnanswering, message.mProven };
    Send(aActions, message, neighbours.mFar);
  }
}

void
SendSum(FleetCore& aCore, FleetActions& aActions, state::TimePoint aNow)
{
  if (LocalRank(aCore.mPeers, aNow) != 0) {
    return;
  }
  DataCentreLoads sum{ aCore.mPeers.mSelf.mDataCentre, {}, {}, {} };
  if (flows::IsDivided(LocalPlace(aCore.mPeers, aNow).mCount)) {
    // The speaker's own subset is a sample of the data centre.
    sum.mMeanUse = aCore.mNearUse;
  } else {
    auto sums = SumLocalLoads(aCore);
    AddLoads(sums, aCore.mLoads);
    for (const auto& [token, load] : sums) {
      sum.mLoads.push_back({ token, load });
    }
  }
  auto message = ComposeMessage(aCore, aNow);
  message.mSums.push_back(std::move(sum));
  Send(aActions, std::move(message), RemoteSpeakers(aCore.mPeers, aNow));
}

void
NoteLoads(FleetCore& aCore, const FleetMessage& aMessage, state::TimePoint aNow)
{
  if (aMessage.mLoads) {
    const auto& sender = aMessage.mSender.mEndpoint;
    aCore.mPeerLoads[sender] = *aMessage.mLoads;
    aCore.mPeerUnanswering[sender] = aMessage.mUnanswering;
  }
  for (const auto& sum : aMessage.mSums) {
    if (sum.mDataCentre != aCore.mPeers.mSelf.mDataCentre) {
      auto& received = aCore.mSums[sum.mDataCentre];
      if (const auto summed = aNow - sum.mAge; summed > received.mSummed) {
        received = { summed, sum };
      }
    }
  }
}

void
ForgetLoads(FleetCore& aCore, state::TimePoint aNow)
{
  std::erase_if(aCore.mSums, [&](const auto& aEntry) {
    return aNow - aEntry.second.mSummed > kDeadAfter;
  });
  const auto isDead = [&](const auto& aEntry) {
    const auto found = aCore.mPeers.mPeers.find(aEntry.first);
    return found == aCore.mPeers.mPeers.end() || !IsAlive(found->second, aNow);
  };
  std::erase_if(aCore.mPeerLoads, isDead);
  std::erase_if(aCore.mPeerUnanswering, isDead);
}

std::map<flows::FlowToken, flows::UpstreamLoad>
PeerLoads(const FleetCore& aCore)
{
  auto loads = SumLocalLoads(aCore);
  for (const auto& [dataCentre, received] : aCore.mSums) {
    AddLoads(loads, received.mSum.mLoads);
  }
  return loads;
}

std::map<state::DataCentreId, double>
MeanUses(const FleetCore& aCore)
{
  std::map<state::DataCentreId, double> uses;
  for (const auto& [dataCentre, received] : aCore.mSums) {
    if (received.mSum.mMeanUse) {
      uses[dataCentre] = *received.mSum.mMeanUse;
    }
  }
  return uses;
}

} // namespace sassafrasknot::fleet
