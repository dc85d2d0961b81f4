#include "arrivals.hpp"

namespace sassafrasknotctl {

namespace state = sassafrasknot::state;

namespace {

double
FactorAt(const Arrivals& aArrivals, state::Duration aTime)
{
  const auto& crest = aArrivals.mCrest;
  const bool inside =
    crest && aTime >= crest->mStart && aTime < crest->mStart + crest->mLength;
  return inside ? crest->mFactor : 1.0;
}

} // namespace

Arrivals
MakeArrivals(double aRate,
             const std::optional<Crest>& aCrest,
             std::uint64_t aSeed)
{
  Arrivals arrivals;
  arrivals.mRate = aRate;
  arrivals.mCrest = aCrest;
  arrivals.mRandom.seed(aSeed);
  Advance(arrivals);
  return arrivals;
}

void
Advance(Arrivals& aArrivals)
{
  // Thinning: candidates come at the highest rate and are kept with the
  // probability of the rate at their time (Lewis and Shedler, 1979).
  const double highest = aArrivals.mCrest ? aArrivals.mCrest->mFactor : 1.0;
  std::exponential_distribution<> interval(aArrivals.mRate * highest);
  std::uniform_real_distribution<> uniform;
  do {
    aArrivals.mNext += std::chrono::duration_cast<state::Duration>(
      std::chrono::duration<double>(interval(aArrivals.mRandom)));
  } while (uniform(aArrivals.mRandom) * highest >
           FactorAt(aArrivals, aArrivals.mNext));
}

} // namespace sassafrasknotctl
