#ifndef SASSAFRASKNOT_SRC_COORDINATION_FLOW_ENTRY_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_FLOW_ENTRY_HPP

#include "sassafrasknot/coordination/traffic_message.hpp"
#include "sassafrasknot/state/flow.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <functional>

#include <boost/unordered/unordered_flat_map.hpp>

namespace sassafrasknot::coordination {

enum class FlowStage : std::uint8_t
{
  Queued,      ///< Waits for a slot; its opening segment is held.
  Opening,     ///< Sent to an upstream that has not accepted it yet.
  Established, ///< Accepted by its upstream.
  Closed,      ///< Ended; late segments still go to its upstream.
  Redirected,  ///< Accounted by the owner of another shard.
};

/// What an owner knows of one flow.
struct FlowEntry
{
  state::Endpoint mUpstream;
  /// Hash of the shard that accounts the flow.
  std::uint64_t mShard = 0;
  std::uint64_t mHoldId = 0;
  state::TimePoint mStarted;
  state::TimePoint mLastCallerActivity;
  state::TimePoint mLastUpstreamActivity;
  /// Since when the caller has retransmitted without progress, or zero.
  state::TimePoint mRetransmittingSince;
  /// When the flow is to be checked next; earlier deadlines are void.
  state::TimePoint mNextCheck;
  std::uint32_t mNextSequence = 0;
  std::uint32_t mAcknowledged = 0;
  /// Payload since the upstream's last answer, in bytes.
  std::uint32_t mUnansweredBytes = 0;
  FlowStage mStage = FlowStage::Opening;
  state::FlowClass mFlowClass = state::FlowClass::Feed;
  /// Probes of the upstream since its last sign of life.
  std::uint8_t mUnansweredProbes = 0;
  bool mAccounted = false;
  /// False for a flow known from a record only, until its upstream answers.
  bool mVerified = true;
  /// Whether the flow counts in its organisation's share.
  bool mCountedInShare = false;
  bool mPayloadForwarded = false;
  bool mAnswered = false;
  bool mCallerFinished = false;
  bool mUpstreamFinished = false;
  bool mOffDefault = false;
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
