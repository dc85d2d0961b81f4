#ifndef SASSAFRASKNOT_FLOWS_SUBSET_HPP
#define SASSAFRASKNOT_FLOWS_SUBSET_HPP

#include <compare>
#include <cstddef>

namespace sassafrasknot::flows {

/// Number of instances that share one upstream, on average. Each of them
/// reports its loads only to those that it shares upstreams with, so that the
/// messages of an instance do not grow with its data centre. With four, three
/// remain if one fails.
constexpr std::size_t kInstancesPerUpstream = 4;
/// A subset is sized for at least this many upstreams of a service, so that
/// others remain if one is busy or has failed.
constexpr std::size_t kMinSubsetSize = 3;

/// @brief Rank of an instance among the live ones of its data centre, in an
/// order that all of them share.
struct InstancePosition
{
  std::size_t mIndex = 0;
  std::size_t mCount = 1;

  auto operator<=>(const InstancePosition&) const = default;
};

/// @brief Returns whether each instance of a data centre places flows on a
/// subset of its upstreams. In a small data centre each uses all of them, since
/// all instances exchange their loads.
/// @param aInstances number of live instances in the data centre
/// @return whether each has a subset
constexpr bool
UsesSubsetting(std::size_t aInstances)
{
  return aInstances > 2 * kInstancesPerUpstream + 1;
}

/// @brief Returns whether an upstream is in an instance's subset. Instances and
/// upstreams are spread evenly over a ring; a subset is an arc around its
/// instance, so that instances whose subsets overlap are neighbours.
/// @param aPosition the instance's position in its data centre
/// @param aUpstream index of the upstream among those of its service and data
/// centre, in an order that all instances share
/// @param aUpstreams number of upstreams of that service and data centre
/// @return whether the upstream is in the subset; always true without
/// subsetting
bool
IsInSubset(const InstancePosition& aPosition,
           std::size_t aUpstream,
           std::size_t aUpstreams);

} // namespace sassafrasknot::flows

#endif
