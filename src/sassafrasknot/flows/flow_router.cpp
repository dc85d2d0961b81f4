#include "sassafrasknot/flows/flow_router.hpp"

#include "sassafrasknot/flows/router_established.hpp"
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

/// Ignores missing answers to packets that were forwarded while this instance's
/// link is congested, since they may have been delayed or lost there.
void
UpdateEvidencePeriod(FlowRouter& aRouter, state::TimePoint aNow)
{
  if (IsCongested(aRouter.mLink, aNow)) {
    aRouter.mIgnoreEvidenceBefore = aNow;
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

} // namespace

std::string_view
ToString(Reason aReason)
{
  constexpr std::array<std::string_view, kReasonCount> names{
    "placed",   "replaced",      "repeated",        "established",
    "unrouted", "not_ready",     "no_route",        "no_upstream",
    "no_token", "unknown_token", "upstream_silent", "evacuated",
    "deferred", "link_full",     "service_full"
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
    if (!previous || previous->mConfiguration != configuration) {
      ApplyPriorities(aRouter.mCapacity, *configuration);
    }
    std::erase_if(aRouter.mFlowLengths, [&](const auto& aItem) {
      return !configuration->mRoutes.contains(aItem.first);
    });
    std::erase_if(aRouter.mBulk.mSizes, [&](const auto& aItem) {
      return !configuration->mRoutes.contains(aItem.first);
    });
    std::erase_if(aRouter.mWork.mRoutes, [&](const auto& aItem) {
      return !configuration->mRoutes.contains(aItem.first);
    });
    std::erase_if(aRouter.mWork.mAnswerSizes, [&](const auto& aItem) {
      return !configuration->mRoutes.contains(aItem.first);
    });
  }
  if (UpdateTable(aRouter.mUpstreams, *aRouter.mDirectory, aNow)) {
    BuildPools(
      aRouter.mUpstreams, aRouter.mSettings.mDataCentre, aRouter.mPosition);
  }
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
  UpdateCapacity(aRouter.mCapacity, aRouter.mUpstreams, aNow);
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
    MarkObserved(aRouter.mUpstreams, *record);
    const bool isOpenUnanswered =
      !entry.mEstablished && aNow - entry.mOpenSent >= kAnswerTimeout;
    if (isOpenUnanswered && entry.mMissingAnswers == 0 &&
        !entry.mMayBeDropped &&
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
