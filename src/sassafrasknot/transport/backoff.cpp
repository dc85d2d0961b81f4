#include "sassafrasknot/transport/backoff.hpp"

#include <algorithm>

namespace sassafrasknot::transport {

state::Duration
BackoffDelay(std::uint32_t aFailures,
             state::Duration aInitialCeiling,
             state::Duration aMaxCeiling,
             std::mt19937_64& aRandom)
{
  if (aFailures == 0) {
    return {};
  }
  auto ceiling = std::min(aInitialCeiling, aMaxCeiling);
  for (std::uint32_t failure = 1; failure < aFailures && ceiling < aMaxCeiling;
       ++failure) {
    ceiling = ceiling > aMaxCeiling / 2 ? aMaxCeiling : ceiling * 2;
  }
  return state::Duration(std::uniform_int_distribution<state::Duration::rep>(
    0, ceiling.count())(aRandom));
}

} // namespace sassafrasknot::transport
