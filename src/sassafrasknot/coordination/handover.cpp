#include "sassafrasknot/coordination/handover.hpp"

#include "sassafrasknot/coordination/flow_lifecycle.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// Two batches fill one datagram's worth of 1,400 bytes; gRPC sends them.
constexpr std::size_t kBatchRecords = 64;
constexpr double kRecordBytes = 24;
/// What a stopping node may use of its 5 KB/s: it places nothing any more and
/// copies nothing.
constexpr double kHandoverBytesPerSecond = 4000;
constexpr double kHandoverBurstBytes = 32000;
constexpr auto kResendInterval = std::chrono::seconds{ 1 };

/// Work first, since payload must never reach an unverified upstream, then
/// exceptions, then flows in their default place; the last is sent first.
int
PriorityOf(const FlowEntry& aEntry)
{
  if (aEntry.mFlowClass != state::FlowClass::Feed) {
    return 2;
  }
  return aEntry.mOffDefault ? 1 : 0;
}

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

/// Forgets the queued flows of a shard; their callers repeat the opening
/// segment, which then reaches the new owner.
void
ForgetQueued(TrafficState& aState, state::TimePoint aNow, std::uint64_t aShard)
{
  std::vector<state::FlowKey> keys;
  for (const auto& [token, key] : aState.mQueuedFlows) {
    if (aState.mFlows.at(key).mShard == aShard) {
      keys.push_back(key);
    }
  }
  for (const auto& key : keys) {
    RemoveFlowEntry(aState, aNow, key);
  }
}

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

void
NextBatch(TrafficState& aState, state::TimePoint aNow, Handover& aHandover)
{
  const auto count = std::min(kBatchRecords, aHandover.mUnsent.size());
  if (count == 0 || !TryConsume(aHandover.mBudget,
                                kRecordBytes * static_cast<double>(count),
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
  const auto leaving =
    std::ranges::count_if(aState.mShards, [&](const auto& aShard) {
      return !IsSelf(aState.mIndex, OwnerOf(aState.mIndex, aShard.first));
    });
  for (auto& [hash, owned] : aState.mShards) {
    const auto* const owner = OwnerOf(aState.mIndex, hash);
    if (owner == nullptr || IsSelf(aState.mIndex, owner)) {
      owned.mHandover.reset();
      continue;
    }
    if (owned.mHandover && owned.mHandover->mTo == owner->mId) {
      continue;
    }
    ForgetQueued(aState, aNow, hash);
    // The shards that are handed over at the same time share the budget.
    const double share = 1.0 / static_cast<double>(leaving);
    owned.mHandover =
      Handover{ owner->mId,
                0,
                {},
                {},
                FlowsToHandOver(aState, hash),
                MakeTokenBucket(kHandoverBytesPerSecond * share,
                                std::max(kHandoverBurstBytes * share,
                                         kRecordBytes * kBatchRecords),
                                aNow) };
  }
}

void
ContinueHandovers(TrafficState& aState, state::TimePoint aNow)
{
  for (auto& [hash, owned] : aState.mShards) {
    if (!owned.mHandover) {
      continue;
    }
    auto& handover = *owned.mHandover;
    if (handover.mUnacknowledged.empty()) {
      if (handover.mUnsent.empty() && owned.mFlows > 0) {
        // Flows that were opening or learned meanwhile.
        handover.mUnsent = FlowsToHandOver(aState, hash);
      }
      NextBatch(aState, aNow, handover);
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
  for (auto& [hash, owned] : aState.mShards) {
    if (!owned.mHandover || owned.mHandover->mTo != aFrom ||
        owned.mHandover->mBatch != aBatch ||
        owned.mHandover->mUnacknowledged.empty()) {
      continue;
    }
    const auto taken = std::exchange(owned.mHandover->mUnacknowledged, {});
    for (const auto& key : taken) {
      RemoveFlowEntry(aState, aNow, key);
    }
    state::Increment(aState.mCounters, "flows_handed_over_total", taken.size());
    return;
  }
}

bool
HandoversDone(const TrafficState& aState)
{
  return std::ranges::all_of(aState.mShards, [&](const auto& aShard) {
    const auto* const owner = OwnerOf(aState.mIndex, aShard.first);
    return aShard.second.mFlows == 0 || owner == nullptr;
  });
}

} // namespace sassafrasknot::coordination
