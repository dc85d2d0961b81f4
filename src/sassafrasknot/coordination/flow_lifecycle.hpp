#ifndef SASSAFRASKNOT_SRC_COORDINATION_FLOW_LIFECYCLE_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_FLOW_LIFECYCLE_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Says what the caller of a flow may be told if the flow ends now.
state::Verdict
VerdictOf(const FlowEntry& aEntry);

/// Whether the table alone does not give the flow's upstream.
bool
IsOffDefault(const TrafficState& aState,
             std::uint32_t aService,
             const state::FlowKey& aKey,
             const state::Endpoint& aUpstream);

/// Gives back the slot, the connection and the share that a flow holds.
void
ReleaseResources(TrafficState& aState,
                 state::TimePoint aNow,
                 FlowEntry& aEntry);

/// Accounts an established flow whose upstream was learned.
FlowEntry&
AdoptFlow(TrafficState& aState,
          state::TimePoint aNow,
          const FlowRecord& aRecord,
          std::uint32_t aService,
          std::uint64_t aShard);

/// Notes that another shard's owner accounts the flow.
void
RecordRedirect(TrafficState& aState,
               state::TimePoint aNow,
               const state::FlowKey& aKey,
               const state::Endpoint& aUpstream,
               std::uint64_t aShard);

/// Tells the owner of a flow's first shard where the flow is, unless that is
/// this instance.
void
NotifyFirstOwner(TrafficState& aState, const FlowRecord& aRecord);

/// Notes that the upstream accepted the flow.
void
AcceptFlow(TrafficState& aState,
           state::TimePoint aNow,
           const state::FlowKey& aKey,
           FlowEntry& aEntry);

/// Ends the flow: frees its account and tells the backup. Late segments still
/// go to its upstream until the entry is dropped.
void
CloseFlow(TrafficState& aState,
          state::TimePoint aNow,
          const state::FlowKey& aKey,
          FlowEntry& aEntry);

/// Frees the account and forgets the flow.
void
RemoveFlowEntry(TrafficState& aState,
                state::TimePoint aNow,
                const state::FlowKey& aKey);

/// Moves a flow's account to the class that it turned out to have.
void
ReclassifyFlow(TrafficState& aState,
               state::TimePoint aNow,
               FlowEntry& aEntry,
               state::FlowClass aTo);

} // namespace sassafrasknot::coordination

#endif
