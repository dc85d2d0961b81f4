#ifndef SASSAFRASKNOT_SRC_COORDINATION_HANDOVER_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_HANDOVER_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Starts a hand-over of each shard whose owner is now another instance, and
/// ends those whose shard came back.
void
UpdateHandovers(TrafficState& aState, state::TimePoint aNow);

/// Sends the next batches that the budget allows and repeats lost ones.
void
ContinueHandovers(TrafficState& aState, state::TimePoint aNow);

/// Drops the flows of a batch that the next owner has taken.
void
OnHandoverAcknowledged(TrafficState& aState,
                       state::TimePoint aNow,
                       const state::InstanceId& aFrom,
                       std::uint64_t aBatch);

/// Whether no flow is left that another instance should account.
bool
HandoversDone(const TrafficState& aState);

} // namespace sassafrasknot::coordination

#endif
