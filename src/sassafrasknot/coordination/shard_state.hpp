#ifndef SASSAFRASKNOT_COORDINATION_SHARD_STATE_HPP
#define SASSAFRASKNOT_COORDINATION_SHARD_STATE_HPP

#include "sassafrasknot/coordination/retry_budget.hpp"
#include "sassafrasknot/coordination/shard.hpp"
#include "sassafrasknot/coordination/shard_queue.hpp"
#include "sassafrasknot/coordination/slot_accounting.hpp"
#include "sassafrasknot/coordination/upstream_health.hpp"

#include <array>

namespace sassafrasknot::coordination {

/// @brief An upstream apart from its account.
struct ShardUpstream
{
  /// Limits as configured.
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  /// False for an upstream that left the table and still has open flows.
  bool mInTable = false;
  bool mReachable = true;
  state::UpstreamState mState = state::UpstreamState::Live;
  UpstreamHealth mHealth;
  /// Start of its slow start, if that has not ended.
  std::optional<state::TimePoint> mSlowStartBegin;
};

struct Shard
{
  state::ServiceLimits mLimits;
  /// By the indices of mAccounting.
  std::vector<ShardUpstream> mUpstreams;
  SlotAccounting mAccounting;
  /// Upstreams whose usability or limits change with time.
  std::vector<std::size_t> mTimeDependent;
  state::TimePoint mLastRefresh;
  ShardQueue mQueue;
  /// By lane.
  std::array<MeanHoldingTime, 2> mHoldingTimes;
  std::array<MeanServiceInterval, 2> mServiceIntervals;
  RetryBudget mRetryBudget;
};

/// @brief Returns whether an upstream is in the table and not leaving.
/// @param aRecord the upstream
/// @return true if it may take new flows as far as the table is concerned
bool
IsLive(const ShardUpstream& aRecord);

/// @brief Computes limits and usability of all upstreams anew, after a change
/// of the table.
/// @param aShard the shard
/// @param aNow the time
void
RecomputeAllAccounts(Shard& aShard, state::TimePoint aNow);

/// @brief Computes limits and usability of one upstream anew.
/// @param aShard the shard
/// @param aIndex the upstream
/// @param aNow the time
void
RecomputeAccount(Shard& aShard, std::size_t aIndex, state::TimePoint aNow);

/// @brief Applies what time has changed: slow starts and ends of ejections.
/// @param aShard the shard
/// @param aNow the time
void
Refresh(Shard& aShard, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
