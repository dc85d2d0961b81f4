#include "sassafrasknot/edge/control_loop.hpp"

#include "sassafrasknot/messages/fleet_codec.hpp"
#include "sassafrasknot/net/clock.hpp"
#include "sassafrasknot/net/http_client.hpp"
#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <utility>

#include <boost/asio/post.hpp>

namespace sassafrasknot::edge {
namespace {

using std::chrono::milliseconds;

/// Interval of the control thread's regular work.
constexpr milliseconds kTickInterval{ 25 };
/// A planned stop lasts at least this long, or as long as its time limit if
/// that is shorter. The platform sends packets to an instance until two
/// readiness checks have failed, which takes one second.
constexpr milliseconds kMinStopTime{ 1500 };
/// Before its time limit a planned stop ends only when no packet has arrived
/// for this time.
constexpr milliseconds kIdleTime{ 500 };
/// Interval at which the age of the known revision is observed and passed to
/// the traffic thread.
constexpr milliseconds kConfirmedAgeInterval{ 1000 };
/// Interval at which the settings are read without a signal: well below the
/// platform's shortest bound on applying configurations (3 s), which come from
/// the endpoint in the settings.
constexpr milliseconds kSettingsCheckInterval{ 1000 };
/// Interval at which the traffic thread receives a view of the fleet; well
/// below flows::kMaxViewAge, after which a view is too old.
constexpr milliseconds kFleetViewInterval{ 250 };
/// Shortest interval at which the traffic thread receives the speeds that other
/// instances report, each once a second.
constexpr milliseconds kSharedSpeedsInterval{ 250 };
/// Receive buffer for messages of other instances, in bytes.
constexpr std::size_t kReceiveBufferBytes = std::size_t{ 256 } << 10U;
/// Maximum size of a message of another instance, in bytes.
constexpr std::size_t kMaxMessageBytes = 8192;

std::uint64_t
UnixMilliseconds()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

/// Returns whether the instance has little processor time or bandwidth, so that
/// others are preferred as designated readers. A reader parses each
/// configuration first and sends it to its whole data centre, which takes about
/// 10 ms of a core and 2 Mbit at once.
bool
HasLowCapacity(const EdgeSettings& aSettings)
{
  constexpr double kMinCpuShare = 0.1;
  constexpr double kMinLinkMbps = 50;
  return aSettings.mCpuShare < kMinCpuShare ||
         aSettings.mLinkMbps < kMinLinkMbps;
}

fleet::FleetSettings
MakeFleetSettings(const EdgeSettings& aSettings)
{
  fleet::FleetSettings settings;
  settings.mSelf = { aSettings.mAdvertisedEndpoint,
                     aSettings.mDataCentre,
                     UnixMilliseconds(),
                     false,
                     false,
                     HasLowCapacity(aSettings) };
  settings.mSeedEndpoints = aSettings.mSeeds;
  settings.mRandomSeed = static_cast<std::uint32_t>(state::CombineHashes(
    state::HashBytes(aSettings.mInstance), settings.mSelf.mIncarnation));
  return settings;
}

} // namespace

ControlLoop::ControlLoop(EdgeSettings aSettings,
                         PlatformFormats aFormats,
                         Reload aReload)
  : mSettings(std::move(aSettings))
  , mFormats(std::move(aFormats))
  , mReload(std::move(aReload))
  , mLog(std::make_shared<net::EventLog>(net::EventLogOptions{}))
  , mCore(fleet::MakeFleetCore(MakeFleetSettings(mSettings)))
  , mTraffic(mSettings, mFormats.mPacket, mMetrics, mLog)
{
}

state::Result<void>
ControlLoop::Open()
{
  mLog->Write("start",
              { { "instance", mSettings.mInstance },
                { "data_centre", mSettings.mDataCentre.mValue },
                { "traffic", ToString(mSettings.mTrafficEndpoint) },
                { "store", ToString(mSettings.mStoreEndpoint) } });
  auto started = mTraffic.Start([this](auto aReport) {
    boost::asio::post(mContext, [this, report = std::move(aReport)]() mutable {
      OnTrafficReport(std::move(report));
    });
  });
  if (!started) {
    return started.error();
  }
  auto udpSocket = net::UdpSocket::Open(
    mContext,
    { mSettings.mFleetEndpoint, false, kReceiveBufferBytes, kMaxMessageBytes });
  if (!udpSocket) {
    return udpSocket.error();
  }
  mFleetSocket = std::move(udpSocket).value();
  mFleetSocket->StartReceiving(
    [this](auto aDatagram) { OnFleetDatagram(aDatagram); });
  using Serve = net::HttpServerResponse (ControlLoop::*)(std::string_view);
  const std::pair<state::Endpoint, Serve> servers[] = {
    { mSettings.mReadinessEndpoint, &ControlLoop::ServeReadiness },
    { mSettings.mFleetEndpoint, &ControlLoop::ServeFleet },
  };
  for (const auto& [endpoint, serve] : servers) {
    auto server = net::HttpServer::Open(
      mContext, endpoint, [this, serve = serve](auto aTarget) {
        return (this->*serve)(aTarget);
      });
    if (!server) {
      return server.error();
    }
    mServers.push_back(std::move(server).value());
  }
  auto adminServer = net::HttpServer::OpenAsync(
    mContext, mSettings.mAdminEndpoint, [this](auto aTarget, auto aRespond) {
      ServeAdmin(aTarget, std::move(aRespond));
    });
  if (!adminServer) {
    return adminServer.error();
  }
  mServers.push_back(std::move(adminServer).value());
  mSignals.add(SIGTERM);
  mSignals.add(SIGHUP);
  WaitForSignal();
  Tick();
  ScheduleTick();
  return boost::outcome_v2::success();
}

void
ControlLoop::Run()
{
  mContext.run();
  mTraffic.Stop();
  mLog->Write("stop", { { "instance", mSettings.mInstance } });
  mLog->Flush();
}

void
ControlLoop::ScheduleTick()
{
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](auto aFailure) {
    if (!aFailure) {
      Tick();
      ScheduleTick();
    }
  });
}

void
ControlLoop::Tick()
{
  if (net::Now() - mFleetSocket->QueueEmptyAt() >= kTickInterval) {
    // Messages are handled as they arrive; this only shows that none waits.
    mFleetSocket->HandleQueued();
  }
  const auto now = net::Now();
  Execute(fleet::OnTick(mCore, now));
  if (flows::RemoveExpired(mDirectoryBuilder, now)) {
    mDirectoryOutdated = true;
  }
  PublishDirectory();
  if (std::exchange(mPeerLoadsChanged, false)) {
    mTraffic.SetPeerLoads({ fleet::PeerLoads(mCore),
                            fleet::MeanUtilisations(mCore),
                            fleet::LocalPosition(mCore.mPeers, now) });
  }
  if (mCore.mPeerSpeedsChanged && mDirectoryPublished &&
      now >= mNextSharedSpeeds) {
    mCore.mPeerSpeedsChanged = false;
    mNextSharedSpeeds = now + kSharedSpeedsInterval;
    mTraffic.SetSharedSpeeds(fleet::SharedSpeeds(mCore));
    mMetrics->mIgnoredSpeeds = mCore.mIgnoredSpeeds;
  }
  SendFleetView(now);
  if (auto unresponsive = std::exchange(mCore.mReportedUnresponsive, {});
      !unresponsive.empty()) {
    mTraffic.ApplyUnresponsiveReports(std::move(unresponsive));
  }
  if (auto reachable = std::exchange(mCore.mReportedReachable, {});
      !reachable.empty()) {
    mTraffic.ApplyProbeSuccesses(std::move(reachable));
  }
  ProbeUpstreams(now);
  if (now >= mNextConfirmedAge && mCore.mReader.mEverConfirmed) {
    mNextConfirmedAge = now + kConfirmedAgeInterval;
    Observe(mMetrics->mConfirmedAge, now - mCore.mReader.mConfirmedAt);
    if (!mDirectoryOutdated) {
      mTraffic.ConfirmDirectory(mCore.mReader.mConfirmedAt);
    }
  }
  if (now >= mNextSettingsCheck) {
    mNextSettingsCheck = now + kSettingsCheckInterval;
    ReloadSettings(false);
  }
  CheckStop(now);
  mLog->Flush();
}

void
ControlLoop::SendFleetView(state::TimePoint aNow)
{
  const auto& configuration = mDirectoryBuilder.mConfiguration;
  if (aNow < mNextFleetView || !configuration ||
      configuration->mWarmUpLimits.empty()) {
    return;
  }
  mNextFleetView = aNow + kFleetViewInterval;
  auto view = fleet::MakeFleetView(
    mMemberMemory, mCore.mPeers, mCore.mSettings.mSeedEndpoints, aNow);
  mMayPlaceOnCold = view.mMayPlace;
  mTraffic.SetFleetView(std::move(view));
}

void
ControlLoop::WaitForSignal()
{
  mSignals.async_wait([this](auto aFailure, int aSignal) {
    if (aFailure) {
      return;
    }
    if (aSignal == SIGTERM) {
      BeginStop();
    } else {
      ReloadSettings(true);
    }
    WaitForSignal();
  });
}

void
ControlLoop::BeginStop()
{
  if (mStopStarted) {
    return;
  }
  mStopStarted = net::Now();
  mCore.mPeers.mSelf.mLeaving = true;
  mLog->Write("stop_begins",
              { { "instance", mSettings.mInstance },
                { "flows", std::to_string(mTrafficReport.mOpenFlows) } });
}

void
ControlLoop::CheckStop(state::TimePoint aNow)
{
  if (!mStopStarted) {
    return;
  }
  const auto stopDuration = aNow - *mStopStarted;
  const bool isIdle =
    stopDuration > kMinStopTime && mTrafficReport.mSinceLastPacket > kIdleTime;
  if (isIdle || stopDuration > mSettings.mMaxStopTime) {
    mContext.stop();
  }
}

void
ControlLoop::ReloadSettings(bool aIsRequested)
{
  const auto settings = mReload();
  const auto error = settings ? std::string() : settings.error().mMessage;
  const bool hasNewError = std::exchange(mSettingsError, error) != error;
  if (!settings) {
    if (aIsRequested || hasNewError) {
      mLog->Write("reload_failed", { { "reason", error } });
    }
    return;
  }
  if (ApplySettings(settings.value()) || aIsRequested) {
    mLog->Write(
      "reload",
      { { "seeds", std::to_string(mCore.mSettings.mSeedEndpoints.size()) },
        { "store", ToString(mSettings.mStoreEndpoint) } });
  }
}

bool
ControlLoop::ApplySettings(const EdgeSettings& aSettings)
{
  const auto assign = [](auto& aTarget, const auto& aValue) {
    const bool hasChanged = aTarget != aValue;
    aTarget = aValue;
    return hasChanged;
  };
  const bool hasNewSeeds =
    assign(mCore.mSettings.mSeedEndpoints, aSettings.mSeeds);
  const bool hasNewStore =
    assign(mSettings.mStoreEndpoint, aSettings.mStoreEndpoint);
  const bool hasNewStopTime =
    assign(mSettings.mMaxStopTime, aSettings.mMaxStopTime);
  return hasNewSeeds || hasNewStore || hasNewStopTime;
}

void
ControlLoop::Execute(const fleet::FleetActions& aActions)
{
  for (const auto& member : aActions.mJoined) {
    mLog->Write("peer_joined",
                { { "peer", ToString(member.mEndpoint) },
                  { "data_centre", member.mDataCentre.mValue },
                  { "incarnation", std::to_string(member.mIncarnation) } });
  }
  for (const auto& member : aActions.mDead) {
    mLog->Write("peer_lost",
                { { "peer", ToString(member.mEndpoint) },
                  { "data_centre", member.mDataCentre.mValue },
                  { "incarnation", std::to_string(member.mIncarnation) },
                  { "leaving", member.mLeaving ? "yes" : "no" } });
  }
  ApplyChangedKeys(aActions.mChangedKeys);
  for (const auto& [message, receivers] : aActions.mSend) {
    const auto encoded = messages::EncodeMessage(message);
    const std::span bytes(reinterpret_cast<const std::uint8_t*>(encoded.data()),
                          encoded.size());
    for (const auto& receiver : receivers) {
      if (!mFleetSocket->Send(receiver, bytes)) {
        mLog->Write("peer_unsent", { { "peer", ToString(receiver) } });
      }
    }
  }
  if (aActions.mPull) {
    StartPull(*aActions.mPull);
  }
  if (aActions.mRead) {
    StartRead(*aActions.mRead);
  }
}

void
ControlLoop::OnFleetDatagram(std::span<std::uint8_t> aDatagram)
{
  Increment(mMetrics->mFleetMessages);
  const auto message = messages::DecodeMessage(aDatagram);
  if (!message) {
    Increment(mMetrics->mMalformedMessages);
    mLog->Write("message_unreadable",
                { { "reason", message.error().mMessage },
                  { "bytes", std::to_string(aDatagram.size()) } });
    return;
  }
  mPeerLoadsChanged = mPeerLoadsChanged || message.value().mLoads.has_value();
  const auto now = net::Now();
  const auto maxWait = now - mFleetSocket->QueueEmptyAt();
  Observe(mMetrics->mMessageWait, maxWait);
  if (maxWait > fleet::kMaxReportWait) {
    mLog->Write(
      "message_waited",
      { { "peer", ToString(message.value().mSender.mEndpoint) },
        { "max_wait_ms",
          std::to_string(
            std::chrono::duration_cast<milliseconds>(maxWait).count()) } });
  }
  Execute(fleet::OnMessage(mCore, message.value(), maxWait, now));
  PublishDirectory();
}

void
ControlLoop::OnTrafficReport(TrafficReport aReport)
{
  mCore.mOwnLoads = aReport.mOwnLoads;
  if (aReport.mOwnSpeeds) {
    mCore.mOwnSpeeds = *std::exchange(aReport.mOwnSpeeds, std::nullopt);
  }
  mCore.mLocalUtilisation = aReport.mLocalUtilisation;
  mCore.mUnresponsive = aReport.mUnresponsive;
  mCore.mProbeCandidates = aReport.mProbeCandidates;
  mTrafficReport = std::move(aReport);
}

bool
ControlLoop::IsReady() const
{
  return mDirectoryPublished && !mStopStarted;
}

} // namespace sassafrasknot::edge
