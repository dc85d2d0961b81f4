#include "sassafrasknot/coordination/flow_placement.hpp"

#include "sassafrasknot/coordination/flow_lifecycle.hpp"
#include "sassafrasknot/coordination/flow_shares.hpp"
#include "sassafrasknot/coordination/invariant.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// The entry of an opening flow is removed this long after placement. By then
/// the caller has given up or another owner has adopted the flow.
constexpr auto kOpeningTimeout = std::chrono::seconds{ 10 };

/// Returns an upstream of a shard's table, or null.
const state::TableUpstream*
FindUpstream(const state::ShardTable& aTable, state::Ipv4Address aUpstream)
{
  const auto found = std::ranges::find(
    aTable.mUpstreams, aUpstream, &state::TableUpstream::mAddress);
  return found == aTable.mUpstreams.end() ? nullptr : &*found;
}

/// Returns the address of the upstream that rendezvous hashing gives for the
/// flow, or an empty address for an empty shard.
state::Ipv4Address
DefaultAddress(const state::ShardTable& aTable, const state::FlowKey& aKey)
{
  const auto index = state::DefaultUpstream(aTable, state::Hash(aKey));
  return index ? aTable.mUpstreams[*index].mAddress : state::Ipv4Address{};
}

/// Returns the newest table of a shard, or null if no table holds the shard.
const state::ShardTable*
TableOf(const TrafficState& aState, std::uint64_t aShard)
{
  const auto found = aState.mIndex.mShards.find(aShard);
  return found == aState.mIndex.mShards.end() ? nullptr : found->second.mTable;
}

/// Makes the request to place a flow in a shard; its listener gives the class
/// and the queue deadline.
PlacementRequest
MakeRequest(const TrafficState& aState,
            const state::FlowKey& aKey,
            const FlowEntry& aEntry,
            std::uint32_t aService,
            const state::ShardTable& aTable)
{
  const auto* const listener = ListenerOfFlow(aState.mIndex, aService, aKey);
  return { aEntry.mHoldId,
           listener->mFlowClass,
           DefaultAddress(aTable, aKey),
           listener->mQueueDeadline,
           std::nullopt };
}

/// Resets the caller of a flow that is refused.
/// @param aSequence sequence number of the caller's opening segment
/// @param aReason name of the counter to increment
void
RefuseOpening(TrafficState& aState,
              const state::FlowKey& aKey,
              std::uint32_t aSequence,
              std::string_view aReason)
{
  state::Increment(aState.mCounters, aReason);
  AddAction(aState,
            ResetCaller{ aKey, state::Verdict::NotRun, 0, aSequence + 1 });
}

/// Returns the name of the counter of refused flows.
std::string_view
RefusalCounter(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::NoUpstream:
      return "flows_refused_no_upstream_total";
    case RefusalReason::QueueFull:
      return "flows_refused_queue_full_total";
    case RefusalReason::WaitTooLong:
      return "flows_refused_wait_too_long_total";
    case RefusalReason::DeadlinePassed:
      return "flows_refused_deadline_total";
    case RefusalReason::OrganisationShareExceeded:
      return "flows_refused_share_total";
  }
  return "flows_refused_total";
}

/// Updates the entry of a placed flow and sends its held opening packet. A UDP
/// flow is established at once, since its opening packet carries payload.
void
StartOpening(TrafficState& aState,
             state::TimePoint aNow,
             const state::FlowKey& aKey,
             FlowEntry& aEntry,
             std::uint32_t aService,
             state::Ipv4Address aUpstream)
{
  const auto* const listener = ListenerOfFlow(aState.mIndex, aService, aKey);
  const auto* const table = TableOf(aState, aEntry.mShard);
  const auto* const upstream =
    table == nullptr ? nullptr : FindUpstream(*table, aUpstream);
  CheckInvariant(upstream != nullptr && upstream->mReachable &&
                   upstream->mState == state::UpstreamState::Live,
                 "placed_on_leaving_upstream",
                 aState.mCounters);
  CheckInvariant(MayPlace(aState, aNow), "placed_untrusted", aState.mCounters);
  if (!aEntry.mHoldsConnection) {
    ++FindOrAddOwnedShard(aState, aEntry.mShard, aNow).mFlows;
  }
  aEntry.mHoldsConnection = true;
  AddToShare(aState, aEntry);
  aEntry.mUpstream = { aUpstream, listener->mUpstreamPort };
  aEntry.mFlowClass = listener->mFlowClass;
  aEntry.mStarted = aNow;
  aEntry.mLastCallerActivity = aNow;
  aEntry.mLastUpstreamActivity = aNow;
  const bool datagram = aKey.mProtocol == state::TransportProtocol::Udp;
  aEntry.mStage = datagram ? FlowStage::Established : FlowStage::Opening;
  aEntry.mPayloadForwarded = datagram;
  aEntry.mOffDefault = IsOffDefault(aState, aService, aKey, aEntry.mUpstream);
  state::Increment(aState.mCounters, "flows_placed_total");
  if (aEntry.mOffDefault) {
    state::Increment(aState.mCounters, "flows_placed_off_default_total");
  }
  AddAction(aState, ReleaseHeld{ aEntry.mHoldId, aEntry.mUpstream, !datagram });
  ScheduleCheck(aState, aKey, aEntry, aNow + kOpeningTimeout);
}

/// Places or queues a new flow in one shard of this instance. Its opening
/// packet is held if it was placed or queued.
/// @param aReason set to the counter of refused flows if the flow was refused
/// @return false if the shard or the organisation's share refused it
bool
PlaceInShard(TrafficState& aState,
             state::TimePoint aNow,
             const PacketEvent& aPacket,
             std::uint32_t aService,
             const state::ShardTable& aTable,
             std::string_view& aReason)
{
  const auto& key = aPacket.mFlow.mKey;
  auto& ownedShard = FindOrAddOwnedShard(aState, aTable.mHash, aNow);
  FlowEntry entry;
  entry.mShard = aTable.mHash;
  entry.mHoldId = aState.mNextHoldId++;
  entry.mNextSequence = aPacket.mFlow.mSequence + 1;
  entry.mLastCallerActivity = aNow;
  entry.mStarted = aNow;
  const auto& organisation =
    aState.mIndex.mSnapshot->mServices[aService].mId.mOrganisation;
  if (!AdmitNewFlow(aState, aNow, organisation)) {
    aReason = RefusalCounter(RefusalReason::OrganisationShareExceeded);
    return false;
  }
  entry.mCountedInShare = true;
  const auto request = MakeRequest(aState, key, entry, aService, aTable);
  entry.mFlowClass = request.mFlowClass;
  const auto decision = Place(*ownedShard.mShard, request, aNow);
  if (const auto* refused = std::get_if<Refused>(&decision)) {
    RemoveFromShare(aState, entry);
    aReason = RefusalCounter(refused->mReason);
    return false;
  }
  AddAction(aState, Hold{ entry.mHoldId });
  if (const auto* placed = std::get_if<Placed>(&decision)) {
    auto& stored = aState.mFlows[key] = entry;
    StartOpening(aState, aNow, key, stored, aService, placed->mUpstream);
    return true;
  }
  entry.mStage = FlowStage::Queued;
  aState.mQueuedFlows[entry.mHoldId] = key;
  aState.mFlows[key] = entry;
  state::Increment(aState.mCounters, "flows_queued_total");
  return true;
}

} // namespace

void
OpenFlow(TrafficState& aState,
         state::TimePoint aNow,
         const PacketEvent& aPacket,
         std::uint32_t aService)
{
  const auto& key = aPacket.mFlow.mKey;
  const auto& service = aState.mIndex.mSnapshot->mServices[aService];
  const auto rankedShards =
    RankedShardsOfFlow(aState.mIndex, aService, state::Hash(key));
  std::string_view reason = "flows_refused_no_owner_total";
  std::size_t nextIndex = 0;
  while (!service.mRemoved) {
    const auto* const ranked =
      NextShard(rankedShards, aPacket.mHops, nextIndex);
    if (ranked == nullptr) {
      break;
    }
    if (!IsSelf(aState.mIndex, ranked->mOwner)) {
      if (aPacket.mHops.size() >= kMaxHops) {
        DropPacket(aState, "packets_dropped_hop_limit_total");
        return;
      }
      if (nextIndex > 0) {
        // A shard of this instance refused the flow, so the flow overflows to
        // another owner. Later packets of the flow that arrive here must
        // follow.
        RecordRedirect(aState, aNow, key, {}, ranked->mShard->mHash);
        state::Increment(aState.mCounters, "flows_overflowed_total");
      }
      AddAction(aState, Forward{ ranked->mOwner->mId });
      return;
    }
    if (!MayPlace(aState, aNow)) {
      DropPacket(aState, "packets_dropped_untrusted_total");
      return;
    }
    if (PlaceInShard(
          aState, aNow, aPacket, aService, *ranked->mShard, reason)) {
      return;
    }
    nextIndex = static_cast<std::size_t>(ranked - rankedShards.data()) + 1;
  }
  RefuseOpening(aState, key, aPacket.mFlow.mSequence, reason);
  DropPacket(aState, "packets_dropped_refused_total");
}

void
ApplyQueueDecision(TrafficState& aState,
                   state::TimePoint aNow,
                   const PlacementDecision& aDecision)
{
  const auto flowId =
    std::visit([](const auto& aValue) { return aValue.mFlowId; }, aDecision);
  const auto queued = aState.mQueuedFlows.find(flowId);
  if (queued == aState.mQueuedFlows.end()) {
    return;
  }
  const auto key = queued->second;
  aState.mQueuedFlows.erase(queued);
  auto& entry = aState.mFlows.at(key);
  const auto service = ServiceOfFlow(aState.mIndex, key);
  if (const auto* placed = std::get_if<Placed>(&aDecision);
      placed != nullptr && service) {
    StartOpening(aState, aNow, key, entry, *service, placed->mUpstream);
    return;
  }
  const auto* refused = std::get_if<Refused>(&aDecision);
  RefuseOpening(aState,
                key,
                entry.mNextSequence - 1,
                refused == nullptr ? "flows_refused_no_upstream_total"
                                   : RefusalCounter(refused->mReason));
  AddAction(aState, DropHeld{ flowId });
  RemoveFromShare(aState, entry);
  aState.mFlows.erase(key);
}

void
RetryPlacement(TrafficState& aState,
               state::TimePoint aNow,
               const state::FlowKey& aKey,
               FailureKind aFailure)
{
  auto& entry = aState.mFlows.at(aKey);
  CheckInvariant(
    !entry.mPayloadForwarded, "placed_again_after_payload", aState.mCounters);
  auto& ownedShard = FindOrAddOwnedShard(aState, entry.mShard, aNow);
  const auto failedUpstream = entry.mUpstream;
  OnFailed(*ownedShard.mShard, failedUpstream.mAddress, aFailure, aNow);
  ReleaseResources(aState, aNow, entry);
  const auto service = ServiceOfFlow(aState.mIndex, aKey);
  const auto* const table = TableOf(aState, entry.mShard);
  std::string_view reason = "flows_refused_no_upstream_total";
  if (service && table != nullptr && !entry.mPayloadForwarded &&
      MayPlace(aState, aNow) && TryConsumeRetry(*ownedShard.mShard, aNow)) {
    auto request = MakeRequest(aState, aKey, entry, *service, *table);
    request.mExcludedUpstream = failedUpstream.mAddress;
    const auto decision = Place(*ownedShard.mShard, request, aNow);
    if (const auto* placed = std::get_if<Placed>(&decision)) {
      state::Increment(aState.mCounters, "flows_placed_again_total");
      StartOpening(aState, aNow, aKey, entry, *service, placed->mUpstream);
      return;
    }
    if (std::holds_alternative<Queued>(decision)) {
      entry.mStage = FlowStage::Queued;
      aState.mQueuedFlows[entry.mHoldId] = aKey;
      return;
    }
    reason = RefusalCounter(std::get<Refused>(decision).mReason);
  }
  RefuseOpening(aState, aKey, entry.mNextSequence - 1, reason);
  AddAction(aState, DropHeld{ entry.mHoldId });
  aState.mFlows.erase(aKey);
}

} // namespace sassafrasknot::coordination
