#ifndef SASSAFRASKNOT_COORDINATION_MEMBER_QUERIES_HPP
#define SASSAFRASKNOT_COORDINATION_MEMBER_QUERIES_HPP

#include "sassafrasknot/coordination/membership.hpp"

#include <set>
#include <string_view>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief Returns whether a task is assigned to this instance. Rendezvous
/// hashing of the task's name ranks the instances of this data centre that are
/// neither dead nor leaving; the first ones have the task. Instances whose
/// views of the membership differ may disagree for a time.
/// @param aMembership state of all members
/// @param aTask name of the task, which is hashed: "platform-readers" for the
/// designated readers (the instances that read the platform for their data
/// centre), "contact/" and the id of a data centre for this data centre's
/// representative towards that one, and "contact" for the instance that sends
/// the regular digest to other data centres
/// @param aCount number of instances that have the task
/// @return whether this instance is one of them
bool
IsAssigned(const Membership& aMembership,
           std::string_view aTask,
           std::size_t aCount);

/// @brief Chooses random members of a data centre that are not dead. If all are
/// dead, it chooses dead ones, so that the end of a network partition is
/// detected.
/// @param aMembership state of all members
/// @param aDataCentre data centre of the members
/// @param aCount maximum number of members
/// @param aRandom generator of the random choices
/// @return the chosen members; valid until aMembership changes
std::vector<const Member*>
ChooseMembers(const Membership& aMembership,
              const state::DataCentreId& aDataCentre,
              std::size_t aCount,
              RandomGenerator& aRandom);

/// @brief Returns the number of other members of this data centre that are
/// not dead.
/// @param aMembership state of all members
/// @return the number, without this instance
std::size_t
CountPeers(const Membership& aMembership);

/// @brief Returns all data centres with a member on record, except this
/// instance's own.
/// @param aMembership state of all members
/// @return ids of the data centres
std::set<state::DataCentreId>
OtherDataCentres(const Membership& aMembership);

/// @brief Returns the data centres of which a summary was received, directly or
/// by way of a peer, within kUnreachableTimeout.
/// @param aMembership state of all members
/// @param aNow current time on the steady clock
/// @return ids of the data centres; always includes this instance's own
std::set<state::DataCentreId>
ReachableDataCentres(const Membership& aMembership, state::TimePoint aNow);

/// @brief Makes the summaries of other data centres that this instance passes
/// on to peers of its own data centre.
/// @param aMembership state of all members
/// @param aNow current time on the steady clock
/// @return at most 4 summaries that are younger than kUnreachableTimeout, the
/// newest first
std::vector<RelayedSummary>
MakeRelayedSummaries(const Membership& aMembership, state::TimePoint aNow);

/// @brief Makes the list of instances for a snapshot.
/// @param aMembership state of all members
/// @return all members and this instance, in order of their ids
std::vector<state::InstanceView>
MakeInstanceViews(const Membership& aMembership);

} // namespace sassafrasknot::coordination

#endif
