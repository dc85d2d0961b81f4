#include "sassafrasknot/coordination/peer_messages.hpp"

#include "sassafrasknot/coordination/flow_lifecycle.hpp"
#include "sassafrasknot/coordination/handover.hpp"
#include "sassafrasknot/coordination/recovery.hpp"
#include "sassafrasknot/coordination/upstream_packets.hpp"

#include <map>

namespace sassafrasknot::coordination {
namespace {

/// At most one request per shard and interval, since each goes to all
/// instances.
constexpr auto kReportRequestInterval = std::chrono::milliseconds{ 500 };

/// Drops what is known of a flow that another instance says has ended.
void
ForgetEnded(TrafficState& aState,
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

/// Takes a flow over whose shard belongs to this instance.
void
TakeOver(TrafficState& aState,
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

void
OnRecord(TrafficState& aState, state::TimePoint aNow, const FlowRecord& aRecord)
{
  if (aRecord.mEnded) {
    ForgetEnded(aState, aNow, aRecord.mKey);
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
    TakeOver(aState, aNow, aRecord, *service, *shard);
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

void
OnMessage(TrafficState& aState,
          state::TimePoint aNow,
          const state::InstanceId&,
          const FlowRecords& aMessage)
{
  for (const auto& record : aMessage.mRecords) {
    OnRecord(aState, aNow, record);
  }
}

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
      // This instance is behind in configuration: without its confirmation
      // the sender keeps the flows and sends the batch again.
      state::Increment(aState.mCounters, "handover_batches_refused_total");
      return;
    }
    TakeOver(aState, aNow, record, *service, *shard);
  }
  AddAction(aState,
            SendToPeer{ aFrom, HandoverAcknowledgement{ aMessage.mBatch } });
}

void
OnMessage(TrafficState& aState,
          state::TimePoint aNow,
          const state::InstanceId& aFrom,
          const HandoverAcknowledgement& aMessage)
{
  OnHandoverAcknowledged(aState, aNow, aFrom, aMessage.mBatch);
}

void
OnMessage(TrafficState& aState,
          state::TimePoint,
          const state::InstanceId&,
          const ReportRequest& aMessage)
{
  ResetReported(aState.mReporter, aMessage.mShardHash);
}

void
OnMessage(TrafficState& aState,
          state::TimePoint,
          const state::InstanceId& aFrom,
          const FlowLookup& aMessage)
{
  if (const auto found = aState.mFlows.find(aMessage.mKey);
      found != aState.mFlows.end()) {
    const auto& entry = found->second;
    const bool located = entry.mStage == FlowStage::Established ||
                         (entry.mStage == FlowStage::Redirected &&
                          entry.mUpstream != state::Endpoint{});
    if (!located) {
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

void
FlushCopies(TrafficState& aState, state::TimePoint aNow)
{
  const auto copies = PopDueReplications(
    aState.mReplication, aNow, [&](const PendingReplication& aCopy) {
      const auto found = aState.mFlows.find(aCopy.mKey);
      return found != aState.mFlows.end() &&
             found->second.mStage == FlowStage::Established &&
             !found->second.mReplicated;
    });
  std::map<state::InstanceId, FlowRecords> messages;
  for (const auto& copy : copies) {
    const auto* const backup = InstanceAtRank(aState.mIndex, copy.mShard, 1);
    if (backup == nullptr) {
      continue;
    }
    if (copy.mEnded) {
      messages[backup->mId].mRecords.push_back(*copy.mEnded);
      continue;
    }
    auto& entry = aState.mFlows.at(copy.mKey);
    entry.mReplicated = true;
    messages[backup->mId].mRecords.push_back(RecordOf(copy.mKey, entry));
  }
  for (auto& [instance, message] : messages) {
    state::Increment(
      aState.mCounters, "flow_copies_sent_total", message.mRecords.size());
    AddAction(aState, SendToPeer{ instance, std::move(message) });
  }
}

void
FlushReports(TrafficState& aState, state::TimePoint aNow)
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

void
FlushReportRequests(TrafficState& aState, state::TimePoint aNow)
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
  FlushReportRequests(aState, aNow);
  FlushCopies(aState, aNow);
  FlushReports(aState, aNow);
}

} // namespace sassafrasknot::coordination
