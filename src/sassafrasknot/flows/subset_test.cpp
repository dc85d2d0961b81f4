#include "sassafrasknot/flows/subset.hpp"

#include <algorithm>
#include <numeric>
#include <vector>

#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

/// How many upstreams each instance chooses among, and the reverse.
struct Coverage
{
  std::vector<std::size_t> mUpstreamCounts; ///< By instance.
  std::vector<std::size_t> mInstanceCounts; ///< By upstream.
};

Coverage
ComputeCoverage(std::size_t aInstances, std::size_t aUpstreams)
{
  Coverage coverage{ std::vector<std::size_t>(aInstances),
                     std::vector<std::size_t>(aUpstreams) };
  for (std::size_t instance = 0; instance < aInstances; ++instance) {
    for (std::size_t upstream = 0; upstream < aUpstreams; ++upstream) {
      if (IsInSubset({ instance, aInstances }, upstream, aUpstreams)) {
        ++coverage.mUpstreamCounts[instance];
        ++coverage.mInstanceCounts[upstream];
      }
    }
  }
  return coverage;
}

// Guards against upstreams that are in no or few subsets, and against instances
// with too small a subset, in data centres of 4 to 148 instances.
TEST(Subset, CoversAllUpstreamsEvenly)
{
  const std::pair<std::size_t, std::size_t> sizes[] = {
    { 4, 5 },  { 10, 14 },  { 20, 30 },  { 20, 7 },
    { 21, 1 }, { 75, 600 }, { 75, 150 }, { 148, 1675 },
  };
  for (const auto& [instances, upstreams] : sizes) {
    const auto coverage = ComputeCoverage(instances, upstreams);
    const auto [minInstances, maxInstances] =
      std::ranges::minmax(coverage.mInstanceCounts);
    EXPECT_GE(minInstances, std::min(instances, kInstancesPerUpstream - 1))
      << instances << " instances, " << upstreams << " upstreams";
    EXPECT_LE(maxInstances - minInstances, 2U)
      << instances << " instances, " << upstreams;
    EXPECT_GE(std::ranges::min(coverage.mUpstreamCounts),
              std::min(upstreams, kMinSubsetSize - 1))
      << instances << " instances, " << upstreams << " upstreams";
  }
}

// Guards against instances that share an upstream but, not being neighbours, do
// not report their loads to each other.
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
