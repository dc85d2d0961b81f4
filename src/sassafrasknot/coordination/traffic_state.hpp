#ifndef SASSAFRASKNOT_SRC_COORDINATION_TRAFFIC_STATE_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_TRAFFIC_STATE_HPP

#include "sassafrasknot/coordination/answer_reports.hpp"
#include "sassafrasknot/coordination/copy_queue.hpp"
#include "sassafrasknot/coordination/flow_entry.hpp"
#include "sassafrasknot/coordination/flow_route.hpp"
#include "sassafrasknot/coordination/organisation_share.hpp"
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
struct Recovery
{
  state::TimePoint mStarted;
  state::TimePoint mNextProbe;
  std::uint32_t mService = 0;
  std::uint64_t mToken = 0;
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
  std::vector<state::FlowKey> mOpen;
  /// Flows still to send, next one last.
  std::vector<state::FlowKey> mWaiting;
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
  std::set<state::InstanceId> mPrevious;
  std::map<state::Ipv4Address, state::TimePoint> mProgress;
  /// Until when answers may make unknown flows known.
  state::TimePoint mLearnUntil;
  /// When the peers may be asked for reports of idle flows again.
  state::TimePoint mNextReportRequest;
  std::optional<Handover> mHandover;
};

/// When a flow is to be checked.
struct Deadline
{
  state::TimePoint mAt;
  state::FlowKey mKey;

  bool operator>(const Deadline& aOther) const { return mAt > aOther.mAt; }
};

/// State of one traffic core; the functions of the module's other files work
/// on it.
struct TrafficState
{
  SnapshotIndex mIndex;
  FlowTable mFlows;
  std::unordered_map<state::FlowKey, Recovery> mRecoveries;
  std::unordered_map<state::FlowKey, FlowRecord> mBackups;
  std::unordered_map<std::uint64_t, OwnedShard> mShards;
  std::unordered_map<std::uint64_t, state::FlowKey> mQueued;
  /// Shards whose slots or connections were freed during this call.
  std::set<std::uint64_t> mFreed;
  /// Shards whose answers all instances are to report again.
  std::set<std::uint64_t> mReportRequests;
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>>
    mDeadlines;
  CopyQueue mCopies;
  AnswerReporter mReporter;
  OrganisationShares mShares;
  /// New flows a second that this core takes before it is overloaded.
  TokenBucket mNewFlows;
  state::Counters mCounters;
  TrafficActions mActions;
  std::uint64_t mNextToken = 1;
  std::uint64_t mNextBatch = 1;
  state::TimePoint mLastCall;
  /// Until when a stall of this thread makes it drop packets.
  state::TimePoint mDistrustedUntil;
  state::TimePoint mNextFlush;
  state::TimePoint mNextReportRequest;
};

/// Two reporting periods and the time of membership to agree.
constexpr auto kLearnTime = std::chrono::seconds{ 60 };

/// Adds an action.
template<typename Action>
void
Act(TrafficState& aState, Action aAction)
{
  aState.mActions.emplace_back(std::move(aAction));
}

/// Drops the packet at hand and counts the reason.
inline void
DropPacket(TrafficState& aState, std::string_view aReason)
{
  state::Increment(aState.mCounters, aReason);
  Act(aState, Drop{ std::string(aReason) });
}

/// Returns the account of a shard, made at the first use.
OwnedShard&
AccountOf(TrafficState& aState, std::uint64_t aShard, state::TimePoint aNow);

/// Plans the next check of a flow.
void
CheckAt(TrafficState& aState,
        const state::FlowKey& aKey,
        FlowEntry& aEntry,
        state::TimePoint aAt);

/// Whether new flows may be placed and queued ones sent.
bool
MayPlace(const TrafficState& aState, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
