#include "sassafrasknot/coordination/winner_tree.hpp"

#include <bit>

namespace sassafrasknot::coordination {

WinnerTree
MakeWinnerTree(std::size_t aCount)
{
  WinnerTree tree;
  tree.mLeaves = std::bit_ceil(aCount < 2 ? std::size_t{ 2 } : aCount);
  tree.mKeys.assign(tree.mLeaves, kNeverChosen);
  tree.mWinners.assign(tree.mLeaves, 0);
  return tree;
}

void
SetKey(WinnerTree& aTree, std::size_t aIndex, double aKey)
{
  aTree.mKeys[aIndex] = aKey;
  // The children of the nodes from this one on are leaves.
  const auto lowestLevel = aTree.mLeaves / 2;
  for (auto node = lowestLevel + aIndex / 2; node > 0; node /= 2) {
    const auto child = 2 * node;
    const auto hasLeaves = node >= lowestLevel;
    const auto left = hasLeaves ? child - aTree.mLeaves : aTree.mWinners[child];
    const auto right =
      hasLeaves ? child - aTree.mLeaves + 1 : aTree.mWinners[child + 1];
    aTree.mWinners[node] =
      aTree.mKeys[right] < aTree.mKeys[left] ? right : left;
  }
}

std::optional<std::size_t>
Winner(const WinnerTree& aTree)
{
  const auto winner = aTree.mWinners[1];
  if (aTree.mKeys[winner] == kNeverChosen) {
    return std::nullopt;
  }
  return winner;
}

} // namespace sassafrasknot::coordination
