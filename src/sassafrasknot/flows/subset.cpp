#include "sassafrasknot/flows/subset.hpp"

#include <algorithm>
#include <cmath>

namespace sassafrasknot::flows {

bool
IsInSubset(const InstancePosition& aPosition,
           std::size_t aUpstream,
           std::size_t aUpstreams)
{
  if (!UsesSubsetting(aPosition.mCount)) {
    return true;
  }
  const auto instances = static_cast<double>(aPosition.mCount);
  const auto upstreams = static_cast<double>(aUpstreams);
  const double arc =
    std::max(kInstancesPerUpstream / instances, kMinSubsetSize / upstreams);
  const double distance =
    std::abs((static_cast<double>(aPosition.mIndex) + 0.5) / instances -
             (static_cast<double>(aUpstream) + 0.5) / upstreams);
  return std::min(distance, 1 - distance) <= arc / 2;
}

} // namespace sassafrasknot::flows
