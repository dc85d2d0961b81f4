#include "sassafrasknot/transport/backoff.hpp"

#include <algorithm>

namespace sassafrasknot::transport {

state::Duration
BackoffDelay(std::uint32_t aFailures,
             state::Duration aFirst,
             state::Duration aLongest,
             std::mt19937_64& aRandom)
{
  if (aFailures == 0) {
    return {};
  }
  auto ceiling = std::min(aFirst, aLongest);
  for (std::uint32_t failure = 1; failure < aFailures && ceiling < aLongest;
       ++failure) {
    ceiling = ceiling > aLongest / 2 ? aLongest : ceiling * 2;
  }
  return state::Duration(std::uniform_int_distribution<state::Duration::rep>(
    0, ceiling.count())(aRandom));
}

} // namespace sassafrasknot::transport
