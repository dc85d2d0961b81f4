#include "sassafrasknot/edge/traffic_loop.hpp"

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
/// One flow in this many is logged from its first to its last packet.
constexpr std::uint64_t kLogOneFlowIn = 8;

std::string
FlowText(const state::FlowKey& aFlow)
{
  return ToString(aFlow.mCaller) + ">" + ToString(aFlow.mService);
}

std::string_view
ToText(flows::Liveness aLiveness)
{
  switch (aLiveness) {
    case flows::Liveness::Answers:
      return "answers";
    case flows::Liveness::Suspected:
      return "suspected";
    case flows::Liveness::Silent:
      break;
  }
  return "silent";
}

std::string_view
ToText(flows::Presence aPresence)
{
  switch (aPresence) {
    case flows::Presence::Listed:
      return "listed";
    case flows::Presence::Missing:
      return "missing";
    case flows::Presence::Gone:
      break;
  }
  return "gone";
}

std::shared_ptr<const std::string>
DumpUpstreams(const flows::FlowRouter& aRouter, state::TimePoint aNow)
{
  auto text = std::make_shared<std::string>();
  for (const auto& [token, record] : aRouter.mUpstreams.mByToken) {
    const auto& silence = record.mSilence;
    const net::LogFields fields{
      { "token", std::to_string(token) },
      { "service", record.mUpstream.mService },
      { "address", ToString(record.mUpstream.mAddress) },
      { "data_centre", record.mUpstream.mDataCentre.mValue },
      { "presence", std::string(ToText(record.mPresence)) },
      { "draining", record.mUpstream.mDraining ? "yes" : "no" },
      { "cold", aNow < record.mWarm ? "yes" : "no" },
      { "own_feeds", std::to_string(record.mOwn.mFeeds) },
      { "own_at_work", std::to_string(record.mOwn.mAtWork) },
      { "peers_feeds", std::to_string(record.mPeers.mFeeds) },
      { "peers_at_work", std::to_string(record.mPeers.mAtWork) },
      { "liveness", std::string(ToText(silence.mLiveness)) },
      { "repeated", std::to_string(silence.mRepeated) },
      { "unseen", std::to_string(silence.mUnseen) },
      { "told", silence.mTold ? "yes" : "no" },
    };
    *text += "upstream " + record.mUpstream.mId;
    for (const auto& [key, value] : fields) {
      *text += " " + key + "=" + value;
    }
    *text += "\n";
  }
  return text;
}

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
TrafficLoop::Start(Reporter aReporter)
{
  mReporter = std::move(aReporter);
  auto session = net::UdpSession::Open(
    mContext,
    { mSettings.mTrafficEndpoint, false, kReceiveBuffer, kLargestPacket });
  if (!session) {
    return session.error();
  }
  mSession = std::move(session).value();
  mSession->Start([this](auto aDatagram) { OnDatagram(aDatagram); });
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
TrafficLoop::UseDirectory(std::shared_ptr<const flows::Directory> aDirectory)
{
  boost::asio::post(
    mContext, [this, directory = std::move(aDirectory)]() mutable {
      flows::OnDirectory(mRouter, std::move(directory), Clock::now());
      ReleaseHeld();
    });
}

void
TrafficLoop::UsePeerLoads(
  std::map<flows::FlowToken, flows::UpstreamLoad> aLoads,
  std::size_t aLocalPeers)
{
  boost::asio::post(mContext, [this, loads = std::move(aLoads), aLocalPeers] {
    mRouter.mLocalPeers = aLocalPeers;
    for (auto& [token, record] : mRouter.mUpstreams.mByToken) {
      const auto found = loads.find(token);
      record.mPeers =
        found == loads.end() ? flows::UpstreamLoad{} : found->second;
    }
  });
}

void
TrafficLoop::UsePeerSilence(std::set<flows::FlowToken> aTokens)
{
  boost::asio::post(mContext, [this, tokens = std::move(aTokens)] {
    flows::OnPeerSilence(mRouter, tokens, Clock::now());
    HandleChanges();
  });
}

void
TrafficLoop::UseProven(std::set<flows::FlowToken> aTokens,
                       state::TimePoint aSent)
{
  boost::asio::post(mContext, [this, tokens = std::move(aTokens), aSent] {
    for (const auto token : tokens) {
      flows::OnProven(mRouter, token, aSent);
    }
    HandleChanges();
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
  HandleChanges();
  Report(now);
}

void
TrafficLoop::Report(state::TimePoint aNow)
{
  TrafficReport report;
  for (const auto& [token, record] : mRouter.mUpstreams.mByToken) {
    if (record.mOwn != flows::UpstreamLoad{}) {
      report.mLoads.push_back({ token, record.mOwn });
    }
    if (record.mSilence.mLiveness == flows::Liveness::Silent &&
        !record.mSilence.mTold) {
      report.mSilent.push_back(token);
    }
    if (record.mSilence.mLiveness != flows::Liveness::Answers &&
        record.mPresence != flows::Presence::Gone) {
      report.mUnanswering.push_back(token);
    }
  }
  if (aNow >= mNextDump) {
    mNextDump = aNow + kDumpPeriod;
    mDump = DumpUpstreams(mRouter, aNow);
  }
  report.mUpstreams = mDump;
  report.mFlows = mRouter.mFlows.size();
  report.mQuiet = aNow - mLastPacket;
  mMetrics->mOpenFlows = report.mFlows;
  mReporter(std::move(report));
}

void
TrafficLoop::OnDatagram(std::span<std::uint8_t> aDatagram)
{
  mLastPacket = Clock::now();
  const auto packet = mFormat.mDecode(aDatagram);
  if (!packet) {
    Count(mMetrics->mMalformedPackets);
    mLog->Write("packet_malformed",
                { { "reason", packet.error().mMessage },
                  { "bytes", std::to_string(aDatagram.size()) } });
    return;
  }
  const auto decision = flows::OnPacket(mRouter, packet.value(), mLastPacket);
  Count(mMetrics->mPackets[static_cast<std::size_t>(decision.mReason)]);
  Execute(packet.value(), decision, aDatagram);
  if (IsLogged(packet.value(), decision)) {
    LogDecision(packet.value(), decision);
  }
  HandleChanges();
}

void
TrafficLoop::Execute(const flows::CallerPacket& aPacket,
                     const flows::Decision& aDecision,
                     std::span<std::uint8_t> aDatagram)
{
  bool isSent = true;
  switch (aDecision.mStep) {
    case flows::Step::Forward: {
      const auto& upstream = aDecision.mUpstream->mUpstream;
      mFormat.mWriteToken(aDatagram, aDecision.mUpstream->mToken);
      isSent =
        mSession->Send(upstream.mAddress, mFormat.mPrefix(upstream), aDatagram);
      break;
    }
    case flows::Step::Reset: {
      const state::Endpoint caller{ aPacket.mFlow.mCaller.mAddress,
                                    mSettings.mTrafficEndpoint.mPort };
      isSent = mSession->Send(caller, mFormat.mMakeReset(aPacket));
      break;
    }
    case flows::Step::Hold:
      Hold(aDatagram);
      break;
    case flows::Step::Discard:
      break;
  }
  if (!isSent) {
    Count(mMetrics->mUnsentPackets);
    mLog->Write("packet_unsent", { { "flow", FlowText(aPacket.mFlow) } });
  }
}

void
TrafficLoop::Hold(std::span<const std::uint8_t> aDatagram)
{
  if (mHeld.size() < kHeldPackets) {
    mHeld.emplace_back(aDatagram.begin(), aDatagram.end());
  } else {
    Count(mMetrics->mUnheldPackets);
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
TrafficLoop::HandleChanges()
{
  if (mRouter.mLivenessChanges.empty()) {
    return;
  }
  LogLivenessChanges();
  for (const auto& flow : flows::TakeGivenUp(mRouter)) {
    const auto& packet = flow.mLastPacket;
    const flows::Decision decision{ flows::Step::Reset,
                                    flows::Reason::UpstreamSilent,
                                    state::Verdict::MayHaveRun,
                                    flows::FindUpstream(mRouter.mUpstreams,
                                                        flow.mToken) };
    Count(mMetrics->mPackets[static_cast<std::size_t>(decision.mReason)]);
    Execute(packet, decision, {});
    LogDecision(packet, decision);
  }
}

void
TrafficLoop::LogDecision(const flows::CallerPacket& aPacket,
                         const flows::Decision& aDecision)
{
  net::LogFields fields{
    { "flow", FlowText(aPacket.mFlow) },
    { "verdict", std::string(ToString(aDecision.mVerdict)) },
    { "copy", std::to_string(aPacket.mCopy) },
  };
  if (mRouter.mDirectory) {
    fields.emplace_back("revision",
                        std::to_string(mRouter.mDirectory->mRevision));
  }
  if (const auto* record = aDecision.mUpstream) {
    fields.emplace_back("upstream", record->mUpstream.mId);
    fields.emplace_back("data_centre", record->mUpstream.mDataCentre.mValue);
    fields.emplace_back("own_at_work", std::to_string(record->mOwn.mAtWork));
    fields.emplace_back("peers_at_work",
                        std::to_string(record->mPeers.mAtWork));
  } else if (aPacket.mToken != flows::kNoToken) {
    fields.emplace_back("token", std::to_string(aPacket.mToken));
  }
  if (const auto* left = aDecision.mLeft) {
    fields.emplace_back("left", left->mUpstream.mId);
  }
  mLog->Write("flow_" + std::string(ToString(aDecision.mReason)), fields);
}

void
TrafficLoop::LogLivenessChanges()
{
  const auto now = Clock::now();
  for (const auto& change : std::exchange(mRouter.mLivenessChanges, {})) {
    const bool answers = change.mLiveness == flows::Liveness::Answers;
    Count(answers ? mMetrics->mSilencesEnded : mMetrics->mSilencesBegun);
    const auto* record = flows::FindUpstream(mRouter.mUpstreams, change.mToken);
    if (record == nullptr) {
      continue;
    }
    const auto age = std::chrono::duration_cast<milliseconds>(
      now - record->mSilence.mLastSign);
    mLog->Write("upstream_" + std::string(ToText(change.mLiveness)),
                { { "upstream", record->mUpstream.mId },
                  { "data_centre", record->mUpstream.mDataCentre.mValue },
                  { "repeated", std::to_string(record->mSilence.mRepeated) },
                  { "unseen", std::to_string(record->mSilence.mUnseen) },
                  { "told", record->mSilence.mTold ? "yes" : "no" },
                  { "last_sign_ms", std::to_string(age.count()) } });
  }
}

} // namespace sassafrasknot::edge
