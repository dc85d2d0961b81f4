#ifndef SASSAFRASKNOT_COORDINATION_TRAFFIC_MESSAGE_HPP
#define SASSAFRASKNOT_COORDINATION_TRAFFIC_MESSAGE_HPP

#include "sassafrasknot/state/flow.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <cstdint>
#include <variant>
#include <vector>

/// @brief The decisions of an instance, without input or output: functions take
/// an event and the current time and return the actions to carry out.
namespace sassafrasknot::coordination {

/// @brief Reports that an upstream has sent a data segment of a flow. Any
/// instance can rewrite such a segment; it reports it to the owner of the
/// upstream's shard.
struct AnswerReport
{
  state::FlowKey mKey;
  state::Endpoint mUpstream;
  state::SegmentKind mKind = state::SegmentKind::Data;
  /// Whether the packet had payload.
  bool mHasPayload = false;
  /// Sequence number that follows the packet, modulo 2^32.
  std::uint32_t mNextSequence = 0;

  auto operator<=>(const AnswerReport&) const = default;
};

/// @brief Reports of upstream packets that one instance has rewritten.
struct AnswerReports
{
  std::vector<AnswerReport> mReports;

  auto operator<=>(const AnswerReports&) const = default;
};

/// @brief A flow and its upstream, as one instance sends them to another.
struct FlowRecord
{
  state::FlowKey mKey;
  state::Endpoint mUpstream;
  state::FlowClass mFlowClass = state::FlowClass::Feed;
  /// Whether payload of the caller was forwarded.
  bool mPayloadForwarded = false;
  /// Whether the upstream has sent payload, or is assumed to have.
  bool mAnswered = false;
  /// Whether the flow has ended and the receiver is to remove its record.
  bool mEnded = false;

  auto operator<=>(const FlowRecord&) const = default;
};

/// @brief Flow records for a shard's backup, for the owner of a shard, for the
/// first owner of a flow (the owner of the flow's highest-ranked shard that has
/// an owner) or in reply to a FlowLookup.
struct FlowRecords
{
  std::vector<FlowRecord> mRecords;

  auto operator<=>(const FlowRecords&) const = default;
};

/// @brief A batch of flow records in a handover: an instance that is no longer
/// a shard's owner sends the records of its flows to the new owner.
struct HandoverBatch
{
  /// Number of the batch; the acknowledgement repeats it.
  std::uint64_t mBatch = 0;
  /// Whether the sender has no further batch of this shard at present.
  bool mLast = false;
  std::vector<FlowRecord> mRecords;

  auto operator<=>(const HandoverBatch&) const = default;
};

/// @brief Confirms that the receiver has adopted the flows of a batch.
struct HandoverAcknowledgement
{
  std::uint64_t mBatch = 0;

  auto operator<=>(const HandoverAcknowledgement&) const = default;
};

/// @brief Requests that an instance report the packets of a shard's upstreams
/// again, including those of flows that it has reported already in the current
/// period. An instance sends one report per flow and period otherwise.
struct ReportRequest
{
  std::uint64_t mShardHash = 0;

  auto operator<=>(const ReportRequest&) const = default;
};

/// @brief Requests the record of a flow that is not in the sender's table. The
/// receiver replies with FlowRecords if it has a record of the flow's upstream,
/// and does not reply otherwise.
struct FlowLookup
{
  state::FlowKey mKey;

  auto operator<=>(const FlowLookup&) const = default;
};

/// @brief A message between the traffic cores of two instances.
using TrafficMessage = std::variant<AnswerReports,
                                    FlowRecords,
                                    HandoverBatch,
                                    HandoverAcknowledgement,
                                    ReportRequest,
                                    FlowLookup>;

} // namespace sassafrasknot::coordination

#endif
