#include <algorithm>
#include <fstream>
#include <stdexcept>

#include "platform_encoding.hpp"
#include "world.hpp"
#include <unistd.h>

namespace soak {

namespace flows = sassafrasknot::flows;
using namespace sassafrasknot::testing;
using std::chrono::milliseconds;

namespace {

flows::Route
MakeRoute(const Endpoint& aEndpoint,
          flows::RequestKind aKind,
          const std::string& aService)
{
  return { "r" + std::to_string(aEndpoint.mPort),
           aEndpoint,
           { { aService, 1 } },
           aKind,
           milliseconds(100),
           milliseconds(3000),
           1 };
}

std::string
FormatId(const Upstream& aUpstream)
{
  return "i-" + FormatLabel(aUpstream.mLabel);
}

} // namespace

World::World(WorldOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(static_cast<std::uint32_t>(mOptions.mSeed))
{
  ReserveNetwork();
  mStore =
    std::make_unique<sassafrasknot::testing::FakeStore>(mAddresses.Store());
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
World::ReserveNetwork()
{
  // Second bytes of the networks of soak runs. The choice starts at the process
  // id, so that concurrent runs seldom try the same one.
  constexpr int kFirst = 100;
  constexpr int kNetworks = 120;
  for (int tried = 0; tried < kNetworks; ++tried) {
    mAddresses.mNetwork =
      static_cast<std::uint8_t>(kFirst + (getpid() + tried) % kNetworks);
    const auto endpoint = ToTcp(mAddresses.ReservationEndpoint());
    boost::system::error_code failure;
    mReservation.open(endpoint.protocol(), failure);
    mReservation.bind(endpoint, failure);
    if (!failure) {
      return;
    }
    mReservation.close(failure);
  }
  throw std::runtime_error(
    "no free network: 127.100.0.0/16 to 127.219.0.0/16 are all in use");
}

void
World::AddInstance(std::size_t aNumber)
{
  auto instance = std::make_unique<Instance>();
  auto& added = *instance;
  added.mNumber = aNumber;
  added.mName = "instance-" + std::to_string(aNumber);
  added.mDataCentre = DataCentreOf(aNumber);
  added.mFleetRelay = std::make_shared<DatagramSocket>(
    mContext, mAddresses.InstanceRelay(aNumber));
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
  added.mStoreRelay->mOnAccepted = [this, aNumber] { mLastReader = aNumber; };
  added.mStoreRelay->Start();
  mInstances.push_back(std::move(instance));
  WriteSettings(added);
  StartProcess(added);
}

void
World::WriteSettings(const Instance& aInstance) const
{
  const auto number = aInstance.mNumber;
  sassafrasknot::edge::EdgeSettings settings;
  settings.mInstance = aInstance.mName;
  settings.mDataCentre = { aInstance.mDataCentre };
  settings.mTrafficEndpoint = mAddresses.Instance(number, kTrafficPort);
  settings.mReadinessEndpoint = mAddresses.Instance(number, kReadinessPort);
  settings.mAdminEndpoint = mAddresses.Instance(number, kAdminPort);
  settings.mFleetEndpoint = mAddresses.Instance(number, kFleetPort);
  settings.mAdvertisedEndpoint = mAddresses.InstanceRelay(number);
  settings.mStoreEndpoint = mAddresses.StoreRelay(number);
  constexpr std::size_t kSeeds = 3;
  for (std::size_t i = 0; i < std::min(kSeeds, mOptions.mInstances); ++i) {
    settings.mSeeds.push_back(mAddresses.InstanceRelay(i));
  }
  std::ofstream file(mOptions.mFolder + "/" + aInstance.mName + ".json");
  file << EncodeSettings(
    settings,
    std::chrono::duration_cast<std::chrono::seconds>(kTerminationGrace));
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
    mContext,
    aLabel,
    aService,
    endpoint,
    MakeUpstreamEvents(aService, aLabel, UpstreamDataCentreOf(number)));
  upstream->mIsReachableFrom = [this, number](const Endpoint& aFrom) {
    const auto& instance = InstanceAt(aFrom);
    return !IsPartitionedFrom(instance, number) &&
           instance.mOutboundBlocks == 0;
  };
  upstream->Start(mRandom());
  mUpstreams.push_back(upstream);
  PublishUpstream(*upstream);
}

void
World::PublishUpstream(const Upstream& aUpstream)
{
  flows::Upstream upstream;
  upstream.mId = FormatId(aUpstream);
  upstream.mService = aUpstream.mService;
  upstream.mAddress = aUpstream.mEndpoint;
  upstream.mDataCentre = { UpstreamDataCentreOf(
    HostNumber(aUpstream.mEndpoint)) };
  upstream.mSlots = 2;
  upstream.mDraining = aUpstream.mDraining;
  upstream.mStarted = milliseconds(mNextStartTime++);
  mStore->Put(UpstreamKey(upstream.mId), EncodeUpstream(upstream));
}

void
World::WithdrawUpstream(const Upstream& aUpstream)
{
  mStore->Delete(UpstreamKey(FormatId(aUpstream)));
}

void
World::PublishConfiguration()
{
  using flows::RequestKind;
  flows::Configuration configuration;
  mVersion += 3;
  configuration.mVersion = mVersion;
  configuration.mIdleTimeout = milliseconds(15000);
  configuration.mHealthPaths = { { "desk", "/h" }, { "intake", "/h" } };
  const auto add = [&configuration](const flows::Route& aRoute) {
    configuration.mRoutes[aRoute.mEndpoint] = aRoute;
  };
  add(MakeRoute(kDesk, RequestKind::Idempotent, "desk"));
  add(MakeRoute(kDeskOnce, RequestKind::NonIdempotent, "desk"));
  add(MakeRoute(kIntake, RequestKind::Upload, "intake"));
  // Routes without traffic make the configuration too long for a message, so
  // that instances pull it from each other.
  constexpr std::uint32_t kIdleAddress = 0xC6120100;
  constexpr std::uint32_t kIdleRoutes = 60;
  for (std::uint32_t i = 0; i < kIdleRoutes; ++i) {
    add(MakeRoute(
      { { kIdleAddress + i }, 8443 }, RequestKind::Idempotent, "intake"));
  }
  for (const auto& route : mTestRoutes) {
    if (route.mIsPresent) {
      add(MakeRoute(route.mEndpoint, RequestKind::Idempotent, "desk"));
    }
  }
  if (mOptions.mSabotage != "config" || mVersion == 3) {
    mStore->Put(kConfigurationKey, EncodeConfiguration(configuration));
  }
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
