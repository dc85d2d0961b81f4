#include "sassafrasknot/coordination/shard_load.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

constexpr double kTolerance = 1.01;

std::size_t
ChooseForFeed(const std::vector<ShardLoad>& aRanked)
{
  double limits = 0;
  double used = 0;
  for (const auto& load : aRanked) {
    limits += static_cast<double>(load.mConnections);
    used += static_cast<double>(load.mConnectionsUsed);
  }
  for (std::size_t rank = 0; rank < aRanked.size(); ++rank) {
    const auto& load = aRanked[rank];
    const double part =
      limits > 0 ? used * static_cast<double>(load.mConnections) / limits : 0;
    if (load.mConnectionsUsed < load.mConnections &&
        static_cast<double>(load.mConnectionsUsed) <= kTolerance * part) {
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
