#include "sassafrasknot/flows/placement.hpp"

#include "sassafrasknot/flows/placement_candidates.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <span>
#include <utility>
#include <vector>

namespace sassafrasknot::flows {
namespace {

/// Load of the upstreams of one service that accept new flows.
struct ServiceLoad
{
  double mSlots = 0;
  /// Sum of slots times speed.
  double mCapacity = 0;
  double mFeeds = 0;
  /// Average of active requests.
  double mActiveRequests = 0;
};

double
FeedsOf(const UpstreamRecord& aRecord)
{
  return aRecord.mOwnLoad.mFeeds + aRecord.mPeerLoad.mFeeds;
}

double
CapacityOf(const UpstreamRecord& aRecord, state::TimePoint aNow)
{
  return aRecord.mUpstream.mSlots * Speed(aRecord.mSpeed, aNow);
}

ServiceLoad
SumLoad(std::span<UpstreamRecord* const> aUpstreams, state::TimePoint aNow)
{
  ServiceLoad load;
  for (const auto* record : aUpstreams) {
    if (AcceptsFlows(*record)) {
      load.mSlots += record->mUpstream.mSlots;
      load.mCapacity += CapacityOf(*record, aNow);
      load.mFeeds += FeedsOf(*record);
      load.mActiveRequests += record->mAverageActiveRequests;
    }
  }
  return load;
}

/// Returns the cost of a feed at an upstream. A feed loads its upstream for
/// long, so that its cost depends on the utilisation over a longer time. This
/// is estimated as the mean of two values: the average so far, and the value
/// that the upstream's share of the service's feeds predicts, since requests of
/// newly placed feeds do not yet show in the average. At low load shares are
/// proportional to capacity: feeds cannot be moved when the load rises, so that
/// they are not concentrated on the fastest upstreams.
double
FeedCost(const UpstreamRecord& aRecord,
         const ServiceLoad& aService,
         const PlacementPolicy& aPolicy,
         state::TimePoint aNow)
{
  const double slots = aRecord.mUpstream.mSlots;
  const double meanFeeds = (aService.mFeeds + 1) / aService.mCapacity;
  const double share = FeedsOf(aRecord) / CapacityOf(aRecord, aNow) / meanFeeds;
  const double predictedUtilisation =
    share * aService.mActiveRequests / aService.mSlots;
  const double utilisation = std::max(
    (aRecord.mAverageActiveRequests / slots + predictedUtilisation) / 2,
    AssumedUtilisation(aRecord));
  return ExpectedWait(utilisation, aRecord.mUpstream.mSlots) /
           Speed(aRecord.mSpeed, aNow) +
         aPolicy.mFairShareWeight * share;
}

/// Returns the cost of a flow of one request: its expected completion time,
/// less the time that it takes at an idle upstream of speed 1. It depends on
/// the requests that are active at the upstream now, not on an average.
double
RequestCost(const UpstreamRecord& aRecord,
            const PlacementRequest& aRequest,
            state::TimePoint aNow)
{
  const double perSlot =
    std::max(ExpectedBacklog(aRecord, aNow) / aRecord.mUpstream.mSlots,
             AssumedUtilisation(aRecord));
  const double speed = Speed(aRecord.mSpeed, aNow);
  return perSlot / speed + aRequest.mWork * (1 / speed - 1);
}

double
Cost(const UpstreamRecord& aRecord,
     const ServiceLoad& aService,
     const PlacementRequest& aRequest,
     const PlacementPolicy& aPolicy,
     state::TimePoint aNow)
{
  const bool isFeed = aRequest.mLength == FlowLength::ManyRequests;
  double cost = isFeed ? FeedCost(aRecord, aService, aPolicy, aNow)
                       : RequestCost(aRecord, aRequest, aNow);
  if (aRecord.mUpstream.mDataCentre != aRequest.mDataCentre) {
    cost += isFeed ? aPolicy.mRemoteFeedPenalty : aPolicy.mRemoteRequestPenalty;
  }
  if (aNow < aRecord.mWarmUpEnd) {
    cost += aPolicy.mWarmUpPenalty;
  } else if (IsJoining(aRecord, aNow)) {
    cost += aPolicy.mJoiningPenalty;
  }
  if (aRecord.mPresence == Presence::Expired) {
    cost += aPolicy.mExpiredPenalty;
  }
  return cost;
}

/// Returns the load to which that of single candidates is compared: of the
/// subset, or of all upstreams if there is none. Flows that are spread over
/// other data centres are compared within their candidates, so that the work
/// per flow does not grow with the number of upstreams.
ServiceLoad
LoadOfService(const ServicePool& aPool,
              std::span<UpstreamRecord* const> aCandidates,
              state::TimePoint aNow)
{
  if (aPool.mSpreadsRemotely) {
    return SumLoad(aCandidates, aNow);
  }
  const auto load =
    SumLoad(aPool.mIsSubset ? aPool.mLocalCandidates : aPool.mAll, aNow);
  return load.mSlots == 0 ? SumLoad(aPool.mAll, aNow) : load;
}

/// Returns why an upstream has a lower cost than another one.
ChoiceReason
Compare(const UpstreamRecord& aChosen,
        const UpstreamRecord& aOther,
        const PlacementRequest& aRequest,
        state::TimePoint aNow)
{
  const auto load = [&](const UpstreamRecord& aRecord) {
    return aRequest.mLength == FlowLength::ManyRequests
             ? FeedsOf(aRecord) / CapacityOf(aRecord, aNow)
             : ExpectedBacklog(aRecord, aNow) / aRecord.mUpstream.mSlots;
  };
  if (load(aChosen) < load(aOther)) {
    return ChoiceReason::LessLoad;
  }
  return Speed(aChosen.mSpeed, aNow) > Speed(aOther.mSpeed, aNow)
           ? ChoiceReason::Faster
           : ChoiceReason::LowPenalty;
}

} // namespace

std::string_view
ToString(ChoiceReason aReason)
{
  constexpr std::array<std::string_view, 6> names{
    "only_one", "equal_cost",  "less_load",
    "faster",   "low_penalty", "no_capacity"
  };
  return names[static_cast<std::size_t>(aReason)];
}

double
ExpectedBacklog(const UpstreamRecord& aRecord, state::TimePoint aNow)
{
  const auto& early = aRecord.mEarlyAnswers;
  double unfinished = 0;
  if (early.mBacklog > 0) {
    const std::chrono::duration<double> elapsed = aNow - early.mAt;
    unfinished = std::max(early.mBacklog - elapsed.count() * early.mRate, 0.0);
  }
  const double peers =
    aRecord.mReportWeight * aRecord.mPeerLoad.mActiveRequests +
    (1 - aRecord.mReportWeight) * aRecord.mAveragePeerRequests;
  return aRecord.mOwnLoad.mActiveRequests + aRecord.mExcessBacklog + peers +
         unfinished;
}

double
ExpectedWait(double aUtilisation, std::uint32_t aSlots)
{
  // The approximation has a pole at a utilisation of 1. Above this one the wait
  // is extrapolated linearly, with the slope that it has just below.
  constexpr double kMaxUtilisation = 0.95;
  const double slots = aSlots;
  const auto wait = [slots](double aStableUtilisation) {
    return std::pow(aStableUtilisation, std::sqrt(2 * (slots + 1))) /
           (slots * (1 - aStableUtilisation));
  };
  if (aUtilisation <= kMaxUtilisation) {
    return wait(std::max(aUtilisation, 0.0));
  }
  constexpr double kStep = 0.01;
  const double slope =
    (wait(kMaxUtilisation) - wait(kMaxUtilisation - kStep)) / kStep;
  return wait(kMaxUtilisation) + (aUtilisation - kMaxUtilisation) * slope;
}

UpstreamRecord*
ChooseUpstream(const ServicePool& aPool,
               const PlacementRequest& aRequest,
               const PlacementPolicy& aPolicy,
               std::minstd_rand& aRandom,
               state::TimePoint aNow,
               ChoiceReason* aReason)
{
  auto candidates = FindCandidates(aPool, aRequest, aPolicy, aRandom, aNow);
  if (aRequest.mClass &&
      RemoveWithoutCapacity(candidates, aPool, *aRequest.mClass, aNow)) {
    if (aReason != nullptr) {
      *aReason = ChoiceReason::NoCapacity;
    }
    return nullptr;
  }
  // Only the cost of feeds depends on the load of the service.
  const auto service = aRequest.mLength == FlowLength::ManyRequests
                         ? LoadOfService(aPool, candidates, aNow)
                         : ServiceLoad{};
  const UpstreamRecord* next = nullptr;
  UpstreamRecord* best = nullptr;
  double bestCost = std::numeric_limits<double>::max();
  double nextCost = bestCost;
  for (auto* record : candidates) {
    const double cost = Cost(*record, service, aRequest, aPolicy, aNow);
    if (cost < bestCost) {
      next = std::exchange(best, record);
      nextCost = std::exchange(bestCost, cost);
    } else if (cost < nextCost) {
      next = record;
      nextCost = cost;
    }
  }
  if (aReason != nullptr && best != nullptr) {
    *aReason = next == nullptr        ? ChoiceReason::OnlyOne
               : bestCost == nextCost ? ChoiceReason::EqualCost
                                      : Compare(*best, *next, aRequest, aNow);
  }
  return best;
}

} // namespace sassafrasknot::flows
