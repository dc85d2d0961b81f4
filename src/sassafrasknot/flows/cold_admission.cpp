#include "sassafrasknot/flows/cold_admission.hpp"

#include "sassafrasknot/flows/upstream_table.hpp"
#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace sassafrasknot::flows {
namespace {

/// Added to the interval between admissions, so that a closed window of one
/// second has no request more than an open one.
constexpr std::chrono::milliseconds kIntervalMargin{ 1 };
/// At a lower rate, in requests per second, no flow is admitted.
constexpr double kMinRate = 0.25;

/// Returns the requests that one instance may place within any second.
std::uint32_t
RequestsPerSecond(const WarmUpLimit& aLimit, const ColdBounds& aBounds)
{
  constexpr double kMaxRequests = 1e6;
  const double all =
    aLimit.mRequestsPerSecond * aBounds.mFactor + aBounds.mAddend;
  return static_cast<std::uint32_t>(
    std::clamp(all / kConcurrentPlacingInstances, 0.0, kMaxRequests));
}

/// Returns whether this instance is the first one of the fleet in rendezvous
/// order for an upstream.
bool
IsPlacingInstance(const FleetView& aView, UpstreamToken aToken)
{
  // The hash of the instance breaks ties.
  const auto rank = [aToken](std::uint64_t aInstance) {
    return std::pair(state::RendezvousScore(aToken, aInstance), aInstance);
  };
  const auto own = rank(aView.mSelf);
  return std::ranges::all_of(aView.mMembers,
                             [&](auto aMember) { return rank(aMember) < own; });
}

/// Requests per second that this instance may place now. It grows from half of
/// the budget to all of it until the warm-up ends.
double
CurrentRate(const UpstreamRecord& aRecord, state::TimePoint aNow)
{
  constexpr double kInitialShare = 0.5;
  const auto& admission = aRecord.mColdAdmission;
  double progress = 0;
  if (admission.mWarmUp.count() > 0) {
    const std::chrono::duration<double> left = aRecord.mWarmUpEnd - aNow;
    progress = std::clamp(1 - left / admission.mWarmUp, 0.0, 1.0);
  }
  return admission.mRequestsPerSecond *
         (kInitialShare + (1 - kInitialShare) * progress);
}

double
FeedsOf(const UpstreamRecord& aRecord)
{
  return aRecord.mOwnLoad.mFeeds + aRecord.mPeerLoad.mFeeds;
}

/// Returns the interval between two admissions at a rate in requests per
/// second.
state::Duration
IntervalOf(double aRate)
{
  return std::chrono::duration_cast<state::Duration>(
           std::chrono::duration<double>(1 / std::max(aRate, kMinRate))) +
         kIntervalMargin;
}

/// Returns whether a request of an open feed is covered by what is reserved for
/// all feeds of the upstream, so that it does not use the budget of new flows.
bool
TakeReserved(UpstreamRecord& aRecord, state::TimePoint aNow)
{
  constexpr std::chrono::milliseconds kBurst{ 250 };
  const double reserved = FeedsOf(aRecord) * kRequestsPerFeed;
  if (reserved == 0) {
    return false;
  }
  auto& used = aRecord.mColdAdmission.mReservedUntil;
  const auto next = std::max(used, aNow) + IntervalOf(reserved);
  if (next > aNow + kBurst) {
    return false;
  }
  used = next;
  return true;
}

/// Delays the next admission by the interval of the current rate.
void
UseBudget(UpstreamRecord& aRecord, state::TimePoint aNow)
{
  const double rate =
    CurrentRate(aRecord, aNow) - FeedsOf(aRecord) * kRequestsPerFeed;
  auto& next = aRecord.mColdAdmission.mNextAdmission;
  next = std::max(next, aNow) + IntervalOf(rate);
}

/// Determines whether this instance is the placing one, and its position in
/// the join period.
/// @param aSince since when it is, unless it was before
void
UpdatePlacing(const ColdPlacement& aPlacement,
              UpstreamRecord& aRecord,
              state::TimePoint aSince)
{
  auto& admission = aRecord.mColdAdmission;
  const auto& view = aPlacement.mView;
  const bool wasPlacing = admission.mIsPlacing;
  admission.mIsPlacing = IsPlacingInstance(view, aRecord.mToken);
  if (admission.mIsPlacing && !wasPlacing) {
    admission.mPlacingSince = aSince;
  }
  admission.mJoinFraction =
    static_cast<double>(state::CombineHashes(view.mSelf, aRecord.mToken)) /
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

/// Extends the validity of the placing instance to the view's age limit.
void
UpdateValidity(const ColdPlacement& aPlacement, UpstreamRecord& aRecord)
{
  aRecord.mColdAdmission.mValidUntil = aPlacement.mView.mMayPlace
                                         ? aPlacement.mView.mAsOf + kMaxViewAge
                                         : state::TimePoint{};
}

/// Lists the cold upstreams that this instance places flows on, so that it
/// considers them also if they are not in its subset.
void
ListPlacedUpstreams(UpstreamTable& aTable, state::TimePoint aNow)
{
  for (auto& [service, pool] : aTable.mByService) {
    pool.mColdPlaced.clear();
    for (auto* record : pool.mAll) {
      if (record->mColdAdmission.mIsPlacing &&
          IsColdAndLimited(*record, aNow)) {
        pool.mColdPlaced.push_back(record);
      }
    }
  }
}

} // namespace

void
UpdateColdLimits(const ColdPlacement& aPlacement,
                 UpstreamTable& aTable,
                 const Configuration* aConfiguration,
                 const ColdBounds& aBounds,
                 state::TimePoint aNow)
{
  for (auto& [token, record] : aTable.mByToken) {
    auto& admission = record.mColdAdmission;
    const WarmUpLimit* limit = nullptr;
    if (aConfiguration != nullptr) {
      const auto found =
        aConfiguration->mWarmUpLimits.find(record.mUpstream.mService);
      limit =
        found == aConfiguration->mWarmUpLimits.end() ? nullptr : &found->second;
    }
    if (limit == nullptr || !(limit->mRequestsPerSecond > 0)) {
      admission.mIsLimited = false;
      continue;
    }
    admission.mRequestsPerSecond = RequestsPerSecond(*limit, aBounds);
    admission.mWarmUp = limit->mWarmUp;
    admission.mWasCold = admission.mWasCold || aNow < record.mWarmUpEnd;
    if (!std::exchange(admission.mIsLimited, true)) {
      admission.mIsPlacing = false;
      UpdatePlacing(aPlacement, record, aPlacement.mViewChangedAt);
      UpdateValidity(aPlacement, record);
      // The budget is empty at first.
      admission.mNextAdmission = aNow + IntervalOf(CurrentRate(record, aNow));
    }
  }
  ListPlacedUpstreams(aTable, aNow);
}

void
UpdateFleetView(ColdPlacement& aPlacement,
                UpstreamTable& aTable,
                FleetView aView,
                state::TimePoint aNow)
{
  const auto& previous = aPlacement.mView;
  // After a stall or while isolated, another instance may have taken over.
  const bool isInterrupted = previous.mAsOf == state::TimePoint{} ||
                             aView.mAsOf - previous.mAsOf > kMaxViewAge ||
                             !previous.mMayPlace;
  const bool isChanged =
    previous.mSelf != aView.mSelf || previous.mMembers != aView.mMembers;
  aPlacement.mView = std::move(aView);
  if (isInterrupted || isChanged) {
    aPlacement.mViewChangedAt = aNow;
  }
  for (auto& [token, record] : aTable.mByToken) {
    auto& admission = record.mColdAdmission;
    if (!admission.mIsLimited) {
      continue;
    }
    if (isInterrupted) {
      admission.mPlacingSince = aNow;
    }
    if (isChanged) {
      UpdatePlacing(aPlacement, record, aNow);
    }
    UpdateValidity(aPlacement, record);
  }
  if (isChanged) {
    ListPlacedUpstreams(aTable, aNow);
  }
}

void
RestartWarmUps(UpstreamTable& aTable,
               const state::DataCentreId& aDataCentre,
               state::TimePoint aNow)
{
  for (auto& [token, record] : aTable.mByToken) {
    auto& admission = record.mColdAdmission;
    if (admission.mIsLimited && record.mUpstream.mDataCentre == aDataCentre) {
      record.mWarmUpEnd =
        std::max(record.mWarmUpEnd, aNow + state::Duration(admission.mWarmUp));
      admission.mWasCold = true;
      admission.mNextAdmission = std::max(
        admission.mNextAdmission, aNow + IntervalOf(CurrentRate(record, aNow)));
    }
  }
  ListPlacedUpstreams(aTable, aNow);
}

bool
IsColdAndLimited(const UpstreamRecord& aRecord, state::TimePoint aNow)
{
  return aRecord.mColdAdmission.mIsLimited && aNow < aRecord.mWarmUpEnd;
}

bool
AdmitsColdFlow(const UpstreamRecord& aRecord,
               FlowLength aLength,
               state::TimePoint aNow)
{
  if (!IsColdAndLimited(aRecord, aNow)) {
    return true;
  }
  const auto& admission = aRecord.mColdAdmission;
  if (!admission.mIsPlacing || aNow > admission.mValidUntil ||
      aNow - admission.mPlacingSince < kPlacingDelay ||
      aNow < admission.mNextAdmission) {
    return false;
  }
  const double reserved = FeedsOf(aRecord) * kRequestsPerFeed;
  if (aLength == FlowLength::ManyRequests) {
    // Feeds take at most half of the budget, since they stay when another
    // instance takes over, which may not know of them.
    return 2 * (reserved + kRequestsPerFeed) <= admission.mRequestsPerSecond;
  }
  return CurrentRate(aRecord, aNow) - reserved >= kMinRate;
}

void
RecordColdRequest(UpstreamRecord& aRecord, state::TimePoint aNow)
{
  if (IsColdAndLimited(aRecord, aNow) && !TakeReserved(aRecord, aNow)) {
    UseBudget(aRecord, aNow);
  }
}

void
RecordColdFlow(UpstreamRecord& aRecord, state::TimePoint aNow)
{
  if (IsColdAndLimited(aRecord, aNow)) {
    ++aRecord.mColdAdmission.mAdmittedFlows;
    UseBudget(aRecord, aNow);
  }
}

bool
IsJoining(const UpstreamRecord& aRecord, state::TimePoint aNow)
{
  const auto& admission = aRecord.mColdAdmission;
  return admission.mIsLimited && admission.mWasCold &&
         aNow >= aRecord.mWarmUpEnd &&
         aNow - aRecord.mWarmUpEnd < kJoinPeriod * admission.mJoinFraction;
}

} // namespace sassafrasknot::flows
