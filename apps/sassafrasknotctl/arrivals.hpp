#ifndef SASSAFRASKNOTCTL_ARRIVALS_HPP
#define SASSAFRASKNOTCTL_ARRIVALS_HPP

#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <optional>
#include <random>

namespace sassafrasknotctl {

/// @brief A time during which arrivals come more often.
struct Crest
{
  /// Start after the begin of the run.
  sassafrasknot::state::Duration mStart{};
  sassafrasknot::state::Duration mLength{};
  /// Factor on the rate, 1 or more.
  double mFactor = 1.0;
};

/// @brief Open-loop arrivals with exponential intervals: they do not wait for
/// earlier flows, so that a slow service does not lower its own load.
struct Arrivals
{
  /// Arrivals per second outside a crest.
  double mRate = 1.0;
  std::optional<Crest> mCrest;
  std::mt19937_64 mRandom;
  /// Time of the next arrival after the begin of the run.
  sassafrasknot::state::Duration mNext{};
};

/// @brief Makes arrivals.
/// @param aRate arrivals per second, above zero
/// @param aCrest a time with a higher rate
/// @param aSeed seed of the intervals
/// @return the arrivals, with the first one drawn
Arrivals
MakeArrivals(double aRate,
             const std::optional<Crest>& aCrest,
             std::uint64_t aSeed);

/// @brief Draws the arrival after the next one.
/// @param aArrivals the arrivals
void
Advance(Arrivals& aArrivals);

} // namespace sassafrasknotctl

#endif
