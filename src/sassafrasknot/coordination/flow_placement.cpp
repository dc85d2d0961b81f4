#include "sassafrasknot/coordination/flow_placement.hpp"

#include "sassafrasknot/coordination/flow_lifecycle.hpp"
#include "sassafrasknot/coordination/flow_shares.hpp"
#include "sassafrasknot/coordination/invariant.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// A caller has given up, or another owner has learned the flow, when no packet
/// of an opening flow came for this long.
constexpr auto kOpeningTimeout = std::chrono::seconds{ 10 };

const state::TableUpstream*
FindUpstream(const state::ShardTable& aTable, state::Ipv4Address aUpstream)
{
  const auto found = std::ranges::find(
    aTable.mUpstreams, aUpstream, &state::TableUpstream::mAddress);
  return found == aTable.mUpstreams.end() ? nullptr : &*found;
}

state::Ipv4Address
DefaultAddress(const state::ShardTable& aTable, const state::FlowKey& aKey)
{
  const auto index = state::DefaultUpstream(aTable, state::Hash(aKey));
  return index ? aTable.mUpstreams[*index].mAddress : state::Ipv4Address{};
}

const state::ShardTable*
TableOf(const TrafficState& aState, std::uint64_t aShard)
{
  const auto found = aState.mIndex.mShards.find(aShard);
  return found == aState.mIndex.mShards.end() ? nullptr : found->second.mTable;
}

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

std::string_view
CounterOf(RefusalReason aReason)
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
    case RefusalReason::ShareExceeded:
      return "flows_refused_share_total";
  }
  return "flows_refused_total";
}

/// Fills in the entry of a placed flow and sends its held opening packet.
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
  if (!aEntry.mAccounted) {
    ++FindOrAddOwnedShard(aState, aEntry.mShard, aNow).mFlows;
  }
  aEntry.mAccounted = true;
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

/// Places a flow in one shard of this instance. The packet at hand is held
/// when the flow was placed or queued.
/// @return false if the shard refused it
bool
PlaceInShard(TrafficState& aState,
             state::TimePoint aNow,
             const PacketEvent& aPacket,
             std::uint32_t aService,
             const state::ShardTable& aTable,
             std::string_view& aReason)
{
  const auto& key = aPacket.mFlow.mKey;
  auto& account = FindOrAddOwnedShard(aState, aTable.mHash, aNow);
  FlowEntry entry;
  entry.mShard = aTable.mHash;
  entry.mHoldId = aState.mNextToken++;
  entry.mNextSequence = aPacket.mFlow.mSequence + 1;
  entry.mLastCallerActivity = aNow;
  entry.mStarted = aNow;
  const auto& organisation =
    aState.mIndex.mSnapshot->mServices[aService].mId.mOrganisation;
  if (!AdmitNewFlow(aState, aNow, organisation)) {
    aReason = CounterOf(RefusalReason::ShareExceeded);
    return false;
  }
  entry.mCountedInShare = true;
  const auto request = MakeRequest(aState, key, entry, aService, aTable);
  entry.mFlowClass = request.mFlowClass;
  const auto decision = Place(*account.mShard, request, aNow);
  if (const auto* refused = std::get_if<Refused>(&decision)) {
    RemoveFromShare(aState, entry);
    aReason = CounterOf(refused->mReason);
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
  const auto route =
    RankedShardsOfFlow(aState.mIndex, aService, state::Hash(key));
  std::string_view reason = "flows_refused_no_owner_total";
  std::size_t from = 0;
  while (!service.mRemoved) {
    const auto* const step = NextShard(route, aPacket.mHops, from);
    if (step == nullptr) {
      break;
    }
    if (!IsSelf(aState.mIndex, step->mOwner)) {
      if (aPacket.mHops.size() >= kMaxHops) {
        DropPacket(aState, "packets_dropped_hop_limit_total");
        return;
      }
      if (from > 0) {
        RecordRedirect(aState, aNow, key, {}, step->mShard->mHash);
        state::Increment(aState.mCounters, "flows_overflowed_total");
      }
      AddAction(aState, Forward{ step->mOwner->mId });
      return;
    }
    if (!MayPlace(aState, aNow)) {
      DropPacket(aState, "packets_dropped_untrusted_total");
      return;
    }
    if (PlaceInShard(aState, aNow, aPacket, aService, *step->mShard, reason)) {
      return;
    }
    from = static_cast<std::size_t>(step - route.data()) + 1;
  }
  RefuseOpening(aState, key, aPacket.mFlow.mSequence, reason);
  DropPacket(aState, "packets_dropped_refused_total");
}

void
ApplyQueueDecision(TrafficState& aState,
                   state::TimePoint aNow,
                   const PlacementDecision& aDecision)
{
  const auto token =
    std::visit([](const auto& aValue) { return aValue.mFlowId; }, aDecision);
  const auto queued = aState.mQueuedFlows.find(token);
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
                                   : CounterOf(refused->mReason));
  AddAction(aState, DropHeld{ token });
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
  auto& account = FindOrAddOwnedShard(aState, entry.mShard, aNow);
  const auto failed = entry.mUpstream;
  OnFailed(*account.mShard, failed.mAddress, aFailure, aNow);
  ReleaseResources(aState, aNow, entry);
  const auto service = ServiceOfFlow(aState.mIndex, aKey);
  const auto* const table = TableOf(aState, entry.mShard);
  std::string_view reason = "flows_refused_no_upstream_total";
  if (service && table != nullptr && !entry.mPayloadForwarded &&
      MayPlace(aState, aNow) && TryConsumeRetry(*account.mShard, aNow)) {
    auto request = MakeRequest(aState, aKey, entry, *service, *table);
    request.mExcludedUpstream = failed.mAddress;
    const auto decision = Place(*account.mShard, request, aNow);
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
    reason = CounterOf(std::get<Refused>(decision).mReason);
  }
  RefuseOpening(aState, aKey, entry.mNextSequence - 1, reason);
  AddAction(aState, DropHeld{ entry.mHoldId });
  aState.mFlows.erase(aKey);
}

} // namespace sassafrasknot::coordination
