#include "sassafrasknot/edge/traffic_loop.hpp"

#include "sassafrasknot/edge/traffic_log.hpp"
#include "sassafrasknot/edge/traffic_report.hpp"
#include "sassafrasknot/net/clock.hpp"
#include "sassafrasknot/state/hashing.hpp"

#include <utility>

#include <boost/asio/post.hpp>

namespace sassafrasknot::edge {
namespace {

using std::chrono::milliseconds;

/// Interval at which unanswered opens are looked for and reports are sent to
/// the control thread. It equals the shortest interval between messages within
/// a data centre.
constexpr milliseconds kTickInterval{ 25 };
/// With more upstreams than this, reports are less frequent, because each one
/// iterates over all upstreams. The messages that send the reported loads to
/// other instances are less frequent in large data centres too.
constexpr std::size_t kLargeTable = 250;
/// Interval between reports with a large table.
constexpr milliseconds kLargeTableReportInterval{ 75 };
/// Interval of reports that contain speeds: that of the messages which send
/// them to other instances (fleet::FleetPolicy::mSpeedsPeriod).
constexpr milliseconds kSpeedReportInterval{ 1000 };
/// Maximum size of a caller's datagram, in bytes: a header and 1,200 bytes of
/// data, with room for headers of other lengths.
constexpr std::size_t kMaxPacketBytes = 2048;
/// Receive buffer of the socket, in bytes. The datagrams in it count against
/// the memory limit of the instance.
constexpr std::size_t kReceiveBufferBytes = std::size_t{ 1 } << 20U;
/// Interval at which the open flows in evacuated data centres are counted,
/// which iterates over all flows.
constexpr std::chrono::seconds kEvacuationStatusInterval{ 1 };
/// Upper limit of packets that are held until the first directory, about 100 ms
/// after the start. Further packets are dropped; callers retransmit them.
constexpr std::size_t kMaxHeldPackets = 512;
/// Of ordinary placements and of deferrals, those of one flow in this many are
/// logged.
constexpr std::uint64_t kLogOneFlowIn = 8;

bool
IsLogged(const flows::CallerPacket& aPacket, const flows::Decision& aDecision)
{
  using flows::Reason;
  switch (aDecision.mReason) {
    case Reason::Established:
    case Reason::Unrouted:
    case Reason::NotReady:
      return false;
    case Reason::Placed:
    case Reason::Deferred:
    case Reason::ServiceFull:
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
        static_cast<std::uint32_t>(state::HashBytes(mSettings.mInstance)),
        mSettings.mLinkMbps,
        mSettings.mColdBounds }))
{
}

TrafficLoop::~TrafficLoop()
{
  Stop();
}

state::Result<void>
TrafficLoop::Start(ReportHandler aHandler)
{
  mReportHandler = std::move(aHandler);
  auto udpSocket = net::UdpSocket::Open(mContext,
                                        { mSettings.mTrafficEndpoint,
                                          false,
                                          kReceiveBufferBytes,
                                          kMaxPacketBytes });
  if (!udpSocket) {
    return udpSocket.error();
  }
  mSocket = std::move(udpSocket).value();
  mSocket->StartReceiving([this](auto aDatagram) { OnDatagram(aDatagram); });
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
    mSocket->Close();
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
      flows::OnDirectory(mRouter, std::move(directory), net::Now());
      ReleaseHeld();
    });
}

void
TrafficLoop::ConfirmDirectory(state::TimePoint aConfirmedAt)
{
  boost::asio::post(mContext, [this, aConfirmedAt] {
    flows::OnDirectoryConfirmed(mRouter, aConfirmedAt);
  });
}

void
TrafficLoop::SetPeerLoads(PeerLoadUpdate aUpdate)
{
  boost::asio::post(mContext, [this, update = std::move(aUpdate)] {
    flows::OnPosition(mRouter, update.mPosition, net::Now());
    flows::SetPeerLoads(
      mRouter.mUpstreams, update.mLoads, update.mMeanUtilisations);
  });
}

void
TrafficLoop::SetSharedSpeeds(
  std::map<flows::UpstreamToken, flows::SharedSpeed> aSpeeds)
{
  boost::asio::post(mContext, [this, speeds = std::move(aSpeeds)] {
    flows::SetSharedSpeeds(mRouter.mUpstreams, speeds, net::Now());
  });
}

void
TrafficLoop::SetFleetView(flows::FleetView aView)
{
  boost::asio::post(mContext, [this, view = std::move(aView)]() mutable {
    flows::OnFleetView(mRouter, std::move(view), net::Now());
  });
}

void
TrafficLoop::ApplyUnresponsiveReports(std::set<flows::UpstreamToken> aTokens)
{
  boost::asio::post(mContext, [this, tokens = std::move(aTokens)] {
    flows::OnReportedUnresponsive(mRouter, tokens, net::Now());
    HandleLivenessChanges();
  });
}

void
TrafficLoop::ApplyProbeSuccesses(
  std::map<flows::UpstreamToken, state::TimePoint> aProbes)
{
  boost::asio::post(mContext, [this, probes = std::move(aProbes)] {
    for (const auto& [token, sent] : probes) {
      flows::OnProbeSuccess(mRouter, token, sent);
    }
    HandleLivenessChanges();
  });
}

void
TrafficLoop::RequestUpstreamDump(std::function<void(std::string)> aHandler)
{
  boost::asio::post(mContext, [this, handler = std::move(aHandler)] {
    handler(FormatUpstreams(mRouter, net::Now()));
  });
}

void
TrafficLoop::ScheduleTick()
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
TrafficLoop::Tick()
{
  const auto now = net::Now();
  flows::OnTick(mRouter, now);
  HandleLivenessChanges();
  if (now >= mNextReport) {
    const bool isLarge = mRouter.mUpstreams.mByToken.size() > kLargeTable;
    mNextReport = now + (isLarge ? kLargeTableReportInterval : kTickInterval);
    Report(now);
  }
}

void
TrafficLoop::Report(state::TimePoint aNow)
{
  auto report = ReportUpstreams(mRouter.mUpstreams);
  if (aNow >= mNextSpeedReport) {
    mNextSpeedReport = aNow + kSpeedReportInterval;
    report.mOwnSpeeds = ReportSpeeds(mRouter.mUpstreams, aNow);
  }
  if (aNow >= mNextEvacuationStatus) {
    mNextEvacuationStatus = aNow + kEvacuationStatusInterval;
    mEvacuations = flows::EvacuationStatuses(mRouter);
  }
  report.mEvacuations = mEvacuations;
  report.mLocalUtilisation = flows::LocalUtilisation(mRouter.mUpstreams);
  report.mOpenFlows = mRouter.mFlows.size();
  report.mSinceLastPacket = aNow - mLastPacket;
  mMetrics->mOpenFlows = report.mOpenFlows;
  mMetrics->mOpenUploads = mRouter.mBulk.mSendingFlows;
  mMetrics->mUploadQueueMicros = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(
      flows::ExpectedQueueDelay(mRouter.mBulk, mRouter.mLink))
      .count());
  const auto& cold = mRouter.mColdPlacement.mCounters;
  mMetrics->mColdAdmissions = cold.mAdmitted;
  mMetrics->mColdBudgetUsedUp = cold.mBudgetUsedUp;
  mMetrics->mColdRefusals = cold.mRefused;
  mMetrics->mWorkSamples = mRouter.mWork.mSampleCount;
  mMetrics->mEarlyAnswers = mRouter.mWork.mEarlyAnswerCount;
  mMetrics->mRejections = mRouter.mCapacity.mRejections;
  for (const auto& [service, capacity] : mRouter.mCapacity.mServices) {
    report.mLimitedUpstreams.emplace_back(service, capacity.mLimitedUpstreams);
  }
  mReportHandler(std::move(report));
}

void
TrafficLoop::OnDatagram(std::span<std::uint8_t> aDatagram)
{
  mLastPacket = net::Now();
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
      isSent = mSocket->Send(
        upstream.mAddress, mFormat.mMakePrefix(upstream), aDatagram);
      break;
    }
    case flows::PacketAction::Reset: {
      const state::Endpoint caller{ aPacket.mFlow.mCaller.mAddress,
                                    mSettings.mTrafficEndpoint.mPort };
      isSent = mSocket->Send(caller, mFormat.mMakeReset(aPacket));
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
  if (mHeld.size() < kMaxHeldPackets) {
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
