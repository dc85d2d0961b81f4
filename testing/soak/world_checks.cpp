#include "world.hpp"

namespace soak {

using std::chrono::milliseconds;

namespace {

/// Bound of the platform after its store has acknowledged a drain.
constexpr milliseconds kDrainBound{ 3000 };

} // namespace

bool
World::IsInTouch(const Instance& aInstance) const
{
  const auto now = Clock::now();
  return IsCalm(mDisturbances, aInstance.mName, now) &&
         IsCalm(mDisturbances, aInstance.mName + kStarts, now) &&
         IsCalm(mDisturbances, kStorePart, now);
}

bool
World::IsFlowCalm(const Instance& aInstance, std::uint64_t aLabel) const
{
  const auto now = Clock::now();
  return IsCalm(mDisturbances, aInstance.mName, now) &&
         IsCalm(mDisturbances, Hex(aLabel), now);
}

void
World::CheckOpening(const std::string& aService,
                    std::uint64_t aLabel,
                    const FlowEnds& aEnds,
                    const Instance& aFrom)
{
  if ((aEnds.second == kIntake) != (aService == "intake")) {
    Violate("ROUTE", aEnds, "it reaches service " + aService);
  }
  const auto now = Clock::now();
  if (const auto drained = mDrained.find(aLabel);
      drained != mDrained.end() && now - drained->second > kDrainBound &&
      IsInTouch(aFrom)) {
    Violate("DRAIN", aEnds, "upstream " + Hex(aLabel) + " drains");
  }
  for (const auto& route : mTestRoutes) {
    if (route.mEndpoint == aEnds.second && !route.mIsPresent &&
        now - route.mSince > kConfigurationBound && IsInTouch(aFrom)) {
      Violate("CONFIG", aEnds, "its route was removed");
    }
  }
}

UpstreamEvents
World::MakeUpstreamEvents(const std::string& aService, std::uint64_t aLabel)
{
  UpstreamEvents events;
  events.mForged = [this](const auto& aEnds, const auto& aWhat) {
    Violate("UNASKED", aEnds, aWhat);
  };
  events.mRuns = [this](const auto& aRequest) {
    if (mOptions.mSabotage == "twice") {
      ++mRuns[aRequest];
    }
    if (mOptions.mSabotage == "not-run") {
      mNotRun.insert(aRequest);
    }
    if (++mRuns[aRequest] > 1) {
      Violate("TWICE", {}, "request " + aRequest + " runs again");
    }
    if (mNotRun.contains(aRequest)) {
      Violate("NOT-RUN", {}, "request " + aRequest + " runs after its refusal");
    }
  };
  events.mOpening = [=, this](const auto& aEnds, const auto& aFrom) {
    CheckOpening(aService, aLabel, aEnds, InstanceAt(aFrom));
  };
  events.mOpened = [=, this](const auto& aEnds) {
    mFlows[aEnds] = { aLabel, true };
  };
  events.mUnknownFlow = [=, this](const auto& aEnds, const auto& aFrom) {
    const auto found = mFlows.find(aEnds);
    if (found != mFlows.end() && found->second.mIsOpen &&
        found->second.mLabel != aLabel &&
        IsFlowCalm(InstanceAt(aFrom), found->second.mLabel)) {
      Violate("FLOW", aEnds, "its packets reach another upstream");
    }
  };
  return events;
}

CallerEvents
World::MakeCallerEvents()
{
  CallerEvents events;
  events.mSend = [this](auto aCaller, const auto& aEnds, const auto& aBytes) {
    Route(aCaller, aEnds, aBytes);
  };
  events.mOpened = [this](const auto&) { ++mReport.mFlows; };
  events.mReset = [this](const auto& aEnds, const auto& aFrom) {
    const auto& instance = InstanceAt(aFrom);
    const auto found = mFlows.find(aEnds);
    if (found != mFlows.end() && found->second.mIsOpen &&
        IsFlowCalm(instance, found->second.mLabel)) {
      Violate("FLOW", aEnds, "open, and reset by " + instance.mName);
    }
  };
  events.mForged = [this](const auto& aEnds, const auto& aWhat) {
    Violate("MIXED", aEnds, aWhat);
  };
  events.mNotRun = [this](const auto& aRequest) {
    mNotRun.insert(aRequest);
    if (mRuns.contains(aRequest)) {
      Violate("NOT-RUN", {}, "request " + aRequest + " has run");
    }
  };
  events.mEnded = [this](Outcome aOutcome, Clock::time_point aBegan) {
    const bool isLate = mLateFrom != Clock::time_point{} &&
                        aBegan >= mLateFrom && aBegan < mLateFrom + kLate;
    mReport.mLateAsked += isLate ? 1 : 0;
    mReport.mLateServed += isLate && aOutcome == Outcome::Served ? 1 : 0;
    auto& count = aOutcome == Outcome::Served   ? mReport.mServed
                  : aOutcome == Outcome::NotRun ? mReport.mNotRun
                                                : mReport.mUnknown;
    ++count;
  };
  return events;
}

} // namespace soak
