#include "sassafrasknot/flows/placement.hpp"

#include <limits>

namespace sassafrasknot::flows {
namespace {

bool
TakesFlows(const UpstreamRecord& aRecord)
{
  return aRecord.mPresence != Presence::Gone && !aRecord.mUpstream.mDraining;
}

double
Cost(const UpstreamRecord& aRecord,
     const PlacementRequest& aRequest,
     const PlacementPolicy& aPolicy,
     state::TimePoint aNow)
{
  const double slots = aRecord.mUpstream.mSlots;
  const double atWork = aRecord.mOwn.mAtWork + aRecord.mPeers.mAtWork;
  const double feeds = aRecord.mOwn.mFeeds + aRecord.mPeers.mFeeds;
  const bool isFeed = aRequest.mKind == RequestKind::Idempotent;
  double cost = isFeed ? (feeds + aPolicy.mFeed * atWork) / slots
                       : (atWork + aPolicy.mFeed * feeds) / slots;
  cost += aRecord.mUpstream.mDataCentre == aRequest.mDataCentre
            ? 0.0
            : aPolicy.mRemote;
  cost += aNow < aRecord.mWarm ? aPolicy.mCold : 0.0;
  cost += aRecord.mPresence == Presence::Missing ? aPolicy.mMissing : 0.0;
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
  return AdmitsFlow(aRecord.mSilence, aNow) ? Fitness::Good : Fitness::Silent;
}

} // namespace

UpstreamRecord*
ChooseUpstream(std::span<UpstreamRecord* const> aUpstreams,
               const PlacementRequest& aRequest,
               const PlacementPolicy& aPolicy,
               std::minstd_rand& aRandom,
               state::TimePoint aNow)
{
  UpstreamRecord* best = nullptr;
  auto bestFitness = Fitness::Avoided;
  double bestCost = std::numeric_limits<double>::max();
  std::uint32_t equals = 0;
  for (auto* record : aUpstreams) {
    if (!TakesFlows(*record)) {
      continue;
    }
    const auto fitness = FitnessOf(*record, aRequest, aNow);
    const double cost = Cost(*record, aRequest, aPolicy, aNow);
    if (best != nullptr &&
        (fitness > bestFitness ||
         (fitness == bestFitness && cost > bestCost))) {
      continue;
    }
    const bool isEqual =
      best != nullptr && fitness == bestFitness && cost == bestCost;
    equals = isEqual ? equals + 1 : 1;
    // Each of several equals is kept with the same probability.
    if (isEqual && aRandom() % equals != 0) {
      continue;
    }
    best = record;
    bestFitness = fitness;
    bestCost = cost;
  }
  return best;
}

} // namespace sassafrasknot::flows
