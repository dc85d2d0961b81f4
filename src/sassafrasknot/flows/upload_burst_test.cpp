#include <iostream>

#include "upload_model_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

constexpr std::uint32_t kSeeds = 20;
/// Uploads a second that an instance receives on an ordinary day: 112 a second
/// at 89 instances.
constexpr double kUsualRate = 1.26;

/// Runs the model with several seeds and collects the results.
ModelResults
RunModel(ModelParameters aParameters)
{
  ModelResults all;
  for (aParameters.mSeed = 1; aParameters.mSeed <= kSeeds;
       ++aParameters.mSeed) {
    const auto result = UploadModel(aParameters).Run();
    const auto append = [](auto& aTo, const auto& aFrom) {
      aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
    };
    append(all.mUrgentDelays, result.mUrgentDelays);
    append(all.mUploadTimes, result.mUploadTimes);
    all.mUploads += result.mUploads;
    all.mFailed += result.mFailed;
    all.mDeferred += result.mDeferred;
    all.mRefused += result.mRefused;
  }
  return all;
}

/// Prints the results of a run, which docs/design/bulk-admission.md cites.
void
Print(const char* aName, const ModelResults& aResults)
{
  std::cout << aName << ": urgent p50 "
            << Quantile(aResults.mUrgentDelays, 0.5).count() << " p99 "
            << Quantile(aResults.mUrgentDelays, 0.99).count() << " max "
            << Quantile(aResults.mUrgentDelays, 1).count() << " ms, uploads "
            << aResults.mUploads << " failed " << aResults.mFailed << " p50 "
            << Quantile(aResults.mUploadTimes, 0.5).count() << " p99 "
            << Quantile(aResults.mUploadTimes, 0.99).count() << " ms, deferred "
            << aResults.mDeferred << " refused " << aResults.mRefused << '\n';
}

struct Comparison
{
  ModelResults mWithout;
  ModelResults mWith;
};

/// Runs the same load without and with admission.
Comparison
Compare(ModelParameters aParameters)
{
  Comparison comparison;
  aParameters.mUploadRate = kUsualRate;
  aParameters.mKnownMbps = 0;
  comparison.mWithout = RunModel(aParameters);
  Print("without", comparison.mWithout);
  aParameters.mKnownMbps = aParameters.mLinkMbps;
  comparison.mWith = RunModel(aParameters);
  Print("with", comparison.mWith);
  return comparison;
}

// Load: 80,000 B uploads at 8 times the usual rate for 5 s at 10 Mbit/s in each
// direction, which is a utilisation of 0.7. Guards against packets of feeds
// that wait behind many uploads, and against uploads that are lost or late
// because of admission.
TEST(UploadBurst, EightTimesAtTenMbit)
{
  const auto [without, with] = Compare({ .mBurstFactor = 8 });
  EXPECT_GT(Quantile(without.mUrgentDelays, 0.99), milliseconds(70));
  EXPECT_LE(Quantile(with.mUrgentDelays, 0.99), kBulkDelayObjective);
  EXPECT_LE(Quantile(with.mUrgentDelays, 1), milliseconds(75));
  EXPECT_EQ(with.mFailed, 0);
  EXPECT_LE(Quantile(with.mUploadTimes, 0.99), milliseconds(1500));
}

// Load: the same at a link whose 10 Mbit/s carry both directions, which are
// then overloaded by a third. Guards against a queue in which callers'
// retransmissions replace useful packets: fewer uploads are answered in time,
// and feeds wait for seconds.
TEST(UploadBurst, EightTimesAtTenMbitForBothDirections)
{
  const auto [without, with] =
    Compare({ .mIsShared = true, .mBurstFactor = 8 });
  EXPECT_GT(Quantile(without.mUrgentDelays, 0.99), milliseconds(1000));
  // A packet passes the queue twice.
  EXPECT_LE(Quantile(with.mUrgentDelays, 0.99), 3 * kBulkDelayObjective);
  EXPECT_LT(5 * with.mFailed, without.mFailed);
  EXPECT_LE(20 * with.mFailed, with.mUploads);
}

// Load: 12 times for 5 s at 10 Mbit/s in each direction, an overload of a
// tenth. Guards against delays that grow with the length of the burst.
TEST(UploadBurst, TwelveTimesAtTenMbit)
{
  const auto [without, with] = Compare({ .mBurstFactor = 12 });
  EXPECT_GT(Quantile(without.mUrgentDelays, 0.99), milliseconds(400));
  EXPECT_LE(Quantile(with.mUrgentDelays, 0.99), milliseconds(75));
  EXPECT_LE(100 * with.mFailed, with.mUploads);
  EXPECT_LT(2 * Quantile(with.mUploadTimes, 0.99).count(),
            Quantile(without.mUploadTimes, 0.99).count());
}

// Load: the usual rate throughout at 10 Mbit/s, one direction and both. Guards
// against uploads that are deferred at low load.
TEST(UploadBurst, NothingIsDeferredAtTheUsualRate)
{
  for (const bool isShared : { false, true }) {
    const auto [without, with] =
      Compare({ .mIsShared = isShared, .mBurstFactor = 1 });
    EXPECT_EQ(with.mDeferred, 0);
    EXPECT_EQ(with.mUploadTimes, without.mUploadTimes);
  }
}

// Load: 12 times for 5 s at 200 Mbit/s. Guards against uploads that are
// deferred by an instance with spare capacity.
TEST(UploadBurst, NothingIsDeferredAtTwoHundredMbit)
{
  const auto [without, with] =
    Compare({ .mLinkMbps = 200, .mBurstFactor = 12 });
  EXPECT_EQ(with.mDeferred, 0);
  EXPECT_EQ(with.mUploadTimes, without.mUploadTimes);
}

} // namespace
} // namespace sassafrasknot::flows
