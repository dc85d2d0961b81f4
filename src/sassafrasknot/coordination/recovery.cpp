#include "sassafrasknot/coordination/recovery.hpp"

#include "sassafrasknot/coordination/flow_lifecycle.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// An answer of a peer takes 1 to 2 ms between data centres; by then the
/// candidates are probed.
constexpr auto kLookupTimeout = std::chrono::milliseconds{ 50 };
constexpr auto kProbeInterval = std::chrono::milliseconds{ 500 };
/// A reset that is lost once is seen after the next probe.
constexpr std::uint32_t kProbesToSettle = 2;
/// After this the caller is reset, so that it reconnects instead of hanging.
constexpr auto kRecoveryTimeout = std::chrono::seconds{ 5 };
/// The same while a data centre of the flow's shard is cut off. A
/// caller that hangs for longer is worse off than one that reconnects to this
/// side.
constexpr auto kCutOffTimeout = std::chrono::seconds{ 20 };
/// Bounds the state that a flood of segments of unknown flows can take.
constexpr std::size_t kMostRecoveries = 20000;

void
AddTarget(const TrafficState& aState,
          std::set<state::InstanceId>& aTargets,
          const state::InstanceView* aInstance)
{
  if (aInstance != nullptr && !IsSelf(aState.mIndex, aInstance) &&
      aInstance->mState != state::InstanceState::Dead) {
    aTargets.insert(aInstance->mId);
  }
}

/// Lists the instances that may know a flow: earlier owners of its first shard,
/// instances of that data centre that are leaving, the next in rendezvous
/// order, and the owners of the flow's next shards.
std::set<state::InstanceId>
LookupTargets(const TrafficState& aState,
              std::uint32_t aService,
              const state::FlowKey& aKey,
              const std::vector<RankedShard>& aRoute)
{
  std::set<state::InstanceId> targets;
  const auto& shard = *aRoute.front().mShard;
  for (std::size_t rank = 1; rank < kShardsPerFlow; ++rank) {
    AddTarget(
      aState, targets, InstanceAtRank(aState.mIndex, shard.mHash, rank));
  }
  for (const auto& instance : aState.mIndex.mSnapshot->mInstances) {
    if (instance.mState == state::InstanceState::Leaving &&
        std::ranges::binary_search(shard.mDataCentres, instance.mDataCentre)) {
      AddTarget(aState, targets, &instance);
    }
  }
  if (const auto owned = aState.mShards.find(shard.mHash);
      owned != aState.mShards.end()) {
    const auto& instances = aState.mIndex.mSnapshot->mInstances;
    for (const auto& previous : owned->second.mPreviousOwners) {
      if (const auto found = aState.mIndex.mInstances.find(previous.mValue);
          found != aState.mIndex.mInstances.end()) {
        AddTarget(aState, targets, &instances[found->second]);
      }
    }
  }
  for (std::size_t step = 1; step < aRoute.size(); ++step) {
    AddTarget(aState, targets, aRoute[step].mOwner);
  }
  // A change of the table may have moved the flow's first shard.
  for (const auto& candidate :
       CandidateUpstreams(aState.mIndex, aService, aKey)) {
    if (const auto candidateShard =
          ShardOfUpstream(aState.mIndex, aService, candidate.mAddress)) {
      AddTarget(aState, targets, OwnerOf(aState.mIndex, *candidateShard));
    }
  }
  return targets;
}

void
SendLookups(TrafficState& aState,
            std::uint32_t aService,
            const state::FlowKey& aKey)
{
  const auto route =
    RankedShardsOfFlow(aState.mIndex, aService, state::Hash(aKey));
  if (route.empty()) {
    return;
  }
  for (const auto& target : LookupTargets(aState, aService, aKey, route)) {
    AddAction(aState, SendToPeer{ target, FlowLookup{ aKey } });
  }
}

/// Returns how long a look-up may take: longer while a data centre of the
/// flow's shard is cut off, since the flow may be there.
state::Duration
TimeoutOf(const TrafficState& aState,
          const PendingLookup& aRecovery,
          const state::FlowKey& aKey)
{
  const auto route =
    RankedShardsOfFlow(aState.mIndex, aRecovery.mService, state::Hash(aKey));
  const bool cut = route.empty() ||
                   std::ranges::any_of(route.front().mShard->mUpstreams,
                                       [](const state::TableUpstream& aEntry) {
                                         return !aEntry.mReachable;
                                       });
  return cut ? state::Duration{ kCutOffTimeout }
             : state::Duration{ kRecoveryTimeout };
}

void
StartRecovery(TrafficState& aState,
              state::TimePoint aNow,
              const PacketEvent& aPacket,
              std::uint32_t aService)
{
  const auto& event = aPacket.mFlow;
  PendingLookup recovery;
  recovery.mStarted = aNow;
  recovery.mNextProbe = aNow + kLookupTimeout;
  recovery.mService = aService;
  recovery.mHoldId = aState.mNextToken++;
  recovery.mSequence = event.mSequence;
  recovery.mAcknowledged = event.mAcknowledged;
  recovery.mCandidates =
    CandidateUpstreams(aState.mIndex, aService, event.mKey);
  SendLookups(aState, aService, event.mKey);
  aState.mPendingLookups[event.mKey] = recovery;
  state::Increment(aState.mCounters, "flow_lookups_total");
  AddAction(aState, Hold{ recovery.mHoldId });
}

/// Uses the record of a flow that this instance holds as backup, and sends the
/// packet at hand to the flow's upstream or to the owner of its shard.
/// @return false if it holds none that can be used
bool
RecoverFromBackup(TrafficState& aState,
                  state::TimePoint aNow,
                  const PacketEvent& aPacket,
                  std::uint32_t aService)
{
  const auto backup = aState.mBackupRecords.find(aPacket.mFlow.mKey);
  if (backup == aState.mBackupRecords.end()) {
    return false;
  }
  const auto record = backup->second;
  const auto shard =
    ShardOfUpstream(aState.mIndex, aService, record.mUpstream.mAddress);
  const auto* const owner = shard ? OwnerOf(aState.mIndex, *shard) : nullptr;
  if (owner == nullptr ||
      !IsBoundToService(aState.mIndex, aService, record.mUpstream)) {
    return false;
  }
  if (IsSelf(aState.mIndex, owner)) {
    aState.mBackupRecords.erase(backup);
    AdoptFlow(aState, aNow, record, aService, *shard);
    state::Increment(aState.mCounters, "flows_recovered_from_backup_total");
    AddAction(aState, SendToUpstream{ record.mUpstream });
    return true;
  }
  if (HasForwarded(aPacket.mHops, owner->mId) ||
      aPacket.mHops.size() >= kMaxHops) {
    return false;
  }
  RecordRedirect(aState, aNow, record.mKey, record.mUpstream, *shard);
  AddAction(aState, Forward{ owner->mId });
  return true;
}

void
ProbeCandidates(TrafficState& aState,
                state::TimePoint aNow,
                const state::FlowKey& aKey,
                PendingLookup& aRecovery)
{
  SendLookups(aState, aRecovery.mService, aKey);
  for (const auto& candidate : aRecovery.mCandidates) {
    if (IsBoundToService(aState.mIndex, aRecovery.mService, candidate)) {
      AddAction(
        aState,
        ProbeUpstream{
          aKey, candidate, aRecovery.mSequence - 1, aRecovery.mAcknowledged });
    }
  }
  // The instance that gets the answer may have reported the flow already to
  // an earlier owner.
  std::set<std::uint64_t> shards;
  for (const auto& candidate : aRecovery.mCandidates) {
    if (const auto shard = ShardOfUpstream(
          aState.mIndex, aRecovery.mService, candidate.mAddress)) {
      shards.insert(*shard);
    }
  }
  for (const auto shard : shards) {
    aState.mReportRequests.insert(shard);
  }
  aRecovery.mNextProbe = aNow + kProbeInterval;
  ++aRecovery.mProbes;
}

/// Whether all candidates but one have reset the probes. An upstream that does
/// not know a flow resets each probe, and resets come through the owner, while
/// the acknowledgement of one that knows it may go unreported. Since the one
/// left knows the flow or is dead, payload sent there runs nothing twice.
bool
HasOneLeft(const PendingLookup& aRecovery)
{
  return aRecovery.mProbes >= kProbesToSettle &&
         aRecovery.mCandidates.size() == 1;
}

/// Takes the only candidate that is left for the flow's upstream.
void
SettleRecovery(TrafficState& aState,
               state::TimePoint aNow,
               const state::FlowKey& aKey)
{
  const auto& recovery = aState.mPendingLookups.at(aKey);
  const auto upstream = recovery.mCandidates.front();
  const auto service = recovery.mService;
  const auto shard = ShardOfUpstream(aState.mIndex, service, upstream.mAddress);
  if (!shard) {
    return;
  }
  state::Increment(aState.mCounters, "flow_lookups_settled_total");
  if (IsSelf(aState.mIndex, OwnerOf(aState.mIndex, *shard))) {
    AdoptLocatedFlow(aState, aNow, aKey, upstream, service, *shard);
    return;
  }
  if (const auto* const owner = OwnerOf(aState.mIndex, *shard)) {
    const auto* const listener = ListenerOfFlow(aState.mIndex, service, aKey);
    const FlowRecord record{ aKey, upstream, listener->mFlowClass,
                             true, false,    false };
    AddAction(aState, SendToPeer{ owner->mId, FlowRecords{ { record } } });
  }
  RecordRedirect(aState, aNow, aKey, upstream, *shard);
  ResolveLookup(aState, aKey, upstream, false);
}

} // namespace

void
RecoverFlow(TrafficState& aState,
            state::TimePoint aNow,
            const PacketEvent& aPacket,
            std::uint32_t aService)
{
  const auto& event = aPacket.mFlow;
  if (RecoverFromBackup(aState, aNow, aPacket, aService)) {
    return;
  }
  if (event.mKind == state::SegmentKind::Reset) {
    DropPacket(aState, "packets_dropped_unknown_flow_total");
    return;
  }
  if (const auto found = aState.mPendingLookups.find(event.mKey);
      found != aState.mPendingLookups.end()) {
    found->second.mSequence = event.mSequence;
    found->second.mAcknowledged = event.mAcknowledged;
    DropPacket(aState, "packets_dropped_in_lookup_total");
    return;
  }
  if (aState.mPendingLookups.size() >= kMostRecoveries) {
    DropPacket(aState, "packets_dropped_lookup_limit_total");
    return;
  }
  StartRecovery(aState, aNow, aPacket, aService);
}

void
ResolveLookup(TrafficState& aState,
              const state::FlowKey& aKey,
              const state::Endpoint& aUpstream,
              bool aHere)
{
  const auto found = aState.mPendingLookups.find(aKey);
  if (found == aState.mPendingLookups.end()) {
    return;
  }
  if (aHere &&
      IsBoundToService(aState.mIndex, found->second.mService, aUpstream)) {
    AddAction(aState, ReleaseHeld{ found->second.mHoldId, aUpstream, false });
  } else {
    AddAction(aState, DropHeld{ found->second.mHoldId });
  }
  aState.mPendingLookups.erase(found);
  state::Increment(aState.mCounters, "flow_lookups_resolved_total");
}

bool
MayAdopt(TrafficState& aState,
         state::TimePoint aNow,
         const state::FlowKey& aKey,
         std::uint64_t aShard)
{
  return aState.mPendingLookups.contains(aKey) ||
         aNow < FindOrAddOwnedShard(aState, aShard, aNow).mAdoptUntil;
}

FlowEntry&
AdoptLocatedFlow(TrafficState& aState,
                 state::TimePoint aNow,
                 const state::FlowKey& aKey,
                 const state::Endpoint& aUpstream,
                 std::uint32_t aService,
                 std::uint64_t aShard)
{
  const auto* const listener = ListenerOfFlow(aState.mIndex, aService, aKey);
  FlowRecord record{ aKey, aUpstream, listener->mFlowClass, true, true, false };
  if (const auto backup = aState.mBackupRecords.find(aKey);
      backup != aState.mBackupRecords.end() &&
      backup->second.mUpstream == aUpstream) {
    record = backup->second;
    aState.mBackupRecords.erase(backup);
  }
  AdoptFlow(aState, aNow, record, aService, aShard).mVerified = true;
  ResolveLookup(aState, aKey, aUpstream, true);
  NotifyFirstOwner(aState, record);
  return aState.mFlows.at(aKey);
}

void
RuleOutCandidate(TrafficState& aState,
                 const state::FlowKey& aKey,
                 const state::Endpoint& aUpstream)
{
  if (const auto found = aState.mPendingLookups.find(aKey);
      found != aState.mPendingLookups.end()) {
    std::erase(found->second.mCandidates, aUpstream);
  }
}

void
CheckLookups(TrafficState& aState, state::TimePoint aNow)
{
  std::vector<state::FlowKey> settled;
  for (auto next = aState.mPendingLookups.begin();
       next != aState.mPendingLookups.end();) {
    auto& [key, recovery] = *next;
    if (aNow >= recovery.mNextProbe &&
        !IsFirstOwner(aState.mIndex, recovery.mService, key)) {
      // Another instance owns the flow's first shard now and looks it up.
      AddAction(aState, DropHeld{ recovery.mHoldId });
      next = aState.mPendingLookups.erase(next);
      continue;
    }
    if (aNow - recovery.mStarted >= TimeoutOf(aState, recovery, key)) {
      state::Increment(aState.mCounters, "flows_broken_lookup_failed_total");
      AddAction(aState, DropHeld{ recovery.mHoldId });
      AddAction(aState,
                ResetCaller{ key,
                             state::Verdict::MayHaveRun,
                             recovery.mAcknowledged,
                             recovery.mSequence });
      next = aState.mPendingLookups.erase(next);
      continue;
    }
    if (aNow >= recovery.mNextProbe && HasOneLeft(recovery)) {
      settled.push_back(key);
    } else if (aNow >= recovery.mNextProbe) {
      ProbeCandidates(aState, aNow, key, recovery);
    }
    ++next;
  }
  for (const auto& key : settled) {
    SettleRecovery(aState, aNow, key);
  }
}

} // namespace sassafrasknot::coordination
