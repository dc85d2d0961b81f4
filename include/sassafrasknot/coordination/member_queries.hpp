#ifndef SASSAFRASKNOT_COORDINATION_MEMBER_QUERIES_HPP
#define SASSAFRASKNOT_COORDINATION_MEMBER_QUERIES_HPP

#include "sassafrasknot/coordination/membership.hpp"

#include <set>
#include <string_view>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief Returns whether this instance ranks among the first of its data
/// centre's live, not leaving instances for a task.
/// @param aMembership the members
/// @param aTask name of the task
/// @param aCount how many instances do the task
/// @return whether this instance is one of them
bool
IsAssigned(const Membership& aMembership,
           std::string_view aTask,
           std::size_t aCount);

/// @brief Chooses random members that are not dead.
/// @param aMembership the members
/// @param aDataCentre their data centre
/// @param aCount how many are wanted at most
/// @param aRandom random numbers
/// @return the members; if all are dead, dead ones, so that a healed partition
/// is noticed
std::vector<const Member*>
ChooseMembers(const Membership& aMembership,
              const state::DataCentreId& aDataCentre,
              std::size_t aCount,
              RandomGenerator& aRandom);

/// @brief Returns the number of other members of this data centre that are
/// not dead.
/// @param aMembership the members
/// @return the number
std::size_t
CountPeers(const Membership& aMembership);

/// @brief Returns all data centres with a known member, without the own one.
/// @param aMembership the members
/// @return the data centres
std::set<state::DataCentreId>
OtherDataCentres(const Membership& aMembership);

/// @brief Returns the data centres that this instance reaches.
/// @param aMembership the members
/// @param aNow the time
/// @return the data centres; always holds the own one
std::set<state::DataCentreId>
ReachableDataCentres(const Membership& aMembership, state::TimePoint aNow);

/// @brief Returns what this data centre's instances know of the others, the
/// freshest first, at most 4.
/// @param aMembership the members
/// @param aNow the time
/// @return the heartbeats
std::vector<RelayedSummary>
MakeRelayedSummaries(const Membership& aMembership, state::TimePoint aNow);

/// @brief Returns all instances, this one included, in order of their ids.
/// @param aMembership the members
/// @return the instances as a snapshot shows them
std::vector<state::InstanceView>
MakeInstanceViews(const Membership& aMembership);

} // namespace sassafrasknot::coordination

#endif
