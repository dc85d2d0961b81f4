#include "world.hpp"

#include "sassafrasknot/net/http_client.hpp"
#include "sassafrasknot/state/flow.hpp"

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <sstream>

#include <sys/wait.h>

namespace soak {

namespace state = sassafrasknot::state;
namespace net = sassafrasknot::net;
using std::chrono::milliseconds;

namespace {

/// Bound of the platform on the recovery from a fault.
constexpr milliseconds kRecovery{ 12000 };
/// Period of the routers' readiness checks, and misses that end the rotation.
constexpr milliseconds kReadinessPeriod{ 500 };
constexpr milliseconds kReadinessTimeout{ 400 };
constexpr int kMisses = 2;
/// A process that has ended starts again after this time.
constexpr milliseconds kRestartPause{ 300 };
/// Time from the start of the processes to that of traffic.
constexpr milliseconds kLead{ 2000 };
constexpr milliseconds kTick{ 50 };
constexpr milliseconds kProbePeriod{ 700 };

} // namespace

std::string
Hex(std::uint64_t aLabel)
{
  std::ostringstream text;
  text << std::hex << std::setw(8) << std::setfill('0') << aLabel;
  return text.str();
}

std::vector<Instance*>
World::Rotation(const std::string& aDataCentre)
{
  std::vector<Instance*> all;
  std::vector<Instance*> ready;
  for (const auto& instance : mInstances) {
    if (instance->mDataCentre == aDataCentre) {
      all.push_back(instance.get());
      if (instance->mMissed < kMisses) {
        ready.push_back(instance.get());
      }
    }
  }
  return ready.size() * 2 < all.size() ? all : ready;
}

void
World::Route(std::size_t aCaller,
             const FlowEnds& aEnds,
             const std::string& aBytes)
{
  if (mOptions.mSabotage == "reset") {
    ResetOpenFlow(aEnds, aBytes);
  }
  const auto rotation = Rotation(DataCentreOf(aCaller));
  const auto hash = state::Hash({ aEnds.first, aEnds.second });
  const auto& instance = *rotation[hash % rotation.size()];
  Deliver(mAddresses.Instance(instance.mNumber, kTrafficPort), aCaller, aBytes);
}

void
World::Deliver(const Endpoint& aInstance,
               std::size_t aCaller,
               const std::string& aBytes)
{
  const auto chance = [this](double aShare) {
    return std::bernoulli_distribution(aShare)(mRandom);
  };
  const auto send = [this, aInstance, aCaller, aBytes] {
    mCallers[aCaller]->SendTo(aInstance, aBytes);
  };
  if (chance(mLoss)) {
    return;
  }
  // A part of the packets comes late, so that others overtake them.
  if (chance(mLoss)) {
    constexpr milliseconds kReordered{ 15 };
    After(mContext, kReordered, send);
  } else {
    send();
  }
  if (chance(mLoss)) {
    send();
  }
}

void
World::RelayFleet(Instance& aTo, const Endpoint& aFrom, std::string_view aBytes)
{
  const auto& from = InstanceAt(aFrom);
  const bool isBetween = from.mDataCentre != aTo.mDataCentre &&
                         (from.mDataCentre == "a" || aTo.mDataCentre == "a");
  const bool isLost = std::bernoulli_distribution(mLoss)(mRandom);
  if (aTo.mCutsTo > 0 || from.mCutsFrom > 0 ||
      (mDataCentreCuts > 0 && isBetween) || isLost) {
    return;
  }
  aTo.mFleetRelay->Send(mAddresses.Instance(aTo.mNumber, kFleetPort), aBytes);
}

bool
World::IsCut(const Instance& aInstance, std::size_t aUpstreamNumber) const
{
  const auto dataCentre = DataCentreOf(aUpstreamNumber);
  return mDataCentreCuts > 0 && dataCentre != aInstance.mDataCentre &&
         (dataCentre == "a" || aInstance.mDataCentre == "a");
}

std::string
World::DataCentreOf(std::size_t aNumber) const
{
  return { static_cast<char>('a' + aNumber % mOptions.mDataCentres) };
}

Instance&
World::InstanceAt(const Endpoint& aEndpoint)
{
  return *mInstances.at(NumberOf(aEndpoint) % mInstances.size());
}

void
World::CheckReadiness()
{
  for (auto& instance : mInstances) {
    net::StartGet(mContext.get_executor(),
                  { mAddresses.Instance(instance->mNumber, kReadinessPort),
                    "/-/ready",
                    kReadinessTimeout,
                    kReadinessTimeout },
                  [checked = instance.get()](const auto& aAnswer) {
                    const bool isReady =
                      aAnswer && aAnswer.value().mStatus == 200;
                    checked->mMissed = isReady ? 0 : checked->mMissed + 1;
                  });
  }
}

void
World::CheckProcesses()
{
  for (auto& instance : mInstances) {
    if (!instance->mProcess) {
      continue;
    }
    const auto ended = instance->mProcess->Ended();
    if (instance->mIsStopping && !ended && !instance->mIsPaused &&
        Clock::now() - instance->mStopSent > kGrace &&
        IsCalm(mDisturbances, instance->mName, Clock::now())) {
      Violate("STOP", {}, instance->mName + " has not ended within its grace");
      instance->mProcess->Signal(SIGKILL);
      instance->mWasKilled = true;
    }
    if (!ended) {
      continue;
    }
    const bool isClean = WIFEXITED(*ended) && WEXITSTATUS(*ended) == 0;
    if (!instance->mWasKilled && !(instance->mIsStopping && isClean)) {
      Violate("ENDS",
              {},
              instance->mName + " ended by itself, status " +
                std::to_string(*ended));
    }
    instance->mProcess.reset();
    DisturbPart(instance->mName + kStarts, kRestartPause);
    After(mContext, kRestartPause, [this, ended = instance.get()] {
      if (!mIsOver && !mHoldsStarts) {
        StartProcess(*ended);
      }
    });
  }
}

void
World::ProbeRoutes()
{
  if (mTestRoutes.empty()) {
    return;
  }
  const auto number = mRandom() % mTestRoutes.size();
  auto& instance = *mInstances[mRandom() % mInstances.size()];
  if (!instance.mProcess || instance.mIsStopping || instance.mMissed > 0) {
    return;
  }
  const auto route = mTestRoutes[number];
  const auto caller = mRandom() % mCallers.size();
  const bool isDue = Clock::now() - route.mSince > kConfigurationBound;
  ++mReport.mProbes;
  mCallers[caller]->Probe(
    route.mEndpoint,
    mAddresses.Instance(instance.mNumber, kTrafficPort),
    [this, number, route, &instance, isDue](const auto& aEnds, auto aAccepted) {
      const bool isSame = mTestRoutes[number].mSince == route.mSince;
      if (!aAccepted || !isDue || !isSame || *aAccepted == route.mIsPresent ||
          !IsInTouch(instance)) {
        return;
      }
      Violate("CONFIG",
              aEnds,
              std::string(route.mIsPresent ? "an added route is refused by "
                                           : "a removed route is served by ") +
                instance.mName);
    });
}

void
World::Ask()
{
  const auto ask = [this](RequestKind aKind, const Endpoint& aService) {
    mCallers[mRandom() % mCallers.size()]->Ask(aKind, aService);
  };
  const double perTick =
    mOptions.mRequestsPerSecond * std::chrono::duration<double>(kTick).count();
  std::poisson_distribution<int> arrivals(perTick);
  for (int i = arrivals(mRandom); i > 0; --i) {
    ask(RequestKind::Confirmation, kDeskOnce);
  }
  for (int i = arrivals(mRandom); i > 0; --i) {
    ask(RequestKind::Upload, kIntake);
  }
  // Feeds last for about ten seconds.
  constexpr double kFeedSeconds = 10;
  std::poisson_distribution<int> feeds(
    static_cast<double>(mOptions.mFeeds) / kFeedSeconds *
    std::chrono::duration<double>(kTick).count());
  for (int i = feeds(mRandom); i > 0; --i) {
    ask(RequestKind::Feed, kDesk);
  }
}

void
World::DisturbAll(milliseconds aFor)
{
  for (const auto& instance : mInstances) {
    DisturbPart(instance->mName, aFor);
  }
  for (const auto& upstream : mUpstreams) {
    DisturbPart(Hex(upstream->mLabel), aFor);
  }
}

void
World::DisturbPart(const std::string& aPart, milliseconds aFor)
{
  Disturb(mDisturbances, aPart, Clock::now() + aFor);
}

void
World::Violate(const std::string& aRule,
               const FlowEnds& aEnds,
               const std::string& aWhat)
{
  mReport.mViolations.push_back(
    { aRule,
      std::chrono::duration_cast<milliseconds>(Clock::now() - mStart),
      aEnds == FlowEnds{} ? "" : FlowText(aEnds),
      aWhat });
}

void
World::Every(milliseconds aPeriod, std::function<void()> aAction)
{
  After(mContext, aPeriod, [this, aPeriod, action = std::move(aAction)] {
    if (!mIsOver) {
      action();
      Every(aPeriod, action);
    }
  });
}

Report
World::Run()
{
  mStart = Clock::now() + kLead;
  Every(kTick, [this] { CheckProcesses(); });
  Every(kReadinessPeriod, [this] { CheckReadiness(); });
  After(mContext, kLead, [this] {
    Every(kTick, [this] { Ask(); });
    Every(kProbePeriod, [this] { ProbeRoutes(); });
    Sabotage();
  });
  milliseconds end = mOptions.mLength;
  for (const auto& fault : MakePlan(mOptions.mSeed, mOptions.mLength)) {
    end = std::max(end, fault.mAt + fault.mFor);
    After(mContext, kLead + fault.mAt, [this, fault] { Execute(fault); });
  }
  const auto recovered = kLead + end + kRecovery;
  After(mContext, recovered, [this] { mLateFrom = Clock::now(); });
  // Requests that began late may take until their deadline and its retries.
  constexpr milliseconds kAnswers{ 4000 };
  After(mContext, recovered + kLate + kAnswers, [this] { mContext.stop(); });
  mContext.run();
  mIsOver = true;
  if (mReport.mLateServed * 4 < mReport.mLateAsked || mReport.mLateAsked == 0) {
    Violate("RECOVER", {}, "less than a quarter is served");
  }
  return mReport;
}

std::string
FlowText(const FlowEnds& aEnds)
{
  return state::ToString(aEnds.first) + ">" + state::ToString(aEnds.second);
}

} // namespace soak
