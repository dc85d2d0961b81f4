#ifndef SASSAFRASKNOT_FLEET_LOAD_EXCHANGE_HPP
#define SASSAFRASKNOT_FLEET_LOAD_EXCHANGE_HPP

#include "sassafrasknot/fleet/fleet_core.hpp"

#include <vector>

namespace sassafrasknot::fleet {

/// @brief Returns a message without content.
/// @param aCore the sender
/// @param aNow the time
/// @return the message
FleetMessage
BuildMessage(const FleetCore& aCore, state::TimePoint aNow);

/// @brief Adds a message for some peers, if there are any.
void
QueueMessage(FleetActions& aActions,
             FleetMessage aMessage,
             const std::vector<const Peer*>& aPeers);

/// @brief Sends the messages within the data centre that are due: loads to
/// neighbours, and to all peers what they need of each other otherwise.
/// @param aCore the sender
/// @param aActions receives the messages
/// @param aNow the time
void
QueueLocalMessages(FleetCore& aCore,
                   FleetActions& aActions,
                   state::TimePoint aNow);

/// @brief Tells the speaker of each other data centre the load of this one, if
/// this instance speaks for it.
/// @param aCore the sender
/// @param aActions receives the messages
/// @param aNow the time
void
QueueDataCentreLoads(FleetCore& aCore,
                     FleetActions& aActions,
                     state::TimePoint aNow);

/// @brief Takes the loads of a message.
/// @param aCore the receiver
/// @param aMessage the message
/// @param aNow the time
void
UpdateLoads(FleetCore& aCore,
            const FleetMessage& aMessage,
            state::TimePoint aNow);

/// @brief Forgets the loads of instances and data centres that are not heard.
/// @param aCore the core
/// @param aNow the time
void
RemoveStaleLoads(FleetCore& aCore, state::TimePoint aNow);

} // namespace sassafrasknot::fleet

#endif
