#include "world.hpp"

#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>
#include <iostream>

namespace randomised {
namespace {

using state::SegmentKind;

constexpr auto kFastestHop = std::chrono::microseconds{ 300 };
constexpr auto kHopSpread = std::chrono::microseconds{ 1200 };
constexpr auto kTick = std::chrono::milliseconds{ 10 };
constexpr auto kSlowestChange = std::chrono::milliseconds{ 2000 };
constexpr std::size_t kTableHistory = 4;

Duration
HopDelay(World& aWorld)
{
  const auto spread =
    static_cast<double>(Duration{ kHopSpread }.count()) * Uniform(aWorld);
  return kFastestHop + Duration{ static_cast<std::int64_t>(spread) };
}

bool
IsLost(World& aWorld)
{
  return aWorld.mOptions.mLoss > 0 && Uniform(aWorld) < aWorld.mOptions.mLoss;
}

bool
IsSilenced(const World& aWorld, const Packet& aPacket)
{
  return aWorld.mSilenced.contains(aPacket.mCallerFlow);
}

FakeInstance*
FindInstance(World& aWorld, const state::InstanceId& aId)
{
  const auto found =
    std::ranges::find_if(aWorld.mInstances, [&](const auto& aInstance) {
      return aInstance->mId == aId;
    });
  return found == aWorld.mInstances.end() ? nullptr : found->get();
}

/// Runs a call on an instance now, or when it wakes from a pause.
void
WhenAwake(World& aWorld, FakeInstance& aInstance, std::function<void()> aRun)
{
  if (aInstance.mPausedUntil > aWorld.mNow) {
    Schedule(aWorld,
             aInstance.mPausedUntil - aWorld.mNow,
             [&aWorld, &aInstance, run = std::move(aRun)] {
               WhenAwake(aWorld, aInstance, run);
             });
    return;
  }
  if (aInstance.mAlive) {
    aRun();
  }
}

/// Carries out the actions of one instance.
struct ActionRunner
{
  World& mWorld;
  FakeInstance& mInstance;
  const Packet* mPacket;
  const std::vector<state::InstanceId>* mHops;

  /// Whether a deliberate fault is to be made now.
  bool Sabotages(std::string_view aKind) const
  {
    return mWorld.mOptions.mSabotage == aKind && Uniform(mWorld) < 0.01;
  }

  void ToUpstream(Endpoint aUpstream, const Packet& aPacket) const
  {
    if (Sabotages("misroute")) {
      aUpstream.mAddress.mValue ^= 256;
    }
    const auto target = mWorld.mUpstreams.find(aUpstream);
    if (target == mWorld.mUpstreams.end() || IsLost(mWorld) ||
        IsSilenced(mWorld, aPacket) ||
        !Connected(mWorld, mInstance.mDataCentre, target->second.mDataCentre)) {
      return;
    }
    Schedule(
      mWorld, HopDelay(mWorld), [&world = mWorld, aUpstream, packet = aPacket] {
        DeliverToUpstream(world, aUpstream, packet);
      });
  }

  void ToCaller(const Packet& aPacket) const
  {
    const auto flow = mWorld.mFlowOfKey.find(aPacket.mFlow.mKey);
    if (flow == mWorld.mFlowOfKey.end() ||
        !Connected(mWorld,
                   mInstance.mDataCentre,
                   mWorld.mCallers.at(flow->second).mHome)) {
      return;
    }
    if (IsLost(mWorld) || (IsSilenced(mWorld, aPacket) &&
                           aPacket.mFlow.mKind != SegmentKind::Reset)) {
      return;
    }
    Schedule(mWorld, HopDelay(mWorld), [&world = mWorld, packet = aPacket] {
      DeliverToCaller(world, packet);
    });
  }

  Packet MakePacket(const FlowKey& aKey,
                    SegmentKind aKind,
                    std::uint32_t aSequence,
                    std::uint32_t aAcknowledged) const
  {
    Packet packet;
    packet.mFlow.mKey = aKey;
    packet.mFlow.mKind = aKind;
    packet.mFlow.mSequence = aSequence;
    packet.mFlow.mAcknowledged = aAcknowledged;
    const auto found = mWorld.mFlowOfKey.find(aKey);
    packet.mCallerFlow = found == mWorld.mFlowOfKey.end() ? 0 : found->second;
    return packet;
  }

  void operator()(const coordination::SendToUpstream& aAction) const
  {
    ToUpstream(aAction.mUpstream, *mPacket);
    if (Sabotages("run-twice") && mPacket->mFlow.mPayload > 0) {
      ++mWorld.mExecutions[mPacket->mCallerFlow];
    }
    if (Sabotages("false-not-run") && mPacket->mFlow.mPayload > 0) {
      auto reset = *mPacket;
      reset.mFlow.mKind = SegmentKind::Reset;
      reset.mFlow.mSequence = mPacket->mFlow.mAcknowledged;
      reset.mVerdict = Verdict::NotRun;
      ToCaller(reset);
    }
    if (Sabotages("break-flows")) {
      auto reset = *mPacket;
      reset.mFlow.mKind = SegmentKind::Reset;
      reset.mFlow.mSequence = mPacket->mFlow.mAcknowledged;
      ToCaller(reset);
    }
  }

  void operator()(const coordination::SendToCaller& aAction) const
  {
    auto packet = *mPacket;
    packet.mFlow.mKey.mService = aAction.mService;
    ToCaller(packet);
  }

  void operator()(const coordination::Forward& aAction) const;

  void operator()(const coordination::Hold& aAction) const
  {
    mInstance.mHeld[aAction.mToken] = *mPacket;
  }

  void operator()(const coordination::ReleaseHeld& aAction) const
  {
    const auto found = mInstance.mHeld.find(aAction.mToken);
    if (found == mInstance.mHeld.end()) {
      return;
    }
    ToUpstream(aAction.mUpstream, found->second);
    if (!aAction.mKeep) {
      mInstance.mHeld.erase(found);
    }
  }

  void operator()(const coordination::DropHeld& aAction) const
  {
    mInstance.mHeld.erase(aAction.mToken);
  }

  void operator()(const coordination::Drop&) const {}

  void operator()(const coordination::ResetCaller& aAction) const
  {
    auto packet = MakePacket(aAction.mKey,
                             SegmentKind::Reset,
                             aAction.mSequence,
                             aAction.mAcknowledged);
    packet.mVerdict = aAction.mVerdict;
    ToCaller(packet);
  }

  void operator()(const coordination::ResetUpstream& aAction) const
  {
    ToUpstream(
      aAction.mUpstream,
      MakePacket(aAction.mKey, SegmentKind::Reset, aAction.mSequence, 0));
  }

  void operator()(const coordination::ProbeUpstream& aAction) const
  {
    ToUpstream(aAction.mUpstream,
               MakePacket(aAction.mKey,
                          SegmentKind::Data,
                          aAction.mSequence,
                          aAction.mAcknowledged));
  }

  void operator()(const coordination::ProbeCaller& aAction) const
  {
    ToCaller(MakePacket(aAction.mKey,
                        SegmentKind::Data,
                        aAction.mSequence,
                        aAction.mAcknowledged));
  }

  void operator()(const coordination::SendPeer& aAction) const;
};

void
RunActions(World& aWorld,
           FakeInstance& aInstance,
           const coordination::TrafficActions& aActions,
           const Packet* aPacket,
           const std::vector<state::InstanceId>* aHops)
{
  const ActionRunner runner{ aWorld, aInstance, aPacket, aHops };
  for (const auto& action : aActions) {
    std::visit(runner, action);
  }
}

std::string
Describe(const Packet& aPacket)
{
  static const char* const kKinds[] = {
    "open", "open-answer", "data", "finish", "reset"
  };
  const auto& event = aPacket.mFlow;
  return std::string(kKinds[static_cast<int>(event.mKind)]) +
         " seq=" + std::to_string(event.mSequence) +
         " ack=" + std::to_string(event.mAcknowledged) +
         " len=" + std::to_string(event.mPayload) +
         (event.mDirection == state::Direction::FromUpstream
            ? " from " + state::ToString(event.mUpstream)
            : "");
}

std::string
Describe(const coordination::TrafficActions& aActions)
{
  static const char* const kNames[] = {
    "to-upstream",    "to-caller",      "forward",      "hold",
    "release",        "drop-held",      "drop",         "reset-caller",
    "reset-upstream", "probe-upstream", "probe-caller", "send-peer"
  };
  std::string text;
  for (const auto& action : aActions) {
    text += std::string(" ") + kNames[action.index()];
    if (const auto* sent = std::get_if<coordination::SendToUpstream>(&action)) {
      text += "=" + state::ToString(sent->mUpstream);
    } else if (const auto* forward =
                 std::get_if<coordination::Forward>(&action)) {
      text += "=" + forward->mInstance.mValue;
    } else if (const auto* drop = std::get_if<coordination::Drop>(&action)) {
      text += "=" + drop->mReason;
    } else if (const auto* release =
                 std::get_if<coordination::ReleaseHeld>(&action)) {
      text += "=" + state::ToString(release->mUpstream);
    } else if (const auto* peer =
                 std::get_if<coordination::SendPeer>(&action)) {
      text += "=" + peer->mInstance.mValue + "/" +
              std::to_string(peer->mMessage.index());
    }
  }
  return text;
}

void
DeliverToInstance(World& aWorld,
                  FakeInstance& aInstance,
                  const Packet& aPacket,
                  const std::vector<state::InstanceId>& aHops)
{
  if (!aInstance.mAlive) {
    return;
  }
  WhenAwake(aWorld, aInstance, [&aWorld, &aInstance, aPacket, aHops] {
    ++aWorld.mTally.mSteps;
    const auto actions =
      aInstance.mCore->OnPacket(aWorld.mNow, { aPacket.mFlow, aHops });
    if (aPacket.mCallerFlow == aWorld.mTraced) {
      Trace(aWorld,
            aPacket.mCallerFlow,
            aInstance.mId.mValue + " gets " + Describe(aPacket) + ": " +
              Describe(actions));
    }
    RunActions(aWorld, aInstance, actions, &aPacket, &aHops);
  });
}

void
ActionRunner::operator()(const coordination::Forward& aAction) const
{
  auto* const target = FindInstance(mWorld, aAction.mInstance);
  if (target == nullptr || IsLost(mWorld) ||
      !Connected(mWorld, mInstance.mDataCentre, target->mDataCentre)) {
    return;
  }
  auto hops = *mHops;
  hops.push_back(mInstance.mId);
  Schedule(mWorld,
           HopDelay(mWorld),
           [&world = mWorld, target, packet = *mPacket, hops] {
             DeliverToInstance(world, *target, packet, hops);
           });
}

void
ActionRunner::operator()(const coordination::SendPeer& aAction) const
{
  auto* const target = FindInstance(mWorld, aAction.mInstance);
  const bool reliable =
    std::holds_alternative<coordination::HandoverBatch>(aAction.mMessage) ||
    std::holds_alternative<coordination::HandoverAcknowledgement>(
      aAction.mMessage);
  if (target == nullptr || (!reliable && IsLost(mWorld)) ||
      !Connected(mWorld, mInstance.mDataCentre, target->mDataCentre)) {
    return;
  }
  Schedule(mWorld,
           HopDelay(mWorld),
           [&world = mWorld,
            target,
            from = mInstance.mId,
            message = aAction.mMessage] {
             WhenAwake(world, *target, [&world, target, from, message] {
               ++world.mTally.mSteps;
               const auto actions =
                 target->mCore->OnPeerMessage(world.mNow, from, message);
               RunActions(world, *target, actions, nullptr, nullptr);
             });
           });
}

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
    aSnapshot.mListeners[{ view.mService.mAddress, listener.mPort }] = aService;
    for (const auto& table : view.mTables) {
      for (const auto& shard : table.mShards) {
        for (const auto& upstream : shard.mUpstreams) {
          aSnapshot.mReverse[{ upstream.mAddress, listener.mUpstreamPort }] = {
            aService, listener.mPort
          };
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

void
Trace(const World& aWorld, std::uint64_t aCallerFlow, const std::string& aText)
{
  if (aWorld.mTraced != 0 && aCallerFlow == aWorld.mTraced) {
    const auto time =
      std::chrono::duration<double>(aWorld.mNow.time_since_epoch());
    std::cerr << time.count() << " flow " << aCallerFlow << ' ' << aText
              << '\n';
  }
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
SendToFabric(World& aWorld, const Packet& aPacket)
{
  if (IsLost(aWorld) || IsSilenced(aWorld, aPacket)) {
    return;
  }
  std::vector<FakeInstance*> live;
  for (const auto& instance : aWorld.mInstances) {
    if (instance->mAlive &&
        Connected(aWorld, aPacket.mOrigin, instance->mDataCentre)) {
      live.push_back(instance.get());
    }
  }
  if (live.empty()) {
    return;
  }
  auto* const target = live[Pick(aWorld, live.size())];
  Schedule(aWorld, HopDelay(aWorld), [&aWorld, target, aPacket] {
    DeliverToInstance(aWorld, *target, aPacket, {});
  });
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
      state::AssignOwners(
        table, snapshot->mInstances, snapshot->mReachable);
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
