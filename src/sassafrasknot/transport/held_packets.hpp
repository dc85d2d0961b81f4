#ifndef SASSAFRASKNOT_TRANSPORT_HELD_PACKETS_HPP
#define SASSAFRASKNOT_TRANSPORT_HELD_PACKETS_HPP

#include "sassafrasknot/protocol/packet.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace sassafrasknot::transport {

/// Packets that wait for an upstream, or that may have to be sent to another
/// upstream after a refusal, by the id that the traffic core assigned
/// (coordination::Hold::mHoldId).
class HeldPackets
{
public:
  explicit HeldPackets(std::size_t aMaxPackets)
    : mMaxPackets(aMaxPackets)
  {
  }

  /// Stores a packet; it replaces an earlier one with the same id. Returns
  /// false if the packet is not stored because the limit is reached.
  bool Upsert(std::uint64_t aHoldId, std::span<const std::uint8_t> aBytes)
  {
    if (mPackets.size() >= mMaxPackets && !mPackets.contains(aHoldId)) {
      return false;
    }
    mPackets.insert_or_assign(aHoldId,
                              protocol::Bytes(aBytes.begin(), aBytes.end()));
    return true;
  }

  /// Returns the packet, or an empty one for an unknown id. Unless aKeep is
  /// set, the packet is removed.
  protocol::Bytes Release(std::uint64_t aHoldId, bool aKeep)
  {
    const auto found = mPackets.find(aHoldId);
    if (found == mPackets.end()) {
      return {};
    }
    if (aKeep) {
      return found->second;
    }
    return std::move(mPackets.extract(found).mapped());
  }

  void Drop(std::uint64_t aHoldId) { mPackets.erase(aHoldId); }

private:
  std::size_t mMaxPackets;
  std::unordered_map<std::uint64_t, protocol::Bytes> mPackets;
};

} // namespace sassafrasknot::transport

#endif
