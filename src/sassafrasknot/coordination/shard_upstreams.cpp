#include "sassafrasknot/coordination/shard_state.hpp"

#include <algorithm>
#include <chrono>

namespace sassafrasknot::coordination {
namespace {

/// Limits that change with time are recomputed at this interval, not for each
/// flow.
constexpr std::chrono::milliseconds kRefreshInterval{ 10 };
/// Slow start begins with this part of the limits.
constexpr double kRampStart = 0.1;

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

} // namespace

bool
IsLive(const UpstreamRecord& aRecord)
{
  return aRecord.mListed && aRecord.mReachable &&
         aRecord.mState == state::UpstreamState::Live;
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

void
ApplyAllRecords(Shard& aShard, state::TimePoint aNow)
{
  EnforceEjectedCap(aShard);
  aShard.mUnsettled.clear();
  for (std::size_t index = 0; index < aShard.mRecords.size(); ++index) {
    ApplyRecord(aShard, index, aNow);
    if (!IsSettled(aShard.mRecords[index])) {
      aShard.mUnsettled.push_back(index);
    }
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

} // namespace sassafrasknot::coordination
