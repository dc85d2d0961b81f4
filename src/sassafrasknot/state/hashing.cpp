#include "sassafrasknot/state/hashing.hpp"

#include "sassafrasknot/state/flow.hpp"

#include <array>
#include <cmath>

#include <xxhash.h>

namespace sassafrasknot::state {

std::uint64_t
HashBytes(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::uint64_t
CombineHashes(std::uint64_t aFirst, std::uint64_t aSecond)
{
  const std::array<std::uint64_t, 2> both{ aFirst, aSecond };
  return XXH3_64bits(both.data(), sizeof(both));
}

double
RendezvousScore(std::uint64_t aKeyHash,
                std::uint64_t aCandidateHash,
                double aWeight)
{
  // 53 bits fill the mantissa of a double. Adding one half avoids zero, whose
  // logarithm is infinite.
  constexpr double kUnit = 1.0 / (1ULL << 53);
  const auto bits = CombineHashes(aKeyHash, aCandidateHash) >> 11;
  const double uniform = (static_cast<double>(bits) + 0.5) * kUnit;
  return -aWeight / std::log(uniform);
}

std::uint64_t
Hash(const FlowKey& aKey)
{
  // The fields are copied in a fixed order, so that padding bytes of the key
  // don't affect the hash.
  const std::array<std::uint32_t, 4> words{
    aKey.mCaller.mAddress.mValue,
    aKey.mService.mAddress.mValue,
    (static_cast<std::uint32_t>(aKey.mCaller.mPort) << 16) |
      aKey.mService.mPort,
    static_cast<std::uint32_t>(aKey.mProtocol),
  };
  return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace sassafrasknot::state
