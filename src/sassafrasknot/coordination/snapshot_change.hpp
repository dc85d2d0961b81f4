#ifndef SASSAFRASKNOT_SRC_COORDINATION_SNAPSHOT_CHANGE_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_SNAPSHOT_CHANGE_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Takes a new snapshot: changed tables, owners and backups.
void
ApplySnapshot(TrafficState& aState,
              state::TimePoint aNow,
              std::shared_ptr<const state::Snapshot> aSnapshot);

} // namespace sassafrasknot::coordination

#endif
