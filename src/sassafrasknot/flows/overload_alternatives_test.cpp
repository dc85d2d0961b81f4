#include <algorithm>
#include <cmath>

#include "overload_model_test.hpp"

namespace sassafrasknot::flows {

void
OverloadModel::ReplaceLimits(std::size_t aInstance)
{
  auto& router = mRouters[aInstance];
  if (mParameters.mAdmission == Admission::OwnLimit) {
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
