#ifndef SASSAFRASKNOT_COORDINATION_SLOT_ACCOUNTING_HPP
#define SASSAFRASKNOT_COORDINATION_SLOT_ACCOUNTING_HPP

#include "sassafrasknot/coordination/winner_tree.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/flow.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief Limits and use of one upstream.
struct UpstreamAccount
{
  state::Ipv4Address mAddress;
  /// Limits at present, after slow start.
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  /// Whether it takes new flows if it has room.
  bool mUsable = false;
  /// Whether it takes new flows only when no other upstream can.
  bool mLastResort = false;
  std::uint32_t mConnectionsUsed = 0;
  /// Slots held by work of both classes.
  std::uint32_t mSlotsUsed = 0;
  std::uint32_t mLongSlotsUsed = 0;
};

/// @brief Sums over the usable upstreams.
struct UsableAggregate
{
  std::uint64_t mConnections = 0;
  std::uint64_t mConnectionsUsed = 0;
  std::uint32_t mSlots = 0;
  std::uint32_t mLongSlotsUsed = 0;
  /// Slots that new work can take.
  std::uint32_t mFreeSlots = 0;
};

/// @brief Slots and connections of a shard's upstreams, with indices that find
/// the least loaded one in logarithmic time.
struct SlotAccounting
{
  std::vector<UpstreamAccount> mAccounts;
  std::unordered_map<std::uint32_t, std::size_t> mByAddress;
  UsableAggregate mAggregate;
  WinnerTree mByConnections;
  WinnerTree mByFreeSlots;
  /// Slots that long work may hold.
  double mLongShare = 0.5;
};

/// @brief Makes the accounting of some upstreams.
/// @param aAccounts their limits and use; addresses are unique
/// @param aLongShare part of the slots that long work may hold, 0 to 1
/// @return the accounting
SlotAccounting
MakeSlotAccounting(std::vector<UpstreamAccount> aAccounts, double aLongShare);

/// @brief Finds an upstream.
/// @param aAccounting the accounting
/// @param aAddress its address
/// @return its index, or nothing
std::optional<std::size_t>
FindUpstream(const SlotAccounting& aAccounting, state::Ipv4Address aAddress);

/// @brief Replaces limits, use and usability of one upstream.
/// @param aAccounting the accounting
/// @param aIndex the upstream
/// @param aAccount its new account, for the same address
void
ReplaceAccount(SlotAccounting& aAccounting,
               std::size_t aIndex,
               const UpstreamAccount& aAccount);

/// @brief Accounts a flow, whether or not there is room.
/// @param aAccounting the accounting
/// @param aIndex the upstream
/// @param aFlowClass class of the flow
void
AddFlow(SlotAccounting& aAccounting,
        std::size_t aIndex,
        state::FlowClass aFlowClass);

/// @brief Removes a flow. An account never falls below zero.
/// @param aAccounting the accounting
/// @param aIndex the upstream
/// @param aFlowClass class of the flow
void
RemoveFlow(SlotAccounting& aAccounting,
           std::size_t aIndex,
           state::FlowClass aFlowClass);

/// @brief Returns the slots that long work may hold: at least one if it may
/// hold any.
/// @param aAccounting the accounting
/// @return the number of slots
std::uint32_t
LongSlotLimit(const SlotAccounting& aAccounting);

/// @brief Chooses an upstream for a new flow.
/// @param aAccounting the accounting
/// @param aFlowClass class of the flow
/// @param aDefault the flow's default upstream
/// @param aExcluded upstream that is not chosen
/// @return its index, or nothing if none has room
std::optional<std::size_t>
ChooseUpstream(SlotAccounting& aAccounting,
               state::FlowClass aFlowClass,
               std::optional<std::size_t> aDefault,
               std::optional<std::size_t> aExcluded);

} // namespace sassafrasknot::coordination

#endif
