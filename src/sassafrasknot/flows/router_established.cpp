#include "sassafrasknot/flows/router_established.hpp"

#include "sassafrasknot/flows/router_liveness.hpp"
#include "sassafrasknot/flows/router_placement.hpp"
#include "sassafrasknot/flows/router_work.hpp"

#include <algorithm>
#include <utility>

namespace sassafrasknot::flows {
namespace {

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

/// Returns whether a retransmission of a packet forwarded at aSent shows that
/// its answer is missing: neither did another packet overtake it, nor was this
/// process stalled since, nor may it have been dropped on this instance's own
/// link.
bool
IsMissingAnswer(const FlowRouter& aRouter,
                state::TimePoint aSent,
                bool aMayBeDropped,
                state::TimePoint aNow)
{
  return !aMayBeDropped && aNow - aSent >= kAnswerTimeout &&
         aSent >= aRouter.mIgnoreEvidenceBefore;
}

/// Records whether the packet may be dropped on this instance's own link. It
/// counts until an answer shows that the packets have arrived.
void
RecordPossibleDrop(const FlowRouter& aRouter,
                   FlowEntry& aEntry,
                   const CallerPacket& aPacket,
                   const PacketFindings& aFindings,
                   state::TimePoint aNow)
{
  if (aFindings.mAnswered) {
    aEntry.mMayBeDropped = false;
  }
  if (aPacket.mPayloadBytes > 0 && !aFindings.mRetransmitted) {
    aEntry.mMayBeDropped |= MayDropPacket(aRouter.mLink, aNow);
  }
}

/// Records that a caller has retransmitted data of an active request. Only the
/// first missing answer counts as evidence of a further flow, and only the
/// first one since the request is overdue as that of a further overdue flow.
void
RecordRetransmittedData(FlowRouter& aRouter,
                        UpstreamRecord& aRecord,
                        FlowEntry& aEntry,
                        state::TimePoint aNow)
{
  const auto lastSent = std::exchange(aEntry.mLastDataSent, aNow);
  const bool mayBeDropped =
    std::exchange(aEntry.mMayBeDropped, MayDropPacket(aRouter.mLink, aNow));
  if (!IsMissingAnswer(aRouter, lastSent, mayBeDropped, aNow)) {
    return;
  }
  if (++aEntry.mMissingAnswers == 1) {
    HandleRetransmission(
      aRouter, aRecord, RetransmittedPacket::Data, aEntry.mNewDataSent, aNow);
  }
  const auto before =
    std::exchange(aEntry.mUnansweredFor, aNow - aEntry.mNewDataSent);
  if (before < kOverdueAfter && aEntry.mUnansweredFor >= kOverdueAfter) {
    HandleOverdueRequest(aRouter, aRecord, aEntry.mNewDataSent, aNow);
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

bool
EndsFlow(const CallerPacket& aPacket)
{
  return aPacket.mKind == state::SegmentKind::Finish ||
         aPacket.mKind == state::SegmentKind::Reset;
}

/// Updates the flow's entry and load, and what is learned from it: the length
/// of flows, the work of requests, and the load of uploads on the own link.
/// @param aRoute the flow's route, or null if the configuration has none
PacketFindings
RecordObservations(FlowRouter& aRouter,
                   const CallerPacket& aPacket,
                   const Route* aRoute,
                   UpstreamRecord& aRecord,
                   FlowEntry& aEntry,
                   state::TimePoint aNow)
{
  AddLoad(aRecord, aEntry, -1);
  if (aEntry.mOpenedHere && !aEntry.mEstablished) {
    aRouter.mOpens.mAnswered += 1;
    RecordHandshake(aRouter.mLink, aNow - aEntry.mOpenSent, aNow);
    RecordShortestHandshake(aRecord.mHandshakes, aNow - aEntry.mOpenSent, aNow);
  }
  const auto requestsBefore = aEntry.mRequests;
  const bool foundFreeSlot = aEntry.mFoundFreeSlot;
  const auto findings = RecordPacket(aEntry, aPacket, aNow);
  RecordPossibleDrop(aRouter, aEntry, aPacket, findings, aNow);
  // The first request of a flow that was placed here is counted since then.
  if (aEntry.mRequests > requestsBefore &&
      (requestsBefore > 0 || !aEntry.mOpenedHere)) {
    RecordColdRequest(aRecord, aNow);
  }
  if (findings.mAnswersRequest && aRoute != nullptr) {
    LearnFromResponse(
      aRouter, aRecord, aPacket.mFlow, findings, foundFreeSlot, aNow);
  }
  if (aPacket.mPayloadBytes > 0 && aEntry.mNewDataSent == aNow) {
    RecordRequestData(aRouter,
                      aRecord,
                      aPacket.mFlow,
                      aEntry,
                      aEntry.mRequests != requestsBefore,
                      aNow);
  }
  if (aRoute != nullptr) {
    UpdateFlowLength(aRouter,
                     *aRoute,
                     aEntry,
                     requestsBefore,
                     aPacket.mKind == state::SegmentKind::Finish);
  }
  if (NeedsAdmission(aEntry.mKind) && aRouter.mLink.mBytesPerSecond > 0) {
    RecordUpload(aRouter, aEntry, aPacket, findings, aNow);
  }
  if (EndsFlow(aPacket)) {
    RemoveBulkFlow(aRouter.mBulk, aPacket.mFlow);
    aEntry.mRequestActive = false;
    aEntry.mCountedInLoad = false;
  }
  AddLoad(aRecord, aEntry, 1);
  return findings;
}

/// Updates the evidence against the flow's upstream.
void
UpdateEvidence(FlowRouter& aRouter,
               UpstreamRecord& aRecord,
               FlowEntry& aEntry,
               const PacketFindings& aFindings,
               state::TimePoint aNow)
{
  if (aFindings.mAnswered) {
    aRouter.mLinkVerifiedAt =
      std::max(aRouter.mLinkVerifiedAt, aFindings.mAnsweredSent);
    RecordLivenessChange(
      aRouter,
      aRecord,
      RecordAnswer(aRecord.mFailureDetector, aFindings.mAnsweredCopySent));
  } else if (aFindings.mRetransmitted && aEntry.mRequestActive) {
    RecordRetransmittedData(aRouter, aRecord, aEntry, aNow);
  }
}

} // namespace

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
  const auto findings =
    RecordObservations(aRouter, aPacket, route, *record, entry, aNow);
  UpdateEvidence(aRouter, *record, entry, findings, aNow);
  if (findings.mRetransmitted && IsIdempotent(entry.mKind) &&
      IsAbandoned(record->mFailureDetector,
                  entry.mMissingAnswers,
                  entry.mUnansweredFor)) {
    RemoveFlow(aRouter, aPacket.mFlow);
    return { PacketAction::Reset,
             Reason::UpstreamUnresponsive,
             state::Verdict::MayHaveRun,
             record };
  }
  if (EndsFlow(aPacket)) {
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

} // namespace sassafrasknot::flows
