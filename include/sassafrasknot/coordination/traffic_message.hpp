#ifndef SASSAFRASKNOT_COORDINATION_TRAFFIC_MESSAGE_HPP
#define SASSAFRASKNOT_COORDINATION_TRAFFIC_MESSAGE_HPP

#include "sassafrasknot/state/flow.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <cstdint>
#include <variant>
#include <vector>

/// @brief Decisions: events and a time in, actions out.
namespace sassafrasknot::coordination {

/// @brief What one answer packet says of its flow.
struct AnswerReport
{
  state::FlowKey mKey;
  state::Endpoint mUpstream;
  state::SegmentKind mKind = state::SegmentKind::Data;
  /// Whether the answer had payload.
  bool mHasPayload = false;
  /// Sequence number that follows the packet, modulo 2^32.
  std::uint32_t mNextSequence = 0;

  auto operator<=>(const AnswerReport&) const = default;
};

/// @brief Answers of several flows that one instance has rewritten.
struct AnswerReports
{
  std::vector<AnswerReport> mReports;

  auto operator<=>(const AnswerReports&) const = default;
};

/// @brief A flow's placement as one owner gives it to another instance.
struct FlowRecord
{
  state::FlowKey mKey;
  state::Endpoint mUpstream;
  state::FlowClass mFlowClass = state::FlowClass::Feed;
  /// Whether payload of the caller was forwarded.
  bool mPayloadForwarded = false;
  /// Whether the upstream answered with payload.
  bool mAnswered = false;
  /// Whether the flow has ended and its record is to be dropped.
  bool mEnded = false;

  auto operator<=>(const FlowRecord&) const = default;
};

/// @brief Copies for a backup, or for the owner of a flow's first shard.
struct FlowRecords
{
  std::vector<FlowRecord> mRecords;

  auto operator<=>(const FlowRecords&) const = default;
};

/// @brief A batch of entries that an owner hands to the next owner.
struct HandoverBatch
{
  std::uint64_t mBatch = 0;
  /// Whether this is the last batch of the hand-over.
  bool mLast = false;
  std::vector<FlowRecord> mRecords;

  auto operator<=>(const HandoverBatch&) const = default;
};

/// @brief Says that a batch was taken over.
struct HandoverAcknowledgement
{
  std::uint64_t mBatch = 0;

  auto operator<=>(const HandoverAcknowledgement&) const = default;
};

/// @brief Asks peers to report the answers of a shard again, after a change of
/// its owner.
struct ReportRequest
{
  std::uint64_t mShardHash = 0;

  auto operator<=>(const ReportRequest&) const = default;
};

/// @brief Asks another instance for a flow that the sender should own. The
/// receiver answers with FlowRecords if it knows the flow, and not otherwise.
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
