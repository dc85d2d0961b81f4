#include "sassafrasknot/coordination/action_invariants.hpp"

#include "sassafrasknot/coordination/invariant.hpp"

namespace sassafrasknot::coordination {
namespace {

/// Returns whether the upstream endpoint is bound to the flow's service.
bool
IsBoundToFlowService(const TrafficState& aState,
                     const state::FlowKey& aKey,
                     const state::Endpoint& aUpstream)
{
  const auto service = ServiceOfFlow(aState.mIndex, aKey);
  return service && IsBoundToService(aState.mIndex, *service, aUpstream);
}

/// Returns whether aService is the service endpoint that the upstream endpoint
/// is bound to.
bool
IsServiceEndpointOf(const TrafficState& aState,
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

/// Returns whether the flow is in the table, is not closed and has had payload
/// of the caller sent to an upstream.
bool
HasForwardedPayload(const TrafficState& aState, const state::FlowKey& aKey)
{
  const auto found = aState.mFlows.find(aKey);
  return found != aState.mFlows.end() &&
         found->second.mStage != FlowStage::Closed &&
         found->second.mPayloadForwarded;
}

/// Checks the invariant that applies to one action.
void
CheckAction(TrafficState& aState,
            const PacketEvent* aPacket,
            const TrafficAction& aAction)
{
  auto& counters = aState.mCounters;
  if (const auto* sent = std::get_if<SendToUpstream>(&aAction)) {
    CheckInvariant(
      aPacket != nullptr &&
        IsBoundToFlowService(aState, aPacket->mFlow.mKey, sent->mUpstream),
      "misrouted_packet",
      counters);
  } else if (const auto* answer = std::get_if<SendToCaller>(&aAction)) {
    CheckInvariant(
      aPacket != nullptr &&
        IsServiceEndpointOf(aState, aPacket->mFlow.mUpstream, answer->mService),
      "misrouted_answer",
      counters);
  } else if (const auto* probe = std::get_if<ProbeUpstream>(&aAction)) {
    CheckInvariant(IsBoundToFlowService(aState, probe->mKey, probe->mUpstream),
                   "misrouted_probe",
                   counters);
  } else if (const auto* reset = std::get_if<ResetCaller>(&aAction)) {
    CheckInvariant(reset->mVerdict != state::Verdict::NotRun ||
                     !HasForwardedPayload(aState, reset->mKey),
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
