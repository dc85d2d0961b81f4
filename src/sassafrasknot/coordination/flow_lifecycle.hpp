#ifndef SASSAFRASKNOT_SRC_COORDINATION_FLOW_LIFECYCLE_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_FLOW_LIFECYCLE_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Returns the verdict that the caller receives if the flow is reset now.
state::Verdict
VerdictOf(const FlowEntry& aEntry);

/// Returns whether aUpstream is not the flow's default upstream, so that
/// another instance cannot compute it from the table.
/// @param aService index into Snapshot::mServices
bool
IsOffDefault(const TrafficState& aState,
             std::uint32_t aService,
             const state::FlowKey& aKey,
             const state::Endpoint& aUpstream);

/// Releases the connection, the slot and the organisation share that a flow
/// holds. Does nothing for resources that the flow does not hold.
void
ReleaseResources(TrafficState& aState,
                 state::TimePoint aNow,
                 FlowEntry& aEntry);

/// Adds an established flow that another owner placed. The flow takes a
/// connection of its upstream, a slot if its class takes one, and a part of its
/// organisation's share.
/// @param aRecord the flow and its upstream
/// @param aService index into Snapshot::mServices
/// @param aShard hash of the upstream's shard
FlowEntry&
AdoptFlow(TrafficState& aState,
          state::TimePoint aNow,
          const FlowRecord& aRecord,
          std::uint32_t aService,
          std::uint64_t aShard);

/// Records a redirect: packets of the flow are to be forwarded to the owner of
/// aShard.
/// @param aUpstream the flow's upstream, or an empty endpoint if it is not
/// known
/// @param aShard hash of the shard in which the flow is placed
void
RecordRedirect(TrafficState& aState,
               state::TimePoint aNow,
               const state::FlowKey& aKey,
               const state::Endpoint& aUpstream,
               std::uint64_t aShard);

/// Sends the flow's record to its first owner (the owner of the flow's
/// highest-ranked shard that has an owner), unless that is this instance.
void
NotifyFirstOwner(TrafficState& aState, const FlowRecord& aRecord);

/// Records that the upstream accepted the flow: the flow becomes established,
/// is reported to its first owner and queued for replication if necessary.
void
AcceptFlow(TrafficState& aState,
           state::TimePoint aNow,
           const state::FlowKey& aKey,
           FlowEntry& aEntry);

/// Closes a flow: releases its connection, slot and organisation share, and
/// queues the removal of its record on the backup. Late segments of the caller
/// are still sent to its upstream until the entry is removed.
void
CloseFlow(TrafficState& aState,
          state::TimePoint aNow,
          const state::FlowKey& aKey,
          FlowEntry& aEntry);

/// Removes a flow from the table and, if queued, from its shard's queue.
/// Releases its connection, slot and organisation share.
void
RemoveFlowEntry(TrafficState& aState,
                state::TimePoint aNow,
                const state::FlowKey& aKey);

/// Changes a flow's class: it takes or releases a slot accordingly.
void
ReclassifyFlow(TrafficState& aState,
               state::TimePoint aNow,
               FlowEntry& aEntry,
               state::FlowClass aTo);

} // namespace sassafrasknot::coordination

#endif
