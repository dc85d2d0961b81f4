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

/// A flow whose record, or the removal of it, is to be sent to the backup of
/// its shard.
struct PendingReplication
{
  state::FlowKey mKey;
  state::TimePoint mDue;
  /// The record of a flow that has ended. Absent for an open flow, whose record
  /// is made from the flow table when it is sent.
  std::optional<FlowRecord> mEnded;
  std::uint64_t mShard = 0;
};

/// Flow records that wait for their due time and for the control budget (the
/// bandwidth for messages to other instances, 5 KB/s per instance). Flows with
/// work are due earlier than feeds and have a queue of their own, so that each
/// queue is in order of due times.
struct ReplicationQueue
{
  std::deque<PendingReplication> mWork;
  std::deque<PendingReplication> mFeeds;
  TokenBucket mBudget;
};

/// Makes an empty queue.
ReplicationQueue
MakeReplicationQueue(state::TimePoint aNow);

/// Queues the record of a flow that is off its default upstream or does work.
/// Other flows need no replication: the table gives their upstream.
/// @param aShard hash of the shard
void
QueueReplication(ReplicationQueue& aQueue,
                 const state::FlowKey& aKey,
                 std::uint64_t aShard,
                 state::FlowClass aFlowClass,
                 state::TimePoint aNow);

/// Queues the removal of the record of a replicated flow that has ended.
/// @param aShard hash of the shard
void
QueueRemoval(ReplicationQueue& aQueue,
             const FlowRecord& aRecord,
             std::uint64_t aShard,
             state::TimePoint aNow);

/// Removes and returns the records that are due and within the budget: work
/// first, then feeds, each oldest first.
/// @param aIsCurrent returns whether an open flow still has to be replicated;
/// if not, it is removed from the queue and uses no budget
std::vector<PendingReplication>
PopDueReplications(
  ReplicationQueue& aQueue,
  state::TimePoint aNow,
  const std::function<bool(const PendingReplication&)>& aIsCurrent);

} // namespace sassafrasknot::coordination

#endif
