#ifndef SASSAFRASKNOT_COORDINATION_SHARD_STATE_HPP
#define SASSAFRASKNOT_COORDINATION_SHARD_STATE_HPP

#include "sassafrasknot/coordination/retry_budget.hpp"
#include "sassafrasknot/coordination/shard.hpp"
#include "sassafrasknot/coordination/shard_queue.hpp"
#include "sassafrasknot/coordination/slot_accounting.hpp"
#include "sassafrasknot/coordination/upstream_health.hpp"

#include <array>

namespace sassafrasknot::coordination {

/// State of an upstream other than its UpstreamAccount.
struct ShardUpstream
{
  /// Configured limits, before slow start reduces them.
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  /// False for an upstream that is not in the table and still has open flows.
  bool mInTable = false;
  /// False while its data centre is unreachable.
  bool mReachable = true;
  state::UpstreamState mState = state::UpstreamState::Live;
  UpstreamHealth mHealth;
  /// When slow start began; empty unless the upstream is in slow start.
  std::optional<state::TimePoint> mSlowStartBegin;
};

struct Shard
{
  state::ServiceLimits mLimits;
  /// Same indices as mAccounting.mAccounts.
  std::vector<ShardUpstream> mUpstreams;
  SlotAccounting mAccounting;
  /// Indices of upstreams whose usability or limits change with time: in slow
  /// start, or in a phase other than Healthy.
  std::vector<std::size_t> mTimeDependent;
  /// When Refresh last recomputed them.
  state::TimePoint mLastRefresh;
  ShardQueue mQueue;
  /// Index is QueueLane.
  std::array<MeanHoldingTime, 2> mHoldingTimes;
  std::array<MeanServiceInterval, 2> mServiceIntervals;
  RetryBudget mRetryBudget;
};

/// Returns whether an upstream may take new flows as far as the table is
/// concerned; its health is not considered.
/// @param aUpstream upstream to check
/// @return true if it is in the table, reachable and not leaving
bool
IsLive(const ShardUpstream& aUpstream);

/// Recomputes limits and usability of all upstreams after a change of the
/// table. Ejections beyond the limit of the new table become LastResort.
/// @param aShard shard to update
/// @param aNow current time on the steady clock
void
RecomputeAllAccounts(Shard& aShard, state::TimePoint aNow);

/// Recomputes limits and usability of one upstream.
/// @param aShard shard to update
/// @param aIndex index of the upstream in mUpstreams
/// @param aNow current time on the steady clock
void
RecomputeAccount(Shard& aShard, std::size_t aIndex, state::TimePoint aNow);

/// Applies the effects of time, at most once per 10 ms: progress of slow starts
/// and ends of health phases.
/// @param aShard shard to update
/// @param aNow current time on the steady clock
void
Refresh(Shard& aShard, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
