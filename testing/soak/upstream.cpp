#include "upstream.hpp"

#include "addresses.hpp"
#include <boost/endian/conversion.hpp>

namespace soak {

using std::chrono::milliseconds;
using namespace sassafrasknot::testing;

namespace {

/// Size of the label that an instance puts before a packet.
constexpr std::size_t kLabelBytes = 8;
/// Range of the work time of a request.
constexpr int kMinWorkMs = 2;
constexpr int kMaxWorkMs = 40;
/// Retransmissions of the platform's upstreams: first delay, which doubles up
/// to the longest one, and their number.
constexpr milliseconds kRetransmitDelay{ 200 };
constexpr milliseconds kMaxRetransmitDelay{ 1600 };
constexpr int kMaxRetransmissions = 8;

} // namespace

Upstream::Upstream(boost::asio::io_context& aContext,
                   std::uint64_t aLabel,
                   std::string aService,
                   const Endpoint& aEndpoint,
                   UpstreamEvents aEvents)
  : mLabel(aLabel)
  , mService(std::move(aService))
  , mEndpoint(aEndpoint)
  , mContext(aContext)
  , mEvents(std::move(aEvents))
  , mSocket(std::make_shared<DatagramSocket>(aContext, aEndpoint))
  , mUnansweredHealth(aContext)
{
}

void
Upstream::Start(std::uint32_t aSeed)
{
  mRandom.seed(aSeed);
  mSocket->Start(
    [self = shared_from_this()](const auto& aFrom, const auto& aBytes) {
      self->Receive(aFrom, aBytes);
    });
  OpenHealth();
}

void
Upstream::OpenHealth()
{
  mUnansweredHealth.close();
  auto health =
    sassafrasknot::net::HttpServer::Open(mContext, mEndpoint, [](auto) {
      return sassafrasknot::net::HttpServerResponse{ 200, "text/plain", "" };
    });
  if (health) {
    mHealth = std::move(health).value();
  }
}

void
Upstream::Stop()
{
  mStopped = true;
  mSocket->Close();
  if (mHealth) {
    mHealth->Close();
  }
  mUnansweredHealth.close();
  mFlows.clear();
}

void
Upstream::Silence()
{
  if (!mStopped && !std::exchange(mIsSilent, true) && !mIsDelayed) {
    CloseHealth();
  }
}

void
Upstream::CloseHealth()
{
  if (mHealth) {
    mHealth->Close();
  }
  // The kernel completes connections to a socket that listens.
  const auto endpoint = ToTcp(mEndpoint);
  mUnansweredHealth.open(endpoint.protocol());
  mUnansweredHealth.set_option(
    boost::asio::ip::tcp::acceptor::reuse_address(true));
  mUnansweredHealth.bind(endpoint);
  mUnansweredHealth.listen();
}

void
Upstream::Respond()
{
  if (!mStopped && std::exchange(mIsSilent, false) && !mIsDelayed) {
    OpenHealth();
  }
}

void
Upstream::Delay(milliseconds aDuration)
{
  if (mStopped || mIsSilent || std::exchange(mIsDelayed, true)) {
    return;
  }
  CloseHealth();
  RunAfter(
    mContext, aDuration, [self = shared_from_this()] { self->Resume(); });
}

void
Upstream::Resume()
{
  mIsDelayed = false;
  if (!mStopped && !mIsSilent) {
    OpenHealth();
  }
  for (const auto& process : std::exchange(mDelayed, {})) {
    process();
  }
}

void
Upstream::DropFlows()
{
  mFlows.clear();
}

void
Upstream::Receive(const Endpoint& aFrom, const std::vector<char>& aBytes)
{
  if (mStopped || mIsSilent || !mIsReachableFrom(aFrom) ||
      aBytes.size() < kLabelBytes) {
    return;
  }
  if (mIsDelayed) {
    mDelayed.emplace_back([=, this] { Receive(aFrom, aBytes); });
    return;
  }
  const std::string_view bytes(aBytes.data(), aBytes.size());
  const auto packet = Decode(bytes.substr(kLabelBytes));
  if (!packet || packet->mSum != Checksum(*packet)) {
    mEvents.mOnInvalidPacket(
      packet ? FlowEndpoints{ packet->mSource, packet->mDestination }
             : FlowEndpoints{},
      "changed on its way to upstream " + ToString(mEndpoint));
    return;
  }
  std::uint64_t label = 0;
  bytes.copy(reinterpret_cast<char*>(&label), sizeof(label));
  label = boost::endian::big_to_native(label);
  // Label 0 addresses any upstream at this endpoint.
  if (label == 0 || label == mLabel) {
    OnPacket(aFrom, *packet);
  }
}

void
Upstream::OnPacket(const Endpoint& aFrom, const WirePacket& aPacket)
{
  const FlowEndpoints endpoints{ aPacket.mSource, aPacket.mDestination };
  if (aPacket.mFlags == kSyn) {
    OnOpening(aFrom, aPacket);
    return;
  }
  const auto found = mFlows.find(endpoints);
  if (found == mFlows.end()) {
    if ((aPacket.mFlags & (kRst | kFin)) == 0) {
      mEvents.mOnUnknownFlow(endpoints, aFrom);
      Send(endpoints,
           { aPacket.mAcknowledged, 0, kRst, aPacket.mEcho, {}, {}, "" });
    }
    return;
  }
  auto& flow = found->second;
  flow.mEcho = aPacket.mEcho;
  if ((aPacket.mFlags & kRst) != 0) {
    mFlows.erase(found);
    return;
  }
  if (!flow.mIsOpen) {
    if (aPacket.mAcknowledged != flow.mSequence) {
      return; // It acknowledges another upstream: the flow opens there.
    }
    flow.mIsOpen = true;
    mEvents.mOnFlowOpened(endpoints);
  }
  OnData(flow, endpoints, aPacket);
}

void
Upstream::OnOpening(const Endpoint& aFrom, const WirePacket& aPacket)
{
  const FlowEndpoints endpoints{ aPacket.mSource, aPacket.mDestination };
  mEvents.mOnOpeningReceived(endpoints, aFrom);
  auto [found, isNew] = mFlows.try_emplace(endpoints);
  auto& flow = found->second;
  if (isNew) {
    flow.mSequence = static_cast<std::uint32_t>(mRandom()) + 1;
    flow.mAcknowledged = flow.mSequence;
    flow.mExpectedSequence = aPacket.mSequence + 1;
  } else if (flow.mIsOpen) {
    return;
  }
  flow.mEcho = aPacket.mEcho;
  Send(endpoints,
       { flow.mSequence - 1, flow.mExpectedSequence, kSyn | kAck, flow.mEcho });
}

void
Upstream::OnData(Flow& aFlow,
                 const FlowEndpoints& aEndpoints,
                 const WirePacket& aPacket)
{
  aFlow.mAcknowledged = aPacket.mAcknowledged;
  if (aPacket.mAcknowledged == aFlow.mSequence + aFlow.mUnacknowledged.size() &&
      !aFlow.mUnacknowledged.empty()) {
    aFlow.mSequence += static_cast<std::uint32_t>(aFlow.mUnacknowledged.size());
    aFlow.mUnacknowledged.clear();
  }
  if ((aPacket.mFlags & kFin) != 0) {
    mFlows.erase(aEndpoints);
    return;
  }
  if (aPacket.mData.empty()) {
    return;
  }
  if (aPacket.mSequence == aFlow.mExpectedSequence) {
    aFlow.mExpectedSequence += static_cast<std::uint32_t>(aPacket.mData.size());
    aFlow.mReceived += aPacket.mData;
  }
  Send(aEndpoints,
       { aFlow.mSequence, aFlow.mExpectedSequence, kAck, aFlow.mEcho });
  if (const auto end = aFlow.mReceived.find('\n'); end != std::string::npos) {
    const auto request = aFlow.mReceived.substr(0, end);
    aFlow.mReceived.erase(0, end + 1);
    RunRequest(aEndpoints, request);
  }
}

void
Upstream::RunRequest(const FlowEndpoints& aEndpoints,
                     const std::string& aRequest)
{
  // The id ends at the first space; a body may follow.
  const auto id = aRequest.substr(0, aRequest.find(' '));
  mEvents.mOnRequestStarted(id);
  const milliseconds work(
    std::uniform_int_distribution<int>(kMinWorkMs, kMaxWorkMs)(mRandom));
  RunAfter(mContext, work, [self = shared_from_this(), aEndpoints, id] {
    self->SendAnswer(aEndpoints, id + " " + self->mService + "\n");
  });
}

void
Upstream::SendAnswer(const FlowEndpoints& aEndpoints,
                     const std::string& aAnswer)
{
  const auto found = mFlows.find(aEndpoints);
  if (found == mFlows.end()) {
    return;
  }
  found->second.mUnacknowledged = aAnswer;
  SendData(aEndpoints, found->second);
  Retransmit(aEndpoints, found->second.mSequence, 0);
}

void
Upstream::Retransmit(const FlowEndpoints& aEndpoints,
                     std::uint32_t aSequence,
                     int aRetransmission)
{
  const auto delay =
    std::min(kRetransmitDelay * (1 << aRetransmission), kMaxRetransmitDelay);
  RunAfter(mContext,
           delay,
           [self = shared_from_this(), aEndpoints, aSequence, aRetransmission] {
             const auto found = self->mFlows.find(aEndpoints);
             if (found == self->mFlows.end() ||
                 aRetransmission == kMaxRetransmissions ||
                 found->second.mSequence != aSequence ||
                 found->second.mUnacknowledged.empty()) {
               return;
             }
             self->SendData(aEndpoints, found->second);
             self->Retransmit(aEndpoints, aSequence, aRetransmission + 1);
           });
}

void
Upstream::SendData(const FlowEndpoints& aEndpoints, const Flow& aFlow)
{
  Send(aEndpoints,
       { aFlow.mSequence,
         aFlow.mExpectedSequence,
         // A draining upstream closes a flow with its next answer.
         static_cast<std::uint8_t>(mDraining ? kAck | kFin : kAck),
         aFlow.mEcho,
         {},
         {},
         aFlow.mUnacknowledged });
}

void
Upstream::Send(const FlowEndpoints& aEndpoints, WirePacket aPacket)
{
  if (mStopped || mIsSilent) {
    return;
  }
  if (mIsDelayed) {
    mDelayed.emplace_back([=, this] { Send(aEndpoints, aPacket); });
    return;
  }
  aPacket.mSource = aEndpoints.second;
  aPacket.mDestination = aEndpoints.first;
  aPacket.mSum = Checksum(aPacket);
  mSocket->Send({ aEndpoints.first.mAddress, kTrafficPort }, Encode(aPacket));
}

} // namespace soak
