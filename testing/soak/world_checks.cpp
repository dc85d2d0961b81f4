#include <algorithm>

#include "world.hpp"

namespace soak {

using std::chrono::milliseconds;

namespace {

/// Bound of the platform on the time from the store's acknowledgement of a
/// drain until no new flow reaches the upstream.
constexpr milliseconds kDrainBound{ 3000 };

} // namespace

bool
World::IsInstanceStable(const Instance& aInstance) const
{
  const auto now = Clock::now();
  return IsStable(mDisturbances, aInstance.mName, now) &&
         IsStable(mDisturbances, aInstance.mName + kStartsSuffix, now) &&
         IsStable(mDisturbances, kStoreComponent, now);
}

bool
World::IsFlowStable(const Instance& aInstance, std::uint64_t aLabel) const
{
  const auto now = Clock::now();
  return IsStable(mDisturbances, aInstance.mName, now) &&
         IsStable(mDisturbances, FormatLabel(aLabel), now);
}

bool
World::IsRouteRemoved(const FlowEndpoints& aEndpoints,
                      Clock::time_point aOpeningTime) const
{
  const auto found =
    std::ranges::find(mTestRoutes, aEndpoints.second, &TestRoute::mEndpoint);
  return found != mTestRoutes.end() &&
         (!found->mIsPresent || aOpeningTime < found->mChangeTime);
}

void
World::CheckOpening(const std::string& aService,
                    std::uint64_t aLabel,
                    const FlowEndpoints& aEndpoints,
                    const Instance& aFrom)
{
  if ((aEndpoints.second == kIntake) != (aService == "intake")) {
    RecordViolation("ROUTE", aEndpoints, "it reaches service " + aService);
  }
  const auto now = Clock::now();
  if (const auto drained = mDrainTimes.find(aLabel);
      drained != mDrainTimes.end() && now - drained->second > kDrainBound &&
      IsInstanceStable(aFrom)) {
    RecordViolation(
      "DRAIN", aEndpoints, "upstream " + FormatLabel(aLabel) + " drains");
  }
  for (const auto& route : mTestRoutes) {
    if (route.mEndpoint == aEndpoints.second && !route.mIsPresent &&
        now - route.mChangeTime > kConfigurationBound &&
        IsInstanceStable(aFrom)) {
      RecordViolation("CONFIG", aEndpoints, "its route was removed");
    }
  }
}

UpstreamEvents
World::MakeUpstreamEvents(const std::string& aService,
                          std::uint64_t aLabel,
                          const std::string& aDataCentre)
{
  UpstreamEvents events;
  events.mOnInvalidPacket = [this](const auto& aEndpoints,
                                   const auto& aDescription) {
    RecordViolation("UNASKED", aEndpoints, aDescription);
  };
  events.mOnRequestStarted = [this](const auto& aRequest) {
    if (mOptions.mSabotage == "twice") {
      ++mRuns[aRequest];
    }
    if (mOptions.mSabotage == "not-run") {
      mNotRun.insert(aRequest);
    }
    if (++mRuns[aRequest] > 1) {
      RecordViolation("TWICE", {}, "request " + aRequest + " runs again");
    }
    if (mNotRun.contains(aRequest)) {
      RecordViolation(
        "NOT-RUN", {}, "request " + aRequest + " runs after its refusal");
    }
  };
  events.mOnOpeningReceived = [=, this](const auto& aEndpoints,
                                        const auto& aFrom) {
    CheckOpening(aService, aLabel, aEndpoints, InstanceAt(aFrom));
    CheckEvacuation(aLabel, aDataCentre, aEndpoints, InstanceAt(aFrom));
  };
  events.mOnFlowOpened = [=, this](const auto& aEndpoints) {
    mFlows[aEndpoints] = { aLabel, true, Clock::now() };
  };
  events.mOnUnknownFlow = [=, this](const auto& aEndpoints, const auto& aFrom) {
    const auto found = mFlows.find(aEndpoints);
    if (found != mFlows.end() && found->second.mIsOpen &&
        found->second.mLabel != aLabel &&
        IsFlowStable(InstanceAt(aFrom), found->second.mLabel)) {
      RecordViolation("FLOW", aEndpoints, "its packets reach another upstream");
    }
  };
  return events;
}

CallerEvents
World::MakeCallerEvents()
{
  CallerEvents events;
  events.mSendPacket =
    [this](auto aCaller, const auto& aEndpoints, const auto& aBytes) {
      RoutePacket(aCaller, aEndpoints, aBytes);
    };
  events.mOnFlowOpened = [this](const auto&) { ++mReport.mFlows; };
  events.mOnReset = [this](const auto& aEndpoints, const auto& aFrom) {
    const auto& instance = InstanceAt(aFrom);
    const auto found = mFlows.find(aEndpoints);
    if (found != mFlows.end() && found->second.mIsOpen &&
        !IsRouteRemoved(aEndpoints, found->second.mOpeningTime) &&
        IsFlowStable(instance, found->second.mLabel)) {
      RecordViolation(
        "FLOW", aEndpoints, "open, and reset by " + instance.mName);
    }
  };
  events.mOnInvalidPacket = [this](const auto& aEndpoints,
                                   const auto& aDescription) {
    RecordViolation("MIXED", aEndpoints, aDescription);
  };
  events.mOnNotRun = [this](const auto& aRequest) {
    mNotRun.insert(aRequest);
    if (mRuns.contains(aRequest)) {
      RecordViolation("NOT-RUN", {}, "request " + aRequest + " has run");
    }
  };
  events.mOnRequestEnded = [this](Outcome aOutcome,
                                  Clock::time_point aStartTime) {
    const bool isAfterRecovery =
      mRecoveryTime != Clock::time_point{} && aStartTime >= mRecoveryTime &&
      aStartTime < mRecoveryTime + kRecoveryCheckPeriod;
    mReport.mStartedAfterRecovery += isAfterRecovery ? 1 : 0;
    mReport.mServedAfterRecovery +=
      isAfterRecovery && aOutcome == Outcome::Served ? 1 : 0;
    auto& count = aOutcome == Outcome::Served   ? mReport.mServed
                  : aOutcome == Outcome::NotRun ? mReport.mNotRun
                                                : mReport.mMayHaveRun;
    ++count;
  };
  return events;
}

} // namespace soak
