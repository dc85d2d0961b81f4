#ifndef SASSAFRASKNOT_COORDINATION_ORGANISATION_SHARE_HPP
#define SASSAFRASKNOT_COORDINATION_ORGANISATION_SHARE_HPP

#include "sassafrasknot/coordination/token_bucket.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief What one party of a division wants.
struct ShareDemand
{
  /// Above zero.
  double mWeight = 1;
  double mDemand = 0;
};

/// @brief Divides a capacity by weighted max-min fairness: nobody gets more
/// than it wants, and what one leaves goes to the others by weight.
/// @param aCapacity what is divided
/// @param aDemands what each wants
/// @return what each gets
std::vector<double>
AllocateMaxMinFair(double aCapacity, const std::vector<ShareDemand>& aDemands);

/// @brief One organisation's use of an instance.
struct OrganisationUsage
{
  double mWeight = 1;
  std::uint64_t mOpenFlows = 0;
  /// New flows that were asked for since the last division.
  std::uint64_t mRequestedFlows = 0;
  /// Open flows that it may have.
  double mOpenFlowLimit = 0;
  /// New flows that it may open while the instance is overloaded.
  TokenBucket mNewFlowBucket;
};

/// @brief Shares of the organisations in an instance's flow table and, while
/// the instance is overloaded, in its new flows.
struct OrganisationShares
{
  /// Entries of the flow table.
  std::uint64_t mTableSize = 0;
  /// New flows a second that the instance can take.
  double mNewFlowRate = 0;
  std::uint64_t mOpenFlows = 0;
  std::unordered_map<state::OrganisationId, OrganisationUsage> mUsages;
  state::TimePoint mLastAllocation;
};

/// @brief Makes shares without organisations.
/// @param aTableSize entries of the flow table
/// @param aNewFlowRate new flows a second that the instance can take
/// @param aNow the time
/// @return the shares
OrganisationShares
MakeOrganisationShares(std::uint64_t aTableSize,
                       double aNewFlowRate,
                       state::TimePoint aNow);

/// @brief Adds an organisation or changes its weight.
/// @param aShares the shares
/// @param aOrganisation the organisation
/// @param aWeight its weight, above zero
/// @param aNow the time
void
SetWeight(OrganisationShares& aShares,
          const state::OrganisationId& aOrganisation,
          double aWeight,
          state::TimePoint aNow);

/// @brief Admits a new flow and accounts it, or refuses it.
/// @param aShares the shares
/// @param aOrganisation the organisation; an unknown one is refused
/// @param aOverloaded whether the instance is overloaded
/// @param aNow the time
/// @return true if it was admitted
bool
AdmitFlow(OrganisationShares& aShares,
          const state::OrganisationId& aOrganisation,
          bool aOverloaded,
          state::TimePoint aNow);

/// @brief Accounts a flow that is open already, whether or not there is room.
/// @param aShares the shares
/// @param aOrganisation the organisation
void
AddOpenFlow(OrganisationShares& aShares,
            const state::OrganisationId& aOrganisation);

/// @brief Frees the account of a flow that ended.
/// @param aShares the shares
/// @param aOrganisation the organisation
void
RemoveOpenFlow(OrganisationShares& aShares,
               const state::OrganisationId& aOrganisation);

/// @brief Divides table and new flows anew if a division is due, which is
/// every 100 ms; to be called at each tick.
/// @param aShares the shares
/// @param aNow the time
void
ReallocateShares(OrganisationShares& aShares, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
