#ifndef SASSAFRASKNOT_SRC_COORDINATION_FLOW_SHARES_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_FLOW_SHARES_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Makes the shares of the organisations in one traffic core.
OrganisationShares
MakeCoreShares(state::TimePoint aNow);

/// Takes the organisations and their weights from the present snapshot.
void
UpdateShares(TrafficState& aState, state::TimePoint aNow);

/// Admits a new flow of an organisation within its share.
bool
AdmitNewFlow(TrafficState& aState,
             state::TimePoint aNow,
             const state::OrganisationId& aOrganisation);

/// Accounts a flow that is open already, unless that was done.
void
AddToShare(TrafficState& aState, FlowEntry& aEntry);

/// Frees the account of a flow that ended, unless that was done.
void
RemoveFromShare(TrafficState& aState, FlowEntry& aEntry);

} // namespace sassafrasknot::coordination

#endif
