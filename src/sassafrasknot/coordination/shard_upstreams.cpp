#include "sassafrasknot/coordination/shard_state.hpp"

#include <algorithm>
#include <chrono>

namespace sassafrasknot::coordination {
namespace {

/// Limits that change with time are recomputed at most once per interval, not
/// for each flow.
constexpr std::chrono::milliseconds kRefreshInterval{ 10 };
/// Part of the limits that an upstream has at the beginning of slow start.
constexpr double kInitialLimitFraction = 0.1;

/// Returns the part of its limits that an upstream has at present: it grows
/// linearly with time during slow start and is 1 otherwise.
double
LimitFraction(const Shard& aShard,
              const ShardUpstream& aUpstream,
              state::TimePoint aNow)
{
  if (!aUpstream.mSlowStartBegin || aShard.mLimits.mSlowStart.count() <= 0) {
    return 1;
  }
  const std::chrono::duration<double> elapsed =
    aNow - *aUpstream.mSlowStartBegin;
  const std::chrono::duration<double> duration = aShard.mLimits.mSlowStart;
  return std::clamp(elapsed / duration, kInitialLimitFraction, 1.0);
}

/// Returns a part of a limit, at least 1 unless the limit is 0.
std::uint32_t
ScaleLimit(std::uint32_t aLimit, double aFraction)
{
  if (aLimit == 0) {
    return 0;
  }
  return std::max(1U, static_cast<std::uint32_t>(aLimit * aFraction));
}

/// Returns whether limits and usability of an upstream do not change with time.
bool
IsTimeIndependent(const ShardUpstream& aUpstream)
{
  return !aUpstream.mSlowStartBegin &&
         aUpstream.mHealth.mPhase == HealthPhase::Healthy;
}

/// Adds an upstream to those that Refresh recomputes.
void
AddTimeDependent(Shard& aShard, std::size_t aIndex)
{
  auto& indices = aShard.mTimeDependent;
  if (std::find(indices.begin(), indices.end(), aIndex) == indices.end()) {
    indices.push_back(aIndex);
  }
}

/// Returns how many upstreams may be ejected at once.
std::size_t
MaxEjected(const Shard& aShard)
{
  const auto live =
    std::count_if(aShard.mUpstreams.begin(), aShard.mUpstreams.end(), IsLive);
  // Compensates for rounding, so that a third of three is one.
  constexpr double kRounding = 1e-9;
  return static_cast<std::size_t>(
    aShard.mLimits.mEjectedShare * static_cast<double>(live) + kRounding);
}

/// Returns the indices of the live upstreams that count towards the limit
/// MaxEjected.
std::vector<std::size_t>
EjectedUpstreams(const Shard& aShard)
{
  std::vector<std::size_t> ejected;
  for (std::size_t index = 0; index < aShard.mUpstreams.size(); ++index) {
    const auto& upstream = aShard.mUpstreams[index];
    if (IsLive(upstream) && CountsAsEjected(upstream.mHealth)) {
      ejected.push_back(index);
    }
  }
  return ejected;
}

/// Changes ejected upstreams beyond the limit MaxEjected to LastResort,
/// starting with those whose phase ends first.
void
EnforceMaxEjected(Shard& aShard)
{
  auto ejected = EjectedUpstreams(aShard);
  const auto maxEjected = MaxEjected(aShard);
  std::sort(ejected.begin(), ejected.end(), [&](auto aLeft, auto aRight) {
    return aShard.mUpstreams[aLeft].mHealth.mPhaseEnd <
           aShard.mUpstreams[aRight].mHealth.mPhaseEnd;
  });
  for (std::size_t rank = 0; rank + maxEjected < ejected.size(); ++rank) {
    aShard.mUpstreams[ejected[rank]].mHealth.mPhase = HealthPhase::LastResort;
  }
}

} // namespace

bool
IsLive(const ShardUpstream& aUpstream)
{
  return aUpstream.mInTable && aUpstream.mReachable &&
         aUpstream.mState == state::UpstreamState::Live;
}

void
RecomputeAccount(Shard& aShard, std::size_t aIndex, state::TimePoint aNow)
{
  auto& upstream = aShard.mUpstreams[aIndex];
  const double fraction = LimitFraction(aShard, upstream, aNow);
  if (fraction >= 1) {
    upstream.mSlowStartBegin.reset();
  }
  auto account = aShard.mAccounting.mAccounts[aIndex];
  account.mSlots = ScaleLimit(upstream.mSlots, fraction);
  account.mConnections = ScaleLimit(upstream.mConnections, fraction);
  account.mUsable = IsLive(upstream) && Admits(upstream.mHealth);
  account.mLastResort = upstream.mHealth.mPhase == HealthPhase::LastResort;
  ReplaceAccount(aShard.mAccounting, aIndex, account);
}

void
RecomputeAllAccounts(Shard& aShard, state::TimePoint aNow)
{
  EnforceMaxEjected(aShard);
  aShard.mTimeDependent.clear();
  for (std::size_t index = 0; index < aShard.mUpstreams.size(); ++index) {
    RecomputeAccount(aShard, index, aNow);
    if (!IsTimeIndependent(aShard.mUpstreams[index])) {
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
    return IsTimeIndependent(aShard.mUpstreams[aIndex]);
  });
}

void
OnAccepted(Shard& aShard, state::Ipv4Address aUpstream, state::TimePoint aNow)
{
  const auto index = FindUpstream(aShard.mAccounting, aUpstream);
  if (index && RecordSuccess(aShard.mUpstreams[*index].mHealth, aNow)) {
    aShard.mUpstreams[*index].mSlowStartBegin = aNow;
    AddTimeDependent(aShard, *index);
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
  auto& upstream = aShard.mUpstreams[*index];
  if (!RecordFailure(upstream.mHealth, aKind, aNow) || !IsLive(upstream)) {
    return;
  }
  const auto otherEjected = EjectedUpstreams(aShard).size() -
                            (CountsAsEjected(upstream.mHealth) ? 1 : 0);
  Eject(upstream.mHealth, aNow, otherEjected < MaxEjected(aShard));
  AddTimeDependent(aShard, *index);
  RecomputeAccount(aShard, *index, aNow);
}

} // namespace sassafrasknot::coordination
