#ifndef SASSAFRASKNOT_SRC_COORDINATION_RECOVERY_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_RECOVERY_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Processes a packet of an unknown flow whose first owner is this instance.
/// Uses the flow's backup record if there is a usable one; otherwise starts a
/// look-up (PendingLookup), which holds the packet. Drops the packet if it is a
/// reset, if a look-up of the flow is in progress, or if there are too many
/// look-ups.
/// @param aService index into Snapshot::mServices
void
LookUpFlow(TrafficState& aState,
           state::TimePoint aNow,
           const PacketEvent& aPacket,
           std::uint32_t aService);

/// Returns whether a packet of an upstream may make this instance adopt an
/// unknown flow: the flow is being looked up, or this instance became the
/// shard's owner within kAdoptionWindow. At other times it is a late packet of
/// a flow that has ended.
/// @param aShard hash of the upstream's shard
bool
MayAdopt(TrafficState& aState,
         state::TimePoint aNow,
         const state::FlowKey& aKey,
         std::uint64_t aShard);

/// Adopts a flow whose upstream is in a shard of this instance, ends its
/// look-up and notifies the flow's first owner.
/// @param aService index into Snapshot::mServices
/// @param aShard hash of the upstream's shard
/// @return the flow's entry
FlowEntry&
AdoptLocatedFlow(TrafficState& aState,
                 state::TimePoint aNow,
                 const state::FlowKey& aKey,
                 const state::Endpoint& aUpstream,
                 std::uint32_t aService,
                 std::uint64_t aShard);

/// Ends a flow's look-up, if there is one: sends its held packet to the
/// upstream, or drops the packet if the flow belongs to another instance or the
/// upstream is not bound to the service.
/// @param aIsOwnedHere whether this instance owns the upstream's shard
void
ResolveLookup(TrafficState& aState,
              const state::FlowKey& aKey,
              const state::Endpoint& aUpstream,
              bool aIsOwnedHere);

/// Removes an upstream from the candidates of a look-up, after it reset the
/// flow.
void
RuleOutCandidate(TrafficState& aState,
                 const state::FlowKey& aKey,
                 const state::Endpoint& aUpstream);

/// Probes the candidates of look-ups, takes the candidate as the flow's
/// upstream where only one is left, and resets the callers of look-ups that
/// have timed out.
void
CheckLookups(TrafficState& aState, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
