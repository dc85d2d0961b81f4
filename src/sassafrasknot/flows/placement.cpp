#include "sassafrasknot/flows/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>
#include <vector>

namespace sassafrasknot::flows {
namespace {

bool
TakesFlows(const UpstreamRecord& aRecord)
{
  return aRecord.mPresence != Presence::Removed && !aRecord.mUpstream.mDraining;
}

/// Load of a whole service.
struct ServiceLoad
{
  double mSlots = 0;
  double mFeeds = 0;
  double mBusy = 0;
};

double
FeedsOf(const UpstreamRecord& aRecord)
{
  return aRecord.mOwnLoad.mFeeds + aRecord.mPeerLoad.mFeeds;
}

ServiceLoad
SumLoad(std::span<UpstreamRecord* const> aUpstreams)
{
  ServiceLoad load;
  for (const auto* record : aUpstreams) {
    if (TakesFlows(*record)) {
      load.mSlots += record->mUpstream.mSlots;
      load.mFeeds += FeedsOf(*record);
      load.mBusy += record->mAverageActiveRequests;
    }
  }
  return load;
}

/// A feed loads its upstream for long. Its share of the feeds predicts the use
/// of an upstream before the feeds' requests show it.
double
FeedCost(const UpstreamRecord& aRecord,
         const ServiceLoad& aService,
         const PlacementPolicy& aPolicy)
{
  const double slots = aRecord.mUpstream.mSlots;
  const double meanFeeds = (aService.mFeeds + 1) / aService.mSlots;
  const double share = FeedsOf(aRecord) / slots / meanFeeds;
  const double predicted = share * aService.mBusy / aService.mSlots;
  const double use =
    std::max((aRecord.mAverageActiveRequests / slots + predicted) / 2,
             aRecord.mAssumedUtilisation);
  return ExpectedWait(use, aRecord.mUpstream.mSlots) +
         aPolicy.mFairShareWeight * share;
}

/// A flow of one request cares for the requests that are ahead of it now.
double
RequestCost(const UpstreamRecord& aRecord)
{
  const double atWork =
    aRecord.mOwnLoad.mActiveRequests + aRecord.mPeerLoad.mActiveRequests;
  return std::max(atWork / aRecord.mUpstream.mSlots,
                  aRecord.mAssumedUtilisation);
}

double
Cost(const UpstreamRecord& aRecord,
     const ServiceLoad& aService,
     const PlacementRequest& aRequest,
     const PlacementPolicy& aPolicy,
     state::TimePoint aNow)
{
  const bool isFeed = aRequest.mKind == RequestKind::Idempotent;
  double cost =
    isFeed ? FeedCost(aRecord, aService, aPolicy) : RequestCost(aRecord);
  if (aRecord.mUpstream.mDataCentre != aRequest.mDataCentre) {
    cost += isFeed ? aPolicy.mRemoteFeedPenalty : aPolicy.mRemoteRequestPenalty;
  }
  if (aNow < aRecord.mWarmUpEnd) {
    cost += aPolicy.mWarmUpPenalty;
  }
  if (aRecord.mPresence == Presence::Expired) {
    cost += aPolicy.mExpiredPenalty;
  }
  return cost;
}

/// How far an upstream is from taking the flow; the lowest class is used.
enum class Fitness : std::uint8_t
{
  Good,
  Silent,
  Avoided,
};

Fitness
FitnessOf(const UpstreamRecord& aRecord,
          const PlacementRequest& aRequest,
          state::TimePoint aNow)
{
  if (aRecord.mToken == aRequest.mAvoid) {
    return Fitness::Avoided;
  }
  return AdmitsFlow(aRecord.mFailureDetector, aNow) ? Fitness::Good
                                                    : Fitness::Silent;
}

/// Returns the upstreams of the best fitness that any has.
std::vector<UpstreamRecord*>
FittestCandidates(std::span<UpstreamRecord* const> aUpstreams,
                  const PlacementRequest& aRequest,
                  state::TimePoint aNow)
{
  std::vector<UpstreamRecord*> candidates;
  auto best = Fitness::Avoided;
  for (auto* record : aUpstreams) {
    if (!TakesFlows(*record)) {
      continue;
    }
    const auto fitness = FitnessOf(*record, aRequest, aNow);
    if (fitness < best) {
      best = fitness;
      candidates.clear();
    }
    if (fitness == best) {
      candidates.push_back(record);
    }
  }
  return candidates;
}

/// Adds upstreams of other data centres that answer, at random.
void
AddFarChoices(std::vector<UpstreamRecord*>& aCandidates,
              const ServicePool& aPool,
              const PlacementRequest& aRequest,
              const PlacementPolicy& aPolicy,
              std::minstd_rand& aRandom,
              state::TimePoint aNow)
{
  // A data centre that is cut off leaves the upstreams of the others.
  constexpr std::size_t kDrawsPerChoice = 4;
  std::size_t wanted = aPolicy.mRemoteChoices;
  auto draws = aPool.mRemote.empty() ? 0 : wanted * kDrawsPerChoice;
  for (; wanted > 0 && draws > 0; --draws) {
    auto* record = aPool.mRemote[aRandom() % aPool.mRemote.size()];
    if (TakesFlows(*record) &&
        FitnessOf(*record, aRequest, aNow) == Fitness::Good) {
      aCandidates.push_back(record);
      --wanted;
    }
  }
}

/// Keeps the first candidates of this data centre and of others.
void
Thin(std::vector<UpstreamRecord*>& aCandidates,
     const PlacementRequest& aRequest,
     const PlacementPolicy& aPolicy)
{
  std::size_t local = 0;
  std::size_t remote = 0;
  std::erase_if(aCandidates, [&](const UpstreamRecord* aRecord) {
    const bool isLocal = aRecord->mUpstream.mDataCentre == aRequest.mDataCentre;
    return isLocal ? ++local > aPolicy.mLocalChoices
                   : ++remote > aPolicy.mRemoteChoices;
  });
}

/// Returns upstreams to compare, in random order.
std::vector<UpstreamRecord*>
Candidates(const ServicePool& aPool,
           const PlacementRequest& aRequest,
           const PlacementPolicy& aPolicy,
           std::minstd_rand& aRandom,
           state::TimePoint aNow)
{
  if (!aPool.mIsSubset) {
    auto candidates = FittestCandidates(aPool.mAll, aRequest, aNow);
    std::ranges::shuffle(candidates, aRandom);
    return candidates;
  }
  auto candidates = FittestCandidates(aPool.mLocalCandidates, aRequest, aNow);
  const bool isGood =
    !candidates.empty() &&
    FitnessOf(*candidates.front(), aRequest, aNow) == Fitness::Good;
  if (!isGood) {
    candidates = FittestCandidates(aPool.mAll, aRequest, aNow);
    std::ranges::shuffle(candidates, aRandom);
    Thin(candidates, aRequest, aPolicy);
    return candidates;
  }
  AddFarChoices(candidates, aPool, aRequest, aPolicy, aRandom, aNow);
  std::ranges::shuffle(candidates, aRandom);
  return candidates;
}

} // namespace

double
ExpectedWait(double aUse, std::uint32_t aSlots)
{
  // The approximation has a pole at full use. Beyond this use the wait goes on
  // with the slope that it has there.
  constexpr double kMostUse = 0.95;
  const double slots = aSlots;
  const auto wait = [slots](double aBelowPole) {
    return std::pow(aBelowPole, std::sqrt(2 * (slots + 1))) /
           (slots * (1 - aBelowPole));
  };
  if (aUse <= kMostUse) {
    return wait(std::max(aUse, 0.0));
  }
  constexpr double kStep = 0.01;
  const double slope = (wait(kMostUse) - wait(kMostUse - kStep)) / kStep;
  return wait(kMostUse) + (aUse - kMostUse) * slope;
}

UpstreamRecord*
ChooseUpstream(const ServicePool& aPool,
               const PlacementRequest& aRequest,
               const PlacementPolicy& aPolicy,
               std::minstd_rand& aRandom,
               state::TimePoint aNow)
{
  auto service = SumLoad(aPool.mIsSubset ? aPool.mLocalCandidates : aPool.mAll);
  if (service.mSlots == 0) {
    service = SumLoad(aPool.mAll);
  }
  UpstreamRecord* best = nullptr;
  double bestCost = std::numeric_limits<double>::max();
  for (auto* record : Candidates(aPool, aRequest, aPolicy, aRandom, aNow)) {
    const double cost = Cost(*record, service, aRequest, aPolicy, aNow);
    if (cost < bestCost) {
      best = record;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace sassafrasknot::flows
