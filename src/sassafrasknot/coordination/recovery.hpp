#ifndef SASSAFRASKNOT_SRC_COORDINATION_RECOVERY_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_RECOVERY_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Looks up the upstream of an established flow that this instance should know
/// but does not. The packet at hand is held if it is the first one.
void
RecoverFlow(TrafficState& aState,
            state::TimePoint aNow,
            const PacketEvent& aPacket,
            std::uint32_t aService);

/// Whether an answer may make this instance adopt a flow that it does not know:
/// the flow is being looked up, or the shard has changed its owner lately.
/// At other times the answer is a late one of a flow that has ended.
bool
MayAdopt(TrafficState& aState,
         state::TimePoint aNow,
         const state::FlowKey& aKey,
         std::uint64_t aShard);

/// Adopts a flow whose upstream is in a shard of this instance, ends its
/// look-up and tells the owner of the flow's first shard.
FlowEntry&
AdoptLocatedFlow(TrafficState& aState,
                 state::TimePoint aNow,
                 const state::FlowKey& aKey,
                 const state::Endpoint& aUpstream,
                 std::uint32_t aService,
                 std::uint64_t aShard);

/// Ends a flow's look-up: sends its held packet to the upstream, or drops it
/// when another instance accounts the flow.
void
ResolveLookup(TrafficState& aState,
              const state::FlowKey& aKey,
              const state::Endpoint& aUpstream,
              bool aHere);

/// Notes that an upstream does not know a flow that is being looked up.
void
RuleOutCandidate(TrafficState& aState,
                 const state::FlowKey& aKey,
                 const state::Endpoint& aUpstream);

/// Probes the candidates of look-ups and ends those that took too long.
void
CheckLookups(TrafficState& aState, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
