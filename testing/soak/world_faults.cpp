#include <algorithm>
#include <csignal>
#include <utility>

#include "world.hpp"

namespace soak {

using std::chrono::milliseconds;

namespace {

/// Share of packets that are lost, of those that are late and of those that are
/// repeated.
constexpr double kLossShare = 0.05;
/// Extra delay of the store's answers.
constexpr milliseconds kStoreAnswerDelay{ 250 };
/// Time after which the platform removes the entry of a stopped upstream: three
/// missed heartbeats.
constexpr milliseconds kEntryLapseTime{ 3600 };
/// A draining upstream serves for this time and for the fault's duration.
constexpr milliseconds kDrainTime{ 3000 };
/// Time in which an instance answers the first pull before FreezeReader pauses
/// it.
constexpr milliseconds kAnswerTime{ 10 };
/// Number, first port and address of the routes that changes add and remove.
constexpr std::size_t kTestRoutes = 4;
constexpr std::uint16_t kFirstTestPort = 20000;
constexpr std::uint32_t kTestAddress = 0xC6120003;

} // namespace

void
World::InjectFault(const Fault& aFault)
{
  ++mReport.mFaults[std::string(ToString(aFault.mKind))];
  auto& instance = *mInstances[aFault.mTarget % mInstances.size()];
  switch (aFault.mKind) {
    case FaultKind::Terminate:
    case FaultKind::Reload:
    case FaultKind::Kill:
    case FaultKind::KillAll:
    case FaultKind::Pause:
      InjectProcessFault(aFault, instance);
      break;
    case FaultKind::AddRoute:
    case FaultKind::RemoveRoute:
      ChangeRoutes(aFault.mKind == FaultKind::AddRoute, aFault.mTarget);
      break;
    case FaultKind::FreezeReader:
      FreezeReader(aFault);
      break;
    case FaultKind::StoreDown:
    case FaultKind::StoreUnresponsive:
    case FaultKind::StoreSlow:
    case FaultKind::StoreLosesHistory:
      InjectStoreFault(aFault);
      break;
    case FaultKind::TurnReadersAway:
      TurnReadersAway(aFault);
      break;
    case FaultKind::SilenceUpstreams:
      SilenceUpstreams(aFault);
      break;
    case FaultKind::DelayUpstreams:
      DelayUpstream(aFault);
      break;
    case FaultKind::Evacuate:
      Evacuate(aFault);
      break;
    case FaultKind::ReplaceUpstream:
    case FaultKind::CrashUpstream:
    case FaultKind::RestartUpstream:
      InjectUpstreamFault(aFault);
      break;
    default:
      InjectLinkFault(aFault, instance);
  }
}

void
World::Kill(Instance& aInstance)
{
  if (aInstance.mProcess) {
    aInstance.mWasKilled = true;
    DisturbComponent(aInstance.mName, {});
    aInstance.mProcess->Signal(SIGKILL);
  }
}

void
World::InjectProcessFault(const Fault& aFault, Instance& aInstance)
{
  if (aFault.mKind == FaultKind::KillAll) {
    for (const auto& instance : mInstances) {
      Kill(*instance);
    }
    // Packets between callers and upstreams are lost at all instances, which
    // may break any flow.
    DisturbAll({});
    return;
  }
  if (!aInstance.mProcess || aInstance.mIsStopping || aInstance.mIsPaused) {
    return;
  }
  if (aFault.mKind == FaultKind::Terminate) {
    aInstance.mIsStopping = true;
    aInstance.mTerminationTime = Clock::now();
    aInstance.mProcess->Signal(SIGTERM);
  } else if (aFault.mKind == FaultKind::Reload) {
    aInstance.mProcess->Signal(SIGHUP);
  } else if (aFault.mKind == FaultKind::Kill) {
    Kill(aInstance);
  } else {
    Pause(aInstance, aFault.mDuration);
  }
}

void
World::Pause(Instance& aInstance, milliseconds aDuration)
{
  aInstance.mIsPaused = true;
  DisturbComponent(aInstance.mName, aDuration);
  aInstance.mProcess->Signal(SIGSTOP);
  RunAfter(mContext, aDuration, [this, &aInstance] {
    if (aInstance.mProcess && std::exchange(aInstance.mIsPaused, false)) {
      aInstance.mProcess->Signal(SIGCONT);
    }
  });
}

void
World::FreezeReader(const Fault& aFault)
{
  const auto endpoint = ChangeRoutes(true, aFault.mTarget);
  if (!endpoint) {
    return;
  }
  PauseFirstSource(aFault.mDuration);
  constexpr int kFeeds = 20;
  constexpr milliseconds kFeedInterval{ 20 };
  for (int i = 0; i < kFeeds; ++i) {
    RunAfter(mContext, i * kFeedInterval, [this, endpoint] {
      mCallers[mRandom() % mCallers.size()]->StartRequest(FlowKind::Feed,
                                                          *endpoint);
    });
  }
}

void
World::PauseFirstSource(milliseconds aDuration)
{
  for (const auto& instance : mInstances) {
    instance->mPullRelay->mOnAccepted = [this, aDuration, &instance] {
      for (const auto& each : mInstances) {
        each->mPullRelay->mOnAccepted = nullptr;
      }
      // Further requests are on their way to it while it answers the first one.
      instance->mPullRelay->mConditions.mBlackhole = true;
      RunAfter(mContext, kAnswerTime, [this, aDuration, &instance] {
        instance->mPullRelay->mConditions.mBlackhole =
          instance->mInboundBlocks > 0;
        if (instance->mProcess && !instance->mIsStopping &&
            !instance->mIsPaused) {
          Pause(*instance, aDuration);
        }
      });
    };
  }
}

std::optional<Endpoint>
World::ChangeRoutes(bool aAdd, std::size_t aTarget)
{
  const auto number = aTarget % kTestRoutes;
  const Endpoint endpoint{
    { kTestAddress }, static_cast<std::uint16_t>(kFirstTestPort + number)
  };
  auto found = std::ranges::find(mTestRoutes, endpoint, &TestRoute::mEndpoint);
  if (found == mTestRoutes.end()) {
    found = mTestRoutes.insert(found, { endpoint, {}, !aAdd });
  }
  if (found->mIsPresent == aAdd) {
    return std::nullopt;
  }
  found->mIsPresent = aAdd;
  PublishConfiguration();
  found->mChangeTime = Clock::now();
  return endpoint;
}

void
World::InjectStoreFault(const Fault& aFault)
{
  DisturbComponent(kStoreComponent, aFault.mDuration);
  if (aFault.mKind == FaultKind::StoreLosesHistory) {
    mStore->CompactHistory();
    return;
  }
  const auto forEachStoreRelay = [this](const auto& aAction) {
    for (const auto& instance : mInstances) {
      aAction(*instance->mStoreRelay);
    }
  };
  ++mActiveStoreFaults;
  if (aFault.mKind == FaultKind::StoreDown) {
    constexpr unsigned kUnavailable = 503;
    mStore->SetStatus(kUnavailable);
  } else if (aFault.mKind == FaultKind::StoreUnresponsive) {
    forEachStoreRelay([](ConnectionRelay& aRelay) {
      aRelay.mConditions.mBlackhole = true;
      aRelay.BlackholeOpen();
    });
  } else {
    forEachStoreRelay([](ConnectionRelay& aRelay) {
      aRelay.mConditions.mDelay = kStoreAnswerDelay;
    });
  }
  RunAfter(mContext, aFault.mDuration, [this, forEachStoreRelay] {
    if (--mActiveStoreFaults > 0) {
      return;
    }
    constexpr unsigned kOk = 200;
    mStore->SetStatus(kOk);
    forEachStoreRelay([](ConnectionRelay& aRelay) { aRelay.mConditions = {}; });
  });
}

std::shared_ptr<Upstream>
World::PickUpstream(std::size_t aTarget)
{
  // The first two live upstreams of each service are never chosen, so that
  // requests can always be served.
  std::vector<std::shared_ptr<Upstream>> candidates;
  for (const auto& service : { "desk", "intake" }) {
    std::vector<std::shared_ptr<Upstream>> ofService;
    std::ranges::copy_if(
      mUpstreams, std::back_inserter(ofService), [&](const auto& aUpstream) {
        return aUpstream->mService == service && !aUpstream->mStopped &&
               !aUpstream->mDraining;
      });
    if (ofService.size() > 2) {
      candidates.insert(
        candidates.end(), ofService.begin() + 2, ofService.end());
    }
  }
  return candidates.empty() ? nullptr : candidates[aTarget % candidates.size()];
}

void
World::ReplaceUpstream(Upstream& aOld)
{
  AddUpstream(aOld.mService, mNextLabel++);
  aOld.mDraining = true;
  if (mOptions.mSabotage != "drain") {
    PublishUpstream(aOld);
  }
  mDrainTimes[aOld.mLabel] = Clock::now();
}

void
World::InjectUpstreamFault(const Fault& aFault)
{
  const auto upstream = PickUpstream(aFault.mTarget);
  if (!upstream) {
    return;
  }
  const auto stop = [this, upstream] {
    DisturbComponent(FormatLabel(upstream->mLabel), std::chrono::hours(1));
    upstream->Stop();
  };
  if (aFault.mKind == FaultKind::RestartUpstream) {
    DisturbComponent(FormatLabel(upstream->mLabel), {});
    upstream->DropFlows();
    PublishUpstream(*upstream);
  } else if (aFault.mKind == FaultKind::CrashUpstream) {
    stop();
    RunAfter(mContext, kEntryLapseTime, [this, upstream] {
      WithdrawUpstream(*upstream);
    });
    RunAfter(mContext, aFault.mDuration, [this, upstream] {
      AddUpstream(upstream->mService, mNextLabel++);
    });
  } else {
    ReplaceUpstream(*upstream);
    RunAfter(mContext, kDrainTime + aFault.mDuration, [this, upstream, stop] {
      stop();
      WithdrawUpstream(*upstream);
    });
  }
}

void
World::BlockInstance(Instance& aInstance,
                     bool aBothDirections,
                     milliseconds aDuration)
{
  DisturbComponent(aInstance.mName, aDuration);
  const auto updateBlocks = [&aInstance, aBothDirections](int aChange) {
    aInstance.mInboundBlocks += aChange;
    aInstance.mOutboundBlocks += aBothDirections ? aChange : 0;
    const bool isBlocked = aInstance.mInboundBlocks > 0;
    aInstance.mPullRelay->mConditions.mBlackhole = isBlocked;
    aInstance.mStoreRelay->mConditions.mBlackhole = isBlocked;
    if (isBlocked) {
      aInstance.mPullRelay->BlackholeOpen();
      aInstance.mStoreRelay->BlackholeOpen();
    }
  };
  updateBlocks(1);
  RunAfter(mContext, aDuration, [updateBlocks] { updateBlocks(-1); });
}

void
World::PartitionDataCentre(milliseconds aDuration)
{
  DisturbAll(aDuration);
  ++mDataCentrePartitions;
  const auto setPullRelays = [this](bool aBlackhole) {
    for (const auto& instance : mInstances) {
      if (instance->mDataCentre == "a") {
        instance->mPullRelay->mConditions.mBlackhole = aBlackhole;
      }
    }
  };
  setPullRelays(true);
  RunAfter(mContext, aDuration, [this, setPullRelays] {
    setPullRelays(--mDataCentrePartitions > 0);
  });
}

void
World::InjectLinkFault(const Fault& aFault, Instance& aInstance)
{
  if (aFault.mKind == FaultKind::IsolateInstance ||
      aFault.mKind == FaultKind::BlockInbound) {
    BlockInstance(
      aInstance, aFault.mKind == FaultKind::IsolateInstance, aFault.mDuration);
  } else if (aFault.mKind == FaultKind::PartitionDataCentre) {
    PartitionDataCentre(aFault.mDuration);
  } else if (aFault.mKind == FaultKind::Lossy) {
    DisturbAll(aFault.mDuration);
    mLoss += kLossShare;
    RunAfter(mContext, aFault.mDuration, [this] { mLoss -= kLossShare; });
  } else {
    DisturbAll({});
    for (const auto& instance : mInstances) {
      for (const auto& relay :
           { instance->mStoreRelay, instance->mPullRelay }) {
        if (aFault.mKind == FaultKind::BlackholeConnections) {
          relay->BlackholeOpen();
        } else {
          relay->ResetOpen();
        }
      }
    }
  }
}

void
World::ResetOpenFlow(const FlowEndpoints& aEndpoints, const std::string& aBytes)
{
  const auto found = mFlows.find(aEndpoints);
  const auto packet = sassafrasknot::testing::Decode(aBytes);
  if (found == mFlows.end() || !packet ||
      !IsFlowStable(*mInstances[0], found->second.mLabel)) {
    return;
  }
  mOptions.mSabotage.clear();
  WirePacket reset{ packet->mAcknowledged, 0, sassafrasknot::testing::kRst };
  reset.mSource = aEndpoints.second;
  reset.mDestination = aEndpoints.first;
  const auto bytes = Encode(reset);
  mCallers[HostNumber(aEndpoints.first)]->Receive(
    mAddresses.Instance(0, kTrafficPort), { bytes.begin(), bytes.end() });
}

void
World::ScheduleDeliberateFault()
{
  constexpr milliseconds kDelay{ 3000 };
  RunAfter(mContext, kDelay, [this] {
    const auto& kind = mOptions.mSabotage;
    const auto instance = mAddresses.Instance(0, kTrafficPort);
    if (kind == "ends" && mInstances[0]->mProcess) {
      mInstances[0]->mProcess->Signal(SIGKILL);
    } else if (kind == "mixed") {
      WirePacket packet{ 1, 1, sassafrasknot::testing::kAck };
      packet.mData = "changed";
      const auto bytes = Encode(packet);
      mCallers[0]->Receive(instance, { bytes.begin(), bytes.end() });
    } else if (kind == "unasked" || kind == "route") {
      WirePacket packet{ 1, 0, sassafrasknot::testing::kSyn };
      packet.mSource = { mAddresses.Caller(0).mAddress, 9 };
      packet.mDestination = kIntake;
      packet.mSum = Checksum(packet) + (kind == "unasked" ? 1 : 0);
      const auto bytes = std::string(8, '\0') + Encode(packet);
      mUpstreams[0]->Receive(instance, { bytes.begin(), bytes.end() });
    }
  });
  if (mOptions.mSabotage == "recover") {
    RunAfter(mContext, mOptions.mLength, [this] {
      mAreRestartsSuspended = true;
      for (const auto& instance : mInstances) {
        instance->mIsPaused = true;
        if (instance->mProcess) {
          instance->mProcess->Signal(SIGSTOP);
        }
      }
    });
  }
}

} // namespace soak
