#include "world.hpp"

#include "sassafrasknot/net/http_call.hpp"
#include "sassafrasknot/state/flow.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <sstream>

#include <sys/wait.h>
#include <unistd.h>

namespace soak {

namespace state = sassafrasknot::state;
namespace net = sassafrasknot::net;
using std::chrono::milliseconds;

namespace {

/// Bounds of the platform.
constexpr milliseconds kConfigurationBound{ 3000 };
constexpr milliseconds kRecovery{ 12000 };
constexpr milliseconds kGrace{ 6000 };
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

std::string
RouteText(const Endpoint& aEndpoint,
          const std::string& aType,
          const std::string& aService)
{
  return R"({"name":"r)" + std::to_string(aEndpoint.mPort) + R"(","host":")" +
         state::ToString(aEndpoint.mAddress) + R"(","prefix":"/)" +
         std::to_string(aEndpoint.mPort) + R"(/","type":")" + aType +
         R"(","timeout_ms":3000,"aim_ms":100,"priority":1,"backend":")" +
         aService + "\"}";
}

} // namespace

std::string
Hex(std::uint64_t aLabel)
{
  std::ostringstream text;
  text << std::hex << std::setw(8) << std::setfill('0') << aLabel;
  return text.str();
}

World::World(WorldOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(static_cast<std::uint32_t>(mOptions.mSeed))
{
  // Runs at the same time have networks of their own.
  constexpr std::uint32_t kNetworks = 120;
  mAddresses.mNetwork = static_cast<std::uint8_t>(
    100 + static_cast<std::uint32_t>(getpid()) % kNetworks);
  mStore = std::make_unique<sassafrasknot::testing::Store>(mAddresses.Store());
  PublishConfiguration();
  for (std::size_t i = 0; i < mOptions.mUpstreams; ++i) {
    AddUpstream(i % 3 == 2 ? "intake" : "desk", mNextLabel++);
  }
  for (std::size_t i = 0; i < mOptions.mInstances; ++i) {
    AddInstance(i);
  }
  AddCallers();
}

World::~World() = default;

void
World::AddInstance(std::size_t aNumber)
{
  auto instance = std::make_unique<Instance>();
  auto& added = *instance;
  added.mNumber = aNumber;
  added.mName = "instance-" + std::to_string(aNumber);
  added.mDataCentre =
    std::string(1, static_cast<char>('a' + aNumber % mOptions.mDataCentres));
  added.mFleetRelay =
    std::make_shared<Port>(mContext, mAddresses.InstanceRelay(aNumber));
  added.mFleetRelay->Start(
    [this, &added](const auto& aFrom, const auto& aBytes) {
      RelayFleet(added, aFrom, { aBytes.data(), aBytes.size() });
    });
  added.mPullRelay =
    std::make_shared<ConnectionRelay>(mContext,
                                      mAddresses.InstanceRelay(aNumber),
                                      mAddresses.Instance(aNumber, kFleetPort));
  added.mPullRelay->Start();
  added.mStoreRelay = std::make_shared<ConnectionRelay>(
    mContext, mAddresses.StoreRelay(aNumber), mAddresses.Store());
  added.mStoreRelay->Start();
  mInstances.push_back(std::move(instance));
  WriteSettings(added);
  StartProcess(added);
}

void
World::WriteSettings(const Instance& aInstance) const
{
  const auto at = [&](std::uint16_t aPort) {
    return state::ToString(mAddresses.Instance(aInstance.mNumber, aPort));
  };
  std::string seeds;
  for (std::size_t i = 0; i < std::min<std::size_t>(3, mOptions.mInstances);
       ++i) {
    seeds += (i == 0 ? "\"" : ",\"") +
             state::ToString(
               Endpoint{ mAddresses.InstanceRelay(i).mAddress, kAdminPort }) +
             "\"";
  }
  std::ofstream file(mOptions.mFolder + "/" + aInstance.mName + ".json");
  file
    << R"({"node_name":")" << aInstance.mName << R"(","zone":")"
    << aInstance.mDataCentre << R"(","ip":")"
    << state::ToString(mAddresses.InstanceRelay(aInstance.mNumber).mAddress)
    << R"(","listen":{"datagram_addr":")" << at(kTrafficPort)
    << R"(","readiness":")" << at(kReadinessPort) << R"(","admin":")"
    << at(kAdminPort) << R"("},"internal_ports":[)" << kFleetPort << ","
    << kFleetPort + 15 << R"(],"seeds":[)" << seeds
    << R"(],"bounds":{"grace_s":)" << kGrace / milliseconds(1000)
    << R"(},"limits":{"cpu_share":1,"link_mbps":1000},"platform":{"address":")"
    << state::ToString(mAddresses.StoreRelay(aInstance.mNumber)) << "\"}}\n";
}

void
World::StartProcess(Instance& aInstance)
{
  aInstance.mIsStopping = false;
  aInstance.mWasKilled = false;
  aInstance.mIsPaused = false;
  aInstance.mProcess = std::make_unique<ChildProcess>(
    std::vector<std::string>{ mOptions.mDaemon,
                              "--settings",
                              mOptions.mFolder + "/" + aInstance.mName +
                                ".json" },
    mOptions.mFolder + "/" + aInstance.mName + ".log");
}

void
World::AddUpstream(const std::string& aService, std::uint64_t aLabel)
{
  const auto number = mNextUpstream++;
  const auto endpoint = mAddresses.Upstream(number);
  auto upstream = std::make_shared<Upstream>(
    mContext, aLabel, aService, endpoint, MakeUpstreamEvents(aService, aLabel));
  upstream->mReachedFrom = [this, number](const Endpoint& aFrom) {
    const auto& instance = InstanceAt(aFrom);
    return !IsCut(instance, number) && instance.mCutsFrom == 0;
  };
  upstream->Start(mRandom());
  mUpstreams.push_back(upstream);
  PublishUpstream(*upstream);
}

void
World::PublishUpstream(const Upstream& aUpstream)
{
  const auto dataCentre = static_cast<char>(
    'a' + NumberOf(aUpstream.mEndpoint) % mOptions.mDataCentres);
  mStore->Put("servers/i-" + Hex(aUpstream.mLabel),
              R"({"backend":")" + aUpstream.mService + R"(","address":")" +
                state::ToString(aUpstream.mEndpoint) + R"(","zone":")" +
                dataCentre + R"(","version":"v1","concurrency":2,"state":")" +
                (aUpstream.mDraining ? "draining" : "ready") +
                R"(","warmup_left_ms":0,"seq":1,"born":)" +
                std::to_string(mBorn++) + "}");
}

void
World::WithdrawUpstream(const Upstream& aUpstream)
{
  mStore->Delete("servers/i-" + Hex(aUpstream.mLabel));
}

void
World::PublishConfiguration()
{
  std::string routes = RouteText(kDesk, "idempotent", "desk") + "," +
                       RouteText(kDeskOnce, "non_idempotent", "desk") + "," +
                       RouteText(kIntake, "upload", "intake");
  for (const auto& route : mTestRoutes) {
    if (route.mIsPresent) {
      routes += "," + RouteText(route.mEndpoint, "idempotent", "desk");
    }
  }
  mVersion += 3;
  if (mOptions.mSabotage == "config" && mVersion > 3) {
    return;
  }
  mStore->Put("op/config",
              R"({"version":)" + std::to_string(mVersion) + R"(,"routes":[)" +
                routes +
                R"(],"backends":[{"name":"desk","health_check_path":"/h"},)"
                R"({"name":"intake","health_check_path":"/h"}],)"
                R"("limits":{"idle_timeout_ms":15000}})");
}

void
World::AddCallers()
{
  for (std::size_t i = 0; i < mOptions.mCallers; ++i) {
    mCallers.push_back(std::make_shared<Caller>(
      mContext, i, mAddresses.Caller(i), MakeCallerEvents()));
    mCallers.back()->Start();
  }
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
  const std::string dataCentre(
    1, static_cast<char>('a' + aCaller % mOptions.mDataCentres));
  const auto rotation = Rotation(dataCentre);
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
  const auto dataCentre = std::string(
    1, static_cast<char>('a' + aUpstreamNumber % mOptions.mDataCentres));
  return mDataCentreCuts > 0 && dataCentre != aInstance.mDataCentre &&
         (dataCentre == "a" || aInstance.mDataCentre == "a");
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
      if (!mIsOver) {
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
