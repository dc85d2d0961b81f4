#include "sassafrasknot/coordination/shard.hpp"

#include "sassafrasknot/coordination/retry_budget.hpp"
#include "sassafrasknot/coordination/shard_queue.hpp"
#include "sassafrasknot/coordination/slot_accounting.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

namespace sassafrasknot::coordination {

/// @brief An upstream apart from its account.
struct UpstreamRecord
{
  /// Limits as configured.
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  /// False for an upstream that left the table and still has open flows.
  bool mListed = false;
  state::UpstreamState mState = state::UpstreamState::Live;
  UpstreamHealth mHealth;
  /// Start of its slow start, if that has not ended.
  std::optional<state::TimePoint> mRampFrom;
};

struct Shard
{
  state::ServiceLimits mLimits;
  /// By the indices of mAccounting.
  std::vector<UpstreamRecord> mRecords;
  SlotAccounting mAccounting;
  /// Upstreams whose usability or limits change with time.
  std::vector<std::size_t> mUnsettled;
  state::TimePoint mRefreshed;
  ShardQueue mQueue;
  /// By lane.
  std::array<HoldingTime, 2> mHolding;
  RetryBudget mRetries;
};

namespace {

/// Limits that change with time are recomputed at this interval, not for each
/// flow.
constexpr std::chrono::milliseconds kRefreshInterval{ 10 };
/// Slow start begins with this part of the limits.
constexpr double kRampStart = 0.1;

bool
IsLive(const UpstreamRecord& aRecord)
{
  return aRecord.mListed && aRecord.mState == state::UpstreamState::Live;
}

QueueLane
LaneOf(state::FlowClass aFlowClass)
{
  return aFlowClass == state::FlowClass::Long ? QueueLane::Long
                                              : QueueLane::Work;
}

state::FlowClass
ClassOf(QueueLane aLane)
{
  return aLane == QueueLane::Long ? state::FlowClass::Long
                                  : state::FlowClass::Work;
}

double
RampFraction(const Shard& aShard,
             const UpstreamRecord& aRecord,
             state::TimePoint aNow)
{
  if (!aRecord.mRampFrom || aShard.mLimits.mSlowStart.count() <= 0) {
    return 1;
  }
  const std::chrono::duration<double> elapsed = aNow - *aRecord.mRampFrom;
  const std::chrono::duration<double> whole = aShard.mLimits.mSlowStart;
  return std::clamp(elapsed / whole, kRampStart, 1.0);
}

std::uint32_t
Ramped(std::uint32_t aLimit, double aFraction)
{
  if (aLimit == 0) {
    return 0;
  }
  return std::max(1U, static_cast<std::uint32_t>(aLimit * aFraction));
}

void
ApplyRecord(Shard& aShard, std::size_t aIndex, state::TimePoint aNow)
{
  auto& record = aShard.mRecords[aIndex];
  const double fraction = RampFraction(aShard, record, aNow);
  if (fraction >= 1) {
    record.mRampFrom.reset();
  }
  auto account = aShard.mAccounting.mAccounts[aIndex];
  account.mSlots = Ramped(record.mSlots, fraction);
  account.mConnections = Ramped(record.mConnections, fraction);
  account.mUsable = IsLive(record) && Admits(record.mHealth);
  account.mLastResort = record.mHealth.mPhase == HealthPhase::Suspected;
  ReplaceAccount(aShard.mAccounting, aIndex, account);
}

bool
IsSettled(const UpstreamRecord& aRecord)
{
  return !aRecord.mRampFrom && aRecord.mHealth.mPhase == HealthPhase::Healthy;
}

void
MarkUnsettled(Shard& aShard, std::size_t aIndex)
{
  auto& unsettled = aShard.mUnsettled;
  if (std::find(unsettled.begin(), unsettled.end(), aIndex) ==
      unsettled.end()) {
    unsettled.push_back(aIndex);
  }
}

void
Refresh(Shard& aShard, state::TimePoint aNow)
{
  if (aShard.mUnsettled.empty() ||
      aNow - aShard.mRefreshed < kRefreshInterval) {
    return;
  }
  aShard.mRefreshed = aNow;
  for (const auto index : aShard.mUnsettled) {
    AdvanceHealth(aShard.mRecords[index].mHealth, aNow);
    ApplyRecord(aShard, index, aNow);
  }
  std::erase_if(aShard.mUnsettled, [&](std::size_t aIndex) {
    return IsSettled(aShard.mRecords[aIndex]);
  });
}

std::size_t
EjectedCap(const Shard& aShard)
{
  const auto live =
    std::count_if(aShard.mRecords.begin(), aShard.mRecords.end(), IsLive);
  // A third of three is one in spite of rounding.
  constexpr double kRounding = 1e-9;
  return static_cast<std::size_t>(
    aShard.mLimits.mEjectedShare * static_cast<double>(live) + kRounding);
}

std::vector<std::size_t>
EjectedUpstreams(const Shard& aShard)
{
  std::vector<std::size_t> ejected;
  for (std::size_t index = 0; index < aShard.mRecords.size(); ++index) {
    const auto& record = aShard.mRecords[index];
    if (IsLive(record) && CountsAsEjected(record.mHealth)) {
      ejected.push_back(index);
    }
  }
  return ejected;
}

void
EnforceEjectedCap(Shard& aShard)
{
  auto ejected = EjectedUpstreams(aShard);
  const auto cap = EjectedCap(aShard);
  std::sort(ejected.begin(), ejected.end(), [&](auto aLeft, auto aRight) {
    return aShard.mRecords[aLeft].mHealth.mUntil <
           aShard.mRecords[aRight].mHealth.mUntil;
  });
  for (std::size_t rank = 0; rank + cap < ejected.size(); ++rank) {
    aShard.mRecords[ejected[rank]].mHealth.mPhase = HealthPhase::Suspected;
  }
}

void
TakeFlow(Shard& aShard,
         std::size_t aIndex,
         state::FlowClass aFlowClass,
         state::TimePoint aNow)
{
  AddFlow(aShard.mAccounting, aIndex, aFlowClass);
  if (auto& health = aShard.mRecords[aIndex].mHealth;
      health.mPhase == HealthPhase::Trial) {
    NotePlacement(health, aNow);
    ApplyRecord(aShard, aIndex, aNow);
  }
}

std::optional<Placed>
TryPlace(Shard& aShard,
         state::FlowClass aFlowClass,
         const QueuedFlow& aFlow,
         state::TimePoint aNow)
{
  auto& accounting = aShard.mAccounting;
  const auto excluded =
    aFlow.mExcluded ? FindUpstream(accounting, *aFlow.mExcluded) : std::nullopt;
  const auto chosen = ChooseUpstream(
    accounting, aFlowClass, FindUpstream(accounting, aFlow.mDefault), excluded);
  if (!chosen) {
    return std::nullopt;
  }
  TakeFlow(aShard, *chosen, aFlowClass, aNow);
  return Placed{ aFlow.mFlow, accounting.mAccounts[*chosen].mAddress };
}

bool
LongShareLeft(const Shard& aShard)
{
  return aShard.mAccounting.mSums.mLongUsed < LongSlots(aShard.mAccounting);
}

/// Returns whether a queued flow has an older claim to a free slot.
bool
MustQueue(const Shard& aShard, QueueLane aLane)
{
  if (!Lane(aShard.mQueue, QueueLane::Work).empty()) {
    return true;
  }
  return !Lane(aShard.mQueue, QueueLane::Long).empty() &&
         (aLane == QueueLane::Long || LongShareLeft(aShard));
}

/// Returns why a flow must not enter the queue, if there is a reason.
std::optional<RefusalReason>
ReasonNotToQueue(const Shard& aShard,
                 QueueLane aLane,
                 state::Duration aDeadline)
{
  const auto& sums = aShard.mAccounting.mSums;
  if (sums.mSlots == 0) {
    return RefusalReason::NoUpstream;
  }
  const auto queued = aShard.mQueue.mPositions.size();
  const auto ahead = Lane(aShard.mQueue, aLane).size();
  const double limit = aShard.mLimits.mQueuePerSlot * sums.mSlots;
  // Long work must not fill the queue either.
  const double laneLimit =
    aLane == QueueLane::Long ? limit * aShard.mLimits.mLongShare : limit;
  if (static_cast<double>(queued + 1) > limit ||
      static_cast<double>(ahead + 1) > laneLimit) {
    return RefusalReason::QueueFull;
  }
  const auto slots = aLane == QueueLane::Long
                       ? LongSlots(aShard.mAccounting)
                       : sums.mSlots - std::min(sums.mSlots, sums.mLongUsed);
  const auto& holding = aShard.mHolding.at(static_cast<std::size_t>(aLane));
  if (aDeadline <= state::Duration::zero() ||
      ExpectedWait(holding, ahead, slots) > aDeadline) {
    return RefusalReason::WaitTooLong;
  }
  return std::nullopt;
}

PlacementDecision
PlaceWork(Shard& aShard,
          const PlacementRequest& aRequest,
          state::TimePoint aNow)
{
  const auto lane = LaneOf(aRequest.mFlowClass);
  const QueuedFlow flow{ aRequest.mFlow,
                         aRequest.mDefault,
                         aRequest.mExcluded,
                         aNow + aRequest.mQueueDeadline };
  if (aShard.mQueue.mPositions.contains(aRequest.mFlow)) {
    return Queued{ aRequest.mFlow };
  }
  if (!MustQueue(aShard, lane)) {
    if (const auto placed = TryPlace(aShard, aRequest.mFlowClass, flow, aNow)) {
      return *placed;
    }
  }
  if (const auto reason =
        ReasonNotToQueue(aShard, lane, aRequest.mQueueDeadline)) {
    return Refused{ aRequest.mFlow, *reason };
  }
  Enqueue(aShard.mQueue, lane, flow);
  return Queued{ aRequest.mFlow };
}

/// Refuses queued flows that no upstream can serve any more.
void
RefuseUnservable(Shard& aShard,
                 state::TimePoint aNow,
                 std::vector<PlacementDecision>& aDecisions)
{
  for (const auto flow : RemoveExpired(aShard.mQueue, aNow)) {
    aDecisions.emplace_back(Refused{ flow, RefusalReason::DeadlinePassed });
  }
  if (aShard.mAccounting.mSums.mSlots > 0) {
    return;
  }
  // The caller can then send them to another shard.
  for (const auto flow :
       RemoveExpired(aShard.mQueue, state::TimePoint::max())) {
    aDecisions.emplace_back(Refused{ flow, RefusalReason::NoUpstream });
  }
}

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

void
ApplyAllRecords(Shard& aShard, state::TimePoint aNow)
{
  for (std::size_t index = 0; index < aShard.mRecords.size(); ++index) {
    ApplyRecord(aShard, index, aNow);
  }
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
  EnforceEjectedCap(aShard);
  ApplyAllRecords(aShard, aNow);
  aShard.mUnsettled.clear();
  for (std::size_t index = 0; index < aShard.mRecords.size(); ++index) {
    if (!IsSettled(aShard.mRecords[index])) {
      aShard.mUnsettled.push_back(index);
    }
  }
}

PlacementDecision
Place(Shard& aShard, const PlacementRequest& aRequest, state::TimePoint aNow)
{
  Refresh(aShard, aNow);
  if (!aRequest.mExcluded) {
    EarnRetry(aShard.mRetries);
  }
  if (aRequest.mFlowClass != state::FlowClass::Feed) {
    return PlaceWork(aShard, aRequest, aNow);
  }
  const QueuedFlow flow{
    aRequest.mFlow, aRequest.mDefault, aRequest.mExcluded, aNow
  };
  if (const auto placed = TryPlace(aShard, aRequest.mFlowClass, flow, aNow)) {
    return *placed;
  }
  return Refused{ aRequest.mFlow, RefusalReason::NoUpstream };
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
OnAccepted(Shard& aShard, state::Ipv4Address aUpstream, state::TimePoint aNow)
{
  const auto index = FindUpstream(aShard.mAccounting, aUpstream);
  if (index && NoteSuccess(aShard.mRecords[*index].mHealth, aNow)) {
    aShard.mRecords[*index].mRampFrom = aNow;
    MarkUnsettled(aShard, *index);
    ApplyRecord(aShard, *index, aNow);
  }
}

void
OnFailed(Shard& aShard,
         state::Ipv4Address aUpstream,
         FailureKind aKind,
         state::TimePoint aNow)
{
  const auto index = FindUpstream(aShard.mAccounting, aUpstream);
  if (!index) {
    return;
  }
  auto& record = aShard.mRecords[*index];
  if (!NoteFailure(record.mHealth, aKind, aNow) || !IsLive(record)) {
    return;
  }
  const auto others =
    EjectedUpstreams(aShard).size() - (CountsAsEjected(record.mHealth) ? 1 : 0);
  Eject(record.mHealth, aNow, others < EjectedCap(aShard));
  MarkUnsettled(aShard, *index);
  ApplyRecord(aShard, *index, aNow);
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

void
CancelQueued(Shard& aShard, std::uint64_t aFlow)
{
  RemoveQueued(aShard.mQueue, aFlow);
}

std::vector<PlacementDecision>
ServeQueue(Shard& aShard, state::TimePoint aNow)
{
  Refresh(aShard, aNow);
  std::vector<PlacementDecision> decisions;
  RefuseUnservable(aShard, aNow, decisions);
  const auto& work = Lane(aShard.mQueue, QueueLane::Work);
  const auto& longWork = Lane(aShard.mQueue, QueueLane::Long);
  auto nextWork = work.begin();
  auto nextLong = longWork.begin();
  while (true) {
    const bool mayLong = nextLong != longWork.end() && LongShareLeft(aShard);
    if (nextWork == work.end() && !mayLong) {
      break;
    }
    const bool takeLong =
      mayLong && (nextWork == work.end() || nextLong->first < nextWork->first);
    const auto lane = takeLong ? QueueLane::Long : QueueLane::Work;
    auto& next = takeLong ? nextLong : nextWork;
    const auto flow = next->second;
    const auto placed = TryPlace(aShard, ClassOf(lane), flow, aNow);
    if (!placed && !flow.mExcluded) {
      break;
    }
    // A flow that only its excluded upstream could take lets others pass.
    ++next;
    if (placed) {
      RemoveQueued(aShard.mQueue, flow.mFlow);
      decisions.emplace_back(*placed);
    }
  }
  return decisions;
}

bool
TakeRetry(Shard& aShard, state::TimePoint aNow)
{
  return SpendRetry(aShard.mRetries, aNow);
}

ShardStatus
StatusOf(const Shard& aShard, state::TimePoint aNow)
{
  (void)aNow;
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
