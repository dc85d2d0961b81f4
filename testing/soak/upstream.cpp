#include "upstream.hpp"

#include "addresses.hpp"
#include <boost/endian/conversion.hpp>

namespace soak {

using std::chrono::milliseconds;
using namespace sassafrasknot::testing;

namespace {

constexpr std::size_t kLabelBytes = 8;
/// Work time of a request: between these times.
constexpr int kShortestWorkMs = 2;
constexpr int kLongestWorkMs = 40;
/// Retransmissions of the platform's ends: first pause, doubled up to the
/// longest one, and their number.
constexpr milliseconds kRetransmit{ 200 };
constexpr milliseconds kLongestRetransmit{ 1600 };
constexpr int kRetransmissions = 8;

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
  , mPort(std::make_shared<Port>(aContext, aEndpoint))
{
}

void
Upstream::Start(std::uint32_t aSeed)
{
  mRandom.seed(aSeed);
  mPort->Start(
    [self = shared_from_this()](const auto& aFrom, const auto& aBytes) {
      self->Receive(aFrom, aBytes);
    });
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
  mPort->Close();
  if (mHealth) {
    mHealth->Close();
  }
  mFlows.clear();
}

void
Upstream::ForgetFlows()
{
  mFlows.clear();
}

void
Upstream::Receive(const Endpoint& aFrom, const std::vector<char>& aBytes)
{
  if (mStopped || !mReachedFrom(aFrom) || aBytes.size() < kLabelBytes) {
    return;
  }
  const std::string_view bytes(aBytes.data(), aBytes.size());
  const auto packet = Decode(bytes.substr(kLabelBytes));
  if (!packet || packet->mSum != Checksum(*packet)) {
    mEvents.mForged(packet ? FlowEnds{ packet->mSource, packet->mDestination }
                           : FlowEnds{},
                    "changed on its way to upstream " + ToString(mEndpoint));
    return;
  }
  std::uint64_t label = 0;
  bytes.copy(reinterpret_cast<char*>(&label), sizeof(label));
  label = boost::endian::big_to_native(label);
  if (label == 0 || label == mLabel) {
    OnPacket(aFrom, *packet);
  }
}

void
Upstream::OnPacket(const Endpoint& aFrom, const WirePacket& aPacket)
{
  const FlowEnds ends{ aPacket.mSource, aPacket.mDestination };
  if (aPacket.mFlags == kSyn) {
    OnOpening(aFrom, aPacket);
    return;
  }
  const auto found = mFlows.find(ends);
  if (found == mFlows.end()) {
    if ((aPacket.mFlags & (kRst | kFin)) == 0) {
      mEvents.mUnknownFlow(ends, aFrom);
      Send(ends, { aPacket.mAcknowledged, 0, kRst, aPacket.mEcho, {}, {}, "" });
    }
    return;
  }
  auto& flow = found->second;
  flow.mEcho = aPacket.mEcho;
  if ((aPacket.mFlags & kRst) != 0) {
    mFlows.erase(found);
    return;
  }
  if (!flow.mOpen) {
    if (aPacket.mAcknowledged != flow.mSequence) {
      return; // It opens at another upstream.
    }
    flow.mOpen = true;
    mEvents.mOpened(ends);
  }
  OnData(flow, ends, aPacket);
}

void
Upstream::OnOpening(const Endpoint& aFrom, const WirePacket& aPacket)
{
  const FlowEnds ends{ aPacket.mSource, aPacket.mDestination };
  mEvents.mOpening(ends, aFrom);
  auto [found, isNew] = mFlows.try_emplace(ends);
  auto& flow = found->second;
  if (isNew) {
    flow.mSequence = static_cast<std::uint32_t>(mRandom()) + 1;
    flow.mAcknowledged = flow.mSequence;
    flow.mExpected = aPacket.mSequence + 1;
  } else if (flow.mOpen) {
    return;
  }
  flow.mEcho = aPacket.mEcho;
  Send(ends, { flow.mSequence - 1, flow.mExpected, kSyn | kAck, flow.mEcho });
}

void
Upstream::OnData(Flow& aFlow, const FlowEnds& aEnds, const WirePacket& aPacket)
{
  aFlow.mAcknowledged = aPacket.mAcknowledged;
  if (aPacket.mAcknowledged == aFlow.mSequence + aFlow.mUnacknowledged.size() &&
      !aFlow.mUnacknowledged.empty()) {
    aFlow.mSequence += static_cast<std::uint32_t>(aFlow.mUnacknowledged.size());
    aFlow.mUnacknowledged.clear();
  }
  if ((aPacket.mFlags & kFin) != 0) {
    mFlows.erase(aEnds);
    return;
  }
  if (aPacket.mData.empty()) {
    return;
  }
  if (aPacket.mSequence == aFlow.mExpected) {
    aFlow.mExpected += static_cast<std::uint32_t>(aPacket.mData.size());
    aFlow.mReceived += aPacket.mData;
  }
  Send(aEnds, { aFlow.mSequence, aFlow.mExpected, kAck, aFlow.mEcho });
  if (const auto end = aFlow.mReceived.find('\n'); end != std::string::npos) {
    const auto request = aFlow.mReceived.substr(0, end);
    aFlow.mReceived.erase(0, end + 1);
    Run(aEnds, request);
  }
}

void
Upstream::Run(const FlowEnds& aEnds, const std::string& aRequest)
{
  // The id ends at the first space; a body may follow.
  const auto id = aRequest.substr(0, aRequest.find(' '));
  mEvents.mRuns(id);
  const milliseconds work(std::uniform_int_distribution<int>(
    kShortestWorkMs, kLongestWorkMs)(mRandom));
  After(mContext, work, [self = shared_from_this(), aEnds, id] {
    self->Answer(aEnds, id + " " + self->mService + "\n");
  });
}

void
Upstream::Answer(const FlowEnds& aEnds, const std::string& aAnswer)
{
  const auto found = mFlows.find(aEnds);
  if (found == mFlows.end()) {
    return;
  }
  found->second.mUnacknowledged = aAnswer;
  SendData(aEnds, found->second);
  Retransmit(aEnds, found->second.mSequence, 0);
}

void
Upstream::Retransmit(const FlowEnds& aEnds, std::uint32_t aSequence, int aTry)
{
  const auto pause = std::min(kRetransmit * (1 << aTry), kLongestRetransmit);
  After(mContext, pause, [self = shared_from_this(), aEnds, aSequence, aTry] {
    const auto found = self->mFlows.find(aEnds);
    if (found == self->mFlows.end() || aTry == kRetransmissions ||
        found->second.mSequence != aSequence ||
        found->second.mUnacknowledged.empty()) {
      return;
    }
    self->SendData(aEnds, found->second);
    self->Retransmit(aEnds, aSequence, aTry + 1);
  });
}

void
Upstream::SendData(const FlowEnds& aEnds, const Flow& aFlow)
{
  Send(aEnds,
       { aFlow.mSequence,
         aFlow.mExpected,
         // A draining upstream closes a flow with its next answer.
         static_cast<std::uint8_t>(mDraining ? kAck | kFin : kAck),
         aFlow.mEcho,
         {},
         {},
         aFlow.mUnacknowledged });
}

void
Upstream::Send(const FlowEnds& aEnds, WirePacket aPacket)
{
  if (mStopped) {
    return;
  }
  aPacket.mSource = aEnds.second;
  aPacket.mDestination = aEnds.first;
  aPacket.mSum = Checksum(aPacket);
  mPort->Send({ aEnds.first.mAddress, kTrafficPort }, Encode(aPacket));
}

} // namespace soak
