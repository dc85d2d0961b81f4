#include <algorithm>
#include <fstream>
#include <stdexcept>

#include "world.hpp"
#include <unistd.h>

namespace soak {

namespace state = sassafrasknot::state;
using std::chrono::milliseconds;

namespace {

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

World::World(WorldOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(static_cast<std::uint32_t>(mOptions.mSeed))
{
  ClaimNetwork();
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
World::ClaimNetwork()
{
  constexpr int kFirst = 100;
  constexpr int kNetworks = 120;
  for (int tried = 0; tried < kNetworks; ++tried) {
    mAddresses.mNetwork =
      static_cast<std::uint8_t>(kFirst + (getpid() + tried) % kNetworks);
    const auto endpoint = ToTcp(mAddresses.Claim());
    boost::system::error_code failure;
    mClaim.open(endpoint.protocol(), failure);
    mClaim.bind(endpoint, failure);
    if (!failure) {
      return;
    }
    mClaim.close(failure);
  }
  throw std::runtime_error("no network is free");
}

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

} // namespace soak
