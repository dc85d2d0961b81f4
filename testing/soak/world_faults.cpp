#include <algorithm>
#include <csignal>
#include <utility>

#include "world.hpp"

namespace soak {

using std::chrono::milliseconds;

namespace {

/// Share of packets that are lost, and of those that are repeated or late.
constexpr double kLoss = 0.05;
/// The store's answers come later by this time.
constexpr milliseconds kSlowAnswer{ 250 };
/// An entry lapses after three heartbeats of silence.
constexpr milliseconds kLapse{ 3600 };
/// A draining upstream serves for so long, and up to as much longer.
constexpr milliseconds kDrain{ 3000 };
/// Routes that changes add and remove.
constexpr std::size_t kTestRoutes = 4;
constexpr std::uint16_t kFirstTestPort = 20000;
constexpr std::uint32_t kTestAddress = 0xC6120003;

} // namespace

void
World::Execute(const Fault& aFault)
{
  ++mReport.mFaults[std::string(ToString(aFault.mKind))];
  auto& instance = *mInstances[aFault.mTarget % mInstances.size()];
  switch (aFault.mKind) {
    case FaultKind::Terminate:
    case FaultKind::Reload:
    case FaultKind::Kill:
    case FaultKind::KillAll:
    case FaultKind::Pause:
      ExecuteOnProcess(aFault, instance);
      break;
    case FaultKind::AddRoute:
    case FaultKind::RemoveRoute:
      ChangeRoutes(aFault.mKind == FaultKind::AddRoute, aFault.mTarget);
      break;
    case FaultKind::StoreDown:
    case FaultKind::StoreSilent:
    case FaultKind::StoreSlow:
    case FaultKind::StoreForgets:
      ExecuteOnStore(aFault);
      break;
    case FaultKind::ReplaceUpstream:
    case FaultKind::CrashUpstream:
    case FaultKind::RestartUpstream:
      ExecuteOnUpstream(aFault);
      break;
    default:
      ExecuteOnLinks(aFault, instance);
  }
}

void
World::Kill(Instance& aInstance)
{
  if (aInstance.mProcess) {
    aInstance.mWasKilled = true;
    DisturbPart(aInstance.mName, {});
    aInstance.mProcess->Signal(SIGKILL);
  }
}

void
World::ExecuteOnProcess(const Fault& aFault, Instance& aInstance)
{
  if (aFault.mKind == FaultKind::KillAll) {
    for (const auto& instance : mInstances) {
      Kill(*instance);
    }
    // Callers' packets are lost everywhere.
    DisturbAll({});
    return;
  }
  if (!aInstance.mProcess || aInstance.mIsStopping || aInstance.mIsPaused) {
    return;
  }
  if (aFault.mKind == FaultKind::Terminate) {
    aInstance.mIsStopping = true;
    aInstance.mStopSent = Clock::now();
    aInstance.mProcess->Signal(SIGTERM);
  } else if (aFault.mKind == FaultKind::Reload) {
    aInstance.mProcess->Signal(SIGHUP);
  } else if (aFault.mKind == FaultKind::Kill) {
    Kill(aInstance);
  } else {
    aInstance.mIsPaused = true;
    DisturbPart(aInstance.mName, aFault.mFor);
    aInstance.mProcess->Signal(SIGSTOP);
    After(mContext, aFault.mFor, [this, &aInstance] {
      if (aInstance.mProcess && std::exchange(aInstance.mIsPaused, false)) {
        aInstance.mProcess->Signal(SIGCONT);
      }
    });
  }
}

void
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
    return;
  }
  found->mIsPresent = aAdd;
  PublishConfiguration();
  found->mSince = Clock::now();
}

void
World::ExecuteOnStore(const Fault& aFault)
{
  DisturbPart(kStorePart, aFault.mFor);
  if (aFault.mKind == FaultKind::StoreForgets) {
    mStore->CompactHistory();
    return;
  }
  const auto each = [this](const auto& aAction) {
    for (const auto& instance : mInstances) {
      aAction(*instance->mStoreRelay);
    }
  };
  ++mStoreFaults;
  if (aFault.mKind == FaultKind::StoreDown) {
    constexpr unsigned kUnavailable = 503;
    mStore->SetStatus(kUnavailable);
  } else if (aFault.mKind == FaultKind::StoreSilent) {
    each([](ConnectionRelay& aRelay) {
      aRelay.mConditions.mSilent = true;
      aRelay.SilenceOpen();
    });
  } else {
    each(
      [](ConnectionRelay& aRelay) { aRelay.mConditions.mDelay = kSlowAnswer; });
  }
  After(mContext, aFault.mFor, [this, each] {
    if (--mStoreFaults > 0) {
      return;
    }
    constexpr unsigned kOk = 200;
    mStore->SetStatus(kOk);
    each([](ConnectionRelay& aRelay) { aRelay.mConditions = {}; });
  });
}

std::shared_ptr<Upstream>
World::PickUpstream(std::size_t aTarget)
{
  // One of each service is left alone, so that requests can always be served.
  std::vector<std::shared_ptr<Upstream>> live;
  for (const auto& service : { "desk", "intake" }) {
    std::vector<std::shared_ptr<Upstream>> ofService;
    std::ranges::copy_if(
      mUpstreams, std::back_inserter(ofService), [&](const auto& aUpstream) {
        return aUpstream->mService == service && !aUpstream->mStopped &&
               !aUpstream->mDraining;
      });
    if (ofService.size() > 2) {
      live.insert(live.end(), ofService.begin() + 2, ofService.end());
    }
  }
  return live.empty() ? nullptr : live[aTarget % live.size()];
}

void
World::ReplaceUpstream(Upstream& aOld)
{
  AddUpstream(aOld.mService, mNextLabel++);
  aOld.mDraining = true;
  if (mOptions.mSabotage != "drain") {
    PublishUpstream(aOld);
  }
  mDrained[aOld.mLabel] = Clock::now();
}

void
World::ExecuteOnUpstream(const Fault& aFault)
{
  const auto upstream = PickUpstream(aFault.mTarget);
  if (!upstream) {
    return;
  }
  const auto end = [this, upstream] {
    DisturbPart(Hex(upstream->mLabel), std::chrono::hours(1));
    upstream->Stop();
  };
  if (aFault.mKind == FaultKind::RestartUpstream) {
    DisturbPart(Hex(upstream->mLabel), {});
    upstream->ForgetFlows();
    PublishUpstream(*upstream);
  } else if (aFault.mKind == FaultKind::CrashUpstream) {
    end();
    After(mContext, kLapse, [this, upstream] { WithdrawUpstream(*upstream); });
    After(mContext, aFault.mFor, [this, upstream] {
      AddUpstream(upstream->mService, mNextLabel++);
    });
  } else {
    ReplaceUpstream(*upstream);
    After(mContext, kDrain + aFault.mFor, [this, upstream, end] {
      end();
      WithdrawUpstream(*upstream);
    });
  }
}

void
World::Cut(Instance& aInstance, bool aBothWays, milliseconds aFor)
{
  DisturbPart(aInstance.mName, aFor);
  const auto set = [&aInstance, aBothWays](int aStep) {
    aInstance.mCutsTo += aStep;
    aInstance.mCutsFrom += aBothWays ? aStep : 0;
    const bool isCut = aInstance.mCutsTo > 0;
    aInstance.mPullRelay->mConditions.mSilent = isCut;
    aInstance.mStoreRelay->mConditions.mSilent = isCut;
    if (isCut) {
      aInstance.mPullRelay->SilenceOpen();
      aInstance.mStoreRelay->SilenceOpen();
    }
  };
  set(1);
  After(mContext, aFor, [set] { set(-1); });
}

void
World::CutDataCentre(milliseconds aFor)
{
  DisturbAll(aFor);
  ++mDataCentreCuts;
  const auto setPulls = [this](bool aSilent) {
    for (const auto& instance : mInstances) {
      if (instance->mDataCentre == "a") {
        instance->mPullRelay->mConditions.mSilent = aSilent;
      }
    }
  };
  setPulls(true);
  After(mContext, aFor, [this, setPulls] { setPulls(--mDataCentreCuts > 0); });
}

void
World::ExecuteOnLinks(const Fault& aFault, Instance& aInstance)
{
  if (aFault.mKind == FaultKind::CutInstance ||
      aFault.mKind == FaultKind::CutOneWay) {
    Cut(aInstance, aFault.mKind == FaultKind::CutInstance, aFault.mFor);
  } else if (aFault.mKind == FaultKind::CutDataCentre) {
    CutDataCentre(aFault.mFor);
  } else if (aFault.mKind == FaultKind::Lossy) {
    DisturbAll(aFault.mFor);
    mLoss += kLoss;
    After(mContext, aFault.mFor, [this] { mLoss -= kLoss; });
  } else {
    DisturbAll({});
    for (const auto& instance : mInstances) {
      for (const auto& relay :
           { instance->mStoreRelay, instance->mPullRelay }) {
        if (aFault.mKind == FaultKind::SilenceConnections) {
          relay->SilenceOpen();
        } else {
          relay->ResetOpen();
        }
      }
    }
  }
}

void
World::ResetOpenFlow(const FlowEnds& aEnds, const std::string& aBytes)
{
  const auto found = mFlows.find(aEnds);
  const auto packet = sassafrasknot::testing::Decode(aBytes);
  if (found == mFlows.end() || !packet ||
      !IsFlowCalm(*mInstances[0], found->second.mLabel)) {
    return;
  }
  mOptions.mSabotage.clear();
  WirePacket reset{ packet->mAcknowledged, 0, sassafrasknot::testing::kRst };
  reset.mSource = aEnds.second;
  reset.mDestination = aEnds.first;
  const auto bytes = Encode(reset);
  mCallers[NumberOf(aEnds.first)]->Receive(mAddresses.Instance(0, kTrafficPort),
                                           { bytes.begin(), bytes.end() });
}

void
World::Sabotage()
{
  constexpr milliseconds kAfter{ 3000 };
  After(mContext, kAfter, [this] {
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
    After(mContext, mOptions.mLength, [this] {
      mHoldsStarts = true;
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
