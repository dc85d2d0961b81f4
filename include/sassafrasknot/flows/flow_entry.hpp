#ifndef SASSAFRASKNOT_FLOWS_FLOW_ENTRY_HPP
#define SASSAFRASKNOT_FLOWS_FLOW_ENTRY_HPP

#include "sassafrasknot/flows/packet.hpp"
#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>

namespace sassafrasknot::flows {

/// @brief What an instance has seen of one flow. It is an observation only:
/// without it packets still reach their upstream by their token.
struct FlowEntry
{
  UpstreamToken mToken = kNoToken;
  RequestKind mKind = RequestKind::NonIdempotent;
  /// The caller has the upstream's handshake.
  bool mEstablished = false;
  /// A request is at the upstream.
  bool mRequestActive = false;
  /// Counted in its upstream's load.
  bool mCountedInLoad = false;
  /// The missing answer to the newest packet is noted already.
  bool mMissingAnswerRecorded = false;
  /// When the opening packet was sent on.
  state::TimePoint mOpenSent;
  /// When the newest byte was first sent on.
  state::TimePoint mNewDataSent;
  state::TimePoint mLastPacket;
  /// Sequence number behind the caller's newest byte.
  std::uint32_t mNextSequence = 0;
  std::uint32_t mAcknowledged = 0;
};

/// @brief What a packet shows about its flow.
struct PacketFindings
{
  /// The upstream has answered since the last packet.
  bool mAnswered = false;
  /// When the packet was sent on that the upstream has answered.
  state::TimePoint mAnsweredSent;
  /// The answer is the first one to a request.
  bool mEndsRequest = false;
  /// Payload that ends where earlier payload did, or before. Packets may also
  /// overtake each other.
  bool mRetransmitted = false;
};

/// @brief Returns whether one sequence number is behind another, modulo 2^32.
/// @param aLeft a sequence number
/// @param aRight a sequence number
/// @return whether aLeft is after aRight
bool
IsAfter(std::uint32_t aLeft, std::uint32_t aRight);

/// @brief Notes a packet of an established flow.
/// @param aEntry the flow
/// @param aPacket the packet
/// @param aNow the time
/// @return what the packet shows
PacketFindings
RecordPacket(FlowEntry& aEntry,
             const CallerPacket& aPacket,
             state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
