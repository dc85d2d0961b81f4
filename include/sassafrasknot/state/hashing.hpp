#ifndef SASSAFRASKNOT_STATE_HASHING_HPP
#define SASSAFRASKNOT_STATE_HASHING_HPP

#include <cstdint>
#include <string_view>

namespace sassafrasknot::state {

/// @brief Hashes bytes; the same on every instance and release.
/// @param aBytes the bytes
/// @param aSeed distinguishes uses of the same bytes
/// @return the 64-bit XXH3 hash
std::uint64_t
HashBytes(std::string_view aBytes, std::uint64_t aSeed = 0);

/// @brief Mixes two hashes into one.
/// @param aFirst a hash
/// @param aSecond a hash
/// @return the mixed hash; the order of the arguments matters
std::uint64_t
CombineHashes(std::uint64_t aFirst, std::uint64_t aSecond);

/// @brief Returns the weighted rendezvous score of a candidate; the candidate
/// with the highest score wins a key in proportion to its weight, and a change
/// of the candidates moves only the keys that it has to.
/// @param aKeyHash hash of the key
/// @param aCandidateHash hash of the candidate
/// @param aWeight weight of the candidate, above zero
/// @return the score
double
RendezvousScore(std::uint64_t aKeyHash,
                std::uint64_t aCandidateHash,
                double aWeight = 1.0);

} // namespace sassafrasknot::state

#endif
