#ifndef SASSAFRASKNOT_SRC_COORDINATION_FLOW_ENTRY_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_FLOW_ENTRY_HPP

#include "sassafrasknot/coordination/traffic_message.hpp"
#include "sassafrasknot/state/flow.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <functional>

#include <boost/unordered/unordered_flat_map.hpp>

namespace sassafrasknot::coordination {

/// Stage of a flow in the flow table.
enum class FlowStage : std::uint8_t
{
  Queued,      ///< Waits for a slot; its opening packet is held.
  Opening,     ///< Sent to an upstream that has not accepted it yet.
  Established, ///< Accepted by its upstream.
  Closed,      ///< Ended; late segments still go to its upstream.
  Redirected,  ///< Its packets are forwarded to the owner of another shard.
};

/// An entry of the flow table.
struct FlowEntry
{
  state::Endpoint mUpstream;
  /// Hash of the shard in which the flow is placed or queued.
  std::uint64_t mShard = 0;
  /// Id under which the opening packet was held, or 0.
  std::uint64_t mHoldId = 0;
  /// When the flow was queued, placed or adopted, or the redirect recorded.
  state::TimePoint mStarted;
  state::TimePoint mLastCallerActivity;
  state::TimePoint mLastUpstreamActivity;
  /// When the caller first retransmitted since its last progress, or zero.
  state::TimePoint mRetransmittingSince;
  /// When the flow is to be checked next; scheduled checks with another time
  /// are skipped.
  state::TimePoint mNextCheck;
  /// Sequence number that follows the caller's last new data, modulo 2^32.
  std::uint32_t mNextSequence = 0;
  /// The caller's highest acknowledgement, modulo 2^32; 0 before the first one.
  std::uint32_t mAcknowledged = 0;
  /// Payload of the caller since the upstream's last answer, in bytes.
  std::uint32_t mUnansweredBytes = 0;
  FlowStage mStage = FlowStage::Opening;
  state::FlowClass mFlowClass = state::FlowClass::Feed;
  /// Keepalive probes that the upstream has left unanswered, counted after two
  /// keepalive intervals without a packet of it.
  std::uint8_t mUnansweredProbes = 0;
  /// Whether the flow holds a connection of its upstream, and a slot if its
  /// class takes one.
  bool mHoldsConnection = false;
  /// Whether a packet shows that the upstream has the flow. False for a flow
  /// that was adopted from a record, until a packet of its upstream arrives or
  /// is reported.
  bool mVerified = true;
  /// Whether the flow counts in its organisation's share.
  bool mCountedInShare = false;
  /// Whether payload of the caller was sent to the upstream.
  bool mPayloadForwarded = false;
  /// Whether the upstream has sent payload: this instance received it or a
  /// report of it, or the caller has acknowledged new bytes. Assumed of a flow
  /// that was adopted without a record.
  bool mAnswered = false;
  bool mCallerFinished = false;
  bool mUpstreamFinished = false;
  /// Whether the upstream is not the flow's default upstream, the one that
  /// rendezvous hashing gives.
  bool mOffDefault = false;
  /// Whether the flow's record was sent to the shard's present backup.
  bool mReplicated = false;
};

using FlowTable = boost::
  unordered_flat_map<state::FlowKey, FlowEntry, std::hash<state::FlowKey>>;

/// Makes the record of a flow for another instance.
inline FlowRecord
RecordOf(const state::FlowKey& aKey, const FlowEntry& aEntry)
{
  return { aKey,
           aEntry.mUpstream,
           aEntry.mFlowClass,
           aEntry.mPayloadForwarded,
           aEntry.mAnswered,
           aEntry.mStage == FlowStage::Closed };
}

} // namespace sassafrasknot::coordination

#endif
