#include "sassafrasknot/flows/router_placement.hpp"

#include "sassafrasknot/flows/router_liveness.hpp"
#include "sassafrasknot/flows/router_work.hpp"

#include <algorithm>
#include <optional>
#include <string>

namespace sassafrasknot::flows {
namespace {

/// Chooses one of a route's services by weight, the same one for all copies of
/// a flow's opening packet.
const std::string&
ChooseService(const Route& aRoute, const state::FlowKey& aFlow)
{
  std::uint64_t totalWeight = 0;
  for (const auto& service : aRoute.mServices) {
    totalWeight += service.mWeight;
  }
  auto offset = totalWeight == 0 ? 0 : state::Hash(aFlow) % totalWeight;
  for (const auto& service : aRoute.mServices) {
    if (offset < service.mWeight) {
      return service.mService;
    }
    offset -= service.mWeight;
  }
  return aRoute.mServices.front().mService;
}

/// Counts what the limits of cold upstreams did to a new flow.
/// @param aChosen upstream of the flow, or null if it is refused
void
CountColdOutcome(ColdCounters& aCounters,
                 const ServicePool& aPool,
                 const UpstreamRecord* aChosen,
                 FlowLength aLength,
                 state::TimePoint aNow)
{
  const auto isUsedUp = [&](const UpstreamRecord* aRecord) {
    return !AdmitsColdFlow(*aRecord, aLength, aNow);
  };
  if (std::ranges::any_of(aPool.mColdPlaced, isUsedUp)) {
    ++aCounters.mBudgetUsedUp;
  }
  if (aChosen == nullptr) {
    aCounters.mRefused += std::ranges::any_of(aPool.mAll, isUsedUp) ? 1 : 0;
  } else if (IsColdAndLimited(*aChosen, aNow)) {
    ++aCounters.mAdmitted;
  }
}

/// Chooses an upstream for a flow, or returns null if none accepts it.
UpstreamRecord*
ChooseForFlow(FlowRouter& aRouter,
              const CallerPacket& aPacket,
              const Route& aRoute,
              UpstreamToken aAvoid,
              bool aIsLimited,
              ChoiceReason& aReason,
              state::TimePoint aNow)
{
  const auto& service = ChooseService(aRoute, aPacket.mFlow);
  const auto found = aRouter.mUpstreams.mByService.find(service);
  if (found == aRouter.mUpstreams.mByService.end()) {
    return nullptr;
  }
  const auto length = ExpectedFlowLength(FindOrAddEstimate(aRouter, aRoute));
  const auto& pool = found->second;
  const auto work = ExpectedRequestWork(aRouter, aPacket.mFlow, service, aNow);
  std::optional<PriorityClass> priority;
  if (aIsLimited) {
    priority = ClassOf(aRouter.mCapacity, aRoute, service);
  }
  auto* chosen = ChooseUpstream(
    pool,
    { length, aRouter.mSettings.mDataCentre, aAvoid, work, priority },
    aRouter.mSettings.mPolicy,
    aRouter.mRandom,
    aNow,
    &aReason);
  if (aReason == ChoiceReason::NoCapacity) {
    return nullptr;
  }
  if (chosen == nullptr) {
    for (const auto& dataCentre : pool.mEvacuated) {
      ++aRouter.mEvacuationRefusals[dataCentre];
    }
  }
  CountColdOutcome(
    aRouter.mColdPlacement.mCounters, pool, chosen, length, aNow);
  return chosen;
}

/// Places a flow on an upstream and replaces the flow's entry.
Decision
PlaceOn(FlowRouter& aRouter,
        UpstreamRecord& aRecord,
        const CallerPacket& aPacket,
        const Route& aRoute,
        Reason aReason,
        state::TimePoint aNow)
{
  RecordTrial(aRecord.mFailureDetector, aNow);
  RecordColdFlow(aRecord, aNow);
  auto& entry = aRouter.mFlows[aPacket.mFlow];
  entry.mToken = aRecord.mToken;
  entry.mKind = aRoute.mKind;
  entry.mLength = ExpectedFlowLength(FindOrAddEstimate(aRouter, aRoute));
  entry.mOpenedHere = true;
  entry.mOpenSent = aNow;
  entry.mMayBeDropped = MayDropPacket(aRouter.mLink, aNow);
  entry.mLastPacket = aNow;
  entry.mCountedInLoad = true;
  // A caller opens a flow to send a request, which therefore counts already.
  entry.mRequestActive = true;
  entry.mBacklog = static_cast<float>(ExpectedRequestWork(
    aRouter, aPacket.mFlow, aRecord.mUpstream.mService, aNow));
  AddLoad(aRecord, entry, 1);
  return { PacketAction::Forward, aReason, state::Verdict::NotRun, &aRecord };
}

/// Returns the decision on an opening packet of a new upload for which this
/// instance's own link has no capacity, or nothing if the flow is admitted. The
/// flow gets no entry, so that it counts neither as an unanswered open nor as
/// load, and its next opening packet is decided on anew.
std::optional<Decision>
RefuseWithoutCapacity(FlowRouter& aRouter,
                      const CallerPacket& aPacket,
                      const Route& aRoute,
                      state::TimePoint aNow)
{
  if (!NeedsAdmission(aRoute.mKind)) {
    return std::nullopt;
  }
  switch (AdmitBulkFlow(aRouter.mBulk, aRouter.mLink, aPacket, aNow)) {
    case BulkVerdict::Admit:
      return std::nullopt;
    case BulkVerdict::Defer:
      return MakeRefusal(
        PacketAction::Discard, Reason::Deferred, state::Verdict::NotRun);
    case BulkVerdict::Refuse:
      break;
  }
  return MakeRefusal(
    PacketAction::Reset, Reason::LinkFull, state::Verdict::NotRun);
}

/// Chooses an upstream for a new or reassigned flow and replaces the flow's
/// entry. The upstream aAvoid is chosen only if there is no other.
Decision
PlaceFlow(FlowRouter& aRouter,
          const CallerPacket& aPacket,
          const Route& aRoute,
          UpstreamToken aAvoid,
          state::TimePoint aNow)
{
  // A retransmitted or duplicated opening packet is not limited: an earlier
  // copy may have been forwarded, so that the flow may exist at an upstream.
  const auto found = aRouter.mFlows.find(aPacket.mFlow);
  const bool isLimited =
    aPacket.mRetransmissions == 0 &&
    (found == aRouter.mFlows.end() || found->second.mEstablished);
  if (aAvoid == kNoToken) {
    if (auto refusal = RefuseWithoutCapacity(aRouter, aPacket, aRoute, aNow)) {
      return *refusal;
    }
  }
  RemoveFlow(aRouter, aPacket.mFlow);
  auto choice = ChoiceReason::OnlyOne;
  auto* record =
    ChooseForFlow(aRouter, aPacket, aRoute, aAvoid, isLimited, choice, aNow);
  if (isLimited) {
    const bool hasCapacity = choice != ChoiceReason::NoCapacity;
    auto& service =
      aRouter.mCapacity.mServices[ChooseService(aRoute, aPacket.mFlow)];
    const bool isOverloaded = RecordCapacityOutcome(service, hasCapacity, aNow);
    if (!hasCapacity && isOverloaded) {
      RemoveBulkFlow(aRouter.mBulk, aPacket.mFlow);
      return MakeRefusal(
        PacketAction::Reset, Reason::ServiceFull, state::Verdict::NotRun);
    }
    if (!hasCapacity) {
      record =
        ChooseForFlow(aRouter, aPacket, aRoute, aAvoid, false, choice, aNow);
    }
  }
  if (record == nullptr) {
    RemoveBulkFlow(aRouter.mBulk, aPacket.mFlow);
    return MakeRefusal(
      PacketAction::Reset, Reason::NoUpstream, state::Verdict::NotRun);
  }
  auto decision =
    PlaceOn(aRouter,
            *record,
            aPacket,
            aRoute,
            aAvoid == kNoToken ? Reason::Placed : Reason::Reassigned,
            aNow);
  decision.mChoice = choice;
  return decision;
}

/// Returns whether an opening packet is a copy that arrives after its flow was
/// established: the flow's data begin shortly after the packet's sequence
/// number. A new flow of the same port begins at a random one.
bool
IsLateCopy(const FlowEntry& aEntry, const CallerPacket& aPacket)
{
  constexpr std::uint32_t kMaxBytesSinceOpen = 1U << 20U;
  return aEntry.mEstablished &&
         aEntry.mNextSequence - aPacket.mSequence < kMaxBytesSinceOpen;
}

} // namespace

Decision
MakeRefusal(PacketAction aAction, Reason aReason, state::Verdict aVerdict)
{
  return { aAction, aReason, aVerdict, nullptr };
}

const Route*
FindRoute(const FlowRouter& aRouter, const state::Endpoint& aService)
{
  const auto& routes = aRouter.mDirectory->mConfiguration->mRoutes;
  const auto found = routes.find(aService);
  return found == routes.end() ? nullptr : &found->second;
}

FlowLengthEstimate&
FindOrAddEstimate(FlowRouter& aRouter, const Route& aRoute)
{
  return aRouter.mFlowLengths
    .try_emplace(aRoute.mEndpoint, MakeFlowLengthEstimate(aRoute.mKind))
    .first->second;
}

void
RemoveFlow(FlowRouter& aRouter, const state::FlowKey& aKey)
{
  if (const auto found = aRouter.mFlows.find(aKey);
      found != aRouter.mFlows.end()) {
    ReleaseLoad(aRouter, found->second);
    aRouter.mFlows.erase(found);
  }
}

Decision
OnOpen(FlowRouter& aRouter, const CallerPacket& aPacket, state::TimePoint aNow)
{
  const auto* route = FindRoute(aRouter, aPacket.mFlow.mService);
  if (route == nullptr || route->mServices.empty()) {
    return MakeRefusal(
      PacketAction::Reset, Reason::NoRoute, state::Verdict::NotRun);
  }
  const auto found = aRouter.mFlows.find(aPacket.mFlow);
  if (found == aRouter.mFlows.end() || aPacket.mRetransmissions == 0) {
    return PlaceFlow(aRouter, aPacket, *route, kNoToken, aNow);
  }
  auto& entry = found->second;
  auto* record = FindUpstream(aRouter.mUpstreams, entry.mToken);
  if (entry.mEstablished && !IsLateCopy(entry, aPacket)) {
    return PlaceFlow(aRouter, aPacket, *route, kNoToken, aNow);
  }
  // A caller that retransmits its opening packet has received no answer. The
  // flow is reassigned only once the answer is overdue, since two upstreams
  // must not both answer one opening packet.
  const bool isAnswerOverdue =
    !entry.mEstablished && aNow - entry.mOpenSent >= kAnswerTimeout;
  if (record != nullptr && !isAnswerOverdue) {
    if (record->mEvacuated && !entry.mEstablished) {
      // The upstream must not accept the flow any more, but may have answered
      // the first packet.
      return {
        PacketAction::Discard, Reason::Evacuated, state::Verdict::NotRun, record
      };
    }
    return { PacketAction::Forward,
             Reason::Retransmitted,
             state::Verdict::NotRun,
             record };
  }
  if (record != nullptr && !entry.mMayBeDropped) {
    HandleRetransmission(
      aRouter, *record, RetransmittedPacket::Open, entry.mOpenSent, aNow);
  }
  auto decision = PlaceFlow(aRouter, aPacket, *route, entry.mToken, aNow);
  decision.mPreviousUpstream = record;
  return decision;
}

} // namespace sassafrasknot::flows
