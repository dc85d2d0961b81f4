#ifndef SASSAFRASKNOT_SRC_COORDINATION_PEER_MESSAGES_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_PEER_MESSAGES_HPP

#include "sassafrasknot/coordination/traffic_state.hpp"

namespace sassafrasknot::coordination {

/// Processes a message of another instance's traffic core.
/// @param aFrom the instance that sent it
void
OnTrafficMessage(TrafficState& aState,
                 state::TimePoint aNow,
                 const state::InstanceId& aFrom,
                 const TrafficMessage& aMessage);

/// Sends the report requests, flow records and reports that are due and within
/// the control budget.
void
FlushPeerMessages(TrafficState& aState, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
