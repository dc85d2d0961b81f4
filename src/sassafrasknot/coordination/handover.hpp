#ifndef SASSAFRASKNOT_SRC_COORDINATION_HANDOVER_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_HANDOVER_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Starts a handover of each shard whose owner is now another instance: the
/// records of the shard's flows are sent there in batches (ContinueHandovers).
/// Cancels the handover of a shard that this instance owns again or that has no
/// owner.
void
UpdateHandovers(TrafficState& aState, state::TimePoint aNow);

/// Sends the next batches that the budget allows, and resends batches that are
/// not acknowledged within 1 s.
void
ContinueHandovers(TrafficState& aState, state::TimePoint aNow);

/// Removes the flows of a batch that the next owner has acknowledged.
/// @param aFrom the instance that sent the acknowledgement
/// @param aBatch number of the acknowledged batch
void
OnHandoverAcknowledged(TrafficState& aState,
                       state::TimePoint aNow,
                       const state::InstanceId& aFrom,
                       std::uint64_t aBatch);

/// Returns whether no shard that has an owner holds flows on this instance.
/// Shards that this instance owns count too, so that the result is meaningful
/// only during a planned stop.
bool
HandoversDone(const TrafficState& aState);

} // namespace sassafrasknot::coordination

#endif
