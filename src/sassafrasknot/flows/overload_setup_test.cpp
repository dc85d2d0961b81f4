#include "overload_model_test.hpp"

namespace sassafrasknot::flows {
namespace {

constexpr std::uint16_t kScanPort = 8081;
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
    mRouters.push_back(MakeRouter(settings));
    OnPosition(mRouters.back(), { index, kInstances }, Now());
    OnDirectory(mRouters.back(),
                std::make_shared<const Directory>(mBase.mDirectory),
                Now());
  }
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

} // namespace sassafrasknot::flows
