#include <algorithm>

#include "world.hpp"

namespace randomised {
namespace {

/// A planned stop ends after this time even if handovers are pending.
constexpr auto kStopTimeout = std::chrono::seconds{ 60 };
/// Interval at which a stopping instance checks its handovers.
constexpr auto kStopCheckInterval = std::chrono::milliseconds{ 100 };
/// How long a stopping instance runs on after its last handover, to forward
/// packets that are still sent to it.
constexpr auto kStopGrace = std::chrono::seconds{ 3 };

/// Returns a random instance that runs and is neither leaving nor paused, or
/// null if there are fewer than three.
FakeInstance*
ChooseInstance(World& aWorld)
{
  std::vector<FakeInstance*> live;
  for (const auto& instance : aWorld.mInstances) {
    if (instance->mAlive && !instance->mLeaving &&
        instance->mPausedUntil <= aWorld.mNow) {
      live.push_back(instance.get());
    }
  }
  return live.size() < 3 ? nullptr : live[RandomIndex(aWorld, live.size())];
}

/// Ends a stopping instance kStopGrace after its handovers are done or
/// aDeadline has passed.
void
EndWhenHandedOver(World& aWorld, FakeInstance& aInstance, TimePoint aDeadline)
{
  if (!aInstance.mAlive) {
    return;
  }
  if (!aInstance.mCore->AreHandoversDone() && aWorld.mNow < aDeadline) {
    Schedule(aWorld, kStopCheckInterval, [&aWorld, &aInstance, aDeadline] {
      EndWhenHandedOver(aWorld, aInstance, aDeadline);
    });
    return;
  }
  Schedule(aWorld, kStopGrace, [&aWorld, &aInstance] {
    aInstance.mAlive = false;
    NotifyMembers(aWorld,
                  aInstance.mId,
                  state::InstanceState::Dead,
                  std::chrono::milliseconds{ 1 },
                  std::chrono::milliseconds{ 1000 });
  });
}

/// Returns a random upstream endpoint.
FakeUpstream*
ChooseUpstream(World& aWorld)
{
  auto next = aWorld.mUpstreams.begin();
  std::advance(
    next,
    static_cast<std::ptrdiff_t>(RandomIndex(aWorld, aWorld.mUpstreams.size())));
  return &next->second;
}

} // namespace

void
ReplaceInstance(World& aWorld)
{
  auto* const instance = ChooseInstance(aWorld);
  if (instance == nullptr) {
    return;
  }
  ++aWorld.mTotals.mFaults["replace-instance"];
  StartInstance(aWorld, instance->mDataCentre);
  instance->mLeaving = true;
  instance->mMembers[instance->mId] = state::InstanceState::Leaving;
  PublishSnapshot(aWorld, *instance);
  NotifyMembers(aWorld,
                instance->mId,
                state::InstanceState::Leaving,
                std::chrono::milliseconds{ 1 },
                std::chrono::milliseconds{ 1000 });
  Schedule(aWorld, std::chrono::seconds{ 3 }, [&aWorld, instance] {
    EndWhenHandedOver(aWorld, *instance, aWorld.mNow + kStopTimeout);
  });
}

void
KillInstance(World& aWorld)
{
  auto* const instance = ChooseInstance(aWorld);
  if (instance == nullptr) {
    return;
  }
  ++aWorld.mTotals.mFaults["kill-instance"];
  instance->mAlive = false;
  // The other instances detect the failure after 2.7 to 3.5 s.
  NotifyMembers(aWorld,
                instance->mId,
                state::InstanceState::Dead,
                std::chrono::milliseconds{ 2700 },
                std::chrono::milliseconds{ 3500 });
  Schedule(aWorld,
           std::chrono::seconds{ 8 },
           [&aWorld, dataCentre = instance->mDataCentre] {
             StartInstance(aWorld, dataCentre);
           });
}

void
PauseInstance(World& aWorld)
{
  auto* const instance = ChooseInstance(aWorld);
  if (instance == nullptr) {
    return;
  }
  ++aWorld.mTotals.mFaults["pause-instance"];
  const auto pause = std::chrono::milliseconds{ static_cast<std::int64_t>(
    500 + Uniform(aWorld) * 7500) };
  instance->mPausedUntil = aWorld.mNow + pause;
}

void
DrainUpstream(World& aWorld)
{
  auto organisations = aWorld.mOrganisations;
  auto& organisation = organisations[RandomIndex(aWorld, organisations.size())];
  auto& upstreams = organisation.mServices.front().mUpstreams;
  auto& upstream = upstreams[RandomIndex(aWorld, upstreams.size())];
  // Not if more than a third of the upstreams are leaving already.
  const auto leaving = std::ranges::count(
    upstreams, state::UpstreamState::Leaving, &state::Upstream::mState);
  if (leaving * 3 > static_cast<std::ptrdiff_t>(upstreams.size())) {
    return;
  }
  ++aWorld.mTotals.mFaults["drain-upstream"];
  upstream.mState = state::UpstreamState::Leaving;
  SubmitChange(aWorld, organisations);
}

void
AddUpstream(World& aWorld)
{
  ++aWorld.mTotals.mFaults["add-upstream"];
  auto organisations = aWorld.mOrganisations;
  auto& organisation = organisations[RandomIndex(aWorld, organisations.size())];
  auto& upstreams = organisation.mServices.front().mUpstreams;
  auto upstream = upstreams.front();
  const auto highest =
    std::ranges::max_element(upstreams, {}, &state::Upstream::mAddress);
  upstream.mAddress = { highest->mAddress.mValue + 1 };
  upstream.mState = state::UpstreamState::Live;
  upstreams.push_back(upstream);
  SubmitChange(aWorld, organisations);
}

void
ReverseChange(World& aWorld)
{
  if (aWorld.mEarlierOrganisations.empty()) {
    return;
  }
  ++aWorld.mTotals.mFaults["reverse-change"];
  auto earlier = aWorld.mEarlierOrganisations.back();
  // An upstream that the change has added is drained instead of removed, so
  // that its flows can end.
  for (std::size_t index = 0; index < earlier.size(); ++index) {
    auto& upstreams = earlier[index].mServices.front().mUpstreams;
    for (auto upstream :
         aWorld.mOrganisations[index].mServices.front().mUpstreams) {
      if (std::ranges::find(upstreams,
                            upstream.mAddress,
                            &state::Upstream::mAddress) == upstreams.end()) {
        upstream.mState = state::UpstreamState::Leaving;
        upstreams.push_back(upstream);
      }
    }
  }
  SubmitChange(aWorld, earlier);
}

void
PartitionDataCentre(World& aWorld)
{
  if (!aWorld.mPartitions.empty()) {
    return;
  }
  ++aWorld.mTotals.mFaults["cut-data-centre"];
  const auto isolated = aWorld.mInstances.front()->mDataCentre;
  std::set<state::DataCentreId> all;
  for (const auto& instance : aWorld.mInstances) {
    all.insert(instance->mDataCentre);
  }
  for (const auto& other : all) {
    if (other != isolated) {
      aWorld.mPartitions.insert(std::minmax(isolated, other));
    }
  }
  const auto updateReachable = [&aWorld, all] {
    for (const auto& instance : aWorld.mInstances) {
      if (!instance->mAlive) {
        continue;
      }
      instance->mReachable.clear();
      for (const auto& other : all) {
        if (AreConnected(aWorld, instance->mDataCentre, other)) {
          instance->mReachable.insert(other);
        }
      }
      PublishSnapshot(aWorld, *instance);
    }
  };
  // Instances detect the partition after 5 s and its end after 1 s.
  Schedule(aWorld, std::chrono::seconds{ 5 }, updateReachable);
  const auto length = std::chrono::milliseconds{ static_cast<std::int64_t>(
    2000 + Uniform(aWorld) * 40000) };
  Schedule(aWorld, length, [&aWorld, updateReachable] {
    aWorld.mPartitions.clear();
    Schedule(aWorld, std::chrono::seconds{ 1 }, updateReachable);
  });
}

void
BlackholeFlow(World& aWorld)
{
  if (aWorld.mCallers.empty()) {
    return;
  }
  auto next = aWorld.mCallers.begin();
  std::advance(
    next,
    static_cast<std::ptrdiff_t>(RandomIndex(aWorld, aWorld.mCallers.size())));
  if (next->second.mState == CallerFlowState::Established) {
    ++aWorld.mTotals.mFaults["silence-flow"];
    aWorld.mBlackholedFlows.insert(next->first);
  }
}

void
ShedUpstream(World& aWorld)
{
  ++aWorld.mTotals.mFaults["shed-upstream"];
  auto* const upstream = ChooseUpstream(aWorld);
  upstream->mShedding = true;
  Schedule(aWorld, std::chrono::seconds{ 5 }, [upstream] {
    upstream->mShedding = false;
  });
}

void
KillUpstream(World& aWorld)
{
  ++aWorld.mTotals.mFaults["kill-upstream"];
  auto* const upstream = ChooseUpstream(aWorld);
  upstream->mAlive = false;
  upstream->mConnections.clear();
  Schedule(aWorld, std::chrono::seconds{ 10 }, [upstream] {
    upstream->mAlive = true;
  });
}

} // namespace randomised
