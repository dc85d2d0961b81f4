#ifndef SASSAFRASKNOT_TRANSPORT_HELD_PACKETS_HPP
#define SASSAFRASKNOT_TRANSPORT_HELD_PACKETS_HPP

#include "sassafrasknot/protocol/packet.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace sassafrasknot::transport {

/// Packets that wait for an upstream, by token. A packet replaces an earlier
/// one with the same token.
class HeldPackets
{
public:
  explicit HeldPackets(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  /// Returns false if the limit is reached.
  bool Upsert(std::uint64_t aToken, std::span<const std::uint8_t> aBytes)
  {
    if (mPackets.size() >= mLimit && !mPackets.contains(aToken)) {
      return false;
    }
    mPackets.insert_or_assign(aToken,
                              protocol::Bytes(aBytes.begin(), aBytes.end()));
    return true;
  }

  /// Returns the packet, or an empty one for an unknown token.
  protocol::Bytes Release(std::uint64_t aToken, bool aKeep)
  {
    const auto found = mPackets.find(aToken);
    if (found == mPackets.end()) {
      return {};
    }
    if (aKeep) {
      return found->second;
    }
    return std::move(mPackets.extract(found).mapped());
  }

  void Drop(std::uint64_t aToken) { mPackets.erase(aToken); }

private:
  std::size_t mLimit;
  std::unordered_map<std::uint64_t, protocol::Bytes> mPackets;
};

} // namespace sassafrasknot::transport

#endif
