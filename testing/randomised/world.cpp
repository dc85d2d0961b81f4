#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>
#include <iostream>

#include "network.hpp"

namespace randomised {
namespace {

constexpr auto kTick = std::chrono::milliseconds{ 10 };
constexpr auto kSlowestChange = std::chrono::milliseconds{ 2000 };
constexpr std::size_t kTableHistory = 4;

void
Tick(World& aWorld, FakeInstance& aInstance)
{
  if (!aInstance.mAlive) {
    return;
  }
  WhenAwake(aWorld, aInstance, [&aWorld, &aInstance] {
    RunActions(aWorld,
               aInstance,
               aInstance.mCore->OnTick(aWorld.mNow),
               nullptr,
               nullptr);
    Schedule(aWorld, kTick, [&aWorld, &aInstance] { Tick(aWorld, aInstance); });
  });
}

state::DataCentreId
DataCentreName(std::size_t aIndex)
{
  return { "dc-" + std::to_string(aIndex) };
}

state::Organisation
MakeOrganisation(const WorldOptions& aOptions, std::uint32_t aIndex)
{
  state::Service service;
  service.mName = "service";
  service.mAddress = { 0x7F0A0001 + aIndex };
  service.mListeners = {
    { 80, 8080, state::TransportProtocol::Tcp, state::FlowClass::Feed, {} },
    { 81,
      8081,
      state::TransportProtocol::Tcp,
      state::FlowClass::Work,
      std::chrono::milliseconds{ 2000 } },
  };
  for (std::uint32_t index = 0; index < aOptions.mUpstreamsPerOrganisation;
       ++index) {
    service.mUpstreams.push_back(
      { { 0x7F140000 + aIndex * 256 + index },
        DataCentreName(index % aOptions.mDataCentres),
        3,
        2000,
        state::UpstreamState::Live });
  }
  return { { "organisation-" + std::to_string(aIndex) }, 1.0, { service } };
}

/// Makes the endpoints of upstreams that the configuration has added.
void
AddUpstreams(World& aWorld)
{
  for (const auto& organisation : aWorld.mOrganisations) {
    const auto& service = organisation.mServices.front();
    for (const auto& upstream : service.mUpstreams) {
      for (const auto& listener : service.mListeners) {
        const Endpoint endpoint{ upstream.mAddress, listener.mUpstreamPort };
        auto& fake = aWorld.mUpstreams[endpoint];
        fake.mEndpoint = endpoint;
        fake.mOrganisation = organisation.mId;
        fake.mDataCentre = upstream.mDataCentre;
        const bool leaving = upstream.mState == state::UpstreamState::Leaving;
        fake.mLeavingSince = !leaving
                               ? TimePoint::max()
                               : std::min(fake.mLeavingSince, aWorld.mNow);
      }
    }
  }
}

void
ApplyConfiguration(World& aWorld,
                   FakeInstance& aInstance,
                   const std::vector<state::Organisation>& aOrganisations,
                   state::Revision aRevision)
{
  if (aRevision <= aInstance.mRevision) {
    return;
  }
  aInstance.mRevision = aRevision;
  aInstance.mOrganisations = aOrganisations;
  aInstance.mTables.resize(aOrganisations.size());
  for (std::size_t index = 0; index < aOrganisations.size(); ++index) {
    const auto& organisation = aOrganisations[index];
    const auto& service = organisation.mServices.front();
    auto& tables = aInstance.mTables[index];
    tables.insert(tables.begin(),
                  state::MakeServiceTable(
                    service, { organisation.mId, service.mName }, aRevision));
    tables.resize(std::min(tables.size(), kTableHistory));
  }
  PublishSnapshot(aWorld, aInstance);
}

std::vector<state::InstanceView>
MakeViews(World& aWorld, const FakeInstance& aInstance)
{
  std::vector<state::InstanceView> views;
  for (const auto& [id, memberState] : aInstance.mMembers) {
    state::InstanceView view;
    view.mId = id;
    view.mDataCentre = FindInstance(aWorld, id)->mDataCentre;
    view.mState = memberState;
    view.mHash = state::HashBytes(id.mValue);
    views.push_back(view);
  }
  return views;
}

void
BindUpstreams(state::Snapshot& aSnapshot, std::uint32_t aService)
{
  const auto& view = aSnapshot.mServices[aService];
  for (const auto& listener : view.mService.mListeners) {
    aSnapshot.mServiceByEndpoint[{ view.mService.mAddress, listener.mPort }] =
      aService;
    for (const auto& table : view.mTables) {
      for (const auto& shard : table.mShards) {
        for (const auto& upstream : shard.mUpstreams) {
          aSnapshot.mUpstreamBindings[{
            upstream.mAddress, listener.mUpstreamPort }] = { aService,
                                                             listener.mPort };
        }
      }
    }
  }
}

void
IgnoreLeaving(std::vector<state::ServiceTable>& aTables)
{
  for (auto& table : aTables) {
    for (auto& shard : table.mShards) {
      for (auto& upstream : shard.mUpstreams) {
        upstream.mState = state::UpstreamState::Live;
      }
    }
  }
}

} // namespace

double
Uniform(World& aWorld)
{
  return std::uniform_real_distribution<double>(0, 1)(aWorld.mRandom);
}

std::size_t
Pick(World& aWorld, std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>(0,
                                                    aCount - 1)(aWorld.mRandom);
}

void
Schedule(World& aWorld, Duration aDelay, std::function<void()> aRun)
{
  aWorld.mEvents.push(
    { aWorld.mNow + aDelay, aWorld.mNextEvent++, std::move(aRun) });
}

bool
Connected(const World& aWorld,
          const state::DataCentreId& aFirst,
          const state::DataCentreId& aSecond)
{
  return aFirst == aSecond ||
         !aWorld.mCuts.contains(std::minmax(aFirst, aSecond));
}

void
PublishSnapshot(World& aWorld, FakeInstance& aInstance)
{
  auto snapshot = std::make_shared<state::Snapshot>();
  snapshot->mSelf = aInstance.mId;
  snapshot->mDataCentre = aInstance.mDataCentre;
  snapshot->mRevision = aInstance.mRevision;
  if (aWorld.mOptions.mSabotage == "revert" && Uniform(aWorld) < 0.1) {
    --snapshot->mRevision;
  }
  snapshot->mSequence = ++aInstance.mSequence;
  snapshot->mInstances = MakeViews(aWorld, aInstance);
  snapshot->mReachable = aInstance.mReachable;
  snapshot->mStopping = aInstance.mLeaving;
  for (std::size_t index = 0; index < aInstance.mOrganisations.size();
       ++index) {
    const auto& organisation = aInstance.mOrganisations[index];
    state::ServiceView view;
    view.mService = organisation.mServices.front();
    view.mId = { organisation.mId, view.mService.mName };
    view.mRevision = aInstance.mRevision;
    view.mTables = aInstance.mTables[index];
    if (aWorld.mOptions.mSabotage == "place-on-leaving") {
      IgnoreLeaving(view.mTables);
    }
    for (auto& table : view.mTables) {
      state::AssignOwners(table, snapshot->mInstances, snapshot->mReachable);
    }
    snapshot->mServices.push_back(std::move(view));
    BindUpstreams(*snapshot, static_cast<std::uint32_t>(index));
  }
  if (!aInstance.mCore) {
    aInstance.mCore.emplace(snapshot, aWorld.mRandom());
    return;
  }
  RunActions(aWorld,
             aInstance,
             aInstance.mCore->OnSnapshot(aWorld.mNow, snapshot),
             nullptr,
             nullptr);
}

void
TellMembers(World& aWorld,
            const state::InstanceId& aChanged,
            state::InstanceState aState,
            Duration aFastest,
            Duration aSlowest)
{
  for (const auto& instance : aWorld.mInstances) {
    if (!instance->mAlive) {
      continue;
    }
    const auto spread = static_cast<double>((aSlowest - aFastest).count());
    const Duration delay =
      aFastest +
      Duration{ static_cast<std::int64_t>(spread * Uniform(aWorld)) };
    Schedule(
      aWorld, delay, [&aWorld, target = instance.get(), aChanged, aState] {
        WhenAwake(aWorld, *target, [&aWorld, target, aChanged, aState] {
          auto& known = target->mMembers[aChanged];
          if (known != state::InstanceState::Dead) {
            known = aState;
          }
          PublishSnapshot(aWorld, *target);
        });
      });
  }
}

FakeInstance&
StartInstance(World& aWorld, const state::DataCentreId& aDataCentre)
{
  auto owned = std::make_unique<FakeInstance>();
  auto& instance = *owned;
  instance.mId = { "instance-" + std::to_string(aWorld.mNextInstance++) };
  instance.mDataCentre = aDataCentre;
  for (const auto& other : aWorld.mInstances) {
    if (other->mAlive) {
      instance.mMembers[other->mId] = other->mLeaving
                                        ? state::InstanceState::Leaving
                                        : state::InstanceState::Live;
    }
  }
  instance.mMembers[instance.mId] = state::InstanceState::Live;
  for (std::size_t index = 0; index < aWorld.mOptions.mDataCentres; ++index) {
    instance.mReachable.insert(DataCentreName(index));
  }
  aWorld.mInstances.push_back(std::move(owned));
  ApplyConfiguration(aWorld, instance, aWorld.mOrganisations, aWorld.mRevision);
  Tick(aWorld, instance);
  TellMembers(aWorld,
              instance.mId,
              state::InstanceState::Live,
              std::chrono::milliseconds{ 1 },
              std::chrono::milliseconds{ 1000 });
  return instance;
}

void
SubmitChange(World& aWorld, std::vector<state::Organisation> aOrganisations)
{
  aWorld.mEarlierOrganisations.push_back(aWorld.mOrganisations);
  aWorld.mOrganisations = std::move(aOrganisations);
  ++aWorld.mRevision;
  AddUpstreams(aWorld);
  for (const auto& instance : aWorld.mInstances) {
    const auto delay = static_cast<double>(Duration{ kSlowestChange }.count()) *
                       Uniform(aWorld) * 0.9;
    Schedule(aWorld,
             Duration{ static_cast<std::int64_t>(delay) },
             [&aWorld,
              target = instance.get(),
              organisations = aWorld.mOrganisations,
              revision = aWorld.mRevision] {
               WhenAwake(
                 aWorld, *target, [&aWorld, target, organisations, revision] {
                   ApplyConfiguration(aWorld, *target, organisations, revision);
                 });
             });
  }
}

std::unique_ptr<World>
MakeWorld(const WorldOptions& aOptions)
{
  auto world = std::make_unique<World>();
  world->mOptions = aOptions;
  world->mRandom.seed(aOptions.mSeed);
  for (std::size_t index = 0; index < aOptions.mDataCentres; ++index) {
    world->mDataCentres.push_back(DataCentreName(index));
  }
  for (std::uint32_t index = 0; index < aOptions.mOrganisations; ++index) {
    world->mOrganisations.push_back(MakeOrganisation(aOptions, index));
  }
  AddUpstreams(*world);
  for (std::size_t index = 0; index < aOptions.mInstances; ++index) {
    StartInstance(*world, DataCentreName(index % aOptions.mDataCentres));
  }
  return world;
}

void
RunWorld(World& aWorld, Duration aDuration, std::uint64_t aMostSteps)
{
  const auto end = aWorld.mNow + aDuration;
  while (!aWorld.mEvents.empty() && aWorld.mEvents.top().mAt <= end &&
         aWorld.mTally.mSteps < aMostSteps) {
    const auto event = aWorld.mEvents.top();
    aWorld.mEvents.pop();
    aWorld.mNow = event.mAt;
    event.mRun();
  }
  for (const auto& instance : aWorld.mInstances) {
    if (instance->mCore) {
      state::Merge(aWorld.mCounters, instance->mCore->Counters());
    }
  }
  for (const auto id : aWorld.mToldNotRun) {
    aWorld.mTally.mNotRunButRan += aWorld.mExecutions.contains(id) ? 1 : 0;
  }
}

} // namespace randomised
