#ifndef SASSAFRASKNOT_SRC_COORDINATION_REPLICATION_QUEUE_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_REPLICATION_QUEUE_HPP

#include "sassafrasknot/coordination/token_bucket.hpp"
#include "sassafrasknot/coordination/traffic_message.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace sassafrasknot::coordination {

/// A flow whose record is to be copied to another instance.
struct PendingReplication
{
  state::FlowKey mKey;
  state::TimePoint mDue;
  /// Absent: the backup of the flow's shard; the flow is looked up when the
  /// copy is sent. Present: the record of a flow that has ended.
  std::optional<FlowRecord> mEnded;
  std::uint64_t mShard = 0;
};

/// Copies that wait for their time and for the control budget. Flows with work
/// are due earlier than feeds and have a queue of their own, so that each
/// queue is in order of its due times.
struct ReplicationQueue
{
  std::deque<PendingReplication> mWork;
  std::deque<PendingReplication> mFeeds;
  TokenBucket mBudget;
};

ReplicationQueue
MakeReplicationQueue(state::TimePoint aNow);

/// Queues the copy of a flow that is an exception or does work.
void
QueueReplication(ReplicationQueue& aQueue,
                 const state::FlowKey& aKey,
                 std::uint64_t aShard,
                 state::FlowClass aFlowClass,
                 state::TimePoint aNow);

/// Queues the news that a copied flow has ended.
void
QueueRemoval(ReplicationQueue& aQueue,
             const FlowRecord& aRecord,
             std::uint64_t aShard,
             state::TimePoint aNow);

/// Takes the copies that are due and that the budget allows, oldest first.
/// @param aIsCurrent says whether a flow still needs its copy; one that does
/// not is dropped without cost
std::vector<PendingReplication>
PopDueReplications(
  ReplicationQueue& aQueue,
  state::TimePoint aNow,
  const std::function<bool(const PendingReplication&)>& aIsCurrent);

} // namespace sassafrasknot::coordination

#endif
