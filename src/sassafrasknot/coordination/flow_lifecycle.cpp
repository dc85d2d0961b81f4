#include "sassafrasknot/coordination/flow_lifecycle.hpp"

#include "sassafrasknot/coordination/invariant.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// A caller has given up, or another owner has learned the flow, when no packet
/// of an opening flow came for this long.
constexpr auto kOpeningTimeout = std::chrono::seconds{ 10 };
/// Late segments of an ended flow arrive within this time.
constexpr auto kClosedRetention = std::chrono::seconds{ 5 };
/// Above the longest keepalive interval, so that a flow with traffic keeps its
/// pointer.
constexpr auto kElsewhereRetention = std::chrono::minutes{ 15 };
constexpr auto kFirstCheck = std::chrono::seconds{ 5 };

const state::TableEntry*
FindUpstream(const state::ShardTable& aTable, state::Ipv4Address aUpstream)
{
  const auto found = std::ranges::find(
    aTable.mUpstreams, aUpstream, &state::TableEntry::mAddress);
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

/// Whether the table alone does not give the flow's upstream.
bool
IsException(const TrafficState& aState,
            std::uint32_t aService,
            const state::FlowKey& aKey,
            const state::Endpoint& aUpstream)
{
  const auto candidates = CandidatesOfFlow(aState.mIndex, aService, aKey);
  return candidates.empty() || candidates.front() != aUpstream;
}

PlacementRequest
MakeRequest(const TrafficState& aState,
            const state::FlowKey& aKey,
            const FlowEntry& aEntry,
            std::uint32_t aService,
            const state::ShardTable& aTable)
{
  const auto* const listener = ListenerOfFlow(aState.mIndex, aService, aKey);
  return { aEntry.mToken,
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
  Act(aState, ResetCaller{ aKey, state::Verdict::NotRun, 0, aSequence + 1 });
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
    ++AccountOf(aState, aEntry.mShard, aNow).mFlows;
  }
  aEntry.mAccounted = true;
  aEntry.mUpstream = { aUpstream, listener->mUpstreamPort };
  aEntry.mFlowClass = listener->mFlowClass;
  aEntry.mStarted = aNow;
  aEntry.mLastCaller = aNow;
  aEntry.mLastUpstream = aNow;
  const bool datagram = aKey.mProtocol == state::TransportProtocol::Udp;
  aEntry.mStage = datagram ? FlowStage::Established : FlowStage::Opening;
  aEntry.mPayloadForwarded = datagram;
  aEntry.mException = IsException(aState, aService, aKey, aEntry.mUpstream);
  state::Increment(aState.mCounters, "flows_placed_total");
  if (aEntry.mException) {
    state::Increment(aState.mCounters, "flows_placed_off_default_total");
  }
  Act(aState, ReleaseHeld{ aEntry.mToken, aEntry.mUpstream, !datagram });
  CheckAt(aState, aKey, aEntry, aNow + kOpeningTimeout);
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
  auto& account = AccountOf(aState, aTable.mHash, aNow);
  FlowEntry entry;
  entry.mShard = aTable.mHash;
  entry.mToken = aState.mNextToken++;
  entry.mNextSequence = aPacket.mFlow.mSequence + 1;
  entry.mLastCaller = aNow;
  entry.mStarted = aNow;
  const auto request = MakeRequest(aState, key, entry, aService, aTable);
  entry.mFlowClass = request.mFlowClass;
  const auto decision = Place(*account.mShard, request, aNow);
  if (const auto* refused = std::get_if<Refused>(&decision)) {
    aReason = CounterOf(refused->mReason);
    return false;
  }
  Act(aState, Hold{ entry.mToken });
  if (const auto* placed = std::get_if<Placed>(&decision)) {
    auto& stored = aState.mFlows[key] = entry;
    StartOpening(aState, aNow, key, stored, aService, placed->mUpstream);
    return true;
  }
  entry.mStage = FlowStage::Queued;
  aState.mQueued[entry.mToken] = key;
  aState.mFlows[key] = entry;
  state::Increment(aState.mCounters, "flows_queued_total");
  return true;
}

/// Gives back what a placement took although the flow was not sent.
void
FreeAccount(TrafficState& aState, state::TimePoint aNow, FlowEntry& aEntry)
{
  if (!aEntry.mAccounted) {
    return;
  }
  aEntry.mAccounted = false;
  auto& account = AccountOf(aState, aEntry.mShard, aNow);
  --account.mFlows;
  aState.mFreed.insert(aEntry.mShard);
  OnEnded(*account.mShard,
          aEntry.mUpstream.mAddress,
          aEntry.mFlowClass,
          aEntry.mStarted,
          aNow);
}

} // namespace

state::Verdict
VerdictOf(const FlowEntry& aEntry)
{
  if (aEntry.mAnswered) {
    return state::Verdict::Answered;
  }
  // An established flow may have sent payload that this instance did not see,
  // through an owner before it.
  const bool untouched =
    aEntry.mStage == FlowStage::Queued || aEntry.mStage == FlowStage::Opening;
  return untouched && !aEntry.mPayloadForwarded ? state::Verdict::NotRun
                                                : state::Verdict::MayHaveRun;
}

void
OpenFlow(TrafficState& aState,
         state::TimePoint aNow,
         const PacketEvent& aPacket,
         std::uint32_t aService)
{
  const auto& key = aPacket.mFlow.mKey;
  const auto& service = aState.mIndex.mSnapshot->mServices[aService];
  const auto route = RouteOfFlow(aState.mIndex, aService, state::Hash(key));
  std::string_view reason = "flows_refused_no_owner_total";
  std::size_t from = 0;
  while (!service.mRemoved) {
    const auto* const step = NextStep(route, aPacket.mHops, from);
    if (step == nullptr) {
      break;
    }
    if (!IsSelf(aState.mIndex, step->mOwner)) {
      if (aPacket.mHops.size() >= kMaxHops) {
        DropPacket(aState, "packets_dropped_hop_limit_total");
        return;
      }
      if (from > 0) {
        NoteElsewhere(aState, aNow, key, {}, step->mShard->mHash);
        state::Increment(aState.mCounters, "flows_overflowed_total");
      }
      Act(aState, Forward{ step->mOwner->mId });
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
    std::visit([](const auto& aValue) { return aValue.mFlow; }, aDecision);
  const auto queued = aState.mQueued.find(token);
  if (queued == aState.mQueued.end()) {
    return;
  }
  const auto key = queued->second;
  aState.mQueued.erase(queued);
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
  Act(aState, DropHeld{ token });
  aState.mFlows.erase(key);
}

void
PlaceAgain(TrafficState& aState,
           state::TimePoint aNow,
           const state::FlowKey& aKey,
           FailureKind aFailure)
{
  auto& entry = aState.mFlows.at(aKey);
  CheckInvariant(
    !entry.mPayloadForwarded, "placed_again_after_payload", aState.mCounters);
  auto& account = AccountOf(aState, entry.mShard, aNow);
  const auto failed = entry.mUpstream;
  OnFailed(*account.mShard, failed.mAddress, aFailure, aNow);
  FreeAccount(aState, aNow, entry);
  const auto service = ServiceOfFlow(aState.mIndex, aKey);
  const auto* const table = TableOf(aState, entry.mShard);
  std::string_view reason = "flows_refused_no_upstream_total";
  if (service && table != nullptr && !entry.mPayloadForwarded &&
      MayPlace(aState, aNow) && TakeRetry(*account.mShard, aNow)) {
    auto request = MakeRequest(aState, aKey, entry, *service, *table);
    request.mExcluded = failed.mAddress;
    const auto decision = Place(*account.mShard, request, aNow);
    if (const auto* placed = std::get_if<Placed>(&decision)) {
      state::Increment(aState.mCounters, "flows_placed_again_total");
      StartOpening(aState, aNow, aKey, entry, *service, placed->mUpstream);
      return;
    }
    if (std::holds_alternative<Queued>(decision)) {
      entry.mStage = FlowStage::Queued;
      aState.mQueued[entry.mToken] = aKey;
      return;
    }
    reason = CounterOf(std::get<Refused>(decision).mReason);
  }
  RefuseOpening(aState, aKey, entry.mNextSequence - 1, reason);
  Act(aState, DropHeld{ entry.mToken });
  aState.mFlows.erase(aKey);
}

FlowEntry&
AdoptFlow(TrafficState& aState,
          state::TimePoint aNow,
          const FlowRecord& aRecord,
          std::uint32_t aService,
          std::uint64_t aShard)
{
  auto& account = AccountOf(aState, aShard, aNow);
  FlowEntry entry;
  entry.mShard = aShard;
  entry.mUpstream = aRecord.mUpstream;
  entry.mFlowClass = aRecord.mFlowClass;
  entry.mPayloadForwarded = aRecord.mPayloadForwarded;
  entry.mAnswered = aRecord.mAnswered;
  entry.mStage = FlowStage::Established;
  entry.mVerified = false;
  entry.mAccounted = true;
  entry.mStarted = aNow;
  entry.mLastCaller = aNow;
  entry.mLastUpstream = aNow;
  entry.mException =
    IsException(aState, aService, aRecord.mKey, aRecord.mUpstream);
  Adopt(*account.mShard, aRecord.mUpstream.mAddress, aRecord.mFlowClass);
  ++account.mFlows;
  state::Increment(aState.mCounters, "flows_adopted_total");
  auto& stored = aState.mFlows[aRecord.mKey] = entry;
  if (entry.mException || entry.mFlowClass != state::FlowClass::Feed) {
    QueueCopy(aState.mCopies, aRecord.mKey, aShard, entry.mFlowClass, aNow);
  }
  CheckAt(aState, aRecord.mKey, stored, aNow + kFirstCheck);
  return stored;
}

void
NoteElsewhere(TrafficState& aState,
              state::TimePoint aNow,
              const state::FlowKey& aKey,
              const state::Endpoint& aUpstream,
              std::uint64_t aShard)
{
  auto& entry = aState.mFlows[aKey];
  entry.mStage = FlowStage::Elsewhere;
  entry.mUpstream = aUpstream;
  entry.mShard = aShard;
  entry.mStarted = aNow;
  entry.mLastCaller = aNow;
  CheckAt(aState, aKey, entry, aNow + kElsewhereRetention);
}

void
TellFirstOwner(TrafficState& aState, const FlowRecord& aRecord)
{
  const auto service = ServiceOfFlow(aState.mIndex, aRecord.mKey);
  if (!service) {
    return;
  }
  const auto route =
    RouteOfFlow(aState.mIndex, *service, state::Hash(aRecord.mKey));
  if (!route.empty() && !IsSelf(aState.mIndex, route.front().mOwner)) {
    Act(aState,
        SendPeer{ route.front().mOwner->mId, FlowCopies{ { aRecord } } });
  }
}

void
AcceptFlow(TrafficState& aState,
           state::TimePoint aNow,
           const state::FlowKey& aKey,
           FlowEntry& aEntry)
{
  aEntry.mStage = FlowStage::Established;
  aEntry.mLastUpstream = aNow;
  auto& account = AccountOf(aState, aEntry.mShard, aNow);
  OnAccepted(*account.mShard, aEntry.mUpstream.mAddress, aNow);
  account.mProgress[aEntry.mUpstream.mAddress] = aNow;
  Act(aState, DropHeld{ aEntry.mToken });
  TellFirstOwner(aState, RecordOf(aKey, aEntry));
  if (aEntry.mException || aEntry.mFlowClass != state::FlowClass::Feed) {
    QueueCopy(aState.mCopies, aKey, aEntry.mShard, aEntry.mFlowClass, aNow);
  }
  CheckAt(aState, aKey, aEntry, aNow + kFirstCheck);
}

void
CloseFlow(TrafficState& aState,
          state::TimePoint aNow,
          const state::FlowKey& aKey,
          FlowEntry& aEntry)
{
  if (aEntry.mStage == FlowStage::Closed) {
    return;
  }
  if (aEntry.mStage == FlowStage::Opening) {
    Act(aState, DropHeld{ aEntry.mToken });
  }
  aEntry.mStage = FlowStage::Closed;
  if (aEntry.mCopied) {
    QueueEnd(aState.mCopies, RecordOf(aKey, aEntry), aEntry.mShard, aNow);
  }
  FreeAccount(aState, aNow, aEntry);
  state::Increment(aState.mCounters, "flows_closed_total");
  CheckAt(aState, aKey, aEntry, aNow + kClosedRetention);
}

void
ForgetFlow(TrafficState& aState,
           state::TimePoint aNow,
           const state::FlowKey& aKey)
{
  const auto found = aState.mFlows.find(aKey);
  if (found == aState.mFlows.end()) {
    return;
  }
  if (found->second.mStage == FlowStage::Queued) {
    CancelQueued(*AccountOf(aState, found->second.mShard, aNow).mShard,
                 found->second.mToken);
    aState.mQueued.erase(found->second.mToken);
    Act(aState, DropHeld{ found->second.mToken });
  }
  FreeAccount(aState, aNow, found->second);
  aState.mFlows.erase(found);
}

void
ReclassifyFlow(TrafficState& aState,
               state::TimePoint aNow,
               FlowEntry& aEntry,
               state::FlowClass aTo)
{
  if (!aEntry.mAccounted || aEntry.mFlowClass == aTo) {
    return;
  }
  Reclassify(*AccountOf(aState, aEntry.mShard, aNow).mShard,
             aEntry.mUpstream.mAddress,
             aEntry.mFlowClass,
             aTo);
  aEntry.mFlowClass = aTo;
  state::Increment(aState.mCounters, "flows_reclassified_total");
}

} // namespace sassafrasknot::coordination
