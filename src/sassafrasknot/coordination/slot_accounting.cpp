#include "sassafrasknot/coordination/slot_accounting.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// A feed is placed on its default upstream if the number of connections there,
/// including the feed, is at most this multiple of the mean plus one. A lower
/// value puts more flows off default, a higher one allows more imbalance.
constexpr double kDefaultTolerance = 1.05;
/// Added to the key of a last-resort upstream in both indices, so that it comes
/// after all others.
constexpr double kLastResortPenalty = 1e6;

/// Returns the part of the upstream's connections that is in use.
double
ConnectionUse(const UpstreamAccount& aAccount)
{
  return static_cast<double>(aAccount.mConnectionsUsed) /
         std::max(aAccount.mConnections, 1U);
}

/// Returns whether the upstream takes another feed.
bool
HasConnection(const UpstreamAccount& aAccount)
{
  return aAccount.mUsable && aAccount.mConnectionsUsed < aAccount.mConnections;
}

/// Returns whether the upstream takes more work, which needs a connection too.
bool
HasSlot(const UpstreamAccount& aAccount)
{
  return HasConnection(aAccount) && aAccount.mSlotsUsed < aAccount.mSlots;
}

std::uint32_t
FreeSlots(const UpstreamAccount& aAccount)
{
  return HasSlot(aAccount) ? aAccount.mSlots - aAccount.mSlotsUsed : 0;
}

/// Returns the key in mByConnections.
double
ConnectionKey(const UpstreamAccount& aAccount)
{
  if (!HasConnection(aAccount)) {
    return kNeverChosen;
  }
  return ConnectionUse(aAccount) +
         (aAccount.mLastResort ? kLastResortPenalty : 0);
}

/// Returns the key in mByFreeSlots.
double
SlotKey(const UpstreamAccount& aAccount)
{
  if (!HasSlot(aAccount)) {
    return kNeverChosen;
  }
  // The use of connections is below one here, so it only decides between equal
  // numbers of free slots.
  return ConnectionUse(aAccount) - (aAccount.mSlots - aAccount.mSlotsUsed) +
         (aAccount.mLastResort ? kLastResortPenalty : 0);
}

void
AddToAggregate(SlotAccounting& aAccounting, const UpstreamAccount& aAccount)
{
  if (aAccount.mUsable) {
    aAccounting.mAggregate.mConnections += aAccount.mConnections;
    aAccounting.mAggregate.mConnectionsUsed += aAccount.mConnectionsUsed;
    aAccounting.mAggregate.mSlots += aAccount.mSlots;
    aAccounting.mAggregate.mLongSlotsUsed += aAccount.mLongSlotsUsed;
    aAccounting.mAggregate.mFreeSlots += FreeSlots(aAccount);
  }
}

void
SubtractFromAggregate(SlotAccounting& aAccounting,
                      const UpstreamAccount& aAccount)
{
  if (aAccount.mUsable) {
    aAccounting.mAggregate.mConnections -= aAccount.mConnections;
    aAccounting.mAggregate.mConnectionsUsed -= aAccount.mConnectionsUsed;
    aAccounting.mAggregate.mSlots -= aAccount.mSlots;
    aAccounting.mAggregate.mLongSlotsUsed -= aAccount.mLongSlotsUsed;
    aAccounting.mAggregate.mFreeSlots -= FreeSlots(aAccount);
  }
}

/// Returns whether another feed leaves the connections of its default upstream
/// within kDefaultTolerance.
bool
IsWithinTolerance(const SlotAccounting& aAccounting,
                  const UpstreamAccount& aAccount)
{
  // The mean is weighted by the limits, so that an upstream in slow start or
  // with a lower limit is compared with its own part of the load.
  const auto& usable = aAccounting.mAggregate;
  const double mean = static_cast<double>(usable.mConnectionsUsed) /
                      static_cast<double>(usable.mConnections) *
                      aAccount.mConnections;
  return aAccount.mConnectionsUsed + 1 <= kDefaultTolerance * mean + 1;
}

/// Returns whether a flow goes to its default upstream.
bool
IsDefaultSuitable(const SlotAccounting& aAccounting,
                  const UpstreamAccount& aAccount,
                  state::FlowClass aFlowClass)
{
  if (aAccount.mLastResort) {
    return false;
  }
  return aFlowClass == state::FlowClass::Feed
           ? HasConnection(aAccount) && IsWithinTolerance(aAccounting, aAccount)
           : HasSlot(aAccount);
}

} // namespace

SlotAccounting
MakeSlotAccounting(std::vector<UpstreamAccount> aAccounts, double aLongShare)
{
  SlotAccounting accounting;
  accounting.mLongShare = aLongShare;
  accounting.mByConnections = MakeWinnerTree(aAccounts.size());
  accounting.mByFreeSlots = MakeWinnerTree(aAccounts.size());
  accounting.mAccounts.resize(aAccounts.size());
  for (std::size_t index = 0; index < aAccounts.size(); ++index) {
    accounting.mByAddress.emplace(aAccounts[index].mAddress.mValue, index);
    ReplaceAccount(accounting, index, aAccounts[index]);
  }
  return accounting;
}

std::optional<std::size_t>
FindUpstream(const SlotAccounting& aAccounting, state::Ipv4Address aAddress)
{
  const auto found = aAccounting.mByAddress.find(aAddress.mValue);
  if (found == aAccounting.mByAddress.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
ReplaceAccount(SlotAccounting& aAccounting,
               std::size_t aIndex,
               const UpstreamAccount& aAccount)
{
  auto& account = aAccounting.mAccounts[aIndex];
  SubtractFromAggregate(aAccounting, account);
  account = aAccount;
  AddToAggregate(aAccounting, account);
  SetKey(aAccounting.mByConnections, aIndex, ConnectionKey(account));
  SetKey(aAccounting.mByFreeSlots, aIndex, SlotKey(account));
}

void
AddFlow(SlotAccounting& aAccounting,
        std::size_t aIndex,
        state::FlowClass aFlowClass)
{
  auto account = aAccounting.mAccounts[aIndex];
  ++account.mConnectionsUsed;
  if (aFlowClass != state::FlowClass::Feed) {
    ++account.mSlotsUsed;
  }
  if (aFlowClass == state::FlowClass::Long) {
    ++account.mLongSlotsUsed;
  }
  ReplaceAccount(aAccounting, aIndex, account);
}

void
RemoveFlow(SlotAccounting& aAccounting,
           std::size_t aIndex,
           state::FlowClass aFlowClass)
{
  const auto decrement = [](std::uint32_t& aCount) {
    aCount -= aCount > 0 ? 1 : 0;
  };
  auto account = aAccounting.mAccounts[aIndex];
  decrement(account.mConnectionsUsed);
  if (aFlowClass != state::FlowClass::Feed) {
    decrement(account.mSlotsUsed);
  }
  if (aFlowClass == state::FlowClass::Long) {
    decrement(account.mLongSlotsUsed);
  }
  ReplaceAccount(aAccounting, aIndex, account);
}

std::uint32_t
LongSlotLimit(const SlotAccounting& aAccounting)
{
  const auto slots = aAccounting.mAggregate.mSlots;
  const auto share = static_cast<std::uint32_t>(aAccounting.mLongShare * slots);
  return aAccounting.mLongShare > 0 && slots > 0 ? std::max(share, 1U) : 0;
}

std::optional<std::size_t>
ChooseUpstream(SlotAccounting& aAccounting,
               state::FlowClass aFlowClass,
               std::optional<std::size_t> aDefault,
               std::optional<std::size_t> aExcluded)
{
  if (aFlowClass == state::FlowClass::Long &&
      aAccounting.mAggregate.mLongSlotsUsed >= LongSlotLimit(aAccounting)) {
    return std::nullopt;
  }
  if (aDefault && aDefault != aExcluded &&
      IsDefaultSuitable(
        aAccounting, aAccounting.mAccounts[*aDefault], aFlowClass)) {
    return aDefault;
  }
  auto& tree = aFlowClass == state::FlowClass::Feed ? aAccounting.mByConnections
                                                    : aAccounting.mByFreeSlots;
  if (!aExcluded) {
    return Winner(tree);
  }
  // Hides the excluded upstream from the index for this one search.
  const double key = tree.mKeys[*aExcluded];
  SetKey(tree, *aExcluded, kNeverChosen);
  const auto winner = Winner(tree);
  SetKey(tree, *aExcluded, key);
  return winner;
}

} // namespace sassafrasknot::coordination
