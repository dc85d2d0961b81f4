#include "sassafrasknot/edge/traffic_loop.hpp"

#include "sassafrasknot/edge/traffic_log.hpp"
#include "sassafrasknot/state/hashing.hpp"

#include <utility>

#include <boost/asio/post.hpp>

namespace sassafrasknot::edge {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Period in which opening packets without an answer are looked for and loads
/// are reported to the control thread: the shortest period of messages within a
/// data centre.
constexpr milliseconds kTick{ 25 };
/// A report looks at all upstreams. With more of them than this it is made less
/// often, as are the messages that it is for.
constexpr std::size_t kLargeTable = 250;
constexpr milliseconds kLargeReportPeriod{ 75 };
/// Longest datagram of a caller: a header and 1,200 bytes of data, with room
/// for headers of other lengths.
constexpr std::size_t kLargestPacket = 2048;
/// Bytes of the socket's receive buffer; datagrams count against the
/// instance's memory.
constexpr std::size_t kReceiveBuffer = std::size_t{ 1 } << 20U;
/// How often the view of upstreams is written for dumps.
constexpr std::chrono::seconds kDumpPeriod{ 5 };
/// Packets that are held until the first directory is there, about 100 ms after
/// the start; callers repeat further ones.
constexpr std::size_t kHeldPackets = 512;
/// Of ordinary flows the placement of one in this many is logged.
constexpr std::uint64_t kLogOneFlowIn = 8;

bool
IsLogged(const flows::CallerPacket& aPacket, const flows::Decision& aDecision)
{
  using flows::Reason;
  switch (aDecision.mReason) {
    case Reason::Established:
    case Reason::NotReady:
      return false;
    case Reason::Placed:
      return state::Hash(aPacket.mFlow) % kLogOneFlowIn == 0;
    default:
      return true;
  }
}

} // namespace

TrafficLoop::TrafficLoop(EdgeSettings aSettings,
                         PacketFormat aFormat,
                         std::shared_ptr<Metrics> aMetrics,
                         std::shared_ptr<net::EventLog> aLog)
  : mSettings(std::move(aSettings))
  , mFormat(aFormat)
  , mMetrics(std::move(aMetrics))
  , mLog(std::move(aLog))
  , mRouter(flows::MakeRouter(
      { mSettings.mDataCentre,
        {},
        static_cast<std::uint32_t>(state::HashBytes(mSettings.mInstance)) }))
{
}

TrafficLoop::~TrafficLoop()
{
  Stop();
}

state::Result<void>
TrafficLoop::Start(ReportHandler aReporter)
{
  mReportHandler = std::move(aReporter);
  auto session = net::UdpSocket::Open(
    mContext,
    { mSettings.mTrafficEndpoint, false, kReceiveBuffer, kLargestPacket });
  if (!session) {
    return session.error();
  }
  mSession = std::move(session).value();
  mSession->StartReceiving([this](auto aDatagram) { OnDatagram(aDatagram); });
  ScheduleTick();
  mThread = std::thread([this] { mContext.run(); });
  return boost::outcome_v2::success();
}

void
TrafficLoop::Stop()
{
  if (!mThread.joinable()) {
    return;
  }
  boost::asio::post(mContext, [this] {
    mSession->Close();
    mTimer.cancel();
    mContext.stop();
  });
  mThread.join();
}

void
TrafficLoop::SetDirectory(std::shared_ptr<const flows::Directory> aDirectory)
{
  boost::asio::post(
    mContext, [this, directory = std::move(aDirectory)]() mutable {
      flows::OnDirectory(mRouter, std::move(directory), Clock::now());
      ReleaseHeld();
    });
}

void
TrafficLoop::SetPeerLoads(PeerLoadUpdate aView)
{
  boost::asio::post(mContext, [this, view = std::move(aView)] {
    flows::OnPosition(mRouter, view.mPosition);
    flows::SetPeerLoads(
      mRouter.mUpstreams, view.mLoads, view.mMeanUtilisations);
  });
}

void
TrafficLoop::ApplyUnresponsiveReports(std::set<flows::UpstreamToken> aTokens)
{
  boost::asio::post(mContext, [this, tokens = std::move(aTokens)] {
    flows::OnReportedUnresponsive(mRouter, tokens, Clock::now());
    HandleLivenessChanges();
  });
}

void
TrafficLoop::ApplyProbeSuccesses(std::set<flows::UpstreamToken> aTokens,
                                 state::TimePoint aSent)
{
  boost::asio::post(mContext, [this, tokens = std::move(aTokens), aSent] {
    for (const auto token : tokens) {
      flows::OnProbeSuccess(mRouter, token, aSent);
    }
    HandleLivenessChanges();
  });
}

void
TrafficLoop::ScheduleTick()
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
TrafficLoop::Tick()
{
  const auto now = Clock::now();
  flows::OnTick(mRouter, now);
  HandleLivenessChanges();
  if (now >= mNextReport) {
    const bool isLarge = mRouter.mUpstreams.mByToken.size() > kLargeTable;
    mNextReport = now + (isLarge ? kLargeReportPeriod : kTick);
    Report(now);
  }
}

void
TrafficLoop::Report(state::TimePoint aNow)
{
  TrafficReport report;
  for (const auto& [token, record] : mRouter.mUpstreams.mByToken) {
    if (record.mOwnLoad != flows::UpstreamLoad{}) {
      report.mOwnLoads.push_back({ token, record.mOwnLoad });
    }
    if (record.mFailureDetector.mLiveness == flows::Liveness::Unresponsive &&
        !record.mFailureDetector.mMarkedUnresponsive) {
      report.mUnresponsive.push_back(token);
    }
    if (record.mFailureDetector.mLiveness != flows::Liveness::Responsive &&
        record.mPresence != flows::Presence::Removed) {
      report.mProbeCandidates.push_back(token);
    }
  }
  if (aNow >= mNextDump) {
    mNextDump = aNow + kDumpPeriod;
    mUpstreamDump = FormatUpstreams(mRouter, aNow);
  }
  report.mLocalUtilisation = flows::LocalUtilisation(mRouter.mUpstreams);
  report.mUpstreamDump = mUpstreamDump;
  report.mOpenFlows = mRouter.mFlows.size();
  report.mSinceLastPacket = aNow - mLastPacket;
  mMetrics->mOpenFlows = report.mOpenFlows;
  mReportHandler(std::move(report));
}

void
TrafficLoop::OnDatagram(std::span<std::uint8_t> aDatagram)
{
  mLastPacket = Clock::now();
  const auto packet = mFormat.mDecode(aDatagram);
  if (!packet) {
    Increment(mMetrics->mMalformedPackets);
    mLog->Write("packet_malformed",
                { { "reason", packet.error().mMessage },
                  { "bytes", std::to_string(aDatagram.size()) } });
    return;
  }
  const auto decision = flows::OnPacket(mRouter, packet.value(), mLastPacket);
  Increment(
    mMetrics->mPacketsByReason[static_cast<std::size_t>(decision.mReason)]);
  if (decision.mResponseTime) {
    Observe(mMetrics->mResponseTime, *decision.mResponseTime);
  }
  Execute(packet.value(), decision, aDatagram);
  if (IsLogged(packet.value(), decision)) {
    LogDecision(packet.value(), decision);
  }
  HandleLivenessChanges();
}

void
TrafficLoop::Execute(const flows::CallerPacket& aPacket,
                     const flows::Decision& aDecision,
                     std::span<std::uint8_t> aDatagram)
{
  bool isSent = true;
  switch (aDecision.mAction) {
    case flows::PacketAction::Forward: {
      const auto& upstream = aDecision.mUpstream->mUpstream;
      mFormat.mWriteToken(aDatagram, aDecision.mUpstream->mToken);
      isSent = mSession->Send(
        upstream.mAddress, mFormat.mMakePrefix(upstream), aDatagram);
      break;
    }
    case flows::PacketAction::Reset: {
      const state::Endpoint caller{ aPacket.mFlow.mCaller.mAddress,
                                    mSettings.mTrafficEndpoint.mPort };
      isSent = mSession->Send(caller, mFormat.mMakeReset(aPacket));
      break;
    }
    case flows::PacketAction::Hold:
      Hold(aDatagram);
      break;
    case flows::PacketAction::Discard:
      break;
  }
  if (!isSent) {
    Increment(mMetrics->mSendFailures);
    mLog->Write("packet_unsent", { { "flow", FormatFlow(aPacket.mFlow) } });
  }
}

void
TrafficLoop::Hold(std::span<const std::uint8_t> aDatagram)
{
  if (mHeld.size() < kHeldPackets) {
    mHeld.emplace_back(aDatagram.begin(), aDatagram.end());
  } else {
    Increment(mMetrics->mHoldBufferOverflows);
  }
}

void
TrafficLoop::ReleaseHeld()
{
  for (auto& datagram : std::exchange(mHeld, {})) {
    OnDatagram(datagram);
  }
}

void
TrafficLoop::HandleLivenessChanges()
{
  if (mRouter.mLivenessChanges.empty()) {
    return;
  }
  LogLivenessChanges();
  for (const auto& flow : flows::AbandonUnansweredRequests(mRouter)) {
    const auto& packet = flow.mPacket;
    const flows::Decision decision{ flows::PacketAction::Reset,
                                    flows::Reason::UpstreamUnresponsive,
                                    state::Verdict::MayHaveRun,
                                    flows::FindUpstream(mRouter.mUpstreams,
                                                        flow.mToken) };
    Increment(
      mMetrics->mPacketsByReason[static_cast<std::size_t>(decision.mReason)]);
    Execute(packet, decision, {});
    LogDecision(packet, decision);
  }
}

} // namespace sassafrasknot::edge
