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

/// Bound of the platform on the time to recover from a fault.
constexpr milliseconds kRecoveryBound{ 12000 };
/// Interval and time-out of the routers' readiness checks, and the number of
/// failures in a row after which an instance is not ready.
constexpr milliseconds kReadinessInterval{ 500 };
constexpr milliseconds kReadinessTimeout{ 400 };
constexpr int kUnreadyAfterFailures = 2;
/// A process that has ended is restarted after this time.
constexpr milliseconds kRestartDelay{ 300 };
/// Time from the start of the processes to that of traffic.
constexpr milliseconds kStartupTime{ 2000 };
/// Interval of the checks of processes and of the starts of requests.
constexpr milliseconds kTickInterval{ 50 };
/// Interval of the checks of test routes.
constexpr milliseconds kProbeInterval{ 700 };

} // namespace

std::string
FormatLabel(std::uint64_t aLabel)
{
  std::ostringstream text;
  text << std::hex << std::setw(8) << std::setfill('0') << aLabel;
  return text.str();
}

std::vector<Instance*>
World::ReadyInstances(const std::string& aDataCentre)
{
  std::vector<Instance*> all;
  std::vector<Instance*> ready;
  for (const auto& instance : mInstances) {
    if (instance->mDataCentre == aDataCentre) {
      all.push_back(instance.get());
      if (instance->mFailedReadinessChecks < kUnreadyAfterFailures) {
        ready.push_back(instance.get());
      }
    }
  }
  return ready.size() * 2 < all.size() ? all : ready;
}

void
World::RoutePacket(std::size_t aCaller,
                   const FlowEndpoints& aEndpoints,
                   const std::string& aBytes)
{
  if (mOptions.mSabotage == "reset" ||
      (mOptions.mSabotage == "silence" && mActiveSilences > 0)) {
    ResetOpenFlow(aEndpoints, aBytes);
  }
  if (IsLostDuringSilence(aEndpoints)) {
    return;
  }
  const auto instances = ReadyInstances(DataCentreOf(aCaller));
  const auto hash = state::Hash({ aEndpoints.first, aEndpoints.second });
  const auto& instance = *instances[hash % instances.size()];
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
  // Some packets are delayed, so that later ones overtake them.
  if (chance(mLoss)) {
    constexpr milliseconds kReorderingDelay{ 15 };
    RunAfter(mContext, kReorderingDelay, send);
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
  const bool crossesPartition =
    from.mDataCentre != aTo.mDataCentre &&
    (from.mDataCentre == "a" || aTo.mDataCentre == "a");
  const bool isLost = std::bernoulli_distribution(mLoss)(mRandom);
  if (aTo.mInboundBlocks > 0 || from.mOutboundBlocks > 0 ||
      (mDataCentrePartitions > 0 && crossesPartition) || isLost) {
    return;
  }
  aTo.mFleetRelay->Send(mAddresses.Instance(aTo.mNumber, kFleetPort), aBytes);
}

bool
World::IsPartitionedFrom(const Instance& aInstance,
                         std::size_t aUpstreamNumber) const
{
  const auto dataCentre = UpstreamDataCentreOf(aUpstreamNumber);
  return mDataCentrePartitions > 0 && dataCentre != aInstance.mDataCentre &&
         (dataCentre == "a" || aInstance.mDataCentre == "a");
}

std::string
World::DataCentreOf(std::size_t aNumber) const
{
  return { static_cast<char>('a' + aNumber % mOptions.mDataCentres) };
}

std::string
World::UpstreamDataCentreOf(std::size_t aNumber) const
{
  return DataCentreOf(aNumber % mOptions.mUpstreamDataCentres);
}

Instance&
World::InstanceAt(const Endpoint& aEndpoint)
{
  return *mInstances.at(HostNumber(aEndpoint) % mInstances.size());
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
                    checked->mFailedReadinessChecks =
                      isReady ? 0 : checked->mFailedReadinessChecks + 1;
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
    const auto exitStatus = instance->mProcess->ExitStatus();
    if (instance->mIsStopping && !exitStatus && !instance->mIsPaused &&
        Clock::now() - instance->mTerminationTime > kTerminationGrace &&
        IsStable(mDisturbances, instance->mName, Clock::now())) {
      RecordViolation(
        "STOP", {}, instance->mName + " has not ended within its grace");
      instance->mProcess->Signal(SIGKILL);
      instance->mWasKilled = true;
    }
    if (!exitStatus) {
      continue;
    }
    const bool isClean =
      WIFEXITED(*exitStatus) && WEXITSTATUS(*exitStatus) == 0;
    if (!instance->mWasKilled && !(instance->mIsStopping && isClean)) {
      RecordViolation("ENDS",
                      {},
                      instance->mName + " ended by itself, status " +
                        std::to_string(*exitStatus));
    }
    instance->mProcess.reset();
    DisturbComponent(instance->mName + kStartsSuffix, kRestartDelay);
    RunAfter(mContext, kRestartDelay, [this, restarted = instance.get()] {
      if (!mIsFinished && !mAreRestartsSuspended) {
        StartProcess(*restarted);
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
  if (!instance.mProcess || instance.mIsStopping ||
      instance.mFailedReadinessChecks > 0) {
    return;
  }
  const auto route = mTestRoutes[number];
  const auto caller = mRandom() % mCallers.size();
  const bool isDue = Clock::now() - route.mChangeTime > kConfigurationBound;
  ++mReport.mProbes;
  mCallers[caller]->Probe(
    route.mEndpoint,
    mAddresses.Instance(instance.mNumber, kTrafficPort),
    [this, number, route, &instance, isDue](const auto& aEndpoints,
                                            auto aAccepted) {
      const bool isSame = mTestRoutes[number].mChangeTime == route.mChangeTime;
      if (!aAccepted || !isDue || !isSame || *aAccepted == route.mIsPresent ||
          !IsInstanceStable(instance)) {
        return;
      }
      RecordViolation("CONFIG",
                      aEndpoints,
                      std::string(route.mIsPresent
                                    ? "an added route is refused by "
                                    : "a removed route is served by ") +
                        instance.mName);
    });
}

void
World::StartRequests()
{
  const auto startRequest = [this](FlowKind aKind, const Endpoint& aService) {
    mCallers[mRandom() % mCallers.size()]->StartRequest(aKind, aService);
  };
  const double perTick = mOptions.mRequestsPerSecond *
                         std::chrono::duration<double>(kTickInterval).count();
  std::poisson_distribution<int> arrivals(perTick);
  for (int i = arrivals(mRandom); i > 0; --i) {
    startRequest(FlowKind::Confirmation, kDeskOnce);
  }
  for (int i = arrivals(mRandom); i > 0; --i) {
    startRequest(FlowKind::Upload, kIntake);
  }
  // A feed lasts for about 10 s, so this rate keeps mFeeds of them open.
  constexpr double kFeedSeconds = 10;
  std::poisson_distribution<int> feeds(
    static_cast<double>(mOptions.mFeeds) / kFeedSeconds *
    std::chrono::duration<double>(kTickInterval).count());
  for (int i = feeds(mRandom); i > 0; --i) {
    startRequest(FlowKind::Feed, kDesk);
  }
  // Callers use a route from the moment at which the store acknowledges it.
  for (int i = feeds(mRandom); i > 0 && !mTestRoutes.empty(); --i) {
    const auto& route = mTestRoutes[mRandom() % mTestRoutes.size()];
    if (route.mIsPresent) {
      startRequest(FlowKind::Feed, route.mEndpoint);
    }
  }
}

void
World::DisturbAll(milliseconds aDuration)
{
  for (const auto& instance : mInstances) {
    DisturbComponent(instance->mName, aDuration);
  }
  for (const auto& upstream : mUpstreams) {
    DisturbComponent(FormatLabel(upstream->mLabel), aDuration);
  }
}

void
World::DisturbComponent(const std::string& aComponent, milliseconds aDuration)
{
  Disturb(mDisturbances, aComponent, Clock::now() + aDuration);
}

void
World::RecordViolation(const std::string& aRule,
                       const FlowEndpoints& aEndpoints,
                       const std::string& aDescription)
{
  mReport.mViolations.push_back(
    { aRule,
      std::chrono::duration_cast<milliseconds>(Clock::now() - mStart),
      aEndpoints == FlowEndpoints{} ? "" : FormatFlow(aEndpoints),
      aDescription });
}

void
World::RunEvery(milliseconds aPeriod, std::function<void()> aAction)
{
  RunAfter(mContext, aPeriod, [this, aPeriod, action = std::move(aAction)] {
    if (!mIsFinished) {
      action();
      RunEvery(aPeriod, action);
    }
  });
}

Report
World::Run()
{
  mStart = Clock::now() + kStartupTime;
  RunEvery(kTickInterval, [this] { CheckProcesses(); });
  RunEvery(kReadinessInterval, [this] { CheckReadiness(); });
  RunAfter(mContext, kStartupTime, [this] {
    RunEvery(kTickInterval, [this] { StartRequests(); });
    RunEvery(kProbeInterval, [this] { ProbeRoutes(); });
    ScheduleDeliberateFault();
  });
  milliseconds end = mOptions.mLength;
  for (const auto& fault :
       MakePlan(mOptions.mSeed, mOptions.mLength, mOptions.mOnlyKind)) {
    end = std::max(end, fault.mStart + fault.mDuration);
    RunAfter(mContext, kStartupTime + fault.mStart, [this, fault] {
      InjectFault(fault);
    });
  }
  const auto recovered = kStartupTime + end + kRecoveryBound;
  RunAfter(mContext, recovered, [this] { mRecoveryTime = Clock::now(); });
  // Requests that started last may take until their deadline, and their
  // repetitions a bit longer.
  constexpr milliseconds kMaxRequestTime{ 4000 };
  RunAfter(mContext,
           recovered + kRecoveryCheckPeriod + kMaxRequestTime,
           [this] { mContext.stop(); });
  mContext.run();
  mIsFinished = true;
  if (mReport.mServedAfterRecovery * 4 < mReport.mStartedAfterRecovery ||
      mReport.mStartedAfterRecovery == 0) {
    RecordViolation("RECOVER", {}, "less than a quarter is served");
  }
  return mReport;
}

std::string
FormatFlow(const FlowEndpoints& aEndpoints)
{
  return state::ToString(aEndpoints.first) + ">" +
         state::ToString(aEndpoints.second);
}

} // namespace soak
