#include "sassafrasknot/flows/flow_router.hpp"

#include "sassafrasknot/flows/router_liveness.hpp"
#include "sassafrasknot/flows/router_placement.hpp"
#include "sassafrasknot/flows/router_work.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace sassafrasknot::flows {
namespace {

using std::chrono::milliseconds;

/// An active request whose flow has had no packet for this time is no longer
/// counted as load, nor is one whose flow's opening packet is unanswered for
/// kAnswerTimeout, since upstreams answer it at once. A flow that is not
/// established this long after its opening packet is removed: their packets
/// probably reach another instance.
constexpr milliseconds kActivityTimeout{ 2000 };
/// If the interval between two ticks is longer than this time, the process
/// itself was stalled and packets were delayed. Missing answers to packets that
/// were forwarded before the end of the stall are then no evidence against
/// upstreams. The threshold is several times the regular interval of ticks.
constexpr milliseconds kStallThreshold{ 100 };
/// Idle time after which flow entries are removed while no configuration is
/// known.
constexpr std::chrono::seconds kDefaultIdleTimeout{ 15 };

/// Records the flow's length once it is known: at its second request, or at its
/// end if all of its requests were seen here.
void
UpdateFlowLength(FlowRouter& aRouter,
                 const Route& aRoute,
                 FlowEntry& aEntry,
                 std::uint32_t aRequestsBefore,
                 bool aFinished)
{
  if (aRequestsBefore == 1 && aEntry.mRequests == 2) {
    aEntry.mLength = FlowLength::ManyRequests;
    RecordFlowLength(FindOrAddEstimate(aRouter, aRoute), aEntry.mLength);
  } else if (aFinished && aEntry.mOpenedHere && aEntry.mRequests == 1) {
    RecordFlowLength(FindOrAddEstimate(aRouter, aRoute),
                     FlowLength::SingleRequest);
  }
}

/// Records the kind and the expected length of a flow that another instance has
/// placed.
void
ApplyRoute(FlowRouter& aRouter,
           const Route& aRoute,
           UpstreamRecord& aRecord,
           FlowEntry& aEntry)
{
  AddLoad(aRecord, aEntry, -1);
  aEntry.mUnroutedSince.reset();
  aEntry.mKind = aRoute.mKind;
  aEntry.mLength = ExpectedFlowLength(FindOrAddEstimate(aRouter, aRoute));
  aEntry.mCountedInLoad = true;
  AddLoad(aRecord, aEntry, 1);
}

/// Applies the limits of cold upstreams after a change of the table or pools.
void
ApplyColdLimits(FlowRouter& aRouter, state::TimePoint aNow)
{
  UpdateColdLimits(aRouter.mColdPlacement,
                   aRouter.mUpstreams,
                   aRouter.mDirectory ? aRouter.mDirectory->mConfiguration.get()
                                      : nullptr,
                   aRouter.mSettings.mColdBounds,
                   aNow);
}

/// Returns the entry of an established flow. If there is none, or if it names
/// an upstream other than aRecord, it is made anew as that of a flow which
/// another instance has placed on aRecord.
/// @param aRoute the flow's route, or null if the configuration has none
FlowEntry&
FindOrAddEntry(FlowRouter& aRouter,
               const CallerPacket& aPacket,
               const Route* aRoute,
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
    // Another instance has placed the flow.
    entry.mEstablished = true;
    entry.mNextSequence = aPacket.mSequence;
    entry.mAcknowledged = aPacket.mAcknowledged;
    entry.mToken = aRecord.mToken;
    entry.mOpenSent = aNow;
    entry.mUnroutedSince = aNow;
  }
  if (entry.mUnroutedSince && aRoute != nullptr) {
    ApplyRoute(aRouter, *aRoute, aRecord, entry);
  }
  return entry;
}

/// Returns whether a configuration has dropped the route of a flow for which
/// the present one has none. Otherwise the flow may belong to a route that was
/// added by a configuration which only other instances have received so far.
bool
IsRouteDropped(const FlowRouter& aRouter, const FlowEntry& aEntry)
{
  return !aEntry.mUnroutedSince ||
         aRouter.mDirectoryConfirmedAt >
           *aEntry.mUnroutedSince + kConfirmationMargin;
}

/// Resets a flow whose route was dropped. The entry stays until the flow is
/// idle, so that further packets are reset too.
Decision
RefuseDroppedRoute(FlowRouter& aRouter,
                   FlowEntry& aEntry,
                   state::TimePoint aNow)
{
  ReleaseLoad(aRouter, aEntry);
  aEntry.mCountedInLoad = false;
  aEntry.mRequestActive = false;
  aEntry.mLastPacket = aNow;
  return MakeRefusal(
    PacketAction::Reset, Reason::NoRoute, state::Verdict::MayHaveRun);
}

/// Ignores missing answers to packets that were forwarded while this instance's
/// link is congested, since they may have been delayed or lost there.
void
UpdateEvidencePeriod(FlowRouter& aRouter, state::TimePoint aNow)
{
  if (IsCongested(aRouter.mLink, aNow)) {
    aRouter.mIgnoreEvidenceBefore = aNow;
  }
}

/// Returns whether a retransmission of a packet forwarded at aSent shows that
/// its answer is missing: neither did another packet overtake it, nor was this
/// process stalled since.
bool
IsMissingAnswer(const FlowRouter& aRouter,
                state::TimePoint aSent,
                state::TimePoint aNow)
{
  return aNow - aSent >= kAnswerTimeout &&
         aSent >= aRouter.mIgnoreEvidenceBefore;
}

/// Records that a caller has retransmitted data of an active request. Only the
/// first missing answer counts as evidence of a further flow.
void
RecordRetransmittedData(FlowRouter& aRouter,
                        UpstreamRecord& aRecord,
                        FlowEntry& aEntry,
                        state::TimePoint aNow)
{
  const auto lastSent = std::exchange(aEntry.mLastDataSent, aNow);
  if (!IsMissingAnswer(aRouter, lastSent, aNow)) {
    return;
  }
  if (++aEntry.mMissingAnswers == 1) {
    HandleRetransmission(
      aRouter, aRecord, RetransmittedPacket::Data, aEntry.mNewDataSent, aNow);
  }
}

/// Records what a packet of an upload shows about its load on this instance's
/// own link. Retransmitted data do not start an upload: they may follow the
/// answer that has ended it.
void
RecordUpload(FlowRouter& aRouter,
             const FlowEntry& aEntry,
             const CallerPacket& aPacket,
             const PacketFindings& aFindings,
             state::TimePoint aNow)
{
  if (aFindings.mAnswersRequest) {
    RecordBulkAnswer(aRouter.mBulk, aPacket.mFlow, aNow);
  }
  if (aPacket.mPayloadBytes > 0 &&
      (!aFindings.mRetransmitted ||
       aRouter.mBulk.mFlows.contains(aPacket.mFlow))) {
    RecordBulkData(aRouter.mBulk, aPacket, aEntry.mNextSequence, aNow);
  }
}

/// Starts the warm-up of the upstreams whose data centre is no longer
/// evacuated: without requests, they may have become cold.
void
RestartWarmUpsAfterEvacuation(FlowRouter& aRouter,
                              const Directory& aPrevious,
                              state::TimePoint aNow)
{
  for (const auto& [dataCentre, revision] : aPrevious.mEvacuations) {
    if (!aRouter.mDirectory->mEvacuations.contains(dataCentre)) {
      RestartWarmUps(aRouter.mUpstreams, dataCentre, aNow);
    }
  }
}

/// Decides on a packet of an established flow and records what it shows. The
/// packet goes to the upstream that its token names. Reset instead are flows
/// whose route was dropped, and idempotent flows that retransmit to a reported
/// or unresponsive upstream; see IsAbandoned.
Decision
OnEstablished(FlowRouter& aRouter,
              const CallerPacket& aPacket,
              state::TimePoint aNow)
{
  const auto* route = FindRoute(aRouter, aPacket.mFlow.mService);
  if (aPacket.mToken == kNoToken) {
    return MakeRefusal(
      PacketAction::Discard, Reason::NoToken, state::Verdict::NotRun);
  }
  auto* record = FindUpstream(aRouter.mUpstreams, aPacket.mToken);
  if (record == nullptr) {
    return MakeRefusal(
      PacketAction::Discard, Reason::UnknownToken, state::Verdict::MayHaveRun);
  }
  auto& entry = FindOrAddEntry(aRouter, aPacket, route, *record, aNow);
  if (route == nullptr && IsRouteDropped(aRouter, entry)) {
    return RefuseDroppedRoute(aRouter, entry, aNow);
  }
  AddLoad(*record, entry, -1);
  if (entry.mOpenedHere && !entry.mEstablished) {
    aRouter.mOpens.mAnswered += 1;
    RecordHandshake(aRouter.mLink, aNow - entry.mOpenSent, aNow);
    RecordShortestHandshake(record->mHandshakes, aNow - entry.mOpenSent, aNow);
  }
  const auto requestsBefore = entry.mRequests;
  const bool foundFreeSlot = entry.mFoundFreeSlot;
  const auto findings = RecordPacket(entry, aPacket, aNow);
  // The first request of a flow that was placed here is counted since then.
  if (entry.mRequests > requestsBefore &&
      (requestsBefore > 0 || !entry.mOpenedHere)) {
    RecordColdRequest(*record, aNow);
  }
  if (findings.mAnswersRequest && route != nullptr) {
    LearnFromResponse(
      aRouter, *record, aPacket.mFlow, findings, foundFreeSlot, aNow);
  }
  if (aPacket.mPayloadBytes > 0 && entry.mNewDataSent == aNow) {
    RecordRequestData(aRouter,
                      *record,
                      aPacket.mFlow,
                      entry,
                      entry.mRequests != requestsBefore,
                      aNow);
  }
  const bool endsFlow = aPacket.mKind == state::SegmentKind::Finish ||
                        aPacket.mKind == state::SegmentKind::Reset;
  if (route != nullptr) {
    UpdateFlowLength(aRouter,
                     *route,
                     entry,
                     requestsBefore,
                     aPacket.mKind == state::SegmentKind::Finish);
  }
  if (NeedsAdmission(entry.mKind) && aRouter.mLink.mBytesPerSecond > 0) {
    RecordUpload(aRouter, entry, aPacket, findings, aNow);
  }
  if (endsFlow) {
    RemoveBulkFlow(aRouter.mBulk, aPacket.mFlow);
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
      RecordAnswer(record->mFailureDetector, findings.mAnsweredCopySent));
  } else if (findings.mRetransmitted && entry.mRequestActive) {
    RecordRetransmittedData(aRouter, *record, entry, aNow);
  }
  if (findings.mRetransmitted && IsIdempotent(entry.mKind) &&
      IsAbandoned(record->mFailureDetector, entry.mMissingAnswers)) {
    RemoveFlow(aRouter, aPacket.mFlow);
    return { PacketAction::Reset,
             Reason::UpstreamUnresponsive,
             state::Verdict::MayHaveRun,
             record };
  }
  if (endsFlow) {
    aRouter.mFlows.erase(aPacket.mFlow);
  }
  Decision decision{ PacketAction::Forward,
                     route == nullptr ? Reason::Unrouted : Reason::Established,
                     state::Verdict::MayHaveRun,
                     record };
  if (findings.mAnswersRequest) {
    decision.mResponseTime = aNow - findings.mAnsweredSent;
  }
  return decision;
}

} // namespace

std::string_view
ToString(Reason aReason)
{
  constexpr std::array<std::string_view, kReasonCount> names{
    "placed",   "replaced",      "repeated",        "established",
    "unrouted", "not_ready",     "no_route",        "no_upstream",
    "no_token", "unknown_token", "upstream_silent", "evacuated",
    "deferred", "link_full"
  };
  return names[static_cast<std::size_t>(aReason)];
}

FlowRouter
MakeRouter(RouterSettings aSettings)
{
  FlowRouter router;
  router.mRandom.seed(aSettings.mRandomSeed);
  router.mLink = MakeLinkMonitor(aSettings.mLinkMbps);
  router.mSettings = std::move(aSettings);
  return router;
}

void
OnDirectory(FlowRouter& aRouter,
            std::shared_ptr<const Directory> aDirectory,
            state::TimePoint aNow)
{
  const auto previous =
    std::exchange(aRouter.mDirectory, std::move(aDirectory));
  if (const auto& configuration = aRouter.mDirectory->mConfiguration) {
    std::erase_if(aRouter.mFlowLengths, [&](const auto& aItem) {
      return !configuration->mRoutes.contains(aItem.first);
    });
    std::erase_if(aRouter.mBulk.mSizes, [&](const auto& aItem) {
      return !configuration->mRoutes.contains(aItem.first);
    });
    std::erase_if(aRouter.mWork.mRoutes, [&](const auto& aItem) {
      return !configuration->mRoutes.contains(aItem.first);
    });
  }
  UpdateTable(aRouter.mUpstreams, *aRouter.mDirectory, aNow);
  BuildPools(
    aRouter.mUpstreams, aRouter.mSettings.mDataCentre, aRouter.mPosition);
  ApplyColdLimits(aRouter, aNow);
  if (previous) {
    RestartWarmUpsAfterEvacuation(aRouter, *previous, aNow);
  }
}

void
OnDirectoryConfirmed(FlowRouter& aRouter, state::TimePoint aConfirmedAt)
{
  aRouter.mDirectoryConfirmedAt =
    std::max(aRouter.mDirectoryConfirmedAt, aConfirmedAt);
}

void
OnPosition(FlowRouter& aRouter,
           const InstancePosition& aPosition,
           state::TimePoint aNow)
{
  if (aRouter.mPosition != aPosition) {
    aRouter.mPosition = aPosition;
    BuildPools(aRouter.mUpstreams, aRouter.mSettings.mDataCentre, aPosition);
    ApplyColdLimits(aRouter, aNow);
  }
}

void
OnFleetView(FlowRouter& aRouter, FleetView aView, state::TimePoint aNow)
{
  UpdateFleetView(
    aRouter.mColdPlacement, aRouter.mUpstreams, std::move(aView), aNow);
}

Decision
OnPacket(FlowRouter& aRouter,
         const CallerPacket& aPacket,
         state::TimePoint aNow)
{
  if (!aRouter.mDirectory || !aRouter.mDirectory->mConfiguration) {
    return MakeRefusal(
      PacketAction::Hold, Reason::NotReady, state::Verdict::NotRun);
  }
  UpdateEvidencePeriod(aRouter, aNow);
  auto decision = aPacket.mKind == state::SegmentKind::Open
                    ? OnOpen(aRouter, aPacket, aNow)
                    : OnEstablished(aRouter, aPacket, aNow);
  if (decision.mAction == PacketAction::Forward) {
    RecordForwarded(aRouter.mLink, aPacket.mPayloadBytes, aNow);
    const auto* route = FindRoute(aRouter, aPacket.mFlow.mService);
    RecordLinkBytes(aRouter.mBulk,
                    aPacket.mPayloadBytes,
                    route != nullptr && NeedsAdmission(route->mKind));
  }
  return decision;
}

void
OnTick(FlowRouter& aRouter, state::TimePoint aNow)
{
  UpdateEvidencePeriod(aRouter, aNow);
  if (aNow - aRouter.mLastTick > kStallThreshold) {
    aRouter.mIgnoreEvidenceBefore = aNow;
  }
  UpdateLoadAverages(aRouter.mUpstreams, aNow - aRouter.mLastTick);
  UpdateReportAverages(aRouter, aNow - aRouter.mLastTick, aNow);
  DecayOpenOutcomes(aRouter.mOpens, aNow - aRouter.mLastTick);
  UpdateBulkAdmission(aRouter.mBulk, aNow - aRouter.mLastTick, aNow);
  aRouter.mLastTick = aNow;
  const auto& configuration =
    aRouter.mDirectory ? aRouter.mDirectory->mConfiguration : nullptr;
  const state::Duration idleTimeout =
    configuration ? state::Duration(configuration->mIdleTimeout)
                  : state::Duration(kDefaultIdleTimeout);
  for (auto it = aRouter.mFlows.begin(); it != aRouter.mFlows.end();) {
    auto& entry = it->second;
    auto* record = FindUpstream(aRouter.mUpstreams, entry.mToken);
    const bool isExpired =
      aNow - entry.mLastPacket > idleTimeout ||
      (!entry.mEstablished && aNow - entry.mOpenSent > kActivityTimeout);
    if (isExpired || record == nullptr) {
      ReleaseLoad(aRouter, entry);
      it = aRouter.mFlows.erase(it);
      continue;
    }
    const bool isOpenUnanswered =
      !entry.mEstablished && aNow - entry.mOpenSent >= kAnswerTimeout;
    if (isOpenUnanswered && entry.mMissingAnswers == 0 &&
        entry.mOpenSent >= aRouter.mIgnoreEvidenceBefore) {
      entry.mMissingAnswers = 1;
      aRouter.mOpens.mUnanswered += 1;
      RecordLivenessChange(
        aRouter,
        *record,
        RecordUnansweredOpen(record->mFailureDetector, entry.mOpenSent, aNow));
    }
    if (entry.mRequestActive &&
        (isOpenUnanswered || aNow - entry.mLastPacket > kActivityTimeout)) {
      AddLoad(*record, entry, -1);
      entry.mRequestActive = false;
      AddLoad(*record, entry, 1);
    }
    UpdateRemainingWork(aRouter, *record, it->first, entry, aNow);
    ++it;
  }
  DiscardWidespreadUnansweredOpens(aRouter);
}

} // namespace sassafrasknot::flows
