#include "sassafrasknot/coordination/peer_messages.hpp"

#include "sassafrasknot/coordination/flow_lifecycle.hpp"
#include "sassafrasknot/coordination/handover.hpp"
#include "sassafrasknot/coordination/recovery.hpp"
#include "sassafrasknot/coordination/upstream_packets.hpp"

#include <map>

namespace sassafrasknot::coordination {
namespace {

/// Minimum interval of report requests; limited since each is sent to all
/// instances.
constexpr auto kReportRequestInterval = std::chrono::milliseconds{ 500 };

/// Removes the record and the redirect of a flow that has ended on another
/// instance.
void
RemoveEndedFlow(TrafficState& aState,
                state::TimePoint aNow,
                const state::FlowKey& aKey)
{
  aState.mBackupRecords.erase(aKey);
  if (const auto found = aState.mFlows.find(aKey);
      found != aState.mFlows.end() &&
      found->second.mStage == FlowStage::Redirected) {
    RemoveFlowEntry(aState, aNow, aKey);
  }
}

/// Adopts the flow of a record, unless it is in the table, and ends its
/// look-up. To be used for shards that this instance owns or takes over in a
/// handover.
void
AcceptFlowRecord(TrafficState& aState,
                 state::TimePoint aNow,
                 const FlowRecord& aRecord,
                 std::uint32_t aService,
                 std::uint64_t aShard)
{
  const auto found = aState.mFlows.find(aRecord.mKey);
  if (found == aState.mFlows.end() ||
      found->second.mStage == FlowStage::Redirected) {
    AdoptFlow(aState, aNow, aRecord, aService, aShard);
  }
  ResolveLookup(aState, aRecord.mKey, aRecord.mUpstream, true);
}

/// Processes a flow record: removes an ended flow, adopts a flow of a shard
/// that this instance owns, and keeps other records. If this instance is the
/// flow's first owner, it also records a redirect to the shard's owner.
void
HandleFlowRecord(TrafficState& aState,
                 state::TimePoint aNow,
                 const FlowRecord& aRecord)
{
  if (aRecord.mEnded) {
    RemoveEndedFlow(aState, aNow, aRecord.mKey);
    return;
  }
  const auto service = ServiceOfFlow(aState.mIndex, aRecord.mKey);
  const auto shard =
    service
      ? ShardOfUpstream(aState.mIndex, *service, aRecord.mUpstream.mAddress)
      : std::nullopt;
  if (!shard) {
    state::Increment(aState.mCounters, "flow_records_unbound_total");
    return;
  }
  if (IsSelf(aState.mIndex, OwnerOf(aState.mIndex, *shard))) {
    AcceptFlowRecord(aState, aNow, aRecord, *service, *shard);
    return;
  }
  aState.mBackupRecords[aRecord.mKey] = aRecord;
  if (const auto known = aState.mFlows.find(aRecord.mKey);
      IsFirstOwner(aState.mIndex, *service, aRecord.mKey) &&
      (known == aState.mFlows.end() ||
       known->second.mStage == FlowStage::Redirected)) {
    RecordRedirect(aState, aNow, aRecord.mKey, aRecord.mUpstream, *shard);
    ResolveLookup(aState, aRecord.mKey, aRecord.mUpstream, false);
  }
}

/// Applies the reports to their flows.
void
OnMessage(TrafficState& aState,
          state::TimePoint aNow,
          const state::InstanceId&,
          const AnswerReports& aMessage)
{
  for (const auto& report : aMessage.mReports) {
    ApplyAnswerReport(aState, aNow, report);
  }
}

/// Processes each flow record.
void
OnMessage(TrafficState& aState,
          state::TimePoint aNow,
          const state::InstanceId&,
          const FlowRecords& aMessage)
{
  for (const auto& record : aMessage.mRecords) {
    HandleFlowRecord(aState, aNow, record);
  }
}

/// Adopts the flows of a handover batch and acknowledges it. If an upstream is
/// not in the configuration here, the batch is not acknowledged.
void
OnMessage(TrafficState& aState,
          state::TimePoint aNow,
          const state::InstanceId& aFrom,
          const HandoverBatch& aMessage)
{
  for (const auto& record : aMessage.mRecords) {
    const auto service = ServiceOfFlow(aState.mIndex, record.mKey);
    const auto shard =
      service
        ? ShardOfUpstream(aState.mIndex, *service, record.mUpstream.mAddress)
        : std::nullopt;
    if (!shard) {
      // This instance does not have the sender's revision of the configuration
      // yet. The sender keeps the flows and resends the batch, since it
      // receives no acknowledgement.
      state::Increment(aState.mCounters, "handover_batches_refused_total");
      return;
    }
    AcceptFlowRecord(aState, aNow, record, *service, *shard);
  }
  AddAction(aState,
            SendToPeer{ aFrom, HandoverAcknowledgement{ aMessage.mBatch } });
}

/// Removes the flows of a handover batch that its receiver acknowledged.
void
OnMessage(TrafficState& aState,
          state::TimePoint aNow,
          const state::InstanceId& aFrom,
          const HandoverAcknowledgement& aMessage)
{
  OnHandoverAcknowledged(aState, aNow, aFrom, aMessage.mBatch);
}

/// Makes the flows of a shard be reported again in this period.
void
OnMessage(TrafficState& aState,
          state::TimePoint,
          const state::InstanceId&,
          const ReportRequest& aMessage)
{
  ResetReported(aState.mReporter, aMessage.mShardHash);
}

/// Replies with the flow's record if the flow table or a backup record contains
/// the flow's upstream.
void
OnMessage(TrafficState& aState,
          state::TimePoint,
          const state::InstanceId& aFrom,
          const FlowLookup& aMessage)
{
  if (const auto found = aState.mFlows.find(aMessage.mKey);
      found != aState.mFlows.end()) {
    const auto& entry = found->second;
    const bool isLocated = entry.mStage == FlowStage::Established ||
                           (entry.mStage == FlowStage::Redirected &&
                            entry.mUpstream != state::Endpoint{});
    if (!isLocated) {
      return;
    }
    AddAction(
      aState,
      SendToPeer{ aFrom, FlowRecords{ { RecordOf(aMessage.mKey, entry) } } });
    return;
  }
  if (const auto backup = aState.mBackupRecords.find(aMessage.mKey);
      backup != aState.mBackupRecords.end()) {
    AddAction(aState, SendToPeer{ aFrom, FlowRecords{ { backup->second } } });
  }
}

/// Sends the flow records that are due to the backups of their shards.
void
SendDueReplications(TrafficState& aState, state::TimePoint aNow)
{
  const auto replications = PopDueReplications(
    aState.mReplication, aNow, [&](const PendingReplication& aReplication) {
      const auto found = aState.mFlows.find(aReplication.mKey);
      return found != aState.mFlows.end() &&
             found->second.mStage == FlowStage::Established &&
             !found->second.mReplicated;
    });
  std::map<state::InstanceId, FlowRecords> messages;
  for (const auto& replication : replications) {
    const auto* const backup =
      InstanceAtRank(aState.mIndex, replication.mShard, 1);
    if (backup == nullptr) {
      continue;
    }
    if (replication.mEnded) {
      messages[backup->mId].mRecords.push_back(*replication.mEnded);
      continue;
    }
    auto& entry = aState.mFlows.at(replication.mKey);
    entry.mReplicated = true;
    messages[backup->mId].mRecords.push_back(RecordOf(replication.mKey, entry));
  }
  for (auto& [instance, message] : messages) {
    state::Increment(
      aState.mCounters, "flow_copies_sent_total", message.mRecords.size());
    AddAction(aState, SendToPeer{ instance, std::move(message) });
  }
}

/// Sends the collected reports to the owners of their shards; applies those of
/// shards that this instance owns.
void
SendDueReports(TrafficState& aState, state::TimePoint aNow)
{
  for (auto& [shard, message] :
       PopReports(aState.mReporter, aNow, aState.mCounters)) {
    const auto* const owner = OwnerOf(aState.mIndex, shard);
    if (owner == nullptr) {
      continue;
    }
    state::Increment(
      aState.mCounters, "answer_reports_sent_total", message.mReports.size());
    if (IsSelf(aState.mIndex, owner)) {
      OnMessage(aState, aNow, owner->mId, message);
      continue;
    }
    AddAction(aState, SendToPeer{ owner->mId, std::move(message) });
  }
}

/// Sends the pending report requests to all instances that are not dead, and
/// applies them to this instance's own reports.
void
SendReportRequests(TrafficState& aState, state::TimePoint aNow)
{
  if (aState.mReportRequests.empty() || aNow < aState.mNextReportRequest) {
    return;
  }
  aState.mNextReportRequest = aNow + kReportRequestInterval;
  for (const auto shard : std::exchange(aState.mReportRequests, {})) {
    ResetReported(aState.mReporter, shard);
    for (const auto& instance : aState.mIndex.mSnapshot->mInstances) {
      if (!IsSelf(aState.mIndex, &instance) &&
          instance.mState != state::InstanceState::Dead) {
        AddAction(aState, SendToPeer{ instance.mId, ReportRequest{ shard } });
      }
    }
  }
}

} // namespace

void
OnTrafficMessage(TrafficState& aState,
                 state::TimePoint aNow,
                 const state::InstanceId& aFrom,
                 const TrafficMessage& aMessage)
{
  std::visit(
    [&](const auto& aValue) { OnMessage(aState, aNow, aFrom, aValue); },
    aMessage);
}

void
FlushPeerMessages(TrafficState& aState, state::TimePoint aNow)
{
  SendReportRequests(aState, aNow);
  SendDueReplications(aState, aNow);
  SendDueReports(aState, aNow);
}

} // namespace sassafrasknot::coordination
