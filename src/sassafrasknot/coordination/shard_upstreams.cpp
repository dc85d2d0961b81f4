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
             const ShardUpstream& aRecord,
             state::TimePoint aNow)
{
  if (!aRecord.mSlowStartBegin || aShard.mLimits.mSlowStart.count() <= 0) {
    return 1;
  }
  const std::chrono::duration<double> elapsed = aNow - *aRecord.mSlowStartBegin;
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
IsSettled(const ShardUpstream& aRecord)
{
  return !aRecord.mSlowStartBegin &&
         aRecord.mHealth.mPhase == HealthPhase::Healthy;
}

void
MarkUnsettled(Shard& aShard, std::size_t aIndex)
{
  auto& unsettled = aShard.mTimeDependent;
  if (std::find(unsettled.begin(), unsettled.end(), aIndex) ==
      unsettled.end()) {
    unsettled.push_back(aIndex);
  }
}

std::size_t
EjectedCap(const Shard& aShard)
{
  const auto live =
    std::count_if(aShard.mUpstreams.begin(), aShard.mUpstreams.end(), IsLive);
  // A third of three is one in spite of rounding.
  constexpr double kRounding = 1e-9;
  return static_cast<std::size_t>(
    aShard.mLimits.mEjectedShare * static_cast<double>(live) + kRounding);
}

std::vector<std::size_t>
EjectedUpstreams(const Shard& aShard)
{
  std::vector<std::size_t> ejected;
  for (std::size_t index = 0; index < aShard.mUpstreams.size(); ++index) {
    const auto& record = aShard.mUpstreams[index];
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
    return aShard.mUpstreams[aLeft].mHealth.mPhaseEnd <
           aShard.mUpstreams[aRight].mHealth.mPhaseEnd;
  });
  for (std::size_t rank = 0; rank + cap < ejected.size(); ++rank) {
    aShard.mUpstreams[ejected[rank]].mHealth.mPhase = HealthPhase::LastResort;
  }
}

} // namespace

bool
IsLive(const ShardUpstream& aRecord)
{
  return aRecord.mInTable && aRecord.mReachable &&
         aRecord.mState == state::UpstreamState::Live;
}

void
RecomputeAccount(Shard& aShard, std::size_t aIndex, state::TimePoint aNow)
{
  auto& record = aShard.mUpstreams[aIndex];
  const double fraction = RampFraction(aShard, record, aNow);
  if (fraction >= 1) {
    record.mSlowStartBegin.reset();
  }
  auto account = aShard.mAccounting.mAccounts[aIndex];
  account.mSlots = Ramped(record.mSlots, fraction);
  account.mConnections = Ramped(record.mConnections, fraction);
  account.mUsable = IsLive(record) && Admits(record.mHealth);
  account.mLastResort = record.mHealth.mPhase == HealthPhase::LastResort;
  ReplaceAccount(aShard.mAccounting, aIndex, account);
}

void
RecomputeAllAccounts(Shard& aShard, state::TimePoint aNow)
{
  EnforceEjectedCap(aShard);
  aShard.mTimeDependent.clear();
  for (std::size_t index = 0; index < aShard.mUpstreams.size(); ++index) {
    RecomputeAccount(aShard, index, aNow);
    if (!IsSettled(aShard.mUpstreams[index])) {
      aShard.mTimeDependent.push_back(index);
    }
  }
}

void
Refresh(Shard& aShard, state::TimePoint aNow)
{
  if (aShard.mTimeDependent.empty() ||
      aNow - aShard.mLastRefresh < kRefreshInterval) {
    return;
  }
  aShard.mLastRefresh = aNow;
  for (const auto index : aShard.mTimeDependent) {
    AdvanceHealth(aShard.mUpstreams[index].mHealth, aNow);
    RecomputeAccount(aShard, index, aNow);
  }
  std::erase_if(aShard.mTimeDependent, [&](std::size_t aIndex) {
    return IsSettled(aShard.mUpstreams[aIndex]);
  });
}

void
OnAccepted(Shard& aShard, state::Ipv4Address aUpstream, state::TimePoint aNow)
{
  const auto index = FindUpstream(aShard.mAccounting, aUpstream);
  if (index && RecordSuccess(aShard.mUpstreams[*index].mHealth, aNow)) {
    aShard.mUpstreams[*index].mSlowStartBegin = aNow;
    MarkUnsettled(aShard, *index);
    RecomputeAccount(aShard, *index, aNow);
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
  auto& record = aShard.mUpstreams[*index];
  if (!RecordFailure(record.mHealth, aKind, aNow) || !IsLive(record)) {
    return;
  }
  const auto others =
    EjectedUpstreams(aShard).size() - (CountsAsEjected(record.mHealth) ? 1 : 0);
  Eject(record.mHealth, aNow, others < EjectedCap(aShard));
  MarkUnsettled(aShard, *index);
  RecomputeAccount(aShard, *index, aNow);
}

} // namespace sassafrasknot::coordination
