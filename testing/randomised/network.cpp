#include "network.hpp"

#include <algorithm>
#include <iostream>

namespace randomised {
namespace {

using state::SegmentKind;

constexpr auto kFastestHop = std::chrono::microseconds{ 300 };
constexpr auto kHopSpread = std::chrono::microseconds{ 1200 };

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
    if (Sabotages("run-twice") && mPacket->mFlow.mPayloadBytes > 0) {
      ++mWorld.mExecutions[mPacket->mCallerFlow];
    }
    if (Sabotages("false-not-run") && mPacket->mFlow.mPayloadBytes > 0) {
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
    mInstance.mHeld[aAction.mHoldId] = *mPacket;
  }

  void operator()(const coordination::ReleaseHeld& aAction) const
  {
    const auto found = mInstance.mHeld.find(aAction.mHoldId);
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
    mInstance.mHeld.erase(aAction.mHoldId);
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

  void operator()(const coordination::SendToPeer& aAction) const;
};

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
         " len=" + std::to_string(event.mPayloadBytes) +
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
                 std::get_if<coordination::SendToPeer>(&action)) {
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
ActionRunner::operator()(const coordination::SendToPeer& aAction) const
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

} // namespace

FakeInstance*
FindInstance(World& aWorld, const state::InstanceId& aId)
{
  const auto found =
    std::ranges::find_if(aWorld.mInstances, [&](const auto& aInstance) {
      return aInstance->mId == aId;
    });
  return found == aWorld.mInstances.end() ? nullptr : found->get();
}

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
Trace(const World& aWorld, std::uint64_t aCallerFlow, const std::string& aText)
{
  if (aWorld.mTraced != 0 && aCallerFlow == aWorld.mTraced) {
    const auto time =
      std::chrono::duration<double>(aWorld.mNow.time_since_epoch());
    std::cerr << time.count() << " flow " << aCallerFlow << ' ' << aText
              << '\n';
  }
}

} // namespace randomised
