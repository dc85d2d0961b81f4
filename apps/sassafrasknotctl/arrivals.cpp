#include "arrivals.hpp"

namespace sassafrasknotctl {

namespace state = sassafrasknot::state;

namespace {

// Returns the factor on the arrival rate at a time after the start of the run.
double
FactorAt(const Arrivals& aArrivals, state::Duration aTime)
{
  const auto& burst = aArrivals.mBurst;
  const bool inside =
    burst && aTime >= burst->mStart && aTime < burst->mStart + burst->mDuration;
  return inside ? burst->mFactor : 1.0;
}

} // namespace

Arrivals
MakeArrivals(double aRate,
             const std::optional<Burst>& aBurst,
             std::uint64_t aSeed)
{
  Arrivals arrivals;
  arrivals.mRate = aRate;
  arrivals.mBurst = aBurst;
  arrivals.mRandom.seed(aSeed);
  Advance(arrivals);
  return arrivals;
}

void
Advance(Arrivals& aArrivals)
{
  // Thinning (Lewis and Shedler, 1979): candidates are drawn at the highest
  // rate and accepted with the probability (rate at their time / highest rate).
  const double highest = aArrivals.mBurst ? aArrivals.mBurst->mFactor : 1.0;
  std::exponential_distribution<> interval(aArrivals.mRate * highest);
  std::uniform_real_distribution<> uniform;
  do {
    aArrivals.mNext += std::chrono::duration_cast<state::Duration>(
      std::chrono::duration<double>(interval(aArrivals.mRandom)));
  } while (uniform(aArrivals.mRandom) * highest >
           FactorAt(aArrivals, aArrivals.mNext));
}

} // namespace sassafrasknotctl
