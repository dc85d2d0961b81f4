#include "sassafrasknot/edge/traffic_log.hpp"

#include "sassafrasknot/edge/traffic_loop.hpp"
#include "sassafrasknot/net/clock.hpp"

#include <chrono>
#include <cmath>
#include <utility>

namespace sassafrasknot::edge {
namespace {

using std::chrono::milliseconds;

std::string_view
ToText(flows::Liveness aLiveness)
{
  switch (aLiveness) {
    case flows::Liveness::Responsive:
      return "answers";
    case flows::Liveness::Suspected:
      return "suspected";
    case flows::Liveness::Reported:
      return "reported";
    case flows::Liveness::Unresponsive:
      break;
  }
  return "silent";
}

std::string
YesOrNo(bool aValue)
{
  return aValue ? "yes" : "no";
}

std::string_view
ToText(flows::Presence aPresence)
{
  switch (aPresence) {
    case flows::Presence::Listed:
      return "listed";
    case flows::Presence::Expired:
      return "missing";
    case flows::Presence::Removed:
      break;
  }
  return "gone";
}

/// Returns the milliseconds since a time, or "never" for the default one.
std::string
AgeText(state::TimePoint aTime, state::TimePoint aNow)
{
  if (aTime == state::TimePoint{}) {
    return "never";
  }
  const auto age = std::chrono::duration_cast<milliseconds>(aNow - aTime);
  return std::to_string(age.count());
}

/// Adds the priority of a route and the number of limited upstreams of its
/// services.
void
AddServiceFields(const flows::FlowRouter& aRouter,
                 const state::Endpoint& aRoute,
                 net::LogFields& aFields)
{
  const auto& routes = aRouter.mDirectory->mConfiguration->mRoutes;
  const auto route = routes.find(aRoute);
  if (route == routes.end()) {
    return;
  }
  std::size_t limited = 0;
  for (const auto& service : route->second.mServices) {
    const auto found = aRouter.mCapacity.mServices.find(service.mService);
    limited += found == aRouter.mCapacity.mServices.end()
                 ? 0
                 : found->second.mLimitedUpstreams;
  }
  aFields.emplace_back("priority", std::to_string(route->second.mPriority));
  aFields.emplace_back("limited_upstreams", std::to_string(limited));
}

} // namespace

std::string
FormatFlow(const state::FlowKey& aFlow)
{
  return ToString(aFlow.mCaller) + ">" + ToString(aFlow.mService);
}

std::string
FormatUpstreams(const flows::FlowRouter& aRouter, state::TimePoint aNow)
{
  std::string text;
  for (const auto& [token, record] : aRouter.mUpstreams.mByToken) {
    const auto& detector = record.mFailureDetector;
    const auto& cold = record.mColdAdmission;
    const bool isColdPlaced = cold.mIsPlacing &&
                              flows::IsColdAndLimited(record, aNow) &&
                              aNow <= cold.mValidUntil;
    const auto limitedRate = cold.mIsLimited ? cold.mRequestsPerSecond : 0;
    const net::LogFields fields{
      { "token", std::to_string(token) },
      { "service", record.mUpstream.mService },
      { "address", ToString(record.mUpstream.mAddress) },
      { "data_centre", record.mUpstream.mDataCentre.mValue },
      { "presence", std::string(ToText(record.mPresence)) },
      { "draining", YesOrNo(record.mUpstream.mDraining) },
      { "evacuated", YesOrNo(record.mEvacuated) },
      { "cold", YesOrNo(aNow < record.mWarmUpEnd) },
      { "cold_placed_here", YesOrNo(isColdPlaced) },
      { "cold_budget", std::to_string(limitedRate) },
      { "cold_admitted", std::to_string(cold.mAdmittedFlows) },
      { "own_feeds", std::to_string(record.mOwnLoad.mFeeds) },
      { "own_at_work", std::to_string(record.mOwnLoad.mActiveRequests) },
      { "peers_feeds", std::to_string(record.mPeerLoad.mFeeds) },
      { "peers_at_work", std::to_string(record.mPeerLoad.mActiveRequests) },
      { "backlog", std::to_string(flows::ExpectedBacklog(record, aNow)) },
      { "speed", std::to_string(flows::Speed(record.mSpeed, aNow)) },
      { "speed_samples", std::to_string(record.mSpeed.mSamples) },
      { "speed_age_ms", AgeText(record.mSpeed.mUpdatedAt, aNow) },
      { "shared_speed", std::to_string(record.mSpeed.mSharedSpeed) },
      { "shared_by", std::to_string(record.mSpeed.mShared.mReporters) },
      { "early_answers", std::to_string(record.mEarlyAnswerCount) },
      { "own_limit",
        record.mCapacityLimit.mOwnLimit
          ? std::to_string(*record.mCapacityLimit.mOwnLimit)
          : "none" },
      { "rejections", std::to_string(record.mCapacityLimit.mRejections) },
      { "liveness", std::string(ToText(detector.mLiveness)) },
      { "repeated", std::to_string(detector.mRetransmittingFlows) },
      { "unseen", std::to_string(detector.mUnansweredOpens) },
      { "told", YesOrNo(detector.mReported) },
      { "cut_off", YesOrNo(detector.mDataCentreUnreachable) },
    };
    text += "upstream " + record.mUpstream.mId;
    for (const auto& [key, value] : fields) {
      text += ' ';
      text += key;
      text += '=';
      text += value;
    }
    text += "\n";
  }
  for (const auto& [service, size] : aRouter.mBulk.mSizes) {
    const auto age =
      std::chrono::duration_cast<std::chrono::seconds>(aNow - size.mUpdated);
    text += "uploads service=" + ToString(service) +
            " mean_bytes=" + std::to_string(std::llround(size.mMeanBytes)) +
            " samples=" + std::to_string(size.mSamples) +
            " age_s=" + std::to_string(age.count()) + "\n";
  }
  for (const auto& [endpoint, work] : aRouter.mWork.mRoutes) {
    const auto mean =
      std::chrono::duration_cast<std::chrono::microseconds>(work.mMean);
    text += "route_work " + ToString(endpoint) +
            " mean_us=" + std::to_string(mean.count()) +
            " samples=" + std::to_string(work.mSamples) +
            " age_ms=" + AgeText(work.mUpdatedAt, aNow) + '\n';
  }
  return text;
}

void
TrafficLoop::LogDecision(const flows::CallerPacket& aPacket,
                         const flows::Decision& aDecision)
{
  net::LogFields fields{
    { "flow", FormatFlow(aPacket.mFlow) },
    { "verdict", std::string(ToString(aDecision.mVerdict)) },
    { "copy", std::to_string(aPacket.mRetransmissions) },
  };
  if (mRouter.mDirectory) {
    fields.emplace_back("revision",
                        std::to_string(mRouter.mDirectory->mRevision));
  }
  if (const auto* record = aDecision.mUpstream) {
    fields.emplace_back("upstream", record->mUpstream.mId);
    fields.emplace_back("data_centre", record->mUpstream.mDataCentre.mValue);
    fields.emplace_back("own_at_work",
                        std::to_string(record->mOwnLoad.mActiveRequests));
    fields.emplace_back("peers_at_work",
                        std::to_string(record->mPeerLoad.mActiveRequests));
    if (aDecision.mChoice) {
      fields.emplace_back("chosen_by",
                          std::string(ToString(*aDecision.mChoice)));
    }
  } else if (aPacket.mToken != flows::kNoToken) {
    fields.emplace_back("token", std::to_string(aPacket.mToken));
  }
  if (const auto* previous = aDecision.mPreviousUpstream) {
    fields.emplace_back("left", previous->mUpstream.mId);
  }
  if (aDecision.mReason == flows::Reason::Deferred ||
      aDecision.mReason == flows::Reason::LinkFull) {
    const auto delay = std::chrono::duration_cast<milliseconds>(
      flows::ExpectedQueueDelay(mRouter.mBulk, mRouter.mLink));
    fields.emplace_back("queue_ms", std::to_string(delay.count()));
    fields.emplace_back("uploads", std::to_string(mRouter.mBulk.mSendingFlows));
  }
  if (aDecision.mReason == flows::Reason::ServiceFull) {
    AddServiceFields(mRouter, aPacket.mFlow.mService, fields);
  }
  mLog->Write("flow_" + std::string(ToString(aDecision.mReason)), fields);
}

void
TrafficLoop::LogLivenessChanges()
{
  const auto now = net::Now();
  for (const auto& change : std::exchange(mRouter.mLivenessChanges, {})) {
    const bool isResponsive = change.mLiveness == flows::Liveness::Responsive;
    Increment(isResponsive ? mMetrics->mDetectedRecoveries
                           : mMetrics->mDetectedFailures);
    const auto* record = flows::FindUpstream(mRouter.mUpstreams, change.mToken);
    if (record == nullptr) {
      continue;
    }
    const auto age = std::chrono::duration_cast<milliseconds>(
      now - record->mFailureDetector.mLastAnsweredSent);
    mLog->Write(
      "upstream_" + std::string(ToText(change.mLiveness)),
      { { "upstream", record->mUpstream.mId },
        { "data_centre", record->mUpstream.mDataCentre.mValue },
        { "repeated",
          std::to_string(record->mFailureDetector.mRetransmittingFlows) },
        { "unseen", std::to_string(record->mFailureDetector.mUnansweredOpens) },
        { "told", YesOrNo(record->mFailureDetector.mReported) },
        { "cut_off", YesOrNo(record->mFailureDetector.mDataCentreUnreachable) },
        { "last_sign_ms", std::to_string(age.count()) } });
  }
}

} // namespace sassafrasknot::edge
