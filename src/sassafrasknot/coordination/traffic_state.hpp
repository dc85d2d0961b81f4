#ifndef SASSAFRASKNOT_SRC_COORDINATION_TRAFFIC_STATE_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_TRAFFIC_STATE_HPP

#include "sassafrasknot/coordination/answer_reports.hpp"
#include "sassafrasknot/coordination/flow_entry.hpp"
#include "sassafrasknot/coordination/flow_shards.hpp"
#include "sassafrasknot/coordination/organisation_share.hpp"
#include "sassafrasknot/coordination/replication_queue.hpp"
#include "sassafrasknot/coordination/shard.hpp"
#include "sassafrasknot/coordination/snapshot_index.hpp"
#include "sassafrasknot/coordination/traffic_core.hpp"

#include <cstdint>
#include <map>
#include <queue>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sassafrasknot::coordination {

/// Look-up of the upstream of an unknown flow: a FlowLookup requests the flow's
/// record from other instances, and keepalive probes are sent to the candidate
/// upstreams, those that may have the flow.
struct PendingLookup
{
  state::TimePoint mStarted;
  state::TimePoint mNextProbe;
  /// Index into Snapshot::mServices.
  std::uint32_t mService = 0;
  /// Id of the caller's held packet.
  std::uint64_t mHoldId = 0;
  /// Sequence and acknowledgement number of the caller's last segment, for
  /// keepalive probes.
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
  /// How often the candidates were probed.
  std::uint32_t mProbes = 0;
  /// Upstreams that may have the flow; one that resets it is removed.
  std::vector<state::Endpoint> mCandidates;
};

/// Handover of a shard: its flow records are sent in batches to the next owner.
/// One batch at a time is unacknowledged; its flows stay in the table until the
/// acknowledgement arrives.
struct Handover
{
  /// Next owner of the shard.
  state::InstanceId mTo;
  /// Number of the last batch that was sent.
  std::uint64_t mBatch = 0;
  /// When the unacknowledged batch was last sent, or zero.
  state::TimePoint mSent;
  /// Flows of the batch that was sent and is not acknowledged yet.
  std::vector<state::FlowKey> mUnacknowledged;
  /// Flows still to send, next one last.
  std::vector<state::FlowKey> mUnsent;
  /// This shard's part of the bandwidth for handovers, in bytes.
  TokenBucket mBudget;
};

/// A shard whose connections, slots and queue this instance manages: it owns
/// the shard, or has owned it and still holds flows of it.
struct OwnedShard
{
  ShardPointer mShard;
  /// Index into Snapshot::mServices.
  std::uint32_t mService = 0;
  state::OrganisationId mOrganisation;
  /// Flows that hold a connection of one of the shard's upstreams.
  std::size_t mFlows = 0;
  /// Earlier owners of the shard; look-ups of unknown flows are sent to them.
  std::set<state::InstanceId> mPreviousOwners;
  /// When each upstream last accepted a flow or answered one.
  std::map<state::Ipv4Address, state::TimePoint> mLastProgress;
  /// Until when a packet of an upstream may make this instance adopt an unknown
  /// flow.
  state::TimePoint mAdoptUntil;
  /// When a report request for idle flows of this shard may be sent again.
  state::TimePoint mNextReportRequest;
  std::optional<Handover> mHandover;
};

/// A check of a flow that is due at a given time. It is skipped if the flow's
/// mNextCheck has changed meanwhile.
struct ScheduledCheck
{
  state::TimePoint mAt;
  state::FlowKey mKey;

  bool operator>(const ScheduledCheck& aOther) const
  {
    return mAt > aOther.mAt;
  }
};

/// State of one traffic core; the functions of the module's other files work
/// on it.
struct TrafficState
{
  SnapshotIndex mIndex;
  FlowTable mFlows;
  std::unordered_map<state::FlowKey, PendingLookup> mPendingLookups;
  /// Records of flows of other owners, kept as backup or first owner.
  std::unordered_map<state::FlowKey, FlowRecord> mBackupRecords;
  /// Shard hash to shard.
  std::unordered_map<std::uint64_t, OwnedShard> mShards;
  /// Flows that wait for a slot, by the id of their held opening packet.
  std::unordered_map<std::uint64_t, state::FlowKey> mQueuedFlows;
  /// Shards whose queues are served at the end of this call: a flow of theirs
  /// was released, or a tick serves all shards.
  std::set<std::uint64_t> mShardsToServe;
  /// Shards for which report requests are to be sent to all instances.
  std::set<std::uint64_t> mReportRequests;
  std::
    priority_queue<ScheduledCheck, std::vector<ScheduledCheck>, std::greater<>>
      mScheduledChecks;
  ReplicationQueue mReplication;
  AnswerReporter mReporter;
  OrganisationShares mShares;
  /// Limits the new flows per second; beyond it, this core is overloaded and
  /// admits flows by the organisations' shares.
  TokenBucket mNewFlowBucket;
  state::Counters mCounters;
  /// Actions that the current call returns.
  TrafficActions mActions;
  std::uint64_t mNextHoldId = 1;
  std::uint64_t mNextBatch = 1;
  /// When the core was last called, to detect stalls.
  state::TimePoint mLastCall;
  /// Until when all packets are dropped after a stall of this thread.
  state::TimePoint mUntrustedUntil;
  /// When flow records and reports are sent next.
  state::TimePoint mNextFlush;
  /// When report requests may be sent next.
  state::TimePoint mNextReportRequest;
};

/// How long after a change of its owner a shard's flows may be adopted from
/// packets of upstreams: two reporting periods and the time until all instances
/// have the same membership.
constexpr auto kAdoptionWindow = std::chrono::seconds{ 60 };

/// Adds an action to those that the current call returns.
template<typename Action>
void
AddAction(TrafficState& aState, Action aAction)
{
  aState.mActions.emplace_back(std::move(aAction));
}

/// Drops the packet that is being processed and increments the counter aReason.
inline void
DropPacket(TrafficState& aState, std::string_view aReason)
{
  state::Increment(aState.mCounters, aReason);
  AddAction(aState, Drop{ std::string(aReason) });
}

/// Returns the state of a shard; adds it if it is missing.
/// @param aShard hash of the shard
OwnedShard&
FindOrAddOwnedShard(TrafficState& aState,
                    std::uint64_t aShard,
                    state::TimePoint aNow);

/// Schedules the next check of a flow; it replaces an earlier one.
void
ScheduleCheck(TrafficState& aState,
              const state::FlowKey& aKey,
              FlowEntry& aEntry,
              state::TimePoint aAt);

/// Returns whether flows may be placed: the snapshot is trusted and
/// mUntrustedUntil, which a stall of this thread sets, has passed.
bool
MayPlace(const TrafficState& aState, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
