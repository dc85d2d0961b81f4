#include "caller.hpp"

#include <algorithm>
#include <utility>

#include "addresses.hpp"

namespace soak {

using std::chrono::milliseconds;
using namespace sassafrasknot::testing;

namespace {

/// Times of the platform's callers since the opening packet of a flow: its two
/// retransmissions, and the end of the attempt if the flow has not opened.
/// A probe of Caller::Probe ends at the first of them.
constexpr milliseconds kFirstOpenRetransmission{ 200 };
constexpr milliseconds kSecondOpenRetransmission{ 600 };
constexpr milliseconds kOpenTimeout{ 1400 };
/// First and longest delay between retransmissions of a request, and the
/// deadline of a request and its repetitions.
constexpr milliseconds kRetransmitDelay{ 200 };
constexpr milliseconds kMaxRetransmitDelay{ 1600 };
constexpr milliseconds kRequestDeadline{ 3000 };
/// Maximum number of repetitions of a request.
constexpr int kMaxRetries = 2;
/// Time from an answer of a feed to its next request, and the number of
/// requests of a feed.
constexpr milliseconds kFeedInterval{ 300 };
constexpr int kFeedRequests = 30;
/// Size of an upload's body, and of the data of one packet.
constexpr std::size_t kUploadBytes = 6000;
constexpr std::size_t kPacketBytes = 1200;

} // namespace

struct Caller::Flow
{
  FlowEndpoints mEndpoints;
  FlowKind mKind = FlowKind::Confirmation;
  /// Sequence number of the first byte that is not acknowledged.
  std::uint32_t mSequence = 1000;
  std::uint32_t mExpectedSequence = 0; ///< Of the upstream's next byte.
  /// Value from the last packet received, sent back with each packet.
  std::uint32_t mEcho = 0;
  bool mIsOpen = false;
  bool mHasEnded = false;
  /// Id of the request in progress; empty between the requests of a feed.
  std::string mRequest;
  /// Bytes of the request that are not acknowledged.
  std::string mPending;
  /// Bytes of the answer received so far.
  std::string mReceived;
  Clock::time_point mStartTime;
  int mRetries = 0;
  int mRequestsLeft = 1;
  /// Set only for flows of Probe that have no result yet.
  std::function<void(const FlowEndpoints&, std::optional<bool>)> mOnProbeResult;
  /// The last answer had the FIN flag: the upstream closes the flow.
  bool mIsClosing = false;
};

Caller::Caller(boost::asio::io_context& aContext,
               std::size_t aNumber,
               const Endpoint& aEndpoint,
               CallerEvents aEvents)
  : mContext(aContext)
  , mNumber(aNumber)
  , mEndpoint(aEndpoint)
  , mEvents(std::move(aEvents))
  , mSocket(std::make_shared<DatagramSocket>(aContext, aEndpoint))
{
}

void
Caller::Start()
{
  mSocket->Start(
    [self = shared_from_this()](const auto& aFrom, const auto& aBytes) {
      self->Receive(aFrom, aBytes);
    });
}

void
Caller::StartRequest(FlowKind aKind, const Endpoint& aService)
{
  auto flow = std::make_shared<Flow>();
  flow->mKind = aKind;
  flow->mEndpoints.second = aService;
  flow->mStartTime = Clock::now();
  flow->mRequestsLeft = aKind == FlowKind::Feed ? kFeedRequests : 1;
  OpenFlow(flow);
}

void
Caller::Probe(
  const Endpoint& aService,
  const Endpoint& aInstance,
  std::function<void(const FlowEndpoints&, std::optional<bool>)> aDone)
{
  auto flow = std::make_shared<Flow>();
  flow->mEndpoints = { { mEndpoint.mAddress, mNextPort++ }, aService };
  flow->mOnProbeResult = std::move(aDone);
  mFlows[flow->mEndpoints] = flow;
  WirePacket opening{ flow->mSequence, 0, kSyn };
  opening.mSource = flow->mEndpoints.first;
  opening.mDestination = aService;
  opening.mSum = Checksum(opening);
  SendTo(aInstance, Encode(opening));
  RunAfter(
    mContext, kFirstOpenRetransmission, [self = shared_from_this(), flow] {
      if (flow->mOnProbeResult) {
        self->mFlows.erase(flow->mEndpoints);
        std::exchange(flow->mOnProbeResult, nullptr)(flow->mEndpoints,
                                                     std::nullopt);
      }
    });
}

void
Caller::SendTo(const Endpoint& aInstance, const std::string& aBytes)
{
  mSocket->Send(aInstance, aBytes);
}

void
Caller::OpenFlow(const std::shared_ptr<Flow>& aFlow)
{
  aFlow->mEndpoints.first = { mEndpoint.mAddress, mNextPort++ };
  aFlow->mRequest =
    std::to_string(mNumber) + "-" + std::to_string(mNextRequest++);
  aFlow->mIsOpen = false;
  aFlow->mHasEnded = false;
  aFlow->mSequence = 1000;
  aFlow->mEcho = 0;
  aFlow->mPending.clear();
  aFlow->mReceived.clear();
  aFlow->mIsClosing = false;
  mFlows[aFlow->mEndpoints] = aFlow;
  SendOpening(aFlow, 0);
  const auto endpoints = aFlow->mEndpoints;
  const auto schedule = [&](milliseconds aDelay, auto aAction) {
    RunAfter(
      mContext, aDelay, [self = shared_from_this(), aFlow, endpoints, aAction] {
        if (!aFlow->mIsOpen && !aFlow->mHasEnded &&
            aFlow->mEndpoints == endpoints) {
          aAction(*self);
        }
      });
  };
  schedule(kFirstOpenRetransmission,
           [aFlow](Caller& aCaller) { aCaller.SendOpening(aFlow, 1); });
  schedule(kSecondOpenRetransmission,
           [aFlow](Caller& aCaller) { aCaller.SendOpening(aFlow, 2); });
  schedule(kOpenTimeout,
           [aFlow](Caller& aCaller) { aCaller.FailAttempt(aFlow); });
}

void
Caller::SendOpening(const std::shared_ptr<Flow>& aFlow,
                    std::uint32_t aRetransmission)
{
  SendPacket(*aFlow, { aFlow->mSequence, aRetransmission, kSyn });
}

void
Caller::BeginRequest(const std::shared_ptr<Flow>& aFlow)
{
  aFlow->mPending = aFlow->mRequest;
  if (aFlow->mKind == FlowKind::Upload) {
    aFlow->mPending += " " + std::string(kUploadBytes, 'x');
  }
  aFlow->mPending += "\n";
  SendPending(aFlow);
  Retransmit(aFlow, 0);
  RunAfter(mContext,
           kRequestDeadline,
           [self = shared_from_this(), aFlow, request = aFlow->mRequest] {
             if (!aFlow->mHasEnded && aFlow->mRequest == request) {
               self->FailAttempt(aFlow);
             }
           });
}

void
Caller::SendPending(const std::shared_ptr<Flow>& aFlow)
{
  for (std::size_t offset = 0; offset < aFlow->mPending.size();
       offset += kPacketBytes) {
    SendPacket(*aFlow,
               { aFlow->mSequence + static_cast<std::uint32_t>(offset),
                 aFlow->mExpectedSequence,
                 kAck,
                 aFlow->mEcho,
                 {},
                 {},
                 aFlow->mPending.substr(offset, kPacketBytes) });
  }
}

void
Caller::Retransmit(const std::shared_ptr<Flow>& aFlow, int aRetransmission)
{
  const auto delay =
    std::min(kRetransmitDelay * (1 << aRetransmission), kMaxRetransmitDelay);
  RunAfter(mContext,
           delay,
           [self = shared_from_this(),
            aFlow,
            aRetransmission,
            request = aFlow->mRequest] {
             if (!aFlow->mHasEnded && aFlow->mRequest == request &&
                 !aFlow->mPending.empty()) {
               self->SendPending(aFlow);
               self->Retransmit(aFlow, aRetransmission + 1);
             }
           });
}

void
Caller::SendPacket(const Flow& aFlow, WirePacket aPacket)
{
  aPacket.mSource = aFlow.mEndpoints.first;
  aPacket.mDestination = aFlow.mEndpoints.second;
  aPacket.mSum = Checksum(aPacket);
  mEvents.mSendPacket(mNumber, aFlow.mEndpoints, Encode(aPacket));
}

void
Caller::Receive(const Endpoint& aFrom, const std::vector<char>& aBytes)
{
  const auto packet = Decode({ aBytes.data(), aBytes.size() });
  if (!packet) {
    mEvents.mOnInvalidPacket(
      {},
      "a caller received bytes that are not a packet, from " + ToString(aFrom));
    return;
  }
  const FlowEndpoints endpoints{ packet->mDestination, packet->mSource };
  const bool isReset = packet->mFlags == kRst && packet->mData.empty();
  // Instances may send resets of their own, with a checksum of 0.
  if (packet->mSum != Checksum(*packet) && !(isReset && packet->mSum == 0)) {
    mEvents.mOnInvalidPacket(endpoints, "changed on its way to its caller");
    return;
  }
  const auto found = mFlows.find(endpoints);
  if (found == mFlows.end()) {
    return;
  }
  const auto flow = found->second;
  if (flow->mOnProbeResult) {
    if (isReset || packet->mFlags == (kSyn | kAck)) {
      mFlows.erase(found);
      std::exchange(flow->mOnProbeResult, nullptr)(endpoints, !isReset);
    }
  } else if (isReset) {
    OnReset(flow, aFrom, *packet);
  } else {
    OnAnswer(flow, *packet);
  }
}

void
Caller::OnReset(const std::shared_ptr<Flow>& aFlow,
                const Endpoint& aFrom,
                const WirePacket& aPacket)
{
  constexpr std::uint32_t kWindow = 76800;
  // A reset of an open flow is ignored unless its sequence number is less than
  // kWindow away from the expected one.
  const auto ahead = aPacket.mSequence - aFlow->mExpectedSequence;
  const bool isNear = ahead < kWindow || -ahead < kWindow;
  if (aFlow->mIsOpen && !isNear) {
    return;
  }
  if (aPacket.mSum == 0) {
    mEvents.mOnReset(aFlow->mEndpoints, aFrom);
  }
  FailAttempt(aFlow);
}

void
Caller::OnAnswer(const std::shared_ptr<Flow>& aFlow, const WirePacket& aPacket)
{
  if (aPacket.mFlags == (kSyn | kAck)) {
    if (!aFlow->mIsOpen) {
      aFlow->mIsOpen = true;
      aFlow->mExpectedSequence = aPacket.mSequence + 1;
      aFlow->mSequence = aPacket.mAcknowledged;
      aFlow->mEcho = aPacket.mEcho;
      mEvents.mOnFlowOpened(aFlow->mEndpoints);
      BeginRequest(aFlow);
    }
    return;
  }
  if (!aFlow->mIsOpen) {
    return;
  }
  aFlow->mEcho = aPacket.mEcho;
  if (const auto acknowledged = aPacket.mAcknowledged - aFlow->mSequence;
      acknowledged > 0 && acknowledged <= aFlow->mPending.size()) {
    aFlow->mSequence = aPacket.mAcknowledged;
    aFlow->mPending.erase(0, acknowledged);
  }
  if (aPacket.mData.empty()) {
    return;
  }
  if (aPacket.mSequence == aFlow->mExpectedSequence) {
    aFlow->mExpectedSequence +=
      static_cast<std::uint32_t>(aPacket.mData.size());
    aFlow->mReceived += aPacket.mData;
    aFlow->mIsClosing = (aPacket.mFlags & kFin) != 0;
  }
  SendPacket(
    *aFlow, { aFlow->mSequence, aFlow->mExpectedSequence, kAck, aFlow->mEcho });
  if (aFlow->mReceived.ends_with('\n')) {
    CompleteRequest(aFlow);
  }
}

void
Caller::CompleteRequest(const std::shared_ptr<Flow>& aFlow)
{
  if (!aFlow->mReceived.starts_with(aFlow->mRequest + " ")) {
    mEvents.mOnInvalidPacket(aFlow->mEndpoints,
                             "the answer belongs to another request");
  }
  mEvents.mOnRequestEnded(Outcome::Served, aFlow->mStartTime);
  aFlow->mReceived.clear();
  aFlow->mRetries = 0;
  aFlow->mPending.clear();
  aFlow->mRequest.clear();
  const bool isLast = --aFlow->mRequestsLeft == 0;
  if (isLast || aFlow->mIsClosing) {
    CloseFlow(aFlow);
  }
  if (isLast) {
    return;
  }
  const auto endpoints = aFlow->mEndpoints;
  RunAfter(
    mContext, kFeedInterval, [self = shared_from_this(), aFlow, endpoints] {
      if (aFlow->mEndpoints != endpoints) {
        return; // The feed broke, and its next request began on a new flow.
      }
      aFlow->mStartTime = Clock::now();
      if (aFlow->mIsClosing) {
        self->OpenFlow(aFlow);
      } else if (!aFlow->mHasEnded) {
        aFlow->mRequest = std::to_string(self->mNumber) + "-" +
                          std::to_string(self->mNextRequest++);
        self->BeginRequest(aFlow);
      }
    });
}

void
Caller::FailAttempt(const std::shared_ptr<Flow>& aFlow)
{
  const bool wasOpen = aFlow->mIsOpen;
  const bool isBetweenRequests = aFlow->mRequest.empty();
  // A feed that breaks between two requests starts its next one now, on a new
  // flow. That is no repetition, so mRetries does not limit it.
  if (isBetweenRequests) {
    aFlow->mStartTime = Clock::now();
  }
  mFlows.erase(aFlow->mEndpoints);
  aFlow->mHasEnded = true;
  if (!wasOpen) {
    mEvents.mOnNotRun(aFlow->mRequest);
  }
  // Once its flow was open, a request may have run, so only an idempotent one
  // may be repeated.
  const bool mayRepeat = !wasOpen || aFlow->mKind == FlowKind::Feed;
  if (mayRepeat && (aFlow->mRetries++ < kMaxRetries || isBetweenRequests) &&
      Clock::now() - aFlow->mStartTime < kRequestDeadline) {
    OpenFlow(aFlow);
    return;
  }
  if (!isBetweenRequests) {
    mEvents.mOnRequestEnded(wasOpen ? Outcome::MayHaveRun : Outcome::NotRun,
                            aFlow->mStartTime);
  }
}

void
Caller::CloseFlow(const std::shared_ptr<Flow>& aFlow)
{
  aFlow->mHasEnded = true;
  SendPacket(
    *aFlow,
    { aFlow->mSequence, aFlow->mExpectedSequence, kAck | kFin, aFlow->mEcho });
  mFlows.erase(aFlow->mEndpoints);
}

} // namespace soak
