#include "caller.hpp"

#include <algorithm>
#include <utility>

#include "addresses.hpp"

namespace soak {

using std::chrono::milliseconds;
using namespace sassafrasknot::testing;

namespace {

/// Times of the platform's callers: copies of an opening packet, the end of an
/// attempt, retransmissions, and a request's deadline.
constexpr milliseconds kFirstCopy{ 200 };
constexpr milliseconds kSecondCopy{ 600 };
constexpr milliseconds kOpenTimeout{ 1400 };
constexpr milliseconds kRetransmit{ 200 };
constexpr milliseconds kLongestRetransmit{ 1600 };
constexpr milliseconds kDeadline{ 3000 };
constexpr int kRetries = 2;
/// A feed asks so often, and so many times on one flow.
constexpr milliseconds kFeedPause{ 300 };
constexpr int kFeedRequests = 30;
constexpr std::size_t kUploadBytes = 6000;
constexpr std::size_t kPacketBytes = 1200;

} // namespace

struct Caller::Flow
{
  FlowEnds mEnds;
  RequestKind mKind = RequestKind::Confirmation;
  std::uint32_t mSequence =
    1000; ///< Of the first byte that is not acknowledged.
  std::uint32_t mExpected = 0;
  std::uint32_t mEcho = 0;
  bool mOpen = false;
  bool mEnded = false;
  std::string mRequest;
  std::string mPending;
  std::string mReceived;
  Clock::time_point mBegan;
  int mTries = 0;
  int mRequestsLeft = 1;
  std::function<void(const FlowEnds&, std::optional<bool>)> mProbed;
  /// The upstream closes the flow after this answer.
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
  , mPort(std::make_shared<Port>(aContext, aEndpoint))
{
}

void
Caller::Start()
{
  mPort->Start(
    [self = shared_from_this()](const auto& aFrom, const auto& aBytes) {
      self->Receive(aFrom, aBytes);
    });
}

void
Caller::Ask(RequestKind aKind, const Endpoint& aService)
{
  auto flow = std::make_shared<Flow>();
  flow->mKind = aKind;
  flow->mEnds.second = aService;
  flow->mBegan = Clock::now();
  flow->mRequestsLeft = aKind == RequestKind::Feed ? kFeedRequests : 1;
  Open(flow);
}

void
Caller::Probe(const Endpoint& aService,
              const Endpoint& aInstance,
              std::function<void(const FlowEnds&, std::optional<bool>)> aDone)
{
  auto flow = std::make_shared<Flow>();
  flow->mEnds = { { mEndpoint.mAddress, mNextPort++ }, aService };
  flow->mProbed = std::move(aDone);
  mFlows[flow->mEnds] = flow;
  WirePacket opening{ flow->mSequence, 0, kSyn };
  opening.mSource = flow->mEnds.first;
  opening.mDestination = aService;
  opening.mSum = Checksum(opening);
  SendTo(aInstance, Encode(opening));
  After(mContext, kFirstCopy, [self = shared_from_this(), flow] {
    if (flow->mProbed) {
      self->mFlows.erase(flow->mEnds);
      std::exchange(flow->mProbed, nullptr)(flow->mEnds, std::nullopt);
    }
  });
}

void
Caller::SendTo(const Endpoint& aInstance, const std::string& aBytes)
{
  mPort->Send(aInstance, aBytes);
}

void
Caller::Open(const std::shared_ptr<Flow>& aFlow)
{
  aFlow->mEnds.first = { mEndpoint.mAddress, mNextPort++ };
  aFlow->mRequest =
    std::to_string(mNumber) + "-" + std::to_string(mNextRequest++);
  aFlow->mOpen = false;
  aFlow->mEnded = false;
  aFlow->mSequence = 1000;
  aFlow->mEcho = 0;
  aFlow->mPending.clear();
  aFlow->mReceived.clear();
  aFlow->mIsClosing = false;
  mFlows[aFlow->mEnds] = aFlow;
  SendOpening(aFlow, 0);
  const auto ends = aFlow->mEnds;
  const auto later = [&](milliseconds aDelay, auto aAction) {
    After(mContext, aDelay, [self = shared_from_this(), aFlow, ends, aAction] {
      if (!aFlow->mOpen && !aFlow->mEnded && aFlow->mEnds == ends) {
        aAction(*self);
      }
    });
  };
  later(kFirstCopy, [aFlow](Caller& aSelf) { aSelf.SendOpening(aFlow, 1); });
  later(kSecondCopy, [aFlow](Caller& aSelf) { aSelf.SendOpening(aFlow, 2); });
  later(kOpenTimeout, [aFlow](Caller& aSelf) { aSelf.Fail(aFlow); });
}

void
Caller::SendOpening(const std::shared_ptr<Flow>& aFlow, std::uint32_t aCopy)
{
  SendPacket(*aFlow, { aFlow->mSequence, aCopy, kSyn });
}

void
Caller::BeginRequest(const std::shared_ptr<Flow>& aFlow)
{
  aFlow->mPending = aFlow->mRequest;
  if (aFlow->mKind == RequestKind::Upload) {
    aFlow->mPending += " " + std::string(kUploadBytes, 'x');
  }
  aFlow->mPending += "\n";
  SendPending(aFlow);
  Retransmit(aFlow, 0);
  After(mContext,
        kDeadline,
        [self = shared_from_this(), aFlow, request = aFlow->mRequest] {
          if (!aFlow->mEnded && aFlow->mRequest == request) {
            self->Fail(aFlow);
          }
        });
}

void
Caller::SendPending(const std::shared_ptr<Flow>& aFlow)
{
  for (std::size_t at = 0; at < aFlow->mPending.size(); at += kPacketBytes) {
    SendPacket(*aFlow,
               { aFlow->mSequence + static_cast<std::uint32_t>(at),
                 aFlow->mExpected,
                 kAck,
                 aFlow->mEcho,
                 {},
                 {},
                 aFlow->mPending.substr(at, kPacketBytes) });
  }
}

void
Caller::Retransmit(const std::shared_ptr<Flow>& aFlow, int aTry)
{
  const auto pause = std::min(kRetransmit * (1 << aTry), kLongestRetransmit);
  After(mContext,
        pause,
        [self = shared_from_this(), aFlow, aTry, request = aFlow->mRequest] {
          if (!aFlow->mEnded && aFlow->mRequest == request &&
              !aFlow->mPending.empty()) {
            self->SendPending(aFlow);
            self->Retransmit(aFlow, aTry + 1);
          }
        });
}

void
Caller::SendPacket(const Flow& aFlow, WirePacket aPacket)
{
  aPacket.mSource = aFlow.mEnds.first;
  aPacket.mDestination = aFlow.mEnds.second;
  aPacket.mSum = Checksum(aPacket);
  mEvents.mSend(mNumber, aFlow.mEnds, Encode(aPacket));
}

void
Caller::Receive(const Endpoint& aFrom, const std::vector<char>& aBytes)
{
  const auto packet = Decode({ aBytes.data(), aBytes.size() });
  if (!packet) {
    mEvents.mForged({}, "no packet came to a caller from " + ToString(aFrom));
    return;
  }
  const FlowEnds ends{ packet->mDestination, packet->mSource };
  const bool isReset = packet->mFlags == kRst && packet->mData.empty();
  // The system may send resets of its own, with a sum of 0.
  if (packet->mSum != Checksum(*packet) && !(isReset && packet->mSum == 0)) {
    mEvents.mForged(ends, "changed on its way to its caller");
    return;
  }
  const auto found = mFlows.find(ends);
  if (found == mFlows.end()) {
    return;
  }
  const auto flow = found->second;
  if (flow->mProbed) {
    if (isReset || packet->mFlags == (kSyn | kAck)) {
      mFlows.erase(found);
      std::exchange(flow->mProbed, nullptr)(ends, !isReset);
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
  const auto ahead = aPacket.mSequence - aFlow->mExpected;
  const bool isNear = ahead < kWindow || -ahead < kWindow;
  if (aFlow->mOpen && !isNear) {
    return;
  }
  if (aPacket.mSum == 0) {
    mEvents.mReset(aFlow->mEnds, aFrom);
  }
  Fail(aFlow);
}

void
Caller::OnAnswer(const std::shared_ptr<Flow>& aFlow, const WirePacket& aPacket)
{
  if (aPacket.mFlags == (kSyn | kAck)) {
    if (!aFlow->mOpen) {
      aFlow->mOpen = true;
      aFlow->mExpected = aPacket.mSequence + 1;
      aFlow->mSequence = aPacket.mAcknowledged;
      aFlow->mEcho = aPacket.mEcho;
      mEvents.mOpened(aFlow->mEnds);
      BeginRequest(aFlow);
    }
    return;
  }
  if (!aFlow->mOpen) {
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
  if (aPacket.mSequence == aFlow->mExpected) {
    aFlow->mExpected += static_cast<std::uint32_t>(aPacket.mData.size());
    aFlow->mReceived += aPacket.mData;
    aFlow->mIsClosing = (aPacket.mFlags & kFin) != 0;
  }
  SendPacket(*aFlow,
             { aFlow->mSequence, aFlow->mExpected, kAck, aFlow->mEcho });
  if (aFlow->mReceived.ends_with('\n')) {
    Complete(aFlow);
  }
}

void
Caller::Complete(const std::shared_ptr<Flow>& aFlow)
{
  if (!aFlow->mReceived.starts_with(aFlow->mRequest + " ")) {
    mEvents.mForged(aFlow->mEnds, "the answer belongs to another request");
  }
  mEvents.mEnded(Outcome::Served, aFlow->mBegan);
  aFlow->mReceived.clear();
  aFlow->mTries = 0;
  aFlow->mPending.clear();
  aFlow->mRequest.clear();
  const bool isLast = --aFlow->mRequestsLeft == 0;
  if (isLast || aFlow->mIsClosing) {
    Close(aFlow);
  }
  if (isLast) {
    return;
  }
  After(mContext, kFeedPause, [self = shared_from_this(), aFlow] {
    aFlow->mBegan = Clock::now();
    if (aFlow->mIsClosing) {
      self->Open(aFlow);
    } else if (!aFlow->mEnded) {
      aFlow->mRequest = std::to_string(self->mNumber) + "-" +
                        std::to_string(self->mNextRequest++);
      self->BeginRequest(aFlow);
    }
  });
}

void
Caller::Fail(const std::shared_ptr<Flow>& aFlow)
{
  const bool wasOpen = aFlow->mOpen;
  const bool isBetweenRequests = aFlow->mRequest.empty();
  if (isBetweenRequests) {
    aFlow->mBegan = Clock::now();
  }
  mFlows.erase(aFlow->mEnds);
  aFlow->mEnded = true;
  if (!wasOpen) {
    mEvents.mNotRun(aFlow->mRequest);
  }
  // Only idempotent requests may be repeated once a flow was open.
  const bool mayRepeat = !wasOpen || aFlow->mKind == RequestKind::Feed;
  if (mayRepeat && (aFlow->mTries++ < kRetries || isBetweenRequests) &&
      Clock::now() - aFlow->mBegan < kDeadline) {
    Open(aFlow);
    return;
  }
  if (!isBetweenRequests) {
    mEvents.mEnded(wasOpen ? Outcome::Unknown : Outcome::NotRun, aFlow->mBegan);
  }
}

void
Caller::Close(const std::shared_ptr<Flow>& aFlow)
{
  aFlow->mEnded = true;
  SendPacket(*aFlow,
             { aFlow->mSequence, aFlow->mExpected, kAck | kFin, aFlow->mEcho });
  mFlows.erase(aFlow->mEnds);
}

} // namespace soak
