#include <algorithm>

#include "world.hpp"

namespace soak {

using std::chrono::milliseconds;

namespace {

/// Prefix of the key of the item that evacuates a data centre.
constexpr const char* kEvacuationPrefix = "op/evacuate/";
/// Bound of the platform (`evacuate_ms`) on the time from the store's
/// acknowledgement of an evacuation until no new flow reaches the data centre.
constexpr milliseconds kEvacuationBound{ 5000 };
/// Share of packets that are lost until each upstream has lost one. Most are
/// lost in the first second, before probes have shown which upstreams respond.
constexpr double kSilenceLossShare = 0.03;

} // namespace

std::vector<std::shared_ptr<Upstream>>
World::PickUpstreamGroup(std::size_t aTarget)
{
  // The parts of the target select the number of upstreams, the data centre and
  // the service. Most groups are of "desk", whose flows may be reset.
  constexpr std::size_t kMinSilent = 2;
  constexpr std::size_t kSizes = 3;
  constexpr std::size_t kServiceShare = 4;
  const auto size = kMinSilent + aTarget % kSizes;
  const auto dataCentre = UpstreamDataCentreOf(aTarget / kSizes);
  const std::string service =
    aTarget / (kSizes * mOptions.mUpstreamDataCentres) % kServiceShare == 0
      ? "intake"
      : "desk";
  std::vector<std::shared_ptr<Upstream>> group;
  std::ranges::copy_if(
    mUpstreams, std::back_inserter(group), [&](const auto& aUpstream) {
      return aUpstream->mService == service &&
             UpstreamDataCentreOf(HostNumber(aUpstream->mEndpoint)) ==
               dataCentre &&
             !aUpstream->mStopped && !aUpstream->mDraining &&
             !aUpstream->mIsSilent;
    });
  if (group.size() <= kMinSilent) {
    return {};
  }
  const auto first =
    group.begin() + static_cast<std::ptrdiff_t>(aTarget % group.size());
  std::rotate(group.begin(), first, group.end());
  group.resize(std::min(size, group.size() - 1));
  return group;
}

void
World::TurnAway(Instance& aInstance, milliseconds aDuration)
{
  auto& relay = *aInstance.mStoreRelay;
  relay.mConditions.mBlackhole = true;
  relay.BlackholeOpen();
  RunAfter(mContext, aDuration, [&aInstance] {
    aInstance.mStoreRelay->mConditions.mBlackhole =
      aInstance.mInboundBlocks > 0;
  });
}

void
World::TurnReadersAway(const Fault& aFault)
{
  constexpr milliseconds kPause{ 2500 };
  constexpr milliseconds kPauseLead{ 1000 };
  constexpr std::size_t kTurnedAwayShare = 3;
  const auto count = mInstances.size();
  const auto paused = (mLastReader + 1 + aFault.mTarget % (count - 1)) % count;
  if (auto& instance = *mInstances[paused];
      instance.mProcess && !instance.mIsStopping && !instance.mIsPaused) {
    Pause(instance, kPause);
  }
  RunAfter(mContext, kPauseLead, [this, aFault, paused, count] {
    const auto reader = mLastReader;
    for (std::size_t index = 0, turnedAway = 0;
         turnedAway < count / kTurnedAwayShare && index < count;
         ++index) {
      if (const auto number = (reader + index) % count; number != paused) {
        TurnAway(*mInstances[number], aFault.mDuration);
        ++turnedAway;
      }
    }
    InjectUpstreamFault(
      { FaultKind::ReplaceUpstream, {}, aFault.mDuration, aFault.mTarget });
  });
}

void
World::SilenceUpstreams(const Fault& aFault)
{
  // Only these upstreams are disturbed, so that a reset of a flow at any other
  // one is a violation.
  const auto group = PickUpstreamGroup(aFault.mTarget);
  ++mActiveSilences;
  mLossless.clear();
  for (const auto& upstream : group) {
    mLossless.insert(upstream->mLabel);
    DisturbComponent(FormatLabel(upstream->mLabel), aFault.mDuration);
    upstream->Silence();
  }
  RunAfter(mContext, aFault.mDuration, [this, group] {
    --mActiveSilences;
    for (const auto& upstream : group) {
      upstream->Respond();
    }
  });
}

void
World::DelayUpstream(const Fault& aFault)
{
  // Only flows of "desk" may be reset.
  std::vector<std::shared_ptr<Upstream>> candidates;
  std::ranges::copy_if(
    mUpstreams, std::back_inserter(candidates), [](const auto& aUpstream) {
      return aUpstream->mService == "desk" && !aUpstream->mStopped &&
             !aUpstream->mIsSilent;
    });
  if (!candidates.empty()) {
    candidates[aFault.mTarget % candidates.size()]->Delay(aFault.mDuration);
  }
}

bool
World::IsLostDuringSilence(const FlowEndpoints& aEndpoints)
{
  if (mActiveSilences == 0) {
    return false;
  }
  // A single lost packet is no evidence of a failure, although silent upstreams
  // of the same data centre make others suspicious.
  const auto found = mFlows.find(aEndpoints);
  return found != mFlows.end() && !mLossless.contains(found->second.mLabel) &&
         std::bernoulli_distribution(kSilenceLossShare)(mRandom) &&
         mLossless.insert(found->second.mLabel).second;
}

void
World::Evacuate(const Fault& aFault)
{
  const auto dataCentre = UpstreamDataCentreOf(aFault.mTarget);
  const auto key = kEvacuationPrefix + dataCentre;
  if (mOptions.mSabotage != "evacuate") {
    mStore->Put(key, "{}");
  }
  mEvacuationTimes[dataCentre] = Clock::now();
  RunAfter(mContext, aFault.mDuration, [this, dataCentre, key] {
    mEvacuationTimes.erase(dataCentre);
    mStore->Delete(key);
  });
}

void
World::CheckEvacuation(std::uint64_t aLabel,
                       const std::string& aDataCentre,
                       const FlowEndpoints& aEndpoints,
                       const Instance& aFrom)
{
  const auto started = mEvacuationTimes.find(aDataCentre);
  if (started == mEvacuationTimes.end() ||
      Clock::now() - started->second <= kEvacuationBound ||
      !IsInstanceStable(aFrom)) {
    return;
  }
  // A copy of an opening packet that arrives late belongs to an open flow,
  // which keeps its upstream.
  const auto found = mFlows.find(aEndpoints);
  if (found == mFlows.end() || !found->second.mIsOpen ||
      found->second.mLabel != aLabel) {
    RecordViolation("EVACUATE",
                    aEndpoints,
                    "upstream " + FormatLabel(aLabel) + " is in " +
                      aDataCentre + ", which is evacuated");
  }
}

} // namespace soak
