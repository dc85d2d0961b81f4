#ifndef SASSAFRASKNOT_SRC_COORDINATION_FLOW_SHARES_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_FLOW_SHARES_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Makes the organisation shares of one traffic core: how many open and new
/// flows each organisation may have.
OrganisationShares
MakeCoreShares(state::TimePoint aNow);

/// Updates the organisations and their weights from the current snapshot.
void
UpdateShares(TrafficState& aState, state::TimePoint aNow);

/// Admits a new flow if its organisation's share allows it, and counts it.
/// @return true if it was admitted
bool
AdmitNewFlow(TrafficState& aState,
             state::TimePoint aNow,
             const state::OrganisationId& aOrganisation);

/// Counts an open flow in its organisation's share, unless it is counted.
void
AddToShare(TrafficState& aState, FlowEntry& aEntry);

/// Removes a flow from its organisation's share, if it is counted there.
void
RemoveFromShare(TrafficState& aState, FlowEntry& aEntry);

} // namespace sassafrasknot::coordination

#endif
