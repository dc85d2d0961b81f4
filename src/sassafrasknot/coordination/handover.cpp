#include "sassafrasknot/coordination/handover.hpp"

#include "sassafrasknot/coordination/flow_lifecycle.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// Batches are sent over gRPC, so that they may exceed a datagram of 1,400
/// bytes.
constexpr std::size_t kBatchRecords = 64;
/// Size of an encoded flow record, in bytes.
constexpr double kBytesPerRecord = 24;
/// Part of the control budget of an instance (5 KB/s) that handovers may use.
/// It is larger than that of replication, since a stopping instance neither
/// places nor replicates flows.
constexpr double kHandoverBytesPerSecond = 4000;
constexpr double kHandoverBurstBytes = 32000;
constexpr auto kResendInterval = std::chrono::seconds{ 1 };

/// Returns the priority of a flow in a handover (higher ones are sent first):
/// work, since its payload must never reach an unverified upstream, then feeds
/// off their default upstream, then other feeds.
int
PriorityOf(const FlowEntry& aEntry)
{
  if (aEntry.mFlowClass != state::FlowClass::Feed) {
    return 2;
  }
  return aEntry.mOffDefault ? 1 : 0;
}

/// Returns the established flows of a shard, the one to be sent first last.
std::vector<state::FlowKey>
FlowsToHandOver(const TrafficState& aState, std::uint64_t aShard)
{
  std::vector<std::pair<int, state::FlowKey>> flows;
  for (const auto& [key, entry] : aState.mFlows) {
    if (entry.mShard == aShard && entry.mStage == FlowStage::Established) {
      flows.emplace_back(PriorityOf(entry), key);
    }
  }
  std::ranges::sort(flows);
  std::vector<state::FlowKey> keys;
  keys.reserve(flows.size());
  for (const auto& [priority, key] : flows) {
    keys.push_back(key);
  }
  return keys;
}

/// Removes the queued flows of a shard. Their callers retransmit the opening
/// segment, which is then processed by the new owner.
void
RemoveQueuedFlows(TrafficState& aState,
                  state::TimePoint aNow,
                  std::uint64_t aShard)
{
  std::vector<state::FlowKey> keys;
  for (const auto& [holdId, key] : aState.mQueuedFlows) {
    if (aState.mFlows.at(key).mShard == aShard) {
      keys.push_back(key);
    }
  }
  for (const auto& key : keys) {
    RemoveFlowEntry(aState, aNow, key);
  }
}

/// Makes the records of those flows that are still established.
std::vector<FlowRecord>
RecordsOf(const TrafficState& aState, const std::vector<state::FlowKey>& aKeys)
{
  std::vector<FlowRecord> records;
  for (const auto& key : aKeys) {
    if (const auto found = aState.mFlows.find(key);
        found != aState.mFlows.end() &&
        found->second.mStage == FlowStage::Established) {
      records.push_back(RecordOf(key, found->second));
    }
  }
  return records;
}

/// Sends the unacknowledged flows of a handover as a batch.
void
SendBatch(TrafficState& aState, state::TimePoint aNow, Handover& aHandover)
{
  aHandover.mSent = aNow;
  state::Increment(aState.mCounters, "handover_batches_sent_total");
  AddAction(aState,
            SendToPeer{
              aHandover.mTo,
              HandoverBatch{ aHandover.mBatch,
                             aHandover.mUnsent.empty(),
                             RecordsOf(aState, aHandover.mUnacknowledged) } });
}

/// Moves the next flows from unsent to unacknowledged and sends them, if the
/// budget allows it.
void
SendNextBatch(TrafficState& aState, state::TimePoint aNow, Handover& aHandover)
{
  const auto count = std::min(kBatchRecords, aHandover.mUnsent.size());
  if (count == 0 || !TryConsume(aHandover.mBudget,
                                kBytesPerRecord * static_cast<double>(count),
                                aNow)) {
    return;
  }
  aHandover.mBatch = aState.mNextBatch++;
  aHandover.mUnacknowledged.assign(aHandover.mUnsent.end() -
                                     static_cast<std::ptrdiff_t>(count),
                                   aHandover.mUnsent.end());
  aHandover.mUnsent.resize(aHandover.mUnsent.size() - count);
  SendBatch(aState, aNow, aHandover);
}

} // namespace

void
UpdateHandovers(TrafficState& aState, state::TimePoint aNow)
{
  const auto shardsToHandOver =
    std::ranges::count_if(aState.mShards, [&](const auto& aEntry) {
      return !IsSelf(aState.mIndex, OwnerOf(aState.mIndex, aEntry.first));
    });
  for (auto& [hash, ownedShard] : aState.mShards) {
    const auto* const owner = OwnerOf(aState.mIndex, hash);
    if (owner == nullptr || IsSelf(aState.mIndex, owner)) {
      ownedShard.mHandover.reset();
      continue;
    }
    if (ownedShard.mHandover && ownedShard.mHandover->mTo == owner->mId) {
      continue;
    }
    RemoveQueuedFlows(aState, aNow, hash);
    // The shards that are handed over at the same time share the budget.
    const double budgetShare = 1.0 / static_cast<double>(shardsToHandOver);
    ownedShard.mHandover =
      Handover{ owner->mId,
                0,
                {},
                {},
                FlowsToHandOver(aState, hash),
                MakeTokenBucket(kHandoverBytesPerSecond * budgetShare,
                                std::max(kHandoverBurstBytes * budgetShare,
                                         kBytesPerRecord * kBatchRecords),
                                aNow) };
  }
}

void
ContinueHandovers(TrafficState& aState, state::TimePoint aNow)
{
  for (auto& [hash, ownedShard] : aState.mShards) {
    if (!ownedShard.mHandover) {
      continue;
    }
    auto& handover = *ownedShard.mHandover;
    if (handover.mUnacknowledged.empty()) {
      if (handover.mUnsent.empty() && ownedShard.mFlows > 0) {
        // Flows that were established or adopted since the handover started.
        handover.mUnsent = FlowsToHandOver(aState, hash);
      }
      SendNextBatch(aState, aNow, handover);
    } else if (aNow - handover.mSent >= kResendInterval) {
      SendBatch(aState, aNow, handover);
    }
  }
}

void
OnHandoverAcknowledged(TrafficState& aState,
                       state::TimePoint aNow,
                       const state::InstanceId& aFrom,
                       std::uint64_t aBatch)
{
  for (auto& [hash, ownedShard] : aState.mShards) {
    if (!ownedShard.mHandover || ownedShard.mHandover->mTo != aFrom ||
        ownedShard.mHandover->mBatch != aBatch ||
        ownedShard.mHandover->mUnacknowledged.empty()) {
      continue;
    }
    const auto acknowledged =
      std::exchange(ownedShard.mHandover->mUnacknowledged, {});
    for (const auto& key : acknowledged) {
      RemoveFlowEntry(aState, aNow, key);
    }
    state::Increment(
      aState.mCounters, "flows_handed_over_total", acknowledged.size());
    return;
  }
}

bool
HandoversDone(const TrafficState& aState)
{
  return std::ranges::all_of(aState.mShards, [&](const auto& aEntry) {
    const auto* const owner = OwnerOf(aState.mIndex, aEntry.first);
    return aEntry.second.mFlows == 0 || owner == nullptr;
  });
}

} // namespace sassafrasknot::coordination
