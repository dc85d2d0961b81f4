#include "overload_model_test.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sassafrasknot::flows {
namespace {

constexpr microseconds kCallerLatency{ 3000 };
constexpr microseconds kUpstreamLatency{ 400 };
constexpr std::size_t kQueueLength = 8;
constexpr std::uint32_t kAttempts = 3;
constexpr std::uint32_t kRequestBytes = 100;
constexpr std::uint32_t kAnswerBytes = 500;

} // namespace

OverloadResults
OverloadModel::Run()
{
  Tick();
  Arrive();
  Later(kBurstBegin, [this] { Remove(); });
  while (!mEvents.empty() && mEvents.top().mTime < kEnd) {
    auto event = mEvents.top();
    mEvents.pop();
    mNow = event.mTime;
    event.mRun();
  }
  for (const auto& router : mRouters) {
    mResults.mRecognised += static_cast<int>(router.mCapacity.mRejections);
  }
  return mResults;
}

microseconds
OverloadModel::Exponential(double aRate)
{
  return microseconds(
    std::llround(std::exponential_distribution<double>(aRate)(mRandom) * 1e6));
}

double
OverloadModel::Random()
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
}

void
OverloadModel::Arrive()
{
  const bool isBurst = mNow >= kBurstBegin && mNow < kBurstEnd;
  std::array<double, 3> shares{};
  double meanWork = 0;
  for (std::size_t kind = 0; kind < mKinds.size(); ++kind) {
    shares[kind] = mKinds[kind].mShare;
    if (isBurst && mParameters.mSalesShare) {
      const double share = *mParameters.mSalesShare;
      shares[kind] =
        kind == 0 ? share
                  : shares[kind] * (1 - share) / (1 - mKinds.front().mShare);
    }
    meanWork += shares[kind] * static_cast<double>(mKinds[kind].mWork.count());
  }
  const double load = isBurst ? mParameters.mBurstLoad : mParameters.mLoad;
  constexpr double kAllSlots = kUpstreams * kSlotsOfUpstream;
  if (mNow >= kArrivalsEnd) {
    return;
  }
  Later(Exponential(load * kAllSlots / meanWork * 1e6), [this, shares] {
    double value = Random();
    std::size_t kind = 0;
    while (kind + 1 < shares.size() && value >= shares[kind]) {
      value -= shares[kind++];
    }
    Begin(kind);
    Arrive();
  });
}

KindResults*
OverloadModel::ResultsOf(const Request& aRequest)
{
  if (aRequest.mBegin >= kBurstBegin && aRequest.mBegin < kBurstEnd) {
    return &mResults.mKinds[aRequest.mKind];
  }
  return aRequest.mBegin >= kBurstEnd ? &mResults.mAfter : &mResults.mBefore;
}

void
OverloadModel::Begin(std::size_t aKind)
{
  const auto index = mRequests.size();
  auto& request = mRequests.emplace_back();
  request.mKind = aKind;
  request.mBegin = mNow;
  auto* results = ResultsOf(request);
  ++results->mRequests;
  results->mMaxCredit += mKinds[aKind].mValue;
  auto& idle = mIdleFlows[aKind];
  if (mKinds[aKind].mKind == RequestKind::Idempotent && !idle.empty()) {
    std::swap(idle[mRandom() % idle.size()], idle.back());
    request.mFlow = idle.back();
    idle.pop_back();
    request.mAttempt = 1;
    request.mEstablished = true;
    SendRequest(index);
    return;
  }
  Attempt(index);
}

CallerPacket
OverloadModel::MakePacket(const Request& aRequest,
                          state::SegmentKind aKind) const
{
  CallerPacket packet;
  packet.mFlow = { aRequest.mFlow.mCaller,
                   { kServiceAddress, mKinds[aRequest.mKind].mPort } };
  packet.mKind = aKind;
  packet.mToken = aRequest.mFlow.mToken;
  packet.mSequence = aRequest.mFlow.mNext;
  packet.mAcknowledged = aRequest.mFlow.mAcknowledged;
  return packet;
}

void
OverloadModel::Attempt(std::size_t aRequest)
{
  auto& request = mRequests[aRequest];
  if (request.mDone || request.mAttempt == kAttempts ||
      mNow - request.mBegin >= mKinds[request.mKind].mDeadline) {
    request.mDone = true;
    return;
  }
  const auto attempt = ++request.mAttempt;
  request.mEstablished = false;
  request.mEnded = false;
  request.mFlow = {};
  constexpr std::uint32_t kPorts = 60000;
  constexpr std::uint32_t kFirstPort = 1024;
  const auto flow = mFlowCount++;
  request.mFlow.mCaller = { { 0x64400007 + flow / kPorts },
                            static_cast<std::uint16_t>(kFirstPort +
                                                       flow % kPorts) };
  request.mFlow.mInstance = mRandom() % kInstances;
  const auto openLater = [&](std::uint32_t aCopy, microseconds aDelay) {
    Later(aDelay + kCallerLatency, [=, this] {
      const auto& current = mRequests[aRequest];
      if (current.mAttempt == attempt && !current.mEstablished &&
          !current.mEnded) {
        SendOpen(aRequest, aCopy);
      }
    });
  };
  openLater(0, milliseconds(0));
  openLater(1, milliseconds(200));
  openLater(2, milliseconds(600));
  Later(milliseconds(1400), [=, this] {
    const auto& current = mRequests[aRequest];
    if (current.mAttempt == attempt && !current.mEstablished &&
        !current.mEnded) {
      Attempt(aRequest);
    }
  });
}

void
OverloadModel::SendOpen(std::size_t aRequest, std::uint32_t aCopy)
{
  auto& request = mRequests[aRequest];
  auto packet = MakePacket(request, state::SegmentKind::Open);
  packet.mRetransmissions = aCopy;
  const auto attempt = request.mAttempt;
  if (LacksToken(request.mFlow.mInstance, packet)) {
    ++mResults.mDeferred;
    if (aCopy == 2) {
      ++mResults.mRefused;
      Later(kCallerLatency, [=, this] { EndAttempt(aRequest, attempt); });
    }
    return;
  }
  const auto decision = Forward(request.mFlow.mInstance, packet);
  mResults.mRefused += decision.mReason == Reason::ServiceFull ? 1 : 0;
  if (decision.mAction == PacketAction::Reset) {
    Later(kCallerLatency, [=, this] { EndAttempt(aRequest, attempt); });
  }
  if (decision.mAction != PacketAction::Forward) {
    return;
  }
  const auto token = decision.mUpstream->mToken;
  Later(kUpstreamLatency + kCallerLatency, [=, this] {
    auto& current = mRequests[aRequest];
    if (current.mAttempt != attempt || current.mEstablished || current.mEnded) {
      return;
    }
    current.mEstablished = true;
    current.mFlow.mToken = token;
    SendRequest(aRequest);
  });
}

void
OverloadModel::SendRequest(std::size_t aRequest)
{
  const auto attempt = mRequests[aRequest].mAttempt;
  Later(kCallerLatency, [=, this] {
    auto& request = mRequests[aRequest];
    auto packet = MakePacket(request, state::SegmentKind::Data);
    packet.mPayloadBytes = kRequestBytes;
    request.mFlow.mNext += kRequestBytes;
    Forward(request.mFlow.mInstance, packet);
    Later(kUpstreamLatency, [=, this] {
      Serve(mIndexes.at(mRequests[aRequest].mFlow.mToken), aRequest, attempt);
    });
  });
}

void
OverloadModel::Serve(std::size_t aUpstream,
                     std::size_t aRequest,
                     std::uint32_t aAttempt)
{
  auto& upstream = mUpstreams[aUpstream];
  const bool fails = aUpstream == 0 && Random() < mParameters.mFailingShare;
  if (upstream.mRemoved || fails) {
    Later(kCallerLatency, [=, this] { Answer(aRequest, aAttempt, false); });
  } else if (upstream.mActive < kSlotsOfUpstream) {
    Start(aUpstream, aRequest, aAttempt);
  } else if (upstream.mQueue.size() < kQueueLength) {
    upstream.mQueue.emplace_back(aRequest, aAttempt);
  } else {
    ++mResults.mRejections;
    mResults.mLateRejections += mNow > kBurstEnd + milliseconds(1000) ? 1 : 0;
    Later(kCallerLatency, [=, this] { Answer(aRequest, aAttempt, false); });
  }
}

void
OverloadModel::Start(std::size_t aUpstream,
                     std::size_t aRequest,
                     std::uint32_t aAttempt)
{
  ++mUpstreams[aUpstream].mActive;
  const auto& kind = mKinds[mRequests[aRequest].mKind];
  const auto work = microseconds(std::llround(
    static_cast<double>(kind.mWork.count()) * (0.8 + 0.4 * Random())));
  constexpr microseconds kMeasuredFrom = kBurstBegin + milliseconds(1000);
  const auto begin = std::clamp(mNow, kMeasuredFrom, kBurstEnd);
  const auto end = std::clamp(mNow + work, kMeasuredFrom, kBurstEnd);
  const auto slots = (kUpstreams - mParameters.mRemoved) * kSlotsOfUpstream;
  mResults.mUtilisation +=
    std::chrono::duration<double>(end - begin) /
    std::chrono::duration<double>(kBurstEnd - kMeasuredFrom) /
    static_cast<double>(slots);
  Later(work, [=, this] {
    auto& upstream = mUpstreams[aUpstream];
    --upstream.mActive;
    Later(kCallerLatency, [=, this] { Answer(aRequest, aAttempt, true); });
    if (!upstream.mQueue.empty()) {
      const auto [next, attempt] = upstream.mQueue.front();
      upstream.mQueue.pop_front();
      Start(aUpstream, next, attempt);
    }
  });
}

void
OverloadModel::Answer(std::size_t aRequest,
                      std::uint32_t aAttempt,
                      bool aServed)
{
  auto& request = mRequests[aRequest];
  if (request.mDone || request.mAttempt != aAttempt) {
    return;
  }
  request.mFlow.mAcknowledged += kAnswerBytes;
  const auto& kind = mKinds[request.mKind];
  const bool isKept = aServed && kind.mKind == RequestKind::Idempotent;
  const auto packet = MakePacket(
    request, isKept ? state::SegmentKind::Data : state::SegmentKind::Finish);
  const auto instance = request.mFlow.mInstance;
  Later(kCallerLatency, [=, this] { Forward(instance, packet); });
  if (!aServed) {
    EndAttempt(aRequest, aAttempt);
    return;
  }
  request.mDone = true;
  if (isKept) {
    mIdleFlows[request.mKind].push_back(request.mFlow);
  }
  const auto taken = mNow - request.mBegin;
  if (taken <= kind.mDeadline) {
    auto* results = ResultsOf(request);
    ++results->mServed;
    results->mCredit +=
      taken <= kind.mObjective ? kind.mValue : kind.mLateValue;
  }
}

void
OverloadModel::EndAttempt(std::size_t aRequest, std::uint32_t aAttempt)
{
  if (mRequests[aRequest].mAttempt != aAttempt) {
    return;
  }
  mRequests[aRequest].mEnded = true;
  // Attempts follow each other within a few hundred milliseconds.
  Later(milliseconds(50) + Exponential(10), [=, this] {
    if (mRequests[aRequest].mAttempt == aAttempt) {
      Attempt(aRequest);
    }
  });
}

void
OverloadModel::Remove()
{
  auto& listed = mBase.mDirectory.mUpstreams;
  for (std::size_t index = 0; index < mParameters.mRemoved; ++index) {
    // Every other one, so that each subset loses its share.
    mUpstreams[2 * index].mRemoved = true;
    mUpstreams[2 * index].mQueue.clear();
    std::erase_if(listed, [&](const ListedUpstream& aListed) {
      return aListed.mUpstream.mId == "i-" + std::to_string(2 * index);
    });
  }
  for (auto& router : mRouters) {
    OnDirectory(
      router, std::make_shared<const Directory>(mBase.mDirectory), Now());
  }
}

Decision
OverloadModel::Forward(std::size_t aInstance, const CallerPacket& aPacket)
{
  auto decision = OnPacket(mRouters[aInstance], aPacket, Now());
  mRouters[aInstance].mLivenessChanges.clear();
  ReplaceLimits(aInstance);
  return decision;
}

} // namespace sassafrasknot::flows
