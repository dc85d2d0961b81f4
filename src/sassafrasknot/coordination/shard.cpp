#include "sassafrasknot/coordination/shard.hpp"

#include "sassafrasknot/coordination/shard_state.hpp"

namespace sassafrasknot::coordination {
namespace {

std::string
ReasonOf(const UpstreamRecord& aRecord, const UpstreamAccount& aAccount)
{
  if (!aRecord.mListed) {
    return "removed";
  }
  if (aRecord.mState == state::UpstreamState::Leaving) {
    return "leaving";
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
    UpstreamRecord record;
    record.mSlots = entry.mSlots;
    record.mConnections = entry.mConnections;
    record.mListed = true;
    record.mState = entry.mState;
    shard.mRecords.push_back(record);
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
  aShard.mRecords.emplace_back();
  aShard.mAccounting =
    MakeSlotAccounting(std::move(accounts), aShard.mLimits.mLongShare);
  return aShard.mRecords.size() - 1;
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
  account.mLongUsed = used.mLongUsed;
  ReplaceAccount(aNew.mAccounting, *found, account);
  const auto& before = aOld.mRecords[aIndex];
  auto& after = aNew.mRecords[*found];
  after.mHealth = before.mHealth;
  if (IsLive(before)) {
    after.mRampFrom = before.mRampFrom;
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
  shard->mRetries = MakeRetryBudget(aNow);
  ApplyAllRecords(*shard, aNow);
  return shard;
}

void
UpdateShard(Shard& aShard,
            const state::ShardTable& aTable,
            const state::ServiceLimits& aLimits,
            state::TimePoint aNow)
{
  auto updated = ShardOfTable(aTable, aLimits);
  for (auto& record : updated.mRecords) {
    record.mRampFrom = aNow;
  }
  for (std::size_t index = 0; index < aShard.mRecords.size(); ++index) {
    CarryOver(aShard, index, updated);
  }
  aShard.mLimits = aLimits;
  aShard.mRecords = std::move(updated.mRecords);
  aShard.mAccounting = std::move(updated.mAccounting);
  ApplyAllRecords(aShard, aNow);
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
    AddHoldingTime(aShard.mHolding.at(lane), aNow - aStarted);
  }
}

bool
TakeRetry(Shard& aShard, state::TimePoint aNow)
{
  return SpendRetry(aShard.mRetries, aNow);
}

ShardStatus
StatusOf(const Shard& aShard, state::TimePoint /*aNow*/)
{
  ShardStatus status;
  status.mQueued = aShard.mQueue.mPositions.size();
  for (std::size_t index = 0; index < aShard.mRecords.size(); ++index) {
    const auto& account = aShard.mAccounting.mAccounts[index];
    UpstreamStatus upstream;
    upstream.mAddress = account.mAddress;
    upstream.mSlotsUsed = account.mSlotsUsed;
    upstream.mSlots = account.mSlots;
    upstream.mConnectionsUsed = account.mConnectionsUsed;
    upstream.mConnections = account.mConnections;
    upstream.mReason = ReasonOf(aShard.mRecords[index], account);
    upstream.mEligible = upstream.mReason.empty();
    status.mUpstreams.push_back(std::move(upstream));
  }
  return status;
}

} // namespace sassafrasknot::coordination
