#include "overload_model_test.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sassafrasknot::flows {
namespace {

constexpr std::uint16_t kScanPort = 8081;
constexpr microseconds kCallerLatency{ 3000 };
constexpr microseconds kUpstreamLatency{ 400 };
constexpr std::uint32_t kSlotsOfUpstream = 2;
constexpr std::size_t kQueueLength = 8;
constexpr std::uint32_t kAttempts = 3;
constexpr std::uint32_t kRequestBytes = 100;
constexpr std::uint32_t kAnswerBytes = 500;
/// Interval of reports; a report is received 25 ms after it was made.
constexpr microseconds kReportInterval{ 75000 };
constexpr microseconds kTickInterval{ 25000 };

void
AddResults(KindResults& aSum, const KindResults& aResults)
{
  aSum.mRequests += aResults.mRequests;
  aSum.mServed += aResults.mServed;
  aSum.mCredit += aResults.mCredit;
  aSum.mMaxCredit += aResults.mMaxCredit;
}

} // namespace

double
KindResults::ServedShare() const
{
  return mRequests == 0 ? 1 : static_cast<double>(mServed) / mRequests;
}

double
KindResults::CreditShare() const
{
  return mMaxCredit == 0 ? 1 : mCredit / mMaxCredit;
}

KindResults
OverloadResults::All() const
{
  KindResults all;
  for (const auto& kind : mKinds) {
    AddResults(all, kind);
  }
  return all;
}

OverloadResults&
OverloadResults::operator+=(const OverloadResults& aOther)
{
  for (std::size_t kind = 0; kind < mKinds.size(); ++kind) {
    AddResults(mKinds[kind], aOther.mKinds[kind]);
  }
  AddResults(mBefore, aOther.mBefore);
  AddResults(mAfter, aOther.mAfter);
  mRejections += aOther.mRejections;
  mLateRejections += aOther.mLateRejections;
  mRecognised += aOther.mRecognised;
  mDeferred += aOther.mDeferred;
  mRefused += aOther.mRefused;
  mUtilisation += aOther.mUtilisation;
  return *this;
}

OverloadModel::OverloadModel(const OverloadParameters& aParameters)
  : mParameters(aParameters)
  , mRandom(aParameters.mSeed)
  , mUpstreams(kUpstreams)
  , mReports(kInstances)
  , mTotalLimits(kInstances)
  , mBuckets(kInstances)
{
  using std::chrono::milliseconds;
  const auto other = aParameters.mEqualPriorities ? 1U : 2U;
  mKinds = { { { kRequestPort,
                 RequestKind::NonIdempotent,
                 1,
                 0.208,
                 milliseconds(20),
                 milliseconds(500),
                 milliseconds(2500),
                 2,
                 1 },
               { kFeedPort,
                 RequestKind::Idempotent,
                 other,
                 0.73,
                 milliseconds(15),
                 milliseconds(500),
                 milliseconds(2500),
                 1,
                 0.5 },
               { kScanPort,
                 RequestKind::Upload,
                 other,
                 0.062,
                 milliseconds(5),
                 milliseconds(1500),
                 milliseconds(8000),
                 1,
                 0.5 } } };
  auto configuration =
    std::make_shared<Configuration>(*mBase.mDirectory.mConfiguration);
  for (const auto& kind : mKinds) {
    RouterFixture::AddRoute(*configuration, kind.mPort, kind.mKind);
    configuration->mRoutes.at({ kServiceAddress, kind.mPort }).mPriority =
      kind.mPriority;
  }
  mBase.mDirectory.mConfiguration = configuration;
  for (std::size_t index = 0; index < kUpstreams; ++index) {
    const auto id = "i-" + std::to_string(index);
    mBase.AddUpstream(id, "a");
    mIndexes[TokenOf(id)] = index;
  }
  for (std::size_t index = 0; index < kInstances; ++index) {
    RouterSettings settings{ { "a" },
                             {},
                             static_cast<std::uint32_t>(index + 1) };
    settings.mFullLimitAtLastCopy =
      aParameters.mAdmission != Admission::OwnClass;
    mRouters.push_back(MakeRouter(settings));
    OnPosition(mRouters.back(), { index, kInstances }, Now());
    OnDirectory(mRouters.back(),
                std::make_shared<const Directory>(mBase.mDirectory),
                Now());
  }
}

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
  mResults.mDeferred += decision.mReason == Reason::ServiceBusy ? 1 : 0;
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

void
OverloadModel::Tick()
{
  for (std::size_t index = 0; index < kInstances; ++index) {
    auto& router = mRouters[index];
    OnTick(router, Now());
    if (mNow.count() / kTickInterval.count() % 3 != 0) {
      continue;
    }
    auto& report = mReports[index];
    report.clear();
    for (const auto& [token, record] : router.mUpstreams.mByToken) {
      report[token] = record.mOwnLoad;
    }
  }
  if (mNow.count() / kTickInterval.count() % 3 == 1) {
    for (std::size_t index = 0; index < kInstances; ++index) {
      std::map<UpstreamToken, UpstreamLoad> loads;
      for (std::size_t peer = 0; peer < kInstances; ++peer) {
        if (peer != index) {
          for (const auto& [token, load] : mReports[peer]) {
            loads[token].mFeeds += load.mFeeds;
            loads[token].mActiveRequests += load.mActiveRequests;
          }
        }
      }
      SetPeerLoads(mRouters[index].mUpstreams, loads, {});
    }
  }
  Later(kTickInterval, [this] { Tick(); });
}

void
OverloadModel::ReplaceLimits(std::size_t aInstance)
{
  auto& router = mRouters[aInstance];
  if (mParameters.mAdmission == Admission::OwnLimit ||
      mParameters.mAdmission == Admission::OwnClass) {
    return;
  }
  for (const auto token : router.mCapacity.mLimited) {
    auto* record = FindUpstream(router.mUpstreams, token);
    if (record == nullptr || !record->mCapacityLimit.mOwnLimit) {
      continue;
    }
    auto& limit = record->mCapacityLimit;
    if (mParameters.mAdmission != Admission::TotalLimit) {
      limit.mOwnLimit.reset();
      continue;
    }
    // Requests of other instances are added to the product's own limit, which
    // is kept apart from them between two events.
    auto& total = mTotalLimits[aInstance][token];
    const double peers = record->mPeerLoad.mActiveRequests;
    if (total.mRejections != limit.mRejections) {
      total.mRejections = limit.mRejections;
      const bool isNew = Now() - total.mLastRejection > kLimitRetention;
      total.mLastRejection = Now();
      if (isNew) {
        total.mLimit = record->mOwnLoad.mActiveRequests + peers;
        total.mReduced = Now();
      } else if (Now() - total.mReduced >= kReductionInterval) {
        total.mLimit *= kLimitReduction;
        total.mReduced = Now();
      }
      total.mLimit = std::max(total.mLimit, 1.0);
    } else if (limit.mOwnLimit != total.mApplied) {
      total.mLimit += 1 / total.mLimit;
    }
    total.mApplied = std::max(total.mLimit - peers, 0.0);
    limit.mOwnLimit = total.mApplied;
  }
}

bool
OverloadModel::LacksToken(std::size_t aInstance, const CallerPacket& aPacket)
{
  if (mParameters.mAdmission != Admission::TokenRate) {
    return false;
  }
  auto& bucket = mBuckets[aInstance];
  const auto rejections = mRouters[aInstance].mCapacity.mRejections;
  const double elapsed =
    std::chrono::duration<double>(mNow - bucket.mUpdated).count();
  bucket.mUpdated = mNow;
  bucket.mAdmitted *= std::exp(-elapsed);
  if (rejections != bucket.mRejections) {
    bucket.mRejections = rejections;
    if (mNow - bucket.mRejected > milliseconds(2000)) {
      bucket.mRate = bucket.mAdmitted;
      bucket.mReduced = mNow;
    } else if (mNow - bucket.mReduced >= milliseconds(50)) {
      bucket.mRate *= kLimitReduction;
      bucket.mReduced = mNow;
    }
    bucket.mRejected = mNow;
  }
  const bool isLimited =
    bucket.mRejections > 0 && mNow - bucket.mRejected <= milliseconds(2000);
  // The rate doubles within a second without rejections.
  bucket.mRate *= 1 + elapsed;
  bucket.mTokens = std::min(bucket.mTokens + elapsed * bucket.mRate, 4.0);
  const bool isUrgent = aPacket.mFlow.mService.mPort == kRequestPort;
  if (isLimited && bucket.mTokens < (isUrgent ? 1 : 2)) {
    return true;
  }
  bucket.mTokens = std::max(bucket.mTokens - 1, 0.0);
  bucket.mAdmitted += 1;
  return false;
}

} // namespace sassafrasknot::flows
