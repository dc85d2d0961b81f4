#include "sassafrasknot/coordination/shard.hpp"

#include "sassafrasknot/coordination/shard_state.hpp"

namespace sassafrasknot::coordination {
namespace {

std::string
ReasonOf(const ShardUpstream& aRecord, const UpstreamAccount& aAccount)
{
  if (!aRecord.mInTable) {
    return "removed";
  }
  if (aRecord.mState == state::UpstreamState::Leaving) {
    return "leaving";
  }
  if (!aRecord.mReachable) {
    return "unreachable";
  }
  if (!Admits(aRecord.mHealth)) {
    return aRecord.mHealth.mPhase == HealthPhase::Ejected ? "ejected"
                                                          : "on trial";
  }
  return aAccount.mConnectionsUsed < aAccount.mConnections ? "" : "full";
}

/// Makes the records and accounts of a table, without use.
Shard
ShardOfTable(const state::ShardTable& aTable,
             const state::ServiceLimits& aLimits)
{
  Shard shard;
  shard.mLimits = aLimits;
  std::vector<UpstreamAccount> accounts;
  for (const auto& entry : aTable.mUpstreams) {
    ShardUpstream record;
    record.mSlots = entry.mSlots;
    record.mConnections = entry.mConnections;
    record.mInTable = true;
    record.mState = entry.mState;
    record.mReachable = entry.mReachable;
    shard.mUpstreams.push_back(record);
    UpstreamAccount account;
    account.mAddress = entry.mAddress;
    accounts.push_back(account);
  }
  shard.mAccounting =
    MakeSlotAccounting(std::move(accounts), aLimits.mLongShare);
  return shard;
}

/// Adds an upstream that is not in the table, so that its flows have an
/// account.
std::size_t
AppendUnlisted(Shard& aShard, const UpstreamAccount& aUsed)
{
  auto account = aUsed;
  account.mUsable = false;
  auto accounts = aShard.mAccounting.mAccounts;
  accounts.push_back(account);
  aShard.mUpstreams.emplace_back();
  aShard.mAccounting =
    MakeSlotAccounting(std::move(accounts), aShard.mLimits.mLongShare);
  return aShard.mUpstreams.size() - 1;
}

/// Carries use and health of an upstream over to the shard of a new table.
void
CarryOver(const Shard& aOld, std::size_t aIndex, Shard& aNew)
{
  const auto& used = aOld.mAccounting.mAccounts[aIndex];
  const auto found = FindUpstream(aNew.mAccounting, used.mAddress);
  if (!found) {
    if (used.mConnectionsUsed > 0) {
      AppendUnlisted(aNew, used);
    }
    return;
  }
  auto account = aNew.mAccounting.mAccounts[*found];
  account.mConnectionsUsed = used.mConnectionsUsed;
  account.mSlotsUsed = used.mSlotsUsed;
  account.mLongSlotsUsed = used.mLongSlotsUsed;
  ReplaceAccount(aNew.mAccounting, *found, account);
  const auto& before = aOld.mUpstreams[aIndex];
  auto& after = aNew.mUpstreams[*found];
  after.mHealth = before.mHealth;
  if (IsLive(before)) {
    after.mSlowStartBegin = before.mSlowStartBegin;
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
  ShardPointer shard{ new Shard{ ShardOfTable(aTable, aLimits) } };
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
  auto updated = ShardOfTable(aTable, aLimits);
  for (auto& record : updated.mUpstreams) {
    record.mSlowStartBegin = aNow;
  }
  for (std::size_t index = 0; index < aShard.mUpstreams.size(); ++index) {
    CarryOver(aShard, index, updated);
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
    index = AppendUnlisted(aShard, account);
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
    upstream.mReason = ReasonOf(aShard.mUpstreams[index], account);
    upstream.mEligible = upstream.mReason.empty();
    status.mUpstreams.push_back(std::move(upstream));
  }
  return status;
}

} // namespace sassafrasknot::coordination
