#ifndef SASSAFRASKNOTCTL_ARRIVALS_HPP
#define SASSAFRASKNOTCTL_ARRIVALS_HPP

#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <optional>
#include <random>

namespace sassafrasknotctl {

/// @brief A period with a higher arrival rate (option --crest).
struct Burst
{
  /// Start, counted from the start of the run.
  sassafrasknot::state::Duration mStart{};
  sassafrasknot::state::Duration mDuration{};
  /// Factor by which the arrival rate is multiplied, 1 or more.
  double mFactor = 1.0;
};

/// @brief Open-loop Poisson arrivals: intervals are exponentially distributed
/// and do not depend on earlier flows, so that a slow service does not reduce
/// its own load.
struct Arrivals
{
  /// Arrivals per second outside the burst.
  double mRate = 1.0;
  std::optional<Burst> mBurst;
  std::mt19937_64 mRandom;
  /// Time of the next arrival, counted from the start of the run.
  sassafrasknot::state::Duration mNext{};
};

/// @brief Starts a sequence of arrivals.
/// @param aRate arrivals per second, above zero
/// @param aBurst period with a higher rate, if any
/// @param aSeed seed of the random intervals
/// @return the sequence; mNext is the first arrival
Arrivals
MakeArrivals(double aRate,
             const std::optional<Burst>& aBurst,
             std::uint64_t aSeed);

/// @brief Moves mNext to the following arrival.
/// @param aArrivals sequence to advance
void
Advance(Arrivals& aArrivals);

} // namespace sassafrasknotctl

#endif
