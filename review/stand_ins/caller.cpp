#include "caller.hpp"

#include <algorithm>
#include <utility>

namespace review {
namespace {

constexpr unsigned kCallerHosts = 3;

/// Times of the platform's callers.
constexpr milliseconds kFirstCopy{ 200 };
constexpr milliseconds kSecondCopy{ 600 };
constexpr milliseconds kOpenTimeout{ 1400 };
constexpr milliseconds kFirstRetransmission{ 200 };
constexpr milliseconds kMaxRetransmission{ 1600 };
constexpr milliseconds kDeadline{ 2500 };
constexpr int kMaxRetries = 2;
/// A reset of an open flow counts if its sequence number is this close.
constexpr std::uint32_t kResetWindow = 76800;

std::string
MakeRequest(const std::string& aId)
{
  return "GET /feed HTTP/1.1\r\nHost: service\r\nRequest-Id: " + aId +
         "\r\n\r\n";
}

} // namespace

struct Caller::Feed
{
  FlowKey mKey;
  milliseconds mInterval{ 0 };
  bool mFresh = false;
  bool mOpen = false;
  std::uint32_t mSequence = 0;
  std::uint32_t mExpected = 0;
  std::uint32_t mEcho = 0;
  std::string mRequest;
  std::string mPending;
  std::string mReceived;
  int mRetries = 0;
  Clock::time_point mOpened;

  /// Returns the id of the current attempt of the request.
  std::string Attempt() const
  {
    return mRequest + "." + std::to_string(mRetries);
  }
};

Caller::Caller(Deployment& aDeployment, std::size_t aNumber, std::string aZone)
  : mDeployment(aDeployment)
  , mEndpoint(aDeployment.At(kCallerHosts, aNumber, kTrafficPort))
  , mZone(std::move(aZone))
  , mSocket(std::make_shared<DatagramSocket>(aDeployment.mContext, mEndpoint))
  , mNextSequence(static_cast<std::uint32_t>(aNumber + 1) * 2246822519U)
{
}

void
Caller::Start()
{
  mSocket->Start(
    [self = shared_from_this()](const auto& aFrom, std::string_view aBytes) {
      self->Receive(aFrom, aBytes);
    });
}

void
Caller::StartFeed(const Endpoint& aService, milliseconds aInterval, bool aFresh)
{
  auto feed = std::make_shared<Feed>();
  feed->mKey.mService = aService;
  feed->mInterval = aInterval;
  feed->mFresh = aFresh;
  SendRequest(feed);
}

void
Caller::StopFeeds()
{
  mStopped = true;
}

void
Caller::SendRequest(const std::shared_ptr<Feed>& aFeed)
{
  if (mStopped) {
    return;
  }
  aFeed->mRequest = AddressOf(mEndpoint) + "-" + std::to_string(mNextRequest++);
  aFeed->mRetries = 0;
  RunAfter(mDeployment.mContext,
           kDeadline,
           [self = shared_from_this(), aFeed, request = aFeed->mRequest] {
             if (aFeed->mRequest == request) {
               self->mDeployment.mRecord.Line("request " + request +
                                              " passes its deadline");
               aFeed->mRetries = kMaxRetries;
               self->Fail(aFeed);
             }
           });
  if (!aFeed->mOpen) {
    Open(aFeed);
    return;
  }
  aFeed->mPending = MakeRequest(aFeed->Attempt());
  SendPending(aFeed, aFeed->mSequence, 0);
}

void
Caller::Open(const std::shared_ptr<Feed>& aFeed)
{
  mNextSequence += 40503U * 65537U;
  aFeed->mKey.mCaller = { mEndpoint.mAddress, mNextPort++ };
  aFeed->mSequence = mNextSequence;
  aFeed->mEcho = 0;
  aFeed->mPending.clear();
  aFeed->mReceived.clear();
  aFeed->mOpened = Clock::now();
  mFlows[aFeed->mKey] = aFeed;
  SendOpening(aFeed, 0);
  const auto schedule = [&](milliseconds aDelay, auto aAction) {
    RunAfter(mDeployment.mContext,
             aDelay,
             [self = shared_from_this(), aFeed, key = aFeed->mKey, aAction] {
               if (self->mFlows.contains(key) && !aFeed->mOpen) {
                 aAction(*self, aFeed);
               }
             });
  };
  schedule(kFirstCopy, [](Caller& aCaller, const auto& aWaiting) {
    aCaller.SendOpening(aWaiting, 1);
  });
  schedule(kSecondCopy, [](Caller& aCaller, const auto& aWaiting) {
    aCaller.SendOpening(aWaiting, 2);
  });
  schedule(kOpenTimeout, [](Caller& aCaller, const auto& aWaiting) {
    aCaller.Fail(aWaiting);
  });
}

void
Caller::SendOpening(const std::shared_ptr<Feed>& aFeed, std::uint32_t aCopy)
{
  Send(*aFeed, { aFeed->mSequence, aCopy, kSyn });
}

void
Caller::SendPending(const std::shared_ptr<Feed>& aFeed,
                    std::uint32_t aSequence,
                    int aTry)
{
  const auto found = mFlows.find(aFeed->mKey);
  if (found == mFlows.end() || aFeed->mPending.empty() ||
      aFeed->mSequence != aSequence) {
    return;
  }
  Send(*aFeed,
       { aFeed->mSequence,
         aFeed->mExpected,
         kAck,
         aFeed->mEcho,
         0,
         {},
         {},
         aFeed->mPending });
  RunAfter(mDeployment.mContext,
           std::min(kFirstRetransmission * (1 << aTry), kMaxRetransmission),
           [self = shared_from_this(), aFeed, aSequence, aTry] {
             self->SendPending(aFeed, aSequence, aTry + 1);
           });
}

void
Caller::Send(const Feed& aFeed, Packet aPacket)
{
  aPacket.mSource = aFeed.mKey.mCaller;
  aPacket.mDestination = aFeed.mKey.mService;
  aPacket.mSum = SumOf(aPacket);
  mDeployment.Forward(mZone, aFeed.mKey, *mSocket, Encode(aPacket));
}

void
Caller::Receive(const Endpoint& aFrom, std::string_view aBytes)
{
  const auto packet = Decode(aBytes);
  if (!packet) {
    return;
  }
  const auto found = mFlows.find({ packet->mDestination, packet->mSource });
  const bool isReset = packet->mFlags == kRst && packet->mData.empty();
  if (packet->mSum != SumOf(*packet) && !(isReset && packet->mSum == 0)) {
    mDeployment.mRecord.Violation("MIXED", "a caller got an altered packet");
    return;
  }
  if (found == mFlows.end()) {
    return;
  }
  const auto feed = found->second;
  isReset ? OnReset(feed, aFrom, *packet) : OnAnswer(feed, *packet);
}

void
Caller::OnReset(const std::shared_ptr<Feed>& aFeed,
                const Endpoint& aFrom,
                const Packet& aPacket)
{
  const auto ahead = aPacket.mSequence - aFeed->mExpected;
  if (aFeed->mOpen && std::min(ahead, 0U - ahead) > kResetWindow) {
    return;
  }
  const bool isBySystem = aPacket.mSum == 0;
  mDeployment.mRecord.Line(
    "flow " + FormatFlow(aFeed->mKey) + (aFeed->mOpen ? ", open," : "") +
    " is reset by " + ToString(aFrom) + (isBySystem ? "" : " (its target)"));
  if (isBySystem && aFeed->mOpen && mOnReset) {
    mOnReset(aFeed->mKey, aFrom);
  }
  if (isBySystem && !aFeed->mOpen) {
    ++mCounts.mRefused;
    if (mOnOpening) {
      mOnOpening(aFeed->mKey, aFeed->mOpened, false);
    }
  }
  Fail(aFeed);
}

void
Caller::OnAnswer(const std::shared_ptr<Feed>& aFeed, const Packet& aPacket)
{
  if (aPacket.mFlags == (kSyn | kAck)) {
    if (!aFeed->mOpen) {
      aFeed->mOpen = true;
      aFeed->mExpected = aPacket.mSequence + 1;
      aFeed->mSequence = aPacket.mAcknowledged;
      aFeed->mEcho = aPacket.mEcho;
      if (mOnOpening) {
        mOnOpening(aFeed->mKey, aFeed->mOpened, true);
      }
      aFeed->mPending = MakeRequest(aFeed->Attempt());
      SendPending(aFeed, aFeed->mSequence, 0);
    }
    return;
  }
  if (!aFeed->mOpen) {
    return;
  }
  aFeed->mEcho = aPacket.mEcho;
  if (const auto acknowledged = aPacket.mAcknowledged - aFeed->mSequence;
      acknowledged > 0 && acknowledged <= aFeed->mPending.size()) {
    aFeed->mSequence = aPacket.mAcknowledged;
    aFeed->mPending.erase(0, acknowledged);
  }
  if (aPacket.mData.empty()) {
    return;
  }
  if (aPacket.mSequence == aFeed->mExpected) {
    aFeed->mExpected += static_cast<std::uint32_t>(aPacket.mData.size());
    aFeed->mReceived += aPacket.mData;
  }
  Send(*aFeed, { aFeed->mSequence, aFeed->mExpected, kAck, aFeed->mEcho });
  if (!aFeed->mReceived.ends_with("\r\n\r\nok")) {
    return;
  }
  if (aFeed->mReceived.find("Request-Id: " + aFeed->Attempt() + "\r\n") ==
      std::string::npos) {
    mDeployment.mRecord.Violation("MIXED", "an answer of another request");
  }
  mDeployment.mRecord.Line("request " + aFeed->Attempt() + " is answered");
  ++mCounts.mServed;
  aFeed->mReceived.clear();
  if (aFeed->mFresh) {
    Close(aFeed);
  }
  ScheduleNext(aFeed);
}

void
Caller::Close(const std::shared_ptr<Feed>& aFeed)
{
  Send(*aFeed,
       { aFeed->mSequence, aFeed->mExpected, kAck | kFin, aFeed->mEcho });
  mFlows.erase(aFeed->mKey);
  aFeed->mOpen = false;
}

void
Caller::Fail(const std::shared_ptr<Feed>& aFeed)
{
  mFlows.erase(aFeed->mKey);
  aFeed->mOpen = false;
  aFeed->mPending.clear();
  if (aFeed->mRequest.empty()) {
    return; // Between two requests; the next one opens a new flow.
  }
  if (aFeed->mRetries++ < kMaxRetries) {
    Open(aFeed);
    return;
  }
  ++mCounts.mFailed;
  ScheduleNext(aFeed);
}

void
Caller::ScheduleNext(const std::shared_ptr<Feed>& aFeed)
{
  aFeed->mRequest.clear();
  RunAfter(mDeployment.mContext,
           aFeed->mInterval,
           [self = shared_from_this(), aFeed] { self->SendRequest(aFeed); });
}

} // namespace review
