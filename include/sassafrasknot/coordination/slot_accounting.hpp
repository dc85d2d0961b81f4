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

/// @brief Limits and use of one upstream's connections and slots. Each flow
/// uses a connection; work uses a slot as well.
struct UpstreamAccount
{
  state::Ipv4Address mAddress;
  /// Present limits, reduced during slow start.
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  /// Whether it may take new flows, as far as table and health are concerned.
  bool mUsable = false;
  /// Whether it takes new flows only if no other upstream has room.
  bool mLastResort = false;
  std::uint32_t mConnectionsUsed = 0;
  /// Slots used by work and long work.
  std::uint32_t mSlotsUsed = 0;
  /// Those of them that long work uses.
  std::uint32_t mLongSlotsUsed = 0;
};

/// @brief Sums over the usable upstreams of a shard.
struct UsableAggregate
{
  std::uint64_t mConnections = 0;
  std::uint64_t mConnectionsUsed = 0;
  std::uint32_t mSlots = 0;
  std::uint32_t mLongSlotsUsed = 0;
  /// Free slots of upstreams that also have a free connection.
  std::uint32_t mFreeSlots = 0;
};

/// @brief Limits and use of all upstreams of a shard, with indices that give
/// the least loaded one at once and are updated in logarithmic time.
struct SlotAccounting
{
  std::vector<UpstreamAccount> mAccounts;
  /// Indices into mAccounts by IPv4 address.
  std::unordered_map<std::uint32_t, std::size_t> mByAddress;
  UsableAggregate mAggregate;
  /// Finds the upstream with the smallest part of its connections in use.
  WinnerTree mByConnections;
  /// Finds the upstream with the most free slots.
  WinnerTree mByFreeSlots;
  /// Part of the slots that long work may use, 0 to 1.
  double mLongShare = 0.5;
};

/// @brief Makes the accounting of a shard, with sums and indices.
/// @param aAccounts limits and use per upstream; addresses are unique
/// @param aLongShare part of the slots that long work may use, 0 to 1
/// @return accounting with the upstreams in the given order
SlotAccounting
MakeSlotAccounting(std::vector<UpstreamAccount> aAccounts, double aLongShare);

/// @brief Finds an upstream by its address.
/// @param aAccounting accounting of the shard
/// @param aAddress address of the upstream
/// @return its index in mAccounts; empty if it has no account
std::optional<std::size_t>
FindUpstream(const SlotAccounting& aAccounting, state::Ipv4Address aAddress);

/// @brief Replaces limits, use and usability of one upstream and updates sums
/// and indices.
/// @param aAccounting accounting of the shard
/// @param aIndex index of the upstream in mAccounts
/// @param aAccount its new account, for the same address
void
ReplaceAccount(SlotAccounting& aAccounting,
               std::size_t aIndex,
               const UpstreamAccount& aAccount);

/// @brief Counts the connection and slot of a flow as used, even above the
/// limits.
/// @param aAccounting accounting of the shard
/// @param aIndex index of the upstream in mAccounts
/// @param aFlowClass class of the flow
void
AddFlow(SlotAccounting& aAccounting,
        std::size_t aIndex,
        state::FlowClass aFlowClass);

/// @brief Frees the connection and slot of a flow. Counts never fall below
/// zero.
/// @param aAccounting accounting of the shard
/// @param aIndex index of the upstream in mAccounts
/// @param aFlowClass class of the flow
void
RemoveFlow(SlotAccounting& aAccounting,
           std::size_t aIndex,
           state::FlowClass aFlowClass);

/// @brief Returns how many slots of the usable upstreams long work may use: its
/// share of them, and at least one unless the share is zero.
/// @param aAccounting accounting of the shard
/// @return number of slots; zero if there are none
std::uint32_t
LongSlotLimit(const SlotAccounting& aAccounting);

/// @brief Chooses an upstream for a new flow: the default upstream if its load
/// allows, otherwise the least loaded one with room.
/// @param aAccounting accounting of the shard; unchanged after the call
/// @param aFlowClass class of the flow
/// @param aDefault index of the flow's default upstream, if it has an account
/// @param aExcluded index of an upstream that must not be chosen
/// @return index in mAccounts; empty if no upstream has room, or for long work
/// if its share of the slots is used up
std::optional<std::size_t>
ChooseUpstream(SlotAccounting& aAccounting,
               state::FlowClass aFlowClass,
               std::optional<std::size_t> aDefault,
               std::optional<std::size_t> aExcluded);

} // namespace sassafrasknot::coordination

#endif
