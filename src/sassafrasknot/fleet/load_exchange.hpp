#ifndef SASSAFRASKNOT_FLEET_LOAD_EXCHANGE_HPP
#define SASSAFRASKNOT_FLEET_LOAD_EXCHANGE_HPP

#include "sassafrasknot/fleet/fleet_core.hpp"

#include <vector>

namespace sassafrasknot::fleet {

/// Time for which reported speeds count, unless their sender dies or replaces
/// them before: several periods of their messages, so that some may be lost.
constexpr std::chrono::milliseconds kSpeedReportRetention{ 3500 };

/// @brief Returns a message that contains only the sender, its revision and the
/// age of that revision's confirmation.
/// @param aCore core of the sending instance
/// @param aNow current time on the steady clock
/// @return message to which further content may be added
FleetMessage
BuildMessage(const FleetCore& aCore, state::TimePoint aNow);

/// @brief Adds a message to the actions, unless the list of receivers is empty.
/// @param aActions actions that the message is added to
/// @param aMessage message to send
/// @param aPeers receivers
void
QueueMessage(FleetActions& aActions,
             FleetMessage aMessage,
             const std::vector<const Peer*>& aPeers);

/// @brief Queues the regular messages within the data centre that are due: with
/// loads to neighbours, and without loads to the other peers.
/// @param aCore core of the sending instance
/// @param aActions actions that the messages are added to
/// @param aNow current time on the steady clock
void
QueueLocalMessages(FleetCore& aCore,
                   FleetActions& aActions,
                   state::TimePoint aNow);

/// @brief Queues a message with the aggregated loads of this data centre to the
/// representatives of all others, if this instance is the representative.
/// @param aCore core of the sending instance
/// @param aActions actions that the messages are added to
/// @param aNow current time on the steady clock
void
QueueDataCentreLoads(FleetCore& aCore,
                     FleetActions& aActions,
                     state::TimePoint aNow);

/// @brief Records the loads, speeds and probe candidates of a message.
/// @param aCore core of the receiving instance
/// @param aMessage received message
/// @param aSentAfter a time before the sending of the message
void
UpdateLoads(FleetCore& aCore,
            const FleetMessage& aMessage,
            state::TimePoint aSentAfter);

/// @brief Removes the loads, speeds and probe candidates of dead instances, the
/// loads of data centres that were aggregated longer than kDeadTimeout ago, and
/// the speeds that were received longer than kSpeedReportRetention ago.
/// @param aNow current time on the steady clock
void
RemoveStaleLoads(FleetCore& aCore, state::TimePoint aNow);

} // namespace sassafrasknot::fleet

#endif
