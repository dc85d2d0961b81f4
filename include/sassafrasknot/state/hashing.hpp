#ifndef SASSAFRASKNOT_STATE_HASHING_HPP
#define SASSAFRASKNOT_STATE_HASHING_HPP

#include <cstdint>
#include <string_view>

namespace sassafrasknot::state {

/// @brief Hashes bytes. The result is the same on every instance and in every
/// release.
/// @param aBytes bytes to hash
/// @param aSeed gives independent hashes of the same bytes
/// @return the 64-bit XXH3 hash
std::uint64_t
HashBytes(std::string_view aBytes, std::uint64_t aSeed = 0);

/// @brief Combines two hashes into one; their order matters.
/// @param aFirst a hash
/// @param aSecond a hash or another 64-bit value
/// @return the 64-bit XXH3 hash of both
std::uint64_t
CombineHashes(std::uint64_t aFirst, std::uint64_t aSecond);

/// @brief Returns the score of a candidate for a key in weighted rendezvous
/// hashing. A key is assigned to the candidate with the highest score, so that
/// a candidate gets a share of the keys in proportion to its weight. Adding a
/// candidate moves keys only to it, and removing one moves only its own keys.
/// @param aKeyHash hash of the key
/// @param aCandidateHash hash of the candidate
/// @param aWeight weight of the candidate, above zero
/// @return the score; a higher one is better
double
RendezvousScore(std::uint64_t aKeyHash,
                std::uint64_t aCandidateHash,
                double aWeight = 1.0);

} // namespace sassafrasknot::state

#endif
