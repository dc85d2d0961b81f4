#ifndef SASSAFRASKNOT_COORDINATION_WINNER_TREE_HPP
#define SASSAFRASKNOT_COORDINATION_WINNER_TREE_HPP

#include <cstddef>
#include <limits>
#include <optional>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief Key of a candidate that must not be chosen.
inline constexpr double kNeverChosen = std::numeric_limits<double>::infinity();

/// @brief Finds the candidate with the lowest key; a change of one key takes
/// logarithmic time.
struct WinnerTree
{
  /// Number of leaves, a power of two.
  std::size_t mLeaves = 2;
  std::vector<double> mKeys{ kNeverChosen, kNeverChosen };
  /// Winner of each inner node; node 1 is the root, node 0 is unused.
  std::vector<std::size_t> mWinners{ 0, 0 };
};

/// @brief Makes a tree whose candidates are never chosen yet.
/// @param aCount number of candidates
/// @return the tree
WinnerTree
MakeWinnerTree(std::size_t aCount);

/// @brief Changes a key.
/// @param aTree the tree
/// @param aIndex the candidate
/// @param aKey its key, or kNeverChosen
void
SetKey(WinnerTree& aTree, std::size_t aIndex, double aKey);

/// @brief Returns the candidate with the lowest key.
/// @param aTree the tree
/// @return its index, or nothing if none may be chosen
std::optional<std::size_t>
Winner(const WinnerTree& aTree);

} // namespace sassafrasknot::coordination

#endif
