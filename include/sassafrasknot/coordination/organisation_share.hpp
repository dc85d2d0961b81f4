#ifndef SASSAFRASKNOT_COORDINATION_ORGANISATION_SHARE_HPP
#define SASSAFRASKNOT_COORDINATION_ORGANISATION_SHARE_HPP

#include "sassafrasknot/coordination/token_bucket.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief Weight and demand of one organisation in an allocation.
struct ShareDemand
{
  /// Above zero.
  double mWeight = 1;
  /// In the unit of the capacity.
  double mDemand = 0;
};

/// @brief Allocates a capacity by weighted max-min fairness: no share exceeds
/// its demand, and what one demand leaves unused goes to the others by weight.
/// @param aCapacity capacity to allocate
/// @param aDemands weights and demands
/// @return shares in the order of aDemands
std::vector<double>
AllocateMaxMinFair(double aCapacity, const std::vector<ShareDemand>& aDemands);

/// @brief Use of an instance by one organisation, and its present limits.
struct OrganisationUsage
{
  double mWeight = 1;
  std::uint64_t mOpenFlows = 0;
  /// New flows requested since the last allocation, admitted or not.
  std::uint64_t mRequestedFlows = 0;
  /// Maximum number of open flows.
  double mOpenFlowLimit = 0;
  /// Limits its rate of new flows while the instance is overloaded.
  TokenBucket mNewFlowBucket;
};

/// @brief Fair shares of the organisations in the entries of an instance's flow
/// table and, while the instance is overloaded, in its rate of new flows.
struct OrganisationShares
{
  /// Maximum number of entries in the flow table.
  std::uint64_t mTableSize = 0;
  /// New flows per second that the instance can handle.
  double mNewFlowRate = 0;
  /// Open flows of all organisations.
  std::uint64_t mOpenFlows = 0;
  std::unordered_map<state::OrganisationId, OrganisationUsage> mUsages;
  state::TimePoint mLastAllocation;
};

/// @brief Makes shares without organisations.
/// @param aTableSize maximum number of entries in the flow table
/// @param aNewFlowRate new flows per second that the instance can handle
/// @param aNow current time on the steady clock
/// @return shares to which SetWeight adds organisations
OrganisationShares
MakeOrganisationShares(std::uint64_t aTableSize,
                       double aNewFlowRate,
                       state::TimePoint aNow);

/// @brief Adds an organisation or changes its weight, and allocates anew.
/// @param aShares shares of the instance
/// @param aOrganisation organisation to add or change
/// @param aWeight weight of the organisation, above zero
/// @param aNow current time on the steady clock
void
SetWeight(OrganisationShares& aShares,
          const state::OrganisationId& aOrganisation,
          double aWeight,
          state::TimePoint aNow);

/// @brief Admits a new flow and counts it as open, or refuses it.
/// @param aShares shares of the instance
/// @param aOrganisation organisation of the flow; an unknown one is refused
/// @param aOverloaded whether the instance is overloaded, so that the rate of
/// new flows is limited as well
/// @param aNow current time on the steady clock
/// @return true if the flow was admitted
bool
AdmitFlow(OrganisationShares& aShares,
          const state::OrganisationId& aOrganisation,
          bool aOverloaded,
          state::TimePoint aNow);

/// @brief Counts a flow that is open already, such as one that another owner
/// placed, even above the limits.
/// @param aShares shares of the instance
/// @param aOrganisation organisation of the flow; an unknown one is added with
/// weight 1
void
AddOpenFlow(OrganisationShares& aShares,
            const state::OrganisationId& aOrganisation);

/// @brief Stops counting a flow that ended. Counts never fall below zero.
/// @param aShares shares of the instance
/// @param aOrganisation organisation of the flow; an unknown one has no effect
void
RemoveOpenFlow(OrganisationShares& aShares,
               const state::OrganisationId& aOrganisation);

/// @brief Allocates table entries and new flows anew if the last allocation is
/// at least 100 ms old; to be called at each tick.
/// @param aShares shares of the instance
/// @param aNow current time on the steady clock
void
ReallocateShares(OrganisationShares& aShares, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
