#ifndef SASSAFRASKNOT_FLOWS_SUBSET_HPP
#define SASSAFRASKNOT_FLOWS_SUBSET_HPP

#include <compare>
#include <cstddef>

namespace sassafrasknot::flows {

/// Instances that share one upstream, on average. Each of them tells its loads
/// to the others only, so that the messages of an instance do not grow with its
/// data centre; with four, one that fails leaves three.
constexpr std::size_t kInstancesPerUpstream = 4;
/// Fewest upstreams of a service that an instance chooses among, so that a busy
/// or failed one leaves a choice.
constexpr std::size_t kMinSubsetSize = 3;

/// @brief Place of an instance among the live ones of its data centre, in an
/// order that all of them share.
struct InstancePosition
{
  std::size_t mIndex = 0;
  std::size_t mCount = 1;

  auto operator<=>(const InstancePosition&) const = default;
};

/// @brief Returns whether the instances of a data centre divide its upstreams
/// among them. In a small one all know the loads of all.
/// @param aInstances number of instances
/// @return whether each has a subset
constexpr bool
UsesSubsetting(std::size_t aInstances)
{
  return aInstances > 2 * kInstancesPerUpstream + 1;
}

/// @brief Returns whether an upstream is in an instance's subset. Instances and
/// upstreams are spread evenly over a ring; a subset is an arc around its
/// instance, so that instances whose subsets overlap are neighbours.
/// @param aPlace the instance's place
/// @param aUpstream index of the upstream among those of its service and data
/// centre, in an order that all instances share
/// @param aUpstreams their number
/// @return whether the instance chooses it
bool
IsInSubset(const InstancePosition& aPlace,
           std::size_t aUpstream,
           std::size_t aUpstreams);

} // namespace sassafrasknot::flows

#endif
