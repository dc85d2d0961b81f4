#include "sassafrasknot/coordination/action_invariants.hpp"

#include "sassafrasknot/coordination/invariant.hpp"

namespace sassafrasknot::coordination {
namespace {

bool
IsBound(const TrafficState& aState,
        const state::FlowKey& aKey,
        const state::Endpoint& aUpstream)
{
  const auto service = ServiceOfFlow(aState.mIndex, aKey);
  return service && IsBoundToService(aState.mIndex, *service, aUpstream);
}

/// Whether an answer of an upstream leaves with the address of its service.
bool
IsAnswerOf(const TrafficState& aState,
           const state::Endpoint& aUpstream,
           const state::Endpoint& aService)
{
  const auto& snapshot = *aState.mIndex.mSnapshot;
  const auto found = snapshot.mUpstreamBindings.find(aUpstream);
  if (found == snapshot.mUpstreamBindings.end()) {
    return false;
  }
  const auto& service = snapshot.mServices[found->second.mService].mService;
  return aService ==
         state::Endpoint{ service.mAddress, found->second.mListenerPort };
}

bool
HasPayload(const TrafficState& aState, const state::FlowKey& aKey)
{
  const auto found = aState.mFlows.find(aKey);
  return found != aState.mFlows.end() &&
         found->second.mStage != FlowStage::Closed &&
         found->second.mPayloadForwarded;
}

void
CheckAction(TrafficState& aState,
            const PacketEvent* aPacket,
            const TrafficAction& aAction)
{
  auto& counters = aState.mCounters;
  if (const auto* sent = std::get_if<SendToUpstream>(&aAction)) {
    CheckInvariant(aPacket != nullptr &&
                     IsBound(aState, aPacket->mFlow.mKey, sent->mUpstream),
                   "misrouted_packet",
                   counters);
  } else if (const auto* answer = std::get_if<SendToCaller>(&aAction)) {
    CheckInvariant(
      aPacket != nullptr &&
        IsAnswerOf(aState, aPacket->mFlow.mUpstream, answer->mService),
      "misrouted_answer",
      counters);
  } else if (const auto* probe = std::get_if<ProbeUpstream>(&aAction)) {
    CheckInvariant(IsBound(aState, probe->mKey, probe->mUpstream),
                   "misrouted_probe",
                   counters);
  } else if (const auto* reset = std::get_if<ResetCaller>(&aAction)) {
    CheckInvariant(reset->mVerdict != state::Verdict::NotRun ||
                     !HasPayload(aState, reset->mKey),
                   "not_run_after_payload",
                   counters);
  }
}

} // namespace

void
CheckActionInvariants(TrafficState& aState, const PacketEvent* aPacket)
{
  for (const auto& action : aState.mActions) {
    CheckAction(aState, aPacket, action);
  }
}

} // namespace sassafrasknot::coordination
