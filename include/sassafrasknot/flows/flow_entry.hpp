#ifndef SASSAFRASKNOT_FLOWS_FLOW_ENTRY_HPP
#define SASSAFRASKNOT_FLOWS_FLOW_ENTRY_HPP

#include "sassafrasknot/flows/flow_length.hpp"
#include "sassafrasknot/flows/packet.hpp"
#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <optional>

namespace sassafrasknot::flows {

/// @brief What an instance has observed of one flow. Routing does not depend on
/// it: without an entry, packets still reach their upstream by their token.
struct FlowEntry
{
  UpstreamToken mToken = kNoToken;
  RequestKind mKind = RequestKind::NonIdempotent;
  /// The caller has completed the handshake with the upstream.
  bool mEstablished = false;
  /// The upstream has a request that it has not answered yet, or the opening
  /// packet was forwarded and its request is expected.
  bool mRequestActive = false;
  /// The flow is counted in its upstream's load, as a feed if mLength is
  /// ManyRequests.
  bool mCountedInLoad = false;
  /// The length that was expected of the flow when it opened, until it is
  /// known.
  FlowLength mLength = FlowLength::SingleRequest;
  /// The flow's opening packet was forwarded by this instance, so that
  /// mRequests counts all requests of the flow.
  bool mOpenedHere = false;
  /// Requests that this instance has seen.
  std::uint32_t mRequests = 0;
  /// How often the newest data, or the opening packet, was forwarded without an
  /// answer in time: 1 after the caller's first retransmission.
  std::uint32_t mMissingAnswers = 0;
  /// Time from the newest data to the last retransmission that showed a missing
  /// answer. Afterwards the upstream may have acknowledged them.
  state::Duration mUnansweredFor{ 0 };
  /// The opening packet, or data that were forwarded since the last answer, may
  /// have been dropped in the queue of this instance's own link.
  bool mMayBeDropped = false;
  /// When the opening packet was forwarded, or when this instance first saw a
  /// flow that another one placed.
  state::TimePoint mOpenSent;
  /// When the newest byte was first forwarded.
  state::TimePoint mNewDataSent;
  /// When data was last forwarded, new or retransmitted.
  state::TimePoint mLastDataSent;
  /// The newest request found a free slot at its upstream, as far as is known.
  bool mFoundFreeSlot = false;
  /// Expected remaining work of the active request, in units of the mean work;
  /// 1 while nothing is learned.
  float mBacklog = 1;
  /// When the newest packet arrived.
  state::TimePoint mLastPacket;
  /// When this instance first saw the flow, if its configuration has had no
  /// route for the flow ever since.
  std::optional<state::TimePoint> mUnroutedSince;
  /// Sequence number after the caller's newest byte, modulo 2^32.
  std::uint32_t mNextSequence = 0;
  /// Highest cumulative acknowledgement of the upstream's bytes, modulo 2^32.
  std::uint32_t mAcknowledged = 0;
};

/// @brief What a packet shows about its flow.
struct PacketFindings
{
  /// The upstream has answered since the previous packet.
  bool mAnswered = false;
  /// When the packet that the upstream has answered was first forwarded.
  state::TimePoint mAnsweredSent;
  /// When it was last forwarded. If it was retransmitted, either that copy was
  /// answered, or the answer took longer than kAnswerTimeout. In both cases the
  /// earlier evidence against the upstream is void.
  state::TimePoint mAnsweredCopySent;
  /// The answer is the first one to an active request.
  bool mAnswersRequest = false;
  /// Bytes of the upstream that the packet acknowledges for the first time.
  std::uint32_t mAnswerBytes = 0;
  /// The payload ends at or before the end of earlier payload. It is a
  /// retransmission, or a packet that another one has overtaken.
  bool mRetransmitted = false;
};

/// @brief Returns whether one sequence number is after another, modulo 2^32.
/// @param aLeft a sequence number
/// @param aRight a sequence number
/// @return whether aLeft is after aRight
bool
IsAfter(std::uint32_t aLeft, std::uint32_t aRight);

/// @brief Updates a flow's entry with a packet that is not an opening one.
/// @param aEntry the flow's entry
/// @param aPacket packet of that flow
/// @param aNow current time on the steady clock
/// @return what the packet shows
PacketFindings
RecordPacket(FlowEntry& aEntry,
             const CallerPacket& aPacket,
             state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
