#include "sassafrasknot/coordination/shard_load.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// A feed goes to a shard that uses at most this multiple of its part of all
/// used connections.
constexpr double kTolerance = 1.01;

/// Returns the first shard with a free connection whose use is within
/// kTolerance of its part, or zero.
std::size_t
ChooseForFeed(const std::vector<ShardLoad>& aRanked)
{
  double totalConnections = 0;
  double totalUsed = 0;
  for (const auto& load : aRanked) {
    totalConnections += static_cast<double>(load.mConnections);
    totalUsed += static_cast<double>(load.mConnectionsUsed);
  }
  for (std::size_t rank = 0; rank < aRanked.size(); ++rank) {
    const auto& load = aRanked[rank];
    const double fairPart =
      totalConnections > 0
        ? totalUsed * static_cast<double>(load.mConnections) / totalConnections
        : 0;
    if (load.mConnectionsUsed < load.mConnections &&
        static_cast<double>(load.mConnectionsUsed) <= kTolerance * fairPart) {
      return rank;
    }
  }
  return 0;
}

} // namespace

std::size_t
ChooseShard(const std::vector<ShardLoad>& aRanked, state::FlowClass aFlowClass)
{
  if (aFlowClass == state::FlowClass::Feed) {
    return ChooseForFeed(aRanked);
  }
  const auto free =
    std::find_if(aRanked.begin(), aRanked.end(), [](const auto& aLoad) {
      return aLoad.mFreeSlots > 0 && aLoad.mQueued == 0;
    });
  return free == aRanked.end()
           ? 0
           : static_cast<std::size_t>(free - aRanked.begin());
}

} // namespace sassafrasknot::coordination
