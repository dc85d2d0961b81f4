#include "sassafrasknot/flows/router_work.hpp"

#include "sassafrasknot/flows/answer_learning.hpp"

#include <algorithm>
#include <chrono>

namespace sassafrasknot::flows {

double
ExpectedRequestWork(const FlowRouter& aRouter,
                    const state::FlowKey& aFlow,
                    std::string_view aService,
                    state::TimePoint aNow)
{
  const auto* route = FindRouteWork(aRouter.mWork, aFlow.mService, aNow);
  const auto unit = MeanWork(aRouter.mWork, aService, aNow);
  if (route == nullptr || !unit) {
    return 1;
  }
  return route->mMean / *unit *
         CallerFactor(
           aRouter.mWork, aFlow.mService, aFlow.mCaller.mAddress, aNow);
}

void
RecordShortestHandshake(RecentHandshakes& aHandshakes,
                        state::Duration aDuration,
                        state::TimePoint aNow)
{
  // Routes change rarely; queues on the way empty within a period.
  constexpr std::chrono::seconds kPeriod{ 10 };
  if (aNow - aHandshakes.mPeriodStart > kPeriod) {
    aHandshakes.mPreviousShortest = aHandshakes.mShortest;
    aHandshakes.mShortest.reset();
    aHandshakes.mPeriodStart = aNow;
  }
  aHandshakes.mShortest =
    std::min(aHandshakes.mShortest.value_or(aDuration), aDuration);
}

void
RecordRequestData(const FlowRouter& aRouter,
                  const UpstreamRecord& aRecord,
                  const state::FlowKey& aFlow,
                  FlowEntry& aEntry,
                  bool aBeginsRequest,
                  state::TimePoint aNow)
{
  aEntry.mFoundFreeSlot =
    aRecord.mOwnLoad.mActiveRequests + aRecord.mPeerLoad.mActiveRequests <
    aRecord.mUpstream.mSlots;
  if (aBeginsRequest) {
    aEntry.mBacklog = static_cast<float>(
      ExpectedRequestWork(aRouter, aFlow, aRecord.mUpstream.mService, aNow));
  }
}

namespace {

/// Returns the time that a handshake takes, zero if it is not known.
state::Duration
HandshakeBaseline(const RecentHandshakes& aHandshakes)
{
  if (!aHandshakes.mShortest && !aHandshakes.mPreviousShortest) {
    return {};
  }
  return std::min(
    aHandshakes.mShortest.value_or(state::Duration::max()),
    aHandshakes.mPreviousShortest.value_or(state::Duration::max()));
}

/// Adapts the upstream's limit to an answer. Waiting in the queue of this
/// instance's own link, a slow start and an unknown handshake only make an
/// answer look later, so that an early one is evidence in spite of them.
void
RecordCapacity(FlowRouter& aRouter,
               UpstreamRecord& aRecord,
               const AnsweredRequest& aAnswer,
               bool aRetransmitted,
               state::TimePoint aNow)
{
  // An answer of an idle upstream is no rejection, and needs no judgement
  // without a limit, which it could only raise.
  if (aAnswer.mFoundFreeSlot && !aRecord.mCapacityLimit.mOwnLimit) {
    return;
  }
  // A rejection may come late, from the end of the upstream's queue, but is
  // short.
  const bool isEarly =
    !aRetransmitted && IsEarlyAnswer(aRouter.mWork, aRecord, aAnswer, aNow);
  if (!isEarly && !IsShortAnswer(aRouter.mWork, aAnswer, aNow)) {
    RecordCompletion(aRecord, aNow);
  } else if (!aAnswer.mFoundFreeSlot) {
    RecordRejection(aRouter.mCapacity, aRecord, aNow);
  }
}

} // namespace

void
LearnFromResponse(FlowRouter& aRouter,
                  UpstreamRecord& aRecord,
                  const state::FlowKey& aFlow,
                  const PacketFindings& aFindings,
                  bool aFoundFreeSlot,
                  state::TimePoint aNow)
{
  const auto& handshakes = aRecord.mHandshakes;
  const bool isRetransmitted =
    aFindings.mAnsweredSent != aFindings.mAnsweredCopySent;
  const AnsweredRequest answer{ aFlow.mService,
                                aFlow.mCaller.mAddress,
                                aNow - aFindings.mAnsweredSent -
                                  HandshakeBaseline(handshakes),
                                aFoundFreeSlot,
                                aFindings.mAnswerBytes };
  RecordCapacity(aRouter, aRecord, answer, isRetransmitted, aNow);
  if (isRetransmitted ||
      aFindings.mAnsweredSent < aRouter.mIgnoreEvidenceBefore ||
      aNow < aRecord.mWarmUpEnd ||
      !(handshakes.mShortest || handshakes.mPreviousShortest)) {
    return;
  }
  LearnFromAnswer(aRouter.mWork, aRecord, answer, aNow);
}

void
UpdateRemainingWork(const FlowRouter& aRouter,
                    UpstreamRecord& aRecord,
                    const state::FlowKey& aFlow,
                    FlowEntry& aEntry,
                    state::TimePoint aNow)
{
  // A request that waits in the queue has all its work left.
  if (!aEntry.mRequestActive || !aEntry.mEstablished ||
      !aEntry.mFoundFreeSlot) {
    return;
  }
  const auto* route = FindRouteWork(aRouter.mWork, aFlow.mService, aNow);
  const auto unit = MeanWork(aRouter.mWork, aRecord.mUpstream.mService, aNow);
  if (route == nullptr || !unit) {
    return;
  }
  const Work done =
    Work(aNow - aEntry.mNewDataSent) * Speed(aRecord.mSpeed, aNow);
  const auto remaining =
    static_cast<float>(ExpectedRemainingWork(*route, done) / *unit);
  aRecord.mExcessBacklog += static_cast<double>(remaining) - aEntry.mBacklog;
  aEntry.mBacklog = remaining;
}

void
UpdateReportAverages(FlowRouter& aRouter,
                     state::Duration aElapsed,
                     state::TimePoint aNow)
{
  for (auto& [service, pool] : aRouter.mUpstreams.mByService) {
    const auto meanWork = MeanWork(aRouter.mWork, service, aNow);
    // Loads of other upstreams are not reported.
    for (auto* record : pool.mIsSubset ? pool.mLocalCandidates : pool.mAll) {
      UpdateReportAverage(*record, meanWork, aElapsed);
    }
  }
}

} // namespace sassafrasknot::flows
