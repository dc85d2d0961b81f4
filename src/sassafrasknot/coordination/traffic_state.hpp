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

/// A flow whose upstream is being looked up.
struct PendingLookup
{
  state::TimePoint mStarted;
  state::TimePoint mNextProbe;
  std::uint32_t mService = 0;
  std::uint64_t mHoldId = 0;
  /// Sequence numbers of the caller's last segment, for probes.
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
  std::uint32_t mProbes = 0;
  std::vector<state::Endpoint> mCandidates;
};

/// Entries on their way to the next owner of a shard.
struct Handover
{
  state::InstanceId mTo;
  std::uint64_t mBatch = 0;
  /// When the open batch was sent, or zero.
  state::TimePoint mSent;
  std::vector<state::FlowKey> mUnacknowledged;
  /// Flows still to send, next one last.
  std::vector<state::FlowKey> mUnsent;
  /// Shared with the shard's other batches.
  TokenBucket mBudget;
};

/// A shard whose flows this instance accounts.
struct OwnedShard
{
  ShardPointer mShard;
  std::uint32_t mService = 0;
  state::OrganisationId mOrganisation;
  std::size_t mFlows = 0;
  /// Instances that owned the shard before, asked for unknown flows.
  std::set<state::InstanceId> mPreviousOwners;
  std::map<state::Ipv4Address, state::TimePoint> mLastProgress;
  /// Until when answers may make unknown flows known.
  state::TimePoint mAdoptUntil;
  /// When the peers may be asked for reports of idle flows again.
  state::TimePoint mNextReportRequest;
  std::optional<Handover> mHandover;
};

/// When a flow is to be checked.
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
  std::unordered_map<state::FlowKey, FlowRecord> mBackupRecords;
  std::unordered_map<std::uint64_t, OwnedShard> mShards;
  std::unordered_map<std::uint64_t, state::FlowKey> mQueuedFlows;
  /// Shards whose slots or connections were freed during this call.
  std::set<std::uint64_t> mFreedShards;
  /// Shards whose answers all instances are to report again.
  std::set<std::uint64_t> mReportRequests;
  std::
    priority_queue<ScheduledCheck, std::vector<ScheduledCheck>, std::greater<>>
      mScheduledChecks;
  ReplicationQueue mReplication;
  AnswerReporter mReporter;
  OrganisationShares mShares;
  /// New flows a second that this core takes before it is overloaded.
  TokenBucket mNewFlowBucket;
  state::Counters mCounters;
  TrafficActions mActions;
  std::uint64_t mNextToken = 1;
  std::uint64_t mNextBatch = 1;
  state::TimePoint mLastCall;
  /// Until when a stall of this thread makes it drop packets.
  state::TimePoint mUntrustedUntil;
  state::TimePoint mNextFlush;
  state::TimePoint mNextReportRequest;
};

/// Two reporting periods and the time of membership to agree.
constexpr auto kAdoptionWindow = std::chrono::seconds{ 60 };

/// Adds an action.
template<typename Action>
void
AddAction(TrafficState& aState, Action aAction)
{
  aState.mActions.emplace_back(std::move(aAction));
}

/// Drops the packet at hand and counts the reason.
inline void
DropPacket(TrafficState& aState, std::string_view aReason)
{
  state::Increment(aState.mCounters, aReason);
  AddAction(aState, Drop{ std::string(aReason) });
}

/// Returns the account of a shard, made at the first use.
OwnedShard&
FindOrAddOwnedShard(TrafficState& aState,
                    std::uint64_t aShard,
                    state::TimePoint aNow);

/// Plans the next check of a flow.
void
ScheduleCheck(TrafficState& aState,
              const state::FlowKey& aKey,
              FlowEntry& aEntry,
              state::TimePoint aAt);

/// Whether new flows may be placed and queued ones sent.
bool
MayPlace(const TrafficState& aState, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
