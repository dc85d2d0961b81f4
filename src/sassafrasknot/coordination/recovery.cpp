#include "sassafrasknot/coordination/recovery.hpp"

#include "sassafrasknot/coordination/flow_lifecycle.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// Delay until candidates are probed for the first time. A reply of a peer in
/// another data centre takes 1 to 2 ms and makes the probes unnecessary.
constexpr auto kFirstProbeDelay = std::chrono::milliseconds{ 50 };
constexpr auto kProbeInterval = std::chrono::milliseconds{ 500 };
/// Two rounds of probes, so that a candidate whose first reset was lost is
/// ruled out by the second one.
constexpr std::uint32_t kProbesToSettle = 2;
/// After this time the caller is reset, so that it reconnects instead of
/// waiting.
constexpr auto kLookupTimeout = std::chrono::seconds{ 5 };
/// Timeout of a look-up while a data centre of the flow's shard is unreachable,
/// since the flow may be there. Beyond this time, reconnecting to a reachable
/// data centre serves the caller better than waiting.
constexpr auto kUnreachableLookupTimeout = std::chrono::seconds{ 20 };
/// Limits the memory that a flood of segments of unknown flows can take.
constexpr std::size_t kMaxPendingLookups = 20000;

/// Adds an instance unless it is null, this instance or dead.
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

/// Returns the instances that may have a flow's record: the next instances in
/// rendezvous order of its highest-ranked shard, leaving instances of that
/// shard's data centres, earlier owners of that shard, the owners of the flow's
/// other shards, and the owners of its candidate upstreams' shards.
std::set<state::InstanceId>
LookupTargets(const TrafficState& aState,
              std::uint32_t aService,
              const state::FlowKey& aKey,
              const std::vector<RankedShard>& aRankedShards)
{
  std::set<state::InstanceId> targets;
  const auto& shard = *aRankedShards.front().mShard;
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
  for (std::size_t index = 1; index < aRankedShards.size(); ++index) {
    AddTarget(aState, targets, aRankedShards[index].mOwner);
  }
  // A change of the table may have changed the flow's highest-ranked shard.
  for (const auto& candidate :
       CandidateUpstreams(aState.mIndex, aService, aKey)) {
    if (const auto candidateShard =
          ShardOfUpstream(aState.mIndex, aService, candidate.mAddress)) {
      AddTarget(aState, targets, OwnerOf(aState.mIndex, *candidateShard));
    }
  }
  return targets;
}

/// Sends a FlowLookup to each instance that may have the flow's record.
void
SendLookups(TrafficState& aState,
            std::uint32_t aService,
            const state::FlowKey& aKey)
{
  const auto rankedShards =
    RankedShardsOfFlow(aState.mIndex, aService, state::Hash(aKey));
  if (rankedShards.empty()) {
    return;
  }
  for (const auto& target :
       LookupTargets(aState, aService, aKey, rankedShards)) {
    AddAction(aState, SendToPeer{ target, FlowLookup{ aKey } });
  }
}

/// Returns how long a look-up may take: longer while a data centre of the
/// flow's highest-ranked shard is unreachable, since the flow may be there.
state::Duration
LookupTimeoutOf(const TrafficState& aState,
                const PendingLookup& aLookup,
                const state::FlowKey& aKey)
{
  const auto rankedShards =
    RankedShardsOfFlow(aState.mIndex, aLookup.mService, state::Hash(aKey));
  const bool isUnreachable =
    rankedShards.empty() ||
    std::ranges::any_of(
      rankedShards.front().mShard->mUpstreams,
      [](const state::TableUpstream& aEntry) { return !aEntry.mReachable; });
  return isUnreachable ? state::Duration{ kUnreachableLookupTimeout }
                       : state::Duration{ kLookupTimeout };
}

/// Starts the look-up of a flow: holds the packet that is being processed and
/// sends a FlowLookup to the instances that may have the flow's record.
void
StartLookup(TrafficState& aState,
            state::TimePoint aNow,
            const PacketEvent& aPacket,
            std::uint32_t aService)
{
  const auto& event = aPacket.mFlow;
  PendingLookup lookup;
  lookup.mStarted = aNow;
  lookup.mNextProbe = aNow + kFirstProbeDelay;
  lookup.mService = aService;
  lookup.mHoldId = aState.mNextHoldId++;
  lookup.mSequence = event.mSequence;
  lookup.mAcknowledged = event.mAcknowledged;
  lookup.mCandidates = CandidateUpstreams(aState.mIndex, aService, event.mKey);
  SendLookups(aState, aService, event.mKey);
  aState.mPendingLookups[event.mKey] = lookup;
  state::Increment(aState.mCounters, "flow_lookups_total");
  AddAction(aState, Hold{ lookup.mHoldId });
}

/// Uses the flow's backup record, if there is one: adopts the flow and sends
/// the packet that is being processed to its upstream, or forwards the packet
/// to the owner of the upstream's shard.
/// @return false if there is no usable record
bool
UseBackupRecord(TrafficState& aState,
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

/// Repeats the FlowLookups, sends a keepalive probe to each candidate and
/// requests reports of the answers.
void
ProbeCandidates(TrafficState& aState,
                state::TimePoint aNow,
                const state::FlowKey& aKey,
                PendingLookup& aLookup)
{
  SendLookups(aState, aLookup.mService, aKey);
  for (const auto& candidate : aLookup.mCandidates) {
    if (IsBoundToService(aState.mIndex, aLookup.mService, candidate)) {
      AddAction(
        aState,
        ProbeUpstream{
          aKey, candidate, aLookup.mSequence - 1, aLookup.mAcknowledged });
    }
  }
  // The instance that receives the answer to a probe may have reported the flow
  // to an earlier owner in the same period; it reports the flow again on
  // request.
  std::set<std::uint64_t> shards;
  for (const auto& candidate : aLookup.mCandidates) {
    if (const auto shard = ShardOfUpstream(
          aState.mIndex, aLookup.mService, candidate.mAddress)) {
      shards.insert(*shard);
    }
  }
  for (const auto shard : shards) {
    aState.mReportRequests.insert(shard);
  }
  aLookup.mNextProbe = aNow + kProbeInterval;
  ++aLookup.mProbes;
}

/// Returns whether a single candidate is left after kProbesToSettle rounds of
/// probes. An upstream without the flow resets each probe; the reset reaches
/// this instance, if necessary through the shard's owner, and removes the
/// candidate. An upstream with the flow acknowledges the probe, but the report
/// of that may be lost. The remaining candidate therefore has the flow or does
/// not respond, so payload sent to it cannot make a request run twice.
bool
HasOneCandidateLeft(const PendingLookup& aLookup)
{
  return aLookup.mProbes >= kProbesToSettle && aLookup.mCandidates.size() == 1;
}

/// Ends a look-up with the only candidate that is left as the flow's upstream:
/// adopts the flow, or sends its record to the shard's owner and records a
/// redirect.
void
SettleLookup(TrafficState& aState,
             state::TimePoint aNow,
             const state::FlowKey& aKey)
{
  const auto& lookup = aState.mPendingLookups.at(aKey);
  const auto upstream = lookup.mCandidates.front();
  const auto service = lookup.mService;
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
LookUpFlow(TrafficState& aState,
           state::TimePoint aNow,
           const PacketEvent& aPacket,
           std::uint32_t aService)
{
  const auto& event = aPacket.mFlow;
  if (UseBackupRecord(aState, aNow, aPacket, aService)) {
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
  if (aState.mPendingLookups.size() >= kMaxPendingLookups) {
    DropPacket(aState, "packets_dropped_lookup_limit_total");
    return;
  }
  StartLookup(aState, aNow, aPacket, aService);
}

void
ResolveLookup(TrafficState& aState,
              const state::FlowKey& aKey,
              const state::Endpoint& aUpstream,
              bool aIsOwnedHere)
{
  const auto found = aState.mPendingLookups.find(aKey);
  if (found == aState.mPendingLookups.end()) {
    return;
  }
  if (aIsOwnedHere &&
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
    auto& [key, lookup] = *next;
    if (aNow >= lookup.mNextProbe &&
        !IsFirstOwner(aState.mIndex, lookup.mService, key)) {
      // Another instance is the flow's first owner now and looks it up.
      AddAction(aState, DropHeld{ lookup.mHoldId });
      next = aState.mPendingLookups.erase(next);
      continue;
    }
    if (aNow - lookup.mStarted >= LookupTimeoutOf(aState, lookup, key)) {
      state::Increment(aState.mCounters, "flows_broken_lookup_failed_total");
      AddAction(aState, DropHeld{ lookup.mHoldId });
      AddAction(aState,
                ResetCaller{ key,
                             state::Verdict::MayHaveRun,
                             lookup.mAcknowledged,
                             lookup.mSequence });
      next = aState.mPendingLookups.erase(next);
      continue;
    }
    if (aNow >= lookup.mNextProbe && HasOneCandidateLeft(lookup)) {
      settled.push_back(key);
    } else if (aNow >= lookup.mNextProbe) {
      ProbeCandidates(aState, aNow, key, lookup);
    }
    ++next;
  }
  for (const auto& key : settled) {
    SettleLookup(aState, aNow, key);
  }
}

} // namespace sassafrasknot::coordination
