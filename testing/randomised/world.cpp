#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>
#include <iostream>

#include "network.hpp"

namespace randomised {
namespace {

/// Interval between ticks of a core.
constexpr auto kTickInterval = std::chrono::milliseconds{ 10 };
/// Upper limit of the time until an instance applies a change.
constexpr auto kMaxChangeDelay = std::chrono::milliseconds{ 2000 };
/// Tables that an instance keeps of each service, the current one included.
constexpr std::size_t kMaxTables = 4;

/// Ticks an instance's core now and every kTickInterval until it ends.
void
Tick(World& aWorld, FakeInstance& aInstance)
{
  if (!aInstance.mAlive) {
    return;
  }
  RunWhenResumed(aWorld, aInstance, [&aWorld, &aInstance] {
    RunActions(aWorld,
               aInstance,
               aInstance.mCore->OnTick(aWorld.mNow),
               nullptr,
               nullptr);
    Schedule(aWorld, kTickInterval, [&aWorld, &aInstance] {
      Tick(aWorld, aInstance);
    });
  });
}

/// Returns the id of a data centre by its index.
state::DataCentreId
MakeDataCentreId(std::size_t aIndex)
{
  return { "dc-" + std::to_string(aIndex) };
}

/// Makes an organisation with one service, a listener for feeds and one for
/// work; its upstreams are spread evenly over the data centres.
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
        MakeDataCentreId(index % aOptions.mDataCentres),
        3,
        2000,
        state::UpstreamState::Live });
  }
  return { { "organisation-" + std::to_string(aIndex) }, 1.0, { service } };
}

/// Adds fake endpoints for new upstreams of the configuration and records which
/// ones are leaving.
void
UpdateFakeUpstreams(World& aWorld)
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

/// Puts a configuration in force on an instance unless it has a newer one:
/// builds its tables, keeps earlier ones up to kMaxTables and publishes a
/// snapshot.
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
    tables.resize(std::min(tables.size(), kMaxTables));
  }
  PublishSnapshot(aWorld, aInstance);
}

/// Returns an instance's view of all members, for its snapshot.
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

/// Adds a service's endpoints and the upstreams of its tables to the look-up
/// maps of a snapshot.
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

/// Marks leaving upstreams as live, as the deliberate fault "place-on-leaving".
void
MarkAllLive(std::vector<state::ServiceTable>& aTables)
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
RandomIndex(World& aWorld, std::size_t aCount)
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
AreConnected(const World& aWorld,
             const state::DataCentreId& aFirst,
             const state::DataCentreId& aSecond)
{
  return aFirst == aSecond ||
         !aWorld.mPartitions.contains(std::minmax(aFirst, aSecond));
}

void
PublishSnapshot(World& aWorld, FakeInstance& aInstance)
{
  auto snapshot = std::make_shared<state::Snapshot>();
  snapshot->mSelf = aInstance.mId;
  snapshot->mDataCentre = aInstance.mDataCentre;
  snapshot->mRevision = aInstance.mRevision;
  if (aWorld.mOptions.mDeliberateFault == "revert" && Uniform(aWorld) < 0.1) {
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
    if (aWorld.mOptions.mDeliberateFault == "place-on-leaving") {
      MarkAllLive(view.mTables);
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
NotifyMembers(World& aWorld,
              const state::InstanceId& aChanged,
              state::InstanceState aState,
              Duration aMinDelay,
              Duration aMaxDelay)
{
  for (const auto& instance : aWorld.mInstances) {
    if (!instance->mAlive) {
      continue;
    }
    const auto spread = static_cast<double>((aMaxDelay - aMinDelay).count());
    const Duration delay =
      aMinDelay +
      Duration{ static_cast<std::int64_t>(spread * Uniform(aWorld)) };
    Schedule(
      aWorld, delay, [&aWorld, target = instance.get(), aChanged, aState] {
        RunWhenResumed(aWorld, *target, [&aWorld, target, aChanged, aState] {
          auto& member = target->mMembers[aChanged];
          if (member != state::InstanceState::Dead) {
            member = aState;
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
    instance.mReachable.insert(MakeDataCentreId(index));
  }
  aWorld.mInstances.push_back(std::move(owned));
  ApplyConfiguration(aWorld, instance, aWorld.mOrganisations, aWorld.mRevision);
  Tick(aWorld, instance);
  NotifyMembers(aWorld,
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
  UpdateFakeUpstreams(aWorld);
  for (const auto& instance : aWorld.mInstances) {
    const auto delay =
      static_cast<double>(Duration{ kMaxChangeDelay }.count()) *
      Uniform(aWorld) * 0.9;
    Schedule(aWorld,
             Duration{ static_cast<std::int64_t>(delay) },
             [&aWorld,
              target = instance.get(),
              organisations = aWorld.mOrganisations,
              revision = aWorld.mRevision] {
               RunWhenResumed(
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
    world->mDataCentres.push_back(MakeDataCentreId(index));
  }
  for (std::uint32_t index = 0; index < aOptions.mOrganisations; ++index) {
    world->mOrganisations.push_back(MakeOrganisation(aOptions, index));
  }
  UpdateFakeUpstreams(*world);
  for (std::size_t index = 0; index < aOptions.mInstances; ++index) {
    StartInstance(*world, MakeDataCentreId(index % aOptions.mDataCentres));
  }
  return world;
}

void
RunWorld(World& aWorld, Duration aDuration, std::uint64_t aMaxSteps)
{
  const auto end = aWorld.mNow + aDuration;
  while (!aWorld.mEvents.empty() && aWorld.mEvents.top().mAt <= end &&
         aWorld.mTotals.mSteps < aMaxSteps) {
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
  for (const auto id : aWorld.mReportedNotRun) {
    aWorld.mTotals.mNotRunButRan += aWorld.mExecutions.contains(id) ? 1 : 0;
  }
}

} // namespace randomised
