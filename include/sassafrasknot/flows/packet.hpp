#ifndef SASSAFRASKNOT_FLOWS_PACKET_HPP
#define SASSAFRASKNOT_FLOWS_PACKET_HPP

#include "sassafrasknot/flows/upstream.hpp"
#include "sassafrasknot/state/flow.hpp"

#include <cstdint>

namespace sassafrasknot::flows {

/// @brief The fields of a caller's packet that a decision depends on.
struct CallerPacket
{
  state::FlowKey mFlow;
  state::SegmentKind mKind = state::SegmentKind::Data;
  /// Number of earlier copies that the caller has sent; for opening packets.
  std::uint32_t mRetransmissions = 0;
  /// Sequence number of the first payload byte, modulo 2^32.
  std::uint32_t mSequence = 0;
  /// Cumulative acknowledgement of the upstream's bytes, modulo 2^32.
  std::uint32_t mAcknowledged = 0;
  /// Payload, in bytes.
  std::uint32_t mPayloadBytes = 0;
  /// Token that the upstream last returned to the caller.
  UpstreamToken mToken = kNoToken;
};

} // namespace sassafrasknot::flows

#endif
