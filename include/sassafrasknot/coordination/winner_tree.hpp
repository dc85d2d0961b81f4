#ifndef SASSAFRASKNOT_COORDINATION_WINNER_TREE_HPP
#define SASSAFRASKNOT_COORDINATION_WINNER_TREE_HPP

#include <cstddef>
#include <limits>
#include <optional>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief Key of a candidate that must not be chosen.
inline constexpr double kNeverChosen = std::numeric_limits<double>::infinity();

/// @brief Tournament tree that gives the candidate with the lowest key; a
/// change of one key takes logarithmic time.
struct WinnerTree
{
  /// Number of leaves, a power of two.
  std::size_t mLeaves = 2;
  /// Keys of the candidates; leaves without a candidate have kNeverChosen.
  std::vector<double> mKeys{ kNeverChosen, kNeverChosen };
  /// Candidate with the lowest key below each inner node. Node 1 is the root,
  /// node n has the children 2n and 2n + 1, node 0 is unused.
  std::vector<std::size_t> mWinners{ 0, 0 };
};

/// @brief Makes a tree.
/// @param aCount number of candidates
/// @return tree in which each key is kNeverChosen
WinnerTree
MakeWinnerTree(std::size_t aCount);

/// @brief Changes the key of a candidate.
/// @param aTree tree to update
/// @param aIndex index of the candidate
/// @param aKey new key, or kNeverChosen
void
SetKey(WinnerTree& aTree, std::size_t aIndex, double aKey);

/// @brief Returns the candidate with the lowest key; of equal ones, that with
/// the lowest index.
/// @param aTree tree to read
/// @return index of the candidate; empty if all keys are kNeverChosen
std::optional<std::size_t>
Winner(const WinnerTree& aTree);

} // namespace sassafrasknot::coordination

#endif
