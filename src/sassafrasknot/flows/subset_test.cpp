#include "sassafrasknot/flows/subset.hpp"

#include <algorithm>
#include <numeric>
#include <vector>

#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

struct Coverage
{
  std::vector<std::size_t> mChoices; ///< Upstreams by instance.
  std::vector<std::size_t> mSharers; ///< Instances by upstream.
};

Coverage
Cover(std::size_t aInstances, std::size_t aUpstreams)
{
  Coverage coverage{ std::vector<std::size_t>(aInstances),
                     std::vector<std::size_t>(aUpstreams) };
  for (std::size_t instance = 0; instance < aInstances; ++instance) {
    for (std::size_t upstream = 0; upstream < aUpstreams; ++upstream) {
      if (IsInSubset({ instance, aInstances }, upstream, aUpstreams)) {
        ++coverage.mChoices[instance];
        ++coverage.mSharers[upstream];
      }
    }
  }
  return coverage;
}

// Guards against upstreams that no instance chooses, and against instances
// without a choice, at sizes from today's to the target's.
TEST(Subset, CoversAllUpstreamsEvenly)
{
  const std::pair<std::size_t, std::size_t> sizes[] = {
    { 4, 5 },  { 10, 14 },  { 20, 30 },  { 20, 7 },
    { 21, 1 }, { 75, 600 }, { 75, 150 }, { 148, 1675 },
  };
  for (const auto& [instances, upstreams] : sizes) {
    const auto coverage = Cover(instances, upstreams);
    const auto [least, most] = std::ranges::minmax(coverage.mSharers);
    EXPECT_GE(least, std::min(instances, kInstancesPerUpstream - 1))
      << instances << " instances, " << upstreams << " upstreams";
    EXPECT_LE(most - least, 2U) << instances << " instances, " << upstreams;
    EXPECT_GE(std::ranges::min(coverage.mChoices),
              std::min(upstreams, kMinSubsetSize - 1))
      << instances << " instances, " << upstreams << " upstreams";
  }
}

// Guards against instances that share an upstream and do not tell each other
// what they have there.
TEST(Subset, OverlapsWithNeighboursOnly)
{
  constexpr std::size_t kInstances = 75;
  constexpr std::size_t kUpstreams = 600;
  for (std::size_t other = kInstancesPerUpstream + 1;
       other < kInstances - kInstancesPerUpstream;
       ++other) {
    for (std::size_t upstream = 0; upstream < kUpstreams; ++upstream) {
      EXPECT_FALSE(IsInSubset({ 0, kInstances }, upstream, kUpstreams) &&
                   IsInSubset({ other, kInstances }, upstream, kUpstreams))
        << other;
    }
  }
}

} // namespace
} // namespace sassafrasknot::flows
