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
    Release(aRouter, found->second);
    aRouter.mFlows.erase(found);
  }
}

Decision
Refuse(Step aStep, Reason aReason, state::Verdict aVerdict)
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
      FlowToken aAvoid,
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
    return Refuse(Step::Reset, Reason::NoUpstream, state::Verdict::NotRun);
  }
  NoteTrial(record->mSilence, aNow);
  auto& entry = aRouter.mFlows[aPacket.mFlow];
  entry.mToken = record->mToken;
  entry.mKind = aRoute.mKind;
  entry.mOpened = aNow;
  entry.mLastPacket = aNow;
  entry.mCounted = true;
  // A flow opens for a request, which is on its way already.
  entry.mAtWork = true;
  AddLoad(*record, entry, 1);
  return { Step::Forward,
           aAvoid == kNoToken ? Reason::Placed : Reason::Replaced,
           state::Verdict::NotRun,
           record };
}

Decision
OnOpen(FlowRouter& aRouter, const CallerPacket& aPacket, state::TimePoint aNow)
{
  const auto* route = FindRoute(aRouter, aPacket.mFlow.mService);
  if (route == nullptr || route->mServices.empty()) {
    return Refuse(Step::Reset, Reason::NoRoute, state::Verdict::NotRun);
  }
  const auto found = aRouter.mFlows.find(aPacket.mFlow);
  if (found == aRouter.mFlows.end() || found->second.mOpen ||
      aPacket.mCopy == 0) {
    return Place(aRouter, aPacket, *route, kNoToken, aNow);
  }
  auto& entry = found->second;
  auto* record = FindUpstream(aRouter.mUpstreams, entry.mToken);
  // A caller that sends a copy has no answer. If the upstream had time enough
  // to answer, then a second one cannot answer beside it.
  const bool hadTime = aNow - entry.mOpened >= kAnswerTime;
  if (record != nullptr && !hadTime) {
    return { Step::Forward, Reason::Repeated, state::Verdict::NotRun, record };
  }
  if (record != nullptr) {
    NoteRepetition(aRouter, *record, entry.mOpened, aNow);
  }
  auto decision = Place(aRouter, aPacket, *route, entry.mToken, aNow);
  decision.mLeft = record;
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
    Release(aRouter, entry);
    entry = {};
  }
  if (entry.mToken == kNoToken) {
    // The flow was placed by another instance, some time ago.
    entry.mOpen = true;
    entry.mNextSequence = aPacket.mSequence;
    entry.mAcknowledged = aPacket.mAcknowledged;
    entry.mToken = aRecord.mToken;
    entry.mKind = aRoute.mKind;
    entry.mOpened = aNow;
    entry.mCounted = true;
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
    return Refuse(Step::Reset, Reason::NoRoute, state::Verdict::MayHaveRun);
  }
  if (aPacket.mToken == kNoToken) {
    return Refuse(Step::Discard, Reason::NoToken, state::Verdict::NotRun);
  }
  auto* record = FindUpstream(aRouter.mUpstreams, aPacket.mToken);
  if (record == nullptr) {
    return Refuse(
      Step::Discard, Reason::UnknownToken, state::Verdict::MayHaveRun);
  }
  auto& entry = EntryOf(aRouter, aPacket, *route, *record, aNow);
  AddLoad(*record, entry, -1);
  const auto findings = NotePacket(entry, aPacket, aNow);
  const bool isEnd = aPacket.mKind == state::SegmentKind::Finish ||
                     aPacket.mKind == state::SegmentKind::Reset;
  if (isEnd) {
    entry.mAtWork = false;
    entry.mCounted = false;
  }
  AddLoad(*record, entry, 1);
  if (findings.mAnswered) {
    aRouter.mProof = std::max(aRouter.mProof, findings.mAnsweredSent);
    NoteChange(
      aRouter, *record, NoteSign(record->mSilence, findings.mAnsweredSent));
  } else if (findings.mRepeated && entry.mAtWork && !entry.mSilenceNoted) {
    entry.mSilenceNoted = true;
    NoteRepetition(aRouter, *record, entry.mNewData, aNow);
  }
  if (record->mSilence.mLiveness == Liveness::Silent && aPacket.mPayload > 0 &&
      entry.mKind == RequestKind::Idempotent) {
    Forget(aRouter, aPacket.mFlow);
    return {
      Step::Reset, Reason::UpstreamSilent, state::Verdict::MayHaveRun, record
    };
  }
  if (isEnd) {
    aRouter.mFlows.erase(aPacket.mFlow);
  }
  Decision decision{
    Step::Forward, Reason::Established, state::Verdict::MayHaveRun, record
  };
  if (findings.mEndsRequest) {
    decision.mAnswerTime = aNow - findings.mAnsweredSent;
  }
  return decision;
}

} // namespace

std::string_view
ToString(Reason aReason)
{
  constexpr std::array<std::string_view, kReasons> names{
    "placed",   "replaced",    "repeated", "established",   "not_ready",
    "no_route", "no_upstream", "no_token", "unknown_token", "upstream_silent"
  };
  return names[static_cast<std::size_t>(aReason)];
}

FlowRouter
MakeRouter(RouterSettings aSettings)
{
  FlowRouter router;
  router.mRandom.seed(aSettings.mSeed);
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
  FormPools(aRouter.mUpstreams, aRouter.mSettings.mDataCentre, aRouter.mPlace);
}

void
OnPlace(FlowRouter& aRouter, const FleetPlace& aPlace)
{
  if (aRouter.mPlace != aPlace) {
    aRouter.mPlace = aPlace;
    FormPools(aRouter.mUpstreams, aRouter.mSettings.mDataCentre, aPlace);
  }
}

Decision
OnPacket(FlowRouter& aRouter,
         const CallerPacket& aPacket,
         state::TimePoint aNow)
{
  if (!aRouter.mDirectory || !aRouter.mDirectory->mConfiguration) {
    return Refuse(Step::Hold, Reason::NotReady, state::Verdict::NotRun);
  }
  return aPacket.mKind == state::SegmentKind::Open
           ? OnOpen(aRouter, aPacket, aNow)
           : OnEstablished(aRouter, aPacket, aNow);
}

void
OnTick(FlowRouter& aRouter, state::TimePoint aNow)
{
  if (aNow - aRouter.mLastTick > kStall) {
    aRouter.mEvidenceFrom = aNow;
  }
  AverageBusy(aRouter.mUpstreams, aNow - aRouter.mLastTick);
  aRouter.mLastTick = aNow;
  const auto& configuration =
    aRouter.mDirectory ? aRouter.mDirectory->mConfiguration : nullptr;
  const state::Duration idle = configuration
                                 ? state::Duration(configuration->mIdleTimeout)
                                 : state::Duration(kIdleDefault);
  for (auto it = aRouter.mFlows.begin(); it != aRouter.mFlows.end();) {
    auto& entry = it->second;
    auto* record = FindUpstream(aRouter.mUpstreams, entry.mToken);
    const bool isOld = aNow - entry.mLastPacket > idle ||
                       (!entry.mOpen && aNow - entry.mOpened > kWorkUnseen);
    if (isOld || record == nullptr) {
      Release(aRouter, entry);
      it = aRouter.mFlows.erase(it);
      continue;
    }
    if (!entry.mOpen && !entry.mSilenceNoted &&
        entry.mOpened >= aRouter.mEvidenceFrom &&
        aNow - entry.mOpened >= kAnswerTime) {
      entry.mSilenceNoted = true;
      NoteChange(
        aRouter, *record, NoteUnseen(record->mSilence, entry.mOpened, aNow));
    }
    if (entry.mAtWork && aNow - entry.mLastPacket > kWorkUnseen) {
      AddLoad(*record, entry, -1);
      entry.mAtWork = false;
      AddLoad(*record, entry, 1);
    }
    ++it;
  }
}

} // namespace sassafrasknot::flows
