#include "sassafrasknot/coordination/shard.hpp"

#include "sassafrasknot/coordination/shard_state.hpp"

namespace sassafrasknot::coordination {
namespace {

/// Returns why an upstream takes no new flow, or an empty text if it takes
/// some.
std::string
IneligibleReason(const ShardUpstream& aUpstream,
                 const UpstreamAccount& aAccount)
{
  if (!aUpstream.mInTable) {
    return "removed";
  }
  if (aUpstream.mState == state::UpstreamState::Leaving) {
    return "leaving";
  }
  if (!aUpstream.mReachable) {
    return "unreachable";
  }
  if (!Admits(aUpstream.mHealth)) {
    return aUpstream.mHealth.mPhase == HealthPhase::Ejected ? "ejected"
                                                            : "on trial";
  }
  return aAccount.mConnectionsUsed < aAccount.mConnections ? "" : "full";
}

/// Makes a shard with the upstreams of a table and nothing in use.
Shard
MakeUnusedShard(const state::ShardTable& aTable,
                const state::ServiceLimits& aLimits)
{
  Shard shard;
  shard.mLimits = aLimits;
  std::vector<UpstreamAccount> accounts;
  for (const auto& entry : aTable.mUpstreams) {
    ShardUpstream upstream;
    upstream.mSlots = entry.mSlots;
    upstream.mConnections = entry.mConnections;
    upstream.mInTable = true;
    upstream.mState = entry.mState;
    upstream.mReachable = entry.mReachable;
    shard.mUpstreams.push_back(upstream);
    UpstreamAccount account;
    account.mAddress = entry.mAddress;
    accounts.push_back(account);
  }
  shard.mAccounting =
    MakeSlotAccounting(std::move(accounts), aLimits.mLongShare);
  return shard;
}

/// Adds an upstream that is not in the table, so that its open flows are still
/// counted. It takes no new flow. Returns its index.
std::size_t
AppendUpstreamNotInTable(Shard& aShard, const UpstreamAccount& aAccount)
{
  auto account = aAccount;
  account.mUsable = false;
  auto accounts = aShard.mAccounting.mAccounts;
  accounts.push_back(account);
  aShard.mUpstreams.emplace_back();
  aShard.mAccounting =
    MakeSlotAccounting(std::move(accounts), aShard.mLimits.mLongShare);
  return aShard.mUpstreams.size() - 1;
}

/// Copies use and health of an upstream to the shard of a new table. An
/// upstream that left the table is added only if it has open flows.
void
CopyUseAndHealth(const Shard& aOld, std::size_t aIndex, Shard& aNew)
{
  const auto& oldAccount = aOld.mAccounting.mAccounts[aIndex];
  const auto found = FindUpstream(aNew.mAccounting, oldAccount.mAddress);
  if (!found) {
    if (oldAccount.mConnectionsUsed > 0) {
      AppendUpstreamNotInTable(aNew, oldAccount);
    }
    return;
  }
  auto account = aNew.mAccounting.mAccounts[*found];
  account.mConnectionsUsed = oldAccount.mConnectionsUsed;
  account.mSlotsUsed = oldAccount.mSlotsUsed;
  account.mLongSlotsUsed = oldAccount.mLongSlotsUsed;
  ReplaceAccount(aNew.mAccounting, *found, account);
  const auto& oldUpstream = aOld.mUpstreams[aIndex];
  auto& newUpstream = aNew.mUpstreams[*found];
  newUpstream.mHealth = oldUpstream.mHealth;
  if (IsLive(oldUpstream)) {
    newUpstream.mSlowStartBegin = oldUpstream.mSlowStartBegin;
  }
}

} // namespace

void
ShardDeleter::operator()(Shard* aShard) const
{
  delete aShard;
}

ShardPointer
MakeShard(const state::ShardTable& aTable,
          const state::ServiceLimits& aLimits,
          state::TimePoint aNow)
{
  ShardPointer shard{ new Shard{ MakeUnusedShard(aTable, aLimits) } };
  shard->mRetryBudget = MakeRetryBudget(aNow);
  RecomputeAllAccounts(*shard, aNow);
  return shard;
}

void
UpdateShard(Shard& aShard,
            const state::ShardTable& aTable,
            const state::ServiceLimits& aLimits,
            state::TimePoint aNow)
{
  auto updated = MakeUnusedShard(aTable, aLimits);
  // All begin slow start; for upstreams that were live before, CopyUseAndHealth
  // restores the previous state of slow start.
  for (auto& upstream : updated.mUpstreams) {
    upstream.mSlowStartBegin = aNow;
  }
  for (std::size_t index = 0; index < aShard.mUpstreams.size(); ++index) {
    CopyUseAndHealth(aShard, index, updated);
  }
  aShard.mLimits = aLimits;
  aShard.mUpstreams = std::move(updated.mUpstreams);
  aShard.mAccounting = std::move(updated.mAccounting);
  RecomputeAllAccounts(aShard, aNow);
}

void
Adopt(Shard& aShard, state::Ipv4Address aUpstream, state::FlowClass aFlowClass)
{
  auto index = FindUpstream(aShard.mAccounting, aUpstream);
  if (!index) {
    UpstreamAccount account;
    account.mAddress = aUpstream;
    index = AppendUpstreamNotInTable(aShard, account);
  }
  AddFlow(aShard.mAccounting, *index, aFlowClass);
}

void
Reclassify(Shard& aShard,
           state::Ipv4Address aUpstream,
           state::FlowClass aFrom,
           state::FlowClass aTo)
{
  if (const auto index = FindUpstream(aShard.mAccounting, aUpstream)) {
    RemoveFlow(aShard.mAccounting, *index, aFrom);
    AddFlow(aShard.mAccounting, *index, aTo);
  }
}

void
OnEnded(Shard& aShard,
        state::Ipv4Address aUpstream,
        state::FlowClass aFlowClass,
        state::TimePoint aStarted,
        state::TimePoint aNow)
{
  if (const auto index = FindUpstream(aShard.mAccounting, aUpstream)) {
    RemoveFlow(aShard.mAccounting, *index, aFlowClass);
  }
  if (aFlowClass != state::FlowClass::Feed) {
    const auto lane = static_cast<std::size_t>(LaneOf(aFlowClass));
    AddHoldingTime(aShard.mHoldingTimes.at(lane), aNow - aStarted);
  }
}

bool
TryConsumeRetry(Shard& aShard, state::TimePoint aNow)
{
  return TryConsumeRetry(aShard.mRetryBudget, aNow);
}

ShardStatus
StatusOf(const Shard& aShard, state::TimePoint /*aNow*/)
{
  ShardStatus status;
  status.mQueued = aShard.mQueue.mPositions.size();
  for (std::size_t index = 0; index < aShard.mUpstreams.size(); ++index) {
    const auto& account = aShard.mAccounting.mAccounts[index];
    UpstreamStatus upstream;
    upstream.mAddress = account.mAddress;
    upstream.mSlotsUsed = account.mSlotsUsed;
    upstream.mSlots = account.mSlots;
    upstream.mConnectionsUsed = account.mConnectionsUsed;
    upstream.mConnections = account.mConnections;
    upstream.mReason = IneligibleReason(aShard.mUpstreams[index], account);
    upstream.mEligible = upstream.mReason.empty();
    status.mUpstreams.push_back(std::move(upstream));
  }
  return status;
}

} // namespace sassafrasknot::coordination
