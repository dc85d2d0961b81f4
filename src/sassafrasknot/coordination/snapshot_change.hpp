#ifndef SASSAFRASKNOT_SRC_COORDINATION_SNAPSHOT_CHANGE_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_SNAPSHOT_CHANGE_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Applies a new snapshot: updates shards and organisation shares, adopts flows
/// of shards that this instance now owns, replicates flows to new backups, and
/// starts or cancels handovers.
void
ApplySnapshot(TrafficState& aState,
              state::TimePoint aNow,
              std::shared_ptr<const state::Snapshot> aSnapshot);

} // namespace sassafrasknot::coordination

#endif
