#include "sassafrasknot/fleet/store_reader.hpp"

#include <algorithm>
#include <utility>

namespace sassafrasknot::fleet {

std::optional<StoreRead>
NextRead(StoreReader& aReader,
         std::size_t aRank,
         state::Revision aRevision,
         state::TimePoint aNow)
{
  if (aReader.mOutstanding || aNow < aReader.mNextCall) {
    return std::nullopt;
  }
  const bool isFull = aRevision == 0 || aReader.mNeedsFull;
  const auto& timing = aReader.mTiming;
  const auto takeOverTimeout =
    std::min(timing.mTakeOverTimeout +
               timing.mTakeOverPerRank * static_cast<std::int64_t>(aRank),
             timing.mMaxTakeOverTimeout);
  const bool isDue = aRank == 0 || !aReader.mEverConfirmed ||
                     aNow - aReader.mConfirmedAt > takeOverTimeout;
  if (!isDue) {
    return std::nullopt;
  }
  aReader.mOutstanding = true;
  aReader.mIsDesignatedReader = aRank == 0;
  if (isFull) {
    return StoreRead{ true, 0, {} };
  }
  // An instance that reads only for itself needs the changes that it lacks and
  // does not wait for further ones.
  const auto wait =
    aRank == 0 ? timing.mWatchTimeout : std::chrono::milliseconds(1);
  return StoreRead{ false, aRevision, wait };
}

void
RecordRead(StoreReader& aReader,
           const StoreRead& aRead,
           bool aChanged,
           state::TimePoint aNow)
{
  aReader.mOutstanding = false;
  if (!aReader.mIsHistoryMissing || !aRead.mFull) {
    aReader.mFailures = 0;
  }
  aReader.mNextCall = aNow;
  if (aRead.mFull) {
    aReader.mNeedsFull = false;
  }
  if (!aRead.mFull) {
    aReader.mIsHistoryMissing = false;
    aReader.mNextCall = aNow + (aChanged ? aReader.mTiming.mBatchDelay
                                         : aReader.mTiming.mWatchInterval);
  }
}

void
RecordReadFailure(StoreReader& aReader,
                  ReadFailure aFailure,
                  std::minstd_rand& aRandom,
                  state::TimePoint aNow)
{
  aReader.mOutstanding = false;
  if (aFailure == ReadFailure::HistoryCompacted) {
    aReader.mNeedsFull = true;
    if (!std::exchange(aReader.mIsHistoryMissing, true)) {
      aReader.mNextCall = aNow;
      return;
    }
  }
  if (aFailure == ReadFailure::Malformed || aFailure == ReadFailure::TooLarge) {
    // The same watch would fail again. A full read contains only the newest
    // record of each key, in pages of limited size.
    aReader.mNeedsFull = true;
  }
  // The first retry comes soon, since most failures concern one connection and
  // do not affect the next one.
  const auto doublings = std::min(aReader.mFailures, 8U);
  ++aReader.mFailures;
  auto ceiling =
    std::min(aReader.mTiming.mInitialBackoff * (std::int64_t{ 1 } << doublings),
             aReader.mTiming.mMaxBackoff);
  if (!aReader.mIsDesignatedReader && aReader.mEverConfirmed) {
    ceiling = std::max(ceiling, aReader.mTiming.mTakeOverBackoff);
  }
  std::uniform_int_distribution<std::int64_t> backoff(ceiling.count() / 2,
                                                      ceiling.count());
  aReader.mNextCall = aNow + std::chrono::milliseconds(backoff(aRandom));
}

void
RecordConfirmation(StoreReader& aReader,
                   state::Duration aAge,
                   state::TimePoint aNow)
{
  const auto confirmedAt = aNow - aAge;
  if (!aReader.mEverConfirmed || confirmedAt > aReader.mConfirmedAt) {
    aReader.mEverConfirmed = true;
    aReader.mConfirmedAt = confirmedAt;
  }
}

} // namespace sassafrasknot::fleet
