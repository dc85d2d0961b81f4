#include "sassafrasknot/flows/flow_router.hpp"

#include "sassafrasknot/flows/router_liveness.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace sassafrasknot::flows {
namespace {

using std::chrono::milliseconds;

/// Requests that last longer than this are taken to continue elsewhere, since
/// no packet of the flow was seen for as long.
constexpr milliseconds kWorkUnseen{ 2000 };
/// A pause between ticks that shows that this instance itself was held up, and
/// packets with it; several times the period of ticks.
constexpr milliseconds kStall{ 100 };
/// Entries of flows without packets are forgotten after this time.
constexpr std::chrono::seconds kIdleDefault{ 15 };

void
Forget(FlowRouter& aRouter, const state::FlowKey& aKey)
{
  if (const auto found = aRouter.mFlows.find(aKey);
      found != aRouter.mFlows.end()) {
    ReleaseLoad(aRouter, found->second);
    aRouter.mFlows.erase(found);
  }
}

Decision
Refuse(PacketAction aStep, Reason aReason, state::Verdict aVerdict)
{
  return { aStep, aReason, aVerdict, nullptr };
}

const Route*
FindRoute(const FlowRouter& aRouter, const state::Endpoint& aService)
{
  const auto& routes = aRouter.mDirectory->mConfiguration->mRoutes;
  const auto found = routes.find(aService);
  return found == routes.end() ? nullptr : &found->second;
}

/// Chooses one of a route's services by weight, alike for all copies of a
/// flow's opening packet.
const std::string&
ChooseService(const Route& aRoute, const state::FlowKey& aFlow)
{
  std::uint64_t sum = 0;
  for (const auto& service : aRoute.mServices) {
    sum += service.mWeight;
  }
  auto point = sum == 0 ? 0 : state::Hash(aFlow) % sum;
  for (const auto& service : aRoute.mServices) {
    if (point < service.mWeight) {
      return service.mService;
    }
    point -= service.mWeight;
  }
  return aRoute.mServices.front().mService;
}

Decision
Place(FlowRouter& aRouter,
      const CallerPacket& aPacket,
      const Route& aRoute,
      UpstreamToken aAvoid,
      state::TimePoint aNow)
{
  const auto& service = ChooseService(aRoute, aPacket.mFlow);
  const auto found = aRouter.mUpstreams.mByService.find(service);
  UpstreamRecord* record = nullptr;
  if (found != aRouter.mUpstreams.mByService.end()) {
    record =
      ChooseUpstream(found->second,
                     { aRoute.mKind, aRouter.mSettings.mDataCentre, aAvoid },
                     aRouter.mSettings.mPolicy,
                     aRouter.mRandom,
                     aNow);
  }
  Forget(aRouter, aPacket.mFlow);
  if (record == nullptr) {
    return Refuse(
      PacketAction::Reset, Reason::NoUpstream, state::Verdict::NotRun);
  }
  RecordTrial(record->mFailureDetector, aNow);
  auto& entry = aRouter.mFlows[aPacket.mFlow];
  entry.mToken = record->mToken;
  entry.mKind = aRoute.mKind;
  entry.mOpenSent = aNow;
  entry.mLastPacket = aNow;
  entry.mCountedInLoad = true;
  // A flow opens for a request, which is on its way already.
  entry.mRequestActive = true;
  AddLoad(*record, entry, 1);
  return { PacketAction::Forward,
           aAvoid == kNoToken ? Reason::Placed : Reason::Reassigned,
           state::Verdict::NotRun,
           record };
}

Decision
OnOpen(FlowRouter& aRouter, const CallerPacket& aPacket, state::TimePoint aNow)
{
  const auto* route = FindRoute(aRouter, aPacket.mFlow.mService);
  if (route == nullptr || route->mServices.empty()) {
    return Refuse(PacketAction::Reset, Reason::NoRoute, state::Verdict::NotRun);
  }
  const auto found = aRouter.mFlows.find(aPacket.mFlow);
  if (found == aRouter.mFlows.end() || found->second.mEstablished ||
      aPacket.mRetransmissions == 0) {
    return Place(aRouter, aPacket, *route, kNoToken, aNow);
  }
  auto& entry = found->second;
  auto* record = FindUpstream(aRouter.mUpstreams, entry.mToken);
  // A caller that sends a copy has no answer. If the upstream had time enough
  // to answer, then a second one cannot answer beside it.
  const bool hadTime = aNow - entry.mOpenSent >= kAnswerTimeout;
  if (record != nullptr && !hadTime) {
    return { PacketAction::Forward,
             Reason::Retransmitted,
             state::Verdict::NotRun,
             record };
  }
  if (record != nullptr) {
    HandleRetransmission(aRouter, *record, entry.mOpenSent, aNow);
  }
  auto decision = Place(aRouter, aPacket, *route, entry.mToken, aNow);
  decision.mPreviousUpstream = record;
  return decision;
}

FlowEntry&
EntryOf(FlowRouter& aRouter,
        const CallerPacket& aPacket,
        const Route& aRoute,
        UpstreamRecord& aRecord,
        state::TimePoint aNow)
{
  const auto [found, isNew] = aRouter.mFlows.try_emplace(aPacket.mFlow);
  auto& entry = found->second;
  if (!isNew && entry.mToken != aRecord.mToken) {
    ReleaseLoad(aRouter, entry);
    entry = {};
  }
  if (entry.mToken == kNoToken) {
    // The flow was placed by another instance, some time ago.
    entry.mEstablished = true;
    entry.mNextSequence = aPacket.mSequence;
    entry.mAcknowledged = aPacket.mAcknowledged;
    entry.mToken = aRecord.mToken;
    entry.mKind = aRoute.mKind;
    entry.mOpenSent = aNow;
    entry.mCountedInLoad = true;
    AddLoad(aRecord, entry, 1);
  }
  return entry;
}

Decision
OnEstablished(FlowRouter& aRouter,
              const CallerPacket& aPacket,
              state::TimePoint aNow)
{
  const auto* route = FindRoute(aRouter, aPacket.mFlow.mService);
  if (route == nullptr) {
    Forget(aRouter, aPacket.mFlow);
    return Refuse(
      PacketAction::Reset, Reason::NoRoute, state::Verdict::MayHaveRun);
  }
  if (aPacket.mToken == kNoToken) {
    return Refuse(
      PacketAction::Discard, Reason::NoToken, state::Verdict::NotRun);
  }
  auto* record = FindUpstream(aRouter.mUpstreams, aPacket.mToken);
  if (record == nullptr) {
    return Refuse(
      PacketAction::Discard, Reason::UnknownToken, state::Verdict::MayHaveRun);
  }
  auto& entry = EntryOf(aRouter, aPacket, *route, *record, aNow);
  AddLoad(*record, entry, -1);
  const auto findings = RecordPacket(entry, aPacket, aNow);
  const bool isEnd = aPacket.mKind == state::SegmentKind::Finish ||
                     aPacket.mKind == state::SegmentKind::Reset;
  if (isEnd) {
    entry.mRequestActive = false;
    entry.mCountedInLoad = false;
  }
  AddLoad(*record, entry, 1);
  if (findings.mAnswered) {
    aRouter.mLinkVerifiedAt =
      std::max(aRouter.mLinkVerifiedAt, findings.mAnsweredSent);
    RecordLivenessChange(
      aRouter,
      *record,
      RecordAnswer(record->mFailureDetector, findings.mAnsweredSent));
  } else if (findings.mRetransmitted && entry.mRequestActive &&
             !entry.mMissingAnswerRecorded) {
    entry.mMissingAnswerRecorded = true;
    HandleRetransmission(aRouter, *record, entry.mNewDataSent, aNow);
  }
  if (record->mFailureDetector.mLiveness == Liveness::Unresponsive &&
      aPacket.mPayloadBytes > 0 && entry.mKind == RequestKind::Idempotent) {
    Forget(aRouter, aPacket.mFlow);
    return { PacketAction::Reset,
             Reason::UpstreamUnresponsive,
             state::Verdict::MayHaveRun,
             record };
  }
  if (isEnd) {
    aRouter.mFlows.erase(aPacket.mFlow);
  }
  Decision decision{ PacketAction::Forward,
                     Reason::Established,
                     state::Verdict::MayHaveRun,
                     record };
  if (findings.mEndsRequest) {
    decision.mResponseTime = aNow - findings.mAnsweredSent;
  }
  return decision;
}

} // namespace

std::string_view
ToString(Reason aReason)
{
  constexpr std::array<std::string_view, kReasonCount> names{
    "placed",   "replaced",    "repeated", "established",   "not_ready",
    "no_route", "no_upstream", "no_token", "unknown_token", "upstream_silent"
  };
  return names[static_cast<std::size_t>(aReason)];
}

FlowRouter
MakeRouter(RouterSettings aSettings)
{
  FlowRouter router;
  router.mRandom.seed(aSettings.mRandomSeed);
  router.mSettings = std::move(aSettings);
  return router;
}

void
OnDirectory(FlowRouter& aRouter,
            std::shared_ptr<const Directory> aDirectory,
            state::TimePoint aNow)
{
  aRouter.mDirectory = std::move(aDirectory);
  UpdateTable(aRouter.mUpstreams, *aRouter.mDirectory, aNow);
  BuildPools(
    aRouter.mUpstreams, aRouter.mSettings.mDataCentre, aRouter.mPosition);
}

void
OnPosition(FlowRouter& aRouter, const InstancePosition& aPlace)
{
  if (aRouter.mPosition != aPlace) {
    aRouter.mPosition = aPlace;
    BuildPools(aRouter.mUpstreams, aRouter.mSettings.mDataCentre, aPlace);
  }
}

Decision
OnPacket(FlowRouter& aRouter,
         const CallerPacket& aPacket,
         state::TimePoint aNow)
{
  if (!aRouter.mDirectory || !aRouter.mDirectory->mConfiguration) {
    return Refuse(PacketAction::Hold, Reason::NotReady, state::Verdict::NotRun);
  }
  return aPacket.mKind == state::SegmentKind::Open
           ? OnOpen(aRouter, aPacket, aNow)
           : OnEstablished(aRouter, aPacket, aNow);
}

void
OnTick(FlowRouter& aRouter, state::TimePoint aNow)
{
  if (aNow - aRouter.mLastTick > kStall) {
    aRouter.mIgnoreEvidenceBefore = aNow;
  }
  UpdateLoadAverages(aRouter.mUpstreams, aNow - aRouter.mLastTick);
  aRouter.mLastTick = aNow;
  const auto& configuration =
    aRouter.mDirectory ? aRouter.mDirectory->mConfiguration : nullptr;
  const state::Duration idle = configuration
                                 ? state::Duration(configuration->mIdleTimeout)
                                 : state::Duration(kIdleDefault);
  for (auto it = aRouter.mFlows.begin(); it != aRouter.mFlows.end();) {
    auto& entry = it->second;
    auto* record = FindUpstream(aRouter.mUpstreams, entry.mToken);
    const bool isOld =
      aNow - entry.mLastPacket > idle ||
      (!entry.mEstablished && aNow - entry.mOpenSent > kWorkUnseen);
    if (isOld || record == nullptr) {
      ReleaseLoad(aRouter, entry);
      it = aRouter.mFlows.erase(it);
      continue;
    }
    if (!entry.mEstablished && !entry.mMissingAnswerRecorded &&
        entry.mOpenSent >= aRouter.mIgnoreEvidenceBefore &&
        aNow - entry.mOpenSent >= kAnswerTimeout) {
      entry.mMissingAnswerRecorded = true;
      RecordLivenessChange(
        aRouter,
        *record,
        RecordUnansweredOpen(record->mFailureDetector, entry.mOpenSent, aNow));
    }
    if (entry.mRequestActive && aNow - entry.mLastPacket > kWorkUnseen) {
      AddLoad(*record, entry, -1);
      entry.mRequestActive = false;
      AddLoad(*record, entry, 1);
    }
    ++it;
  }
}

} // namespace sassafrasknot::flows
