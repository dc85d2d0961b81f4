#include "network.hpp"

#include <algorithm>
#include <iostream>

namespace randomised {
namespace {

using state::SegmentKind;

/// Delay of a packet from one host to the next: kMinHopDelay plus a random part
/// of kHopDelayRange.
constexpr auto kMinHopDelay = std::chrono::microseconds{ 300 };
constexpr auto kHopDelayRange = std::chrono::microseconds{ 1200 };

/// Returns a random delay of one hop.
Duration
HopDelay(World& aWorld)
{
  const auto additional =
    static_cast<double>(Duration{ kHopDelayRange }.count()) * Uniform(aWorld);
  return kMinHopDelay + Duration{ static_cast<std::int64_t>(additional) };
}

/// Decides at random whether a packet is lost.
bool
IsLost(World& aWorld)
{
  return aWorld.mOptions.mLoss > 0 && Uniform(aWorld) < aWorld.mOptions.mLoss;
}

/// Returns whether the network drops all packets of the packet's flow.
bool
IsBlackholed(const World& aWorld, const Packet& aPacket)
{
  return aWorld.mBlackholedFlows.contains(aPacket.mCallerFlow);
}

/// Carries out the actions of one instance; one overload per action.
struct ActionRunner
{
  World& mWorld;
  FakeInstance& mInstance;
  /// Packet that caused the actions and the instances that have forwarded it;
  /// null if a tick, snapshot or message caused them.
  const Packet* mPacket;
  const std::vector<state::InstanceId>* mHops;

  /// Decides whether to make a deliberate fault now: with probability 0.01 if
  /// the run has this kind.
  bool ShouldInject(std::string_view aKind) const
  {
    return mWorld.mOptions.mDeliberateFault == aKind && Uniform(mWorld) < 0.01;
  }

  /// Sends a packet to an upstream unless it is lost, blackholed or partitioned
  /// from it.
  void TransmitToUpstream(Endpoint aUpstream, const Packet& aPacket) const
  {
    if (ShouldInject("misroute")) {
      aUpstream.mAddress.mValue ^= 256;
    }
    const auto target = mWorld.mUpstreams.find(aUpstream);
    if (target == mWorld.mUpstreams.end() || IsLost(mWorld) ||
        IsBlackholed(mWorld, aPacket) ||
        !AreConnected(
          mWorld, mInstance.mDataCentre, target->second.mDataCentre)) {
      return;
    }
    Schedule(
      mWorld, HopDelay(mWorld), [&world = mWorld, aUpstream, packet = aPacket] {
        DeliverToUpstream(world, aUpstream, packet);
      });
  }

  /// Sends a packet to its caller unless it is lost, blackholed or partitioned
  /// from it. Resets of blackholed flows are sent.
  void TransmitToCaller(const Packet& aPacket) const
  {
    const auto flow = mWorld.mFlowOfKey.find(aPacket.mFlow.mKey);
    if (flow == mWorld.mFlowOfKey.end() ||
        !AreConnected(mWorld,
                      mInstance.mDataCentre,
                      mWorld.mCallers.at(flow->second).mDataCentre)) {
      return;
    }
    if (IsLost(mWorld) || (IsBlackholed(mWorld, aPacket) &&
                           aPacket.mFlow.mKind != SegmentKind::Reset)) {
      return;
    }
    Schedule(mWorld, HopDelay(mWorld), [&world = mWorld, packet = aPacket] {
      DeliverToCaller(world, packet);
    });
  }

  /// Makes a packet without payload that the instance itself sends.
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
    TransmitToUpstream(aAction.mUpstream, *mPacket);
    if (ShouldInject("run-twice") && mPacket->mFlow.mPayloadBytes > 0) {
      ++mWorld.mExecutions[mPacket->mCallerFlow];
    }
    if (ShouldInject("false-not-run") && mPacket->mFlow.mPayloadBytes > 0) {
      auto reset = *mPacket;
      reset.mFlow.mKind = SegmentKind::Reset;
      reset.mFlow.mSequence = mPacket->mFlow.mAcknowledged;
      reset.mVerdict = Verdict::NotRun;
      TransmitToCaller(reset);
    }
    if (ShouldInject("break-flows")) {
      auto reset = *mPacket;
      reset.mFlow.mKind = SegmentKind::Reset;
      reset.mFlow.mSequence = mPacket->mFlow.mAcknowledged;
      TransmitToCaller(reset);
    }
  }

  void operator()(const coordination::SendToCaller& aAction) const
  {
    auto packet = *mPacket;
    packet.mFlow.mKey.mService = aAction.mService;
    TransmitToCaller(packet);
  }

  void operator()(const coordination::Forward& aAction) const;

  void operator()(const coordination::Hold& aAction) const
  {
    mInstance.mHeldPackets[aAction.mHoldId] = *mPacket;
  }

  void operator()(const coordination::ReleaseHeld& aAction) const
  {
    const auto found = mInstance.mHeldPackets.find(aAction.mHoldId);
    if (found == mInstance.mHeldPackets.end()) {
      return;
    }
    TransmitToUpstream(aAction.mUpstream, found->second);
    if (!aAction.mKeep) {
      mInstance.mHeldPackets.erase(found);
    }
  }

  void operator()(const coordination::DropHeld& aAction) const
  {
    mInstance.mHeldPackets.erase(aAction.mHoldId);
  }

  void operator()(const coordination::Drop&) const {}

  void operator()(const coordination::ResetCaller& aAction) const
  {
    auto packet = MakePacket(aAction.mKey,
                             SegmentKind::Reset,
                             aAction.mSequence,
                             aAction.mAcknowledged);
    packet.mVerdict = aAction.mVerdict;
    TransmitToCaller(packet);
  }

  void operator()(const coordination::ResetUpstream& aAction) const
  {
    TransmitToUpstream(
      aAction.mUpstream,
      MakePacket(aAction.mKey, SegmentKind::Reset, aAction.mSequence, 0));
  }

  void operator()(const coordination::ProbeUpstream& aAction) const
  {
    TransmitToUpstream(aAction.mUpstream,
                       MakePacket(aAction.mKey,
                                  SegmentKind::Data,
                                  aAction.mSequence,
                                  aAction.mAcknowledged));
  }

  void operator()(const coordination::ProbeCaller& aAction) const
  {
    TransmitToCaller(MakePacket(aAction.mKey,
                                SegmentKind::Data,
                                aAction.mSequence,
                                aAction.mAcknowledged));
  }

  void operator()(const coordination::SendToPeer& aAction) const;
};

/// Formats a packet for the trace.
std::string
Describe(const Packet& aPacket)
{
  // In the order of SegmentKind.
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

/// Formats actions for the trace, with the target or reason of the main ones.
std::string
Describe(const coordination::TrafficActions& aActions)
{
  // In the order of the alternatives of TrafficAction.
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

/// Passes a packet to an instance's core and carries out the actions.
void
DeliverToInstance(World& aWorld,
                  FakeInstance& aInstance,
                  const Packet& aPacket,
                  const std::vector<state::InstanceId>& aHops)
{
  if (!aInstance.mAlive) {
    return;
  }
  RunWhenResumed(aWorld, aInstance, [&aWorld, &aInstance, aPacket, aHops] {
    ++aWorld.mTotals.mSteps;
    const auto actions =
      aInstance.mCore->OnPacket(aWorld.mNow, { aPacket.mFlow, aHops });
    if (aPacket.mCallerFlow == aWorld.mTracedFlow) {
      Trace(aWorld,
            aPacket.mCallerFlow,
            aInstance.mId.mValue + " receives " + Describe(aPacket) + ": " +
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
      !AreConnected(mWorld, mInstance.mDataCentre, target->mDataCentre)) {
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
  // Handover messages are sent over a reliable connection.
  const bool reliable =
    std::holds_alternative<coordination::HandoverBatch>(aAction.mMessage) ||
    std::holds_alternative<coordination::HandoverAcknowledgement>(
      aAction.mMessage);
  if (target == nullptr || (!reliable && IsLost(mWorld)) ||
      !AreConnected(mWorld, mInstance.mDataCentre, target->mDataCentre)) {
    return;
  }
  Schedule(mWorld,
           HopDelay(mWorld),
           [&world = mWorld,
            target,
            from = mInstance.mId,
            message = aAction.mMessage] {
             RunWhenResumed(world, *target, [&world, target, from, message] {
               ++world.mTotals.mSteps;
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
RunWhenResumed(World& aWorld,
               FakeInstance& aInstance,
               std::function<void()> aRun)
{
  if (aInstance.mPausedUntil > aWorld.mNow) {
    Schedule(aWorld,
             aInstance.mPausedUntil - aWorld.mNow,
             [&aWorld, &aInstance, run = std::move(aRun)] {
               RunWhenResumed(aWorld, aInstance, run);
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
  if (IsLost(aWorld) || IsBlackholed(aWorld, aPacket)) {
    return;
  }
  std::vector<FakeInstance*> live;
  for (const auto& instance : aWorld.mInstances) {
    if (instance->mAlive &&
        AreConnected(aWorld, aPacket.mOrigin, instance->mDataCentre)) {
      live.push_back(instance.get());
    }
  }
  if (live.empty()) {
    return;
  }
  auto* const target = live[RandomIndex(aWorld, live.size())];
  Schedule(aWorld, HopDelay(aWorld), [&aWorld, target, aPacket] {
    DeliverToInstance(aWorld, *target, aPacket, {});
  });
}

void
Trace(const World& aWorld, std::uint64_t aCallerFlow, const std::string& aText)
{
  if (aWorld.mTracedFlow != 0 && aCallerFlow == aWorld.mTracedFlow) {
    const auto time =
      std::chrono::duration<double>(aWorld.mNow.time_since_epoch());
    std::cerr << time.count() << " flow " << aCallerFlow << ' ' << aText
              << '\n';
  }
}

} // namespace randomised
