#include <algorithm>

#include "world.hpp"

namespace randomised {
namespace {

constexpr auto kStopBound = std::chrono::seconds{ 60 };
constexpr auto kStopCheck = std::chrono::milliseconds{ 100 };
/// What a planned stop waits for after its last hand-over, so that packets that
/// were sent to it are forwarded.
constexpr auto kStopGrace = std::chrono::seconds{ 3 };

FakeInstance*
PickInstance(World& aWorld)
{
  std::vector<FakeInstance*> live;
  for (const auto& instance : aWorld.mInstances) {
    if (instance->mAlive && !instance->mLeaving &&
        instance->mPausedUntil <= aWorld.mNow) {
      live.push_back(instance.get());
    }
  }
  return live.size() < 3 ? nullptr : live[Pick(aWorld, live.size())];
}

void
EndWhenHandedOver(World& aWorld, FakeInstance& aInstance, TimePoint aDeadline)
{
  if (!aInstance.mAlive) {
    return;
  }
  if (!aInstance.mCore->AreHandoversDone() && aWorld.mNow < aDeadline) {
    Schedule(aWorld, kStopCheck, [&aWorld, &aInstance, aDeadline] {
      EndWhenHandedOver(aWorld, aInstance, aDeadline);
    });
    return;
  }
  Schedule(aWorld, kStopGrace, [&aWorld, &aInstance] {
    aInstance.mAlive = false;
    TellMembers(aWorld,
                aInstance.mId,
                state::InstanceState::Dead,
                std::chrono::milliseconds{ 1 },
                std::chrono::milliseconds{ 1000 });
  });
}

FakeUpstream*
PickUpstream(World& aWorld)
{
  auto next = aWorld.mUpstreams.begin();
  std::advance(
    next, static_cast<std::ptrdiff_t>(Pick(aWorld, aWorld.mUpstreams.size())));
  return &next->second;
}

} // namespace

void
ReplaceInstance(World& aWorld)
{
  auto* const instance = PickInstance(aWorld);
  if (instance == nullptr) {
    return;
  }
  ++aWorld.mTally.mFaults["replace-instance"];
  StartInstance(aWorld, instance->mDataCentre);
  instance->mLeaving = true;
  instance->mMembers[instance->mId] = state::InstanceState::Leaving;
  PublishSnapshot(aWorld, *instance);
  TellMembers(aWorld,
              instance->mId,
              state::InstanceState::Leaving,
              std::chrono::milliseconds{ 1 },
              std::chrono::milliseconds{ 1000 });
  Schedule(aWorld, std::chrono::seconds{ 3 }, [&aWorld, instance] {
    EndWhenHandedOver(aWorld, *instance, aWorld.mNow + kStopBound);
  });
}

void
KillInstance(World& aWorld)
{
  auto* const instance = PickInstance(aWorld);
  if (instance == nullptr) {
    return;
  }
  ++aWorld.mTally.mFaults["kill-instance"];
  instance->mAlive = false;
  TellMembers(aWorld,
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
  auto* const instance = PickInstance(aWorld);
  if (instance == nullptr) {
    return;
  }
  ++aWorld.mTally.mFaults["pause-instance"];
  const auto pause = std::chrono::milliseconds{ static_cast<std::int64_t>(
    500 + Uniform(aWorld) * 7500) };
  instance->mPausedUntil = aWorld.mNow + pause;
}

void
DrainUpstream(World& aWorld)
{
  auto organisations = aWorld.mOrganisations;
  auto& organisation = organisations[Pick(aWorld, organisations.size())];
  auto& upstreams = organisation.mServices.front().mUpstreams;
  auto& upstream = upstreams[Pick(aWorld, upstreams.size())];
  const auto leaving = std::ranges::count(
    upstreams, state::UpstreamState::Leaving, &state::Upstream::mState);
  if (leaving * 3 > static_cast<std::ptrdiff_t>(upstreams.size())) {
    return;
  }
  ++aWorld.mTally.mFaults["drain-upstream"];
  upstream.mState = state::UpstreamState::Leaving;
  SubmitChange(aWorld, organisations);
}

void
AddUpstream(World& aWorld)
{
  ++aWorld.mTally.mFaults["add-upstream"];
  auto organisations = aWorld.mOrganisations;
  auto& organisation = organisations[Pick(aWorld, organisations.size())];
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
  ++aWorld.mTally.mFaults["reverse-change"];
  auto earlier = aWorld.mEarlierOrganisations.back();
  // An upstream that the change has added keeps its flows: it is drained
  // before it goes.
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
CutDataCentre(World& aWorld)
{
  if (!aWorld.mCuts.empty()) {
    return;
  }
  ++aWorld.mTally.mFaults["cut-data-centre"];
  const auto lost = aWorld.mInstances.front()->mDataCentre;
  std::set<state::DataCentreId> all;
  for (const auto& instance : aWorld.mInstances) {
    all.insert(instance->mDataCentre);
  }
  for (const auto& other : all) {
    if (other != lost) {
      aWorld.mCuts.insert(std::minmax(lost, other));
    }
  }
  const auto update = [&aWorld, all] {
    for (const auto& instance : aWorld.mInstances) {
      if (!instance->mAlive) {
        continue;
      }
      instance->mReachable.clear();
      for (const auto& other : all) {
        if (Connected(aWorld, instance->mDataCentre, other)) {
          instance->mReachable.insert(other);
        }
      }
      PublishSnapshot(aWorld, *instance);
    }
  };
  Schedule(aWorld, std::chrono::seconds{ 5 }, update);
  const auto length = std::chrono::milliseconds{ static_cast<std::int64_t>(
    2000 + Uniform(aWorld) * 40000) };
  Schedule(aWorld, length, [&aWorld, update] {
    aWorld.mCuts.clear();
    Schedule(aWorld, std::chrono::seconds{ 1 }, update);
  });
}

void
SilenceFlow(World& aWorld)
{
  if (aWorld.mCallers.empty()) {
    return;
  }
  auto next = aWorld.mCallers.begin();
  std::advance(
    next, static_cast<std::ptrdiff_t>(Pick(aWorld, aWorld.mCallers.size())));
  if (next->second.mStage == CallerStage::Established) {
    ++aWorld.mTally.mFaults["silence-flow"];
    aWorld.mSilenced.insert(next->first);
  }
}

void
ShedUpstream(World& aWorld)
{
  ++aWorld.mTally.mFaults["shed-upstream"];
  auto* const upstream = PickUpstream(aWorld);
  upstream->mShedding = true;
  Schedule(aWorld, std::chrono::seconds{ 5 }, [upstream] {
    upstream->mShedding = false;
  });
}

void
KillUpstream(World& aWorld)
{
  ++aWorld.mTally.mFaults["kill-upstream"];
  auto* const upstream = PickUpstream(aWorld);
  upstream->mAlive = false;
  upstream->mConnections.clear();
  Schedule(aWorld, std::chrono::seconds{ 10 }, [upstream] {
    upstream->mAlive = true;
  });
}

} // namespace randomised
