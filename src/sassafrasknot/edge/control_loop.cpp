#include "sassafrasknot/edge/control_loop.hpp"

#include "sassafrasknot/messages/fleet_codec.hpp"
#include "sassafrasknot/net/http_call.hpp"
#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <utility>

#include <boost/asio/post.hpp>

namespace sassafrasknot::edge {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Period of the control thread.
constexpr milliseconds kTick{ 25 };
/// Pulls stay within a data centre or a region.
constexpr milliseconds kPullTimeout{ 1000 };
/// A probe is answered within a few round trips, or when a request at work has
/// ended.
constexpr milliseconds kProbeTimeout{ 400 };
/// Longest answer to a probe, in bytes.
constexpr std::size_t kProbeAnswerBytes = 4096;
/// Path of the changes that an instance serves to others.
constexpr std::string_view kChangesPath = "/changes?after=";
/// A stopping instance ends when it was out of rotation for this long: the
/// platform takes two checks, a second, to notice.
constexpr milliseconds kRotationTime{ 1500 };
/// and when no packet has come for this long.
constexpr milliseconds kQuietTime{ 500 };
/// Receive buffer for messages of other instances, in bytes.
constexpr std::size_t kReceiveBuffer = std::size_t{ 256 } << 10U;
/// Largest message of another instance, in bytes.
constexpr std::size_t kLargestMessage = 8192;

std::uint64_t
UnixMilliseconds()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

/// An instance that reads for others parses each configuration first and sends
/// it to all of its data centre: some 10 ms of a core and 2 Mbit at once.
bool
IsWeak(const EdgeSettings& aSettings)
{
  constexpr double kProcessorShare = 0.1;
  constexpr double kLinkMegabits = 50;
  return aSettings.mProcessorShare < kProcessorShare ||
         aSettings.mLinkMegabits < kLinkMegabits;
}

fleet::FleetSettings
MakeFleetSettings(const EdgeSettings& aSettings)
{
  fleet::FleetSettings settings;
  settings.mSelf = { aSettings.mFleetEndpoint,
                     aSettings.mDataCentre,
                     UnixMilliseconds(),
                     false,
                     false,
                     IsWeak(aSettings) };
  settings.mSeeds = aSettings.mSeeds;
  settings.mSeed = static_cast<std::uint32_t>(state::CombineHashes(
    state::HashBytes(aSettings.mInstance), settings.mSelf.mIncarnation));
  return settings;
}

} // namespace

ControlLoop::ControlLoop(EdgeSettings aSettings,
                         Adapters aAdapters,
                         Reload aReload)
  : mSettings(std::move(aSettings))
  , mAdapters(std::move(aAdapters))
  , mReload(std::move(aReload))
  , mLog(std::make_shared<net::EventLog>(net::EventLogOptions{}))
  , mCore(fleet::MakeFleetCore(MakeFleetSettings(mSettings)))
  , mTraffic(mSettings, mAdapters.mPacket, mMetrics, mLog)
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
  auto session = net::UdpSession::Open(
    mContext,
    { mSettings.mFleetEndpoint, false, kReceiveBuffer, kLargestMessage });
  if (!session) {
    return session.error();
  }
  mFleetSession = std::move(session).value();
  mFleetSession->Start([this](auto aDatagram) { OnFleetDatagram(aDatagram); });
  using Serve = net::HttpReply (ControlLoop::*)(std::string_view);
  const std::pair<state::Endpoint, Serve> servers[] = {
    { mSettings.mReadinessEndpoint, &ControlLoop::ServeReadiness },
    { mSettings.mAdminEndpoint, &ControlLoop::ServeAdmin },
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
  mTimer.expires_after(kTick);
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
  const auto now = Clock::now();
  Execute(fleet::OnTick(mCore, now));
  if (flows::DropLapsed(mBuilder, now)) {
    mDirectoryDue = true;
  }
  PublishDirectory();
  if (std::exchange(mLoadNews, false)) {
    mTraffic.UsePeerLoads(fleet::PeerLoads(mCore),
                          fleet::LocalPeers(mCore.mPeers, now).size());
  }
  if (auto silent = std::exchange(mCore.mPeerSilence, {}); !silent.empty()) {
    mTraffic.UsePeerSilence(std::move(silent));
  }
  if (auto proven = std::exchange(mCore.mPeerProven, {}); !proven.empty()) {
    mTraffic.UseProven(std::move(proven), now);
  }
  ProbeUpstreams(now);
  CheckStop(now);
  mLog->Flush();
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
      ReloadSettings();
    }
    WaitForSignal();
  });
}

void
ControlLoop::BeginStop()
{
  if (mStopping) {
    return;
  }
  mStopping = Clock::now();
  mCore.mPeers.mSelf.mLeaving = true;
  mLog->Write("stop_begins",
              { { "instance", mSettings.mInstance },
                { "flows", std::to_string(mTrafficReport.mFlows) } });
}

void
ControlLoop::CheckStop(state::TimePoint aNow)
{
  if (!mStopping) {
    return;
  }
  const auto stopping = aNow - *mStopping;
  const bool isQuiet =
    stopping > kRotationTime && mTrafficReport.mQuiet > kQuietTime;
  if (isQuiet || stopping > mSettings.mStopBound) {
    mContext.stop();
  }
}

void
ControlLoop::ReloadSettings()
{
  const auto settings = mReload();
  if (!settings) {
    mLog->Write("reload_failed", { { "reason", settings.error().mMessage } });
    return;
  }
  mCore.mSettings.mSeeds = settings.value().mSeeds;
  mSettings.mStoreEndpoint = settings.value().mStoreEndpoint;
  mLog->Write("reload",
              { { "seeds", std::to_string(mCore.mSettings.mSeeds.size()) },
                { "store", ToString(mSettings.mStoreEndpoint) } });
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
  TakeChanged(aActions.mChanged);
  for (const auto& [message, receivers] : aActions.mSend) {
    const auto encoded = messages::EncodeMessage(message);
    const std::span bytes(reinterpret_cast<const std::uint8_t*>(encoded.data()),
                          encoded.size());
    for (const auto& receiver : receivers) {
      if (!mFleetSession->Send(receiver, bytes)) {
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
ControlLoop::StartRead(const fleet::StoreRead& aRead)
{
  StoreClientSettings settings;
  settings.mEndpoint = mSettings.mStoreEndpoint;
  settings.mAnswerBytes = mSettings.mStoreAnswerBytes;
  StartStoreRead(
    mContext.get_executor(),
    settings,
    mAdapters.mStore,
    mMetrics,
    aRead,
    { [this, aRead](const fleet::ChangeSet& aChanges) {
       NoteStore(true, "");
       Execute(fleet::OnStoreAnswer(mCore, aRead, aChanges, Clock::now()));
       PublishDirectory();
       Execute(fleet::OnTick(mCore, Clock::now()));
     },
      [this](const StoreFailure& aFailure) {
        NoteStore(aFailure.mKind == fleet::ReadFailure::HistoryLost,
                  aFailure.mMessage);
        fleet::OnStoreFailure(mCore, aFailure.mKind, Clock::now());
      } });
}

void
ControlLoop::NoteStore(bool aReachable, const std::string& aReason)
{
  if (std::exchange(mStoreReachable, aReachable) == aReachable) {
    return;
  }
  mLog->Write(aReachable ? "store_regained" : "store_lost",
              { { "reason", aReason },
                { "revision", std::to_string(mCore.mCatalogue.mRevision) } });
}

void
ControlLoop::ProbeUpstreams(state::TimePoint aNow)
{
  const auto tokens = fleet::UpstreamsToProbe(mCore, aNow);
  if (tokens.empty()) {
    return;
  }
  for (const auto token : fleet::NextProbes(mProbes, tokens, aNow)) {
    const auto found =
      std::ranges::find_if(mBuilder.mUpstreams, [token](const auto& aItem) {
        return flows::TokenOf(aItem.first) == token;
      });
    if (found == mBuilder.mUpstreams.end()) {
      fleet::NoteProbed(mProbes, token, aNow);
    } else {
      StartProbe(found->second.mListed.mUpstream);
    }
  }
}

void
ControlLoop::StartProbe(const flows::Upstream& aUpstream)
{
  const auto& paths = mBuilder.mConfiguration->mHealthPaths;
  const auto path = paths.find(aUpstream.mService);
  const auto token = flows::TokenOf(aUpstream.mId);
  const auto sent = Clock::now();
  Count(mMetrics->mProbes);
  // Any answer proves that the upstream is reached; whether it calls itself
  // healthy does not matter here.
  net::StartGet(mContext.get_executor(),
                { aUpstream.mAddress,
                  path == paths.end() ? "/" : path->second,
                  kProbeTimeout,
                  kProbeTimeout,
                  kProbeAnswerBytes },
                [this, token, sent, id = aUpstream.mId](const auto& aAnswer) {
                  fleet::NoteProbed(mProbes, token, Clock::now());
                  if (!aAnswer) {
                    Count(mMetrics->mProbeFailures);
                    mLog->Write("probe_failed",
                                { { "upstream", id },
                                  { "reason", aAnswer.error().mMessage } });
                    return;
                  }
                  mCore.mProven[token] = sent;
                  mTraffic.UseProven({ token }, sent);
                });
}

void
ControlLoop::StartPull(const fleet::PullRequest& aPull)
{
  Count(mMetrics->mPulls);
  net::StartGet(mContext.get_executor(),
                { aPull.mFrom,
                  std::string(kChangesPath) + std::to_string(aPull.mAfter),
                  kPullTimeout,
                  kPullTimeout,
                  mSettings.mStoreAnswerBytes },
                [this, aPull](const state::Result<net::HttpAnswer>& aAnswer) {
                  std::optional<fleet::ChangeSet> changes;
                  std::string reason;
                  if (!aAnswer) {
                    reason = aAnswer.error().mMessage;
                  } else if (auto decoded =
                               messages::DecodeChanges(aAnswer.value().mBody);
                             decoded) {
                    changes = std::move(decoded).value();
                  } else {
                    reason = decoded.error().mMessage;
                  }
                  if (!changes) {
                    Count(mMetrics->mPullFailures);
                    mLog->Write("pull_failed",
                                { { "peer", ToString(aPull.mFrom) },
                                  { "after", std::to_string(aPull.mAfter) },
                                  { "reason", reason } });
                  }
                  Execute(fleet::OnPulled(mCore, changes, Clock::now()));
                  PublishDirectory();
                });
}

void
ControlLoop::TakeChanged(const std::vector<std::string>& aKeys)
{
  const auto& records = mCore.mCatalogue.mRecords;
  for (const auto& key : aKeys) {
    mDirectoryDue = true;
    if (const auto found = records.find(key); found != records.end()) {
      TakeRecord(found->second);
    } else if (const auto id = mAdapters.mStore.mUpstreamOf(key)) {
      flows::RemoveUpstream(mBuilder, *id, Clock::now());
      mLog->Write(
        "upstream_lapsed",
        { { "upstream", *id },
          { "revision", std::to_string(mCore.mCatalogue.mRevision) } });
    }
  }
}

void
ControlLoop::TakeRecord(const fleet::Record& aRecord)
{
  const auto content = mAdapters.mStore.mDecodeRecord(aRecord);
  const auto revision = std::to_string(aRecord.mRevision);
  if (!content) {
    Count(mMetrics->mUnreadableRecords);
    mLog->Write("record_unreadable",
                { { "key", aRecord.mKey },
                  { "revision", revision },
                  { "reason", content.error().mMessage } });
    if (const auto id = mAdapters.mStore.mUpstreamOf(aRecord.mKey)) {
      flows::RemoveUpstream(mBuilder, *id, Clock::now());
    }
    return;
  }
  if (const auto* upstream = std::get_if<flows::Upstream>(&content.value())) {
    flows::PutUpstream(mBuilder, *upstream);
    mLog->Write("upstream_described",
                { { "upstream", upstream->mId },
                  { "data_centre", upstream->mDataCentre.mValue },
                  { "draining", upstream->mDraining ? "yes" : "no" },
                  { "revision", revision } });
  } else if (const auto* configuration =
               std::get_if<std::shared_ptr<const flows::Configuration>>(
                 &content.value())) {
    mBuilder.mConfiguration = *configuration;
    mLog->Write(
      "configuration",
      { { "version", std::to_string((*configuration)->mVersion) },
        { "routes", std::to_string((*configuration)->mRoutes.size()) },
        { "revision", revision } });
  }
}

void
ControlLoop::PublishDirectory()
{
  if (!mDirectoryDue || !mCore.mReader.mEverConfirmed ||
      !mBuilder.mConfiguration) {
    return;
  }
  mDirectoryDue = false;
  mTraffic.UseDirectory(
    flows::BuildDirectory(mBuilder, mCore.mCatalogue.mRevision));
  if (!std::exchange(mPublished, true)) {
    mLog->Write(
      "ready",
      { { "revision", std::to_string(mCore.mCatalogue.mRevision) },
        { "upstreams", std::to_string(mBuilder.mUpstreams.size()) } });
  }
}

void
ControlLoop::OnFleetDatagram(std::span<std::uint8_t> aDatagram)
{
  Count(mMetrics->mFleetMessages);
  const auto message = messages::DecodeMessage(aDatagram);
  if (!message) {
    Count(mMetrics->mUnreadableMessages);
    mLog->Write("message_unreadable",
                { { "reason", message.error().mMessage },
                  { "bytes", std::to_string(aDatagram.size()) } });
    return;
  }
  mLoadNews = mLoadNews || message.value().mLoads.has_value();
  Execute(fleet::OnMessage(mCore, message.value(), Clock::now()));
  PublishDirectory();
}

void
ControlLoop::OnTrafficReport(TrafficReport aReport)
{
  mCore.mLoads = aReport.mLoads;
  mCore.mSilent = aReport.mSilent;
  mCore.mUnanswering = aReport.mUnanswering;
  mTrafficReport = std::move(aReport);
}

bool
ControlLoop::IsReady() const
{
  return mPublished && !mStopping;
}

net::HttpReply
ControlLoop::ServeReadiness(std::string_view aTarget)
{
  constexpr unsigned kNotFound = 404;
  constexpr unsigned kNotReady = 503;
  if (aTarget != mAdapters.mReadyPath) {
    return { kNotFound, "text/plain", "" };
  }
  return { IsReady() ? 200 : kNotReady, "text/plain", "" };
}

net::HttpReply
ControlLoop::ServeFleet(std::string_view aTarget)
{
  constexpr unsigned kBadRequest = 400;
  state::Revision after = 0;
  if (aTarget.substr(0, kChangesPath.size()) != kChangesPath) {
    return { kBadRequest, "text/plain", "unknown path\n" };
  }
  const auto number = aTarget.substr(kChangesPath.size());
  const auto [end, failure] =
    std::from_chars(number.data(), number.data() + number.size(), after);
  if (failure != std::errc{} || end != number.data() + number.size()) {
    return { kBadRequest, "text/plain", "the revision is not a number\n" };
  }
  return { 200,
           "application/octet-stream",
           messages::EncodeChanges(
             fleet::ChangesAfter(mCore.mCatalogue, after)) };
}

net::HttpReply
ControlLoop::ServeAdmin(std::string_view aTarget)
{
  constexpr unsigned kNotFound = 404;
  if (aTarget == "/dump") {
    return { 200, "text/plain", DumpText() };
  }
  if (aTarget != "/metrics") {
    return { kNotFound, "text/plain", "known paths: /metrics /dump\n" };
  }
  const auto now = Clock::now();
  const auto seconds = [](state::Duration aDuration) {
    return std::chrono::duration<double>(aDuration).count();
  };
  const auto lines = mLog->Counts();
  return {
    200,
    "text/plain; version=0.0.4",
    MetricsText(
      *mMetrics,
      { { "open_flows",
          "Flows that this instance has seen packets of.",
          static_cast<double>(mMetrics->mOpenFlows) },
        { "revision",
          "Revision of the platform that is known.",
          static_cast<double>(mCore.mCatalogue.mRevision) },
        { "confirmed_age_seconds",
          "Time since the platform confirmed that revision.",
          mCore.mReader.mEverConfirmed ? seconds(now - mCore.mReader.mConfirmed)
                                       : 0 },
        { "peers",
          "Live instances that are known.",
          static_cast<double>(fleet::LocalPeers(mCore.mPeers, now).size() +
                              fleet::RemotePeers(mCore.mPeers, now).size()) },
        { "log_lines_written",
          "Lines written to the log.",
          static_cast<double>(lines.mWritten) },
        { "log_lines_suppressed",
          "Lines left out by the limit per event.",
          static_cast<double>(lines.mSuppressed) },
        { "log_lines_dropped",
          "Lines lost because nobody read them.",
          static_cast<double>(lines.mDropped) } })
  };
}

std::string
ControlLoop::DumpText() const
{
  const auto now = Clock::now();
  std::string text = "instance " + mSettings.mInstance + "\nrevision " +
                     std::to_string(mCore.mCatalogue.mRevision) + "\nready " +
                     (IsReady() ? "yes" : "no") + "\nreader_rank " +
                     std::to_string(fleet::ReaderRank(mCore.mPeers, now)) +
                     "\n";
  for (const auto& [endpoint, peer] : mCore.mPeers.mPeers) {
    text += "peer " + ToString(endpoint) + " " +
            peer.mMember.mDataCentre.mValue +
            (fleet::IsAlive(peer, now) ? " alive" : " dead") + "\n";
  }
  return mTrafficReport.mUpstreams ? text + *mTrafficReport.mUpstreams : text;
}

} // namespace sassafrasknot::edge
