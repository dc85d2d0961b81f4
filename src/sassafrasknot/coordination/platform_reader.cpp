#include "sassafrasknot/coordination/platform_reader.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long the platform may block a watch without changes.
constexpr seconds kWatchTimeout{ 30 };
/// A call fails if it did not end this long after kWatchTimeout.
constexpr seconds kCallGracePeriod{ 10 };
/// Time without digests and responses of the platform after which an instance
/// that is not a designated reader prepares a read of its own.
constexpr seconds kFallbackTimeout{ 30 };
/// Spreads the reads of the instances that reach kFallbackTimeout together.
constexpr seconds kMaxFallbackDelay{ 30 };
/// Keeps the first reads of 590 instances that start together below 300 per
/// second on average.
constexpr seconds kMaxStartDelay{ 2 };
constexpr milliseconds kInitialBackoff{ 500 };
constexpr seconds kMaxBackoff{ 30 };
/// Limit of the random delay after a response of a replica that is out of date.
constexpr seconds kMaxStaleDelay{ 2 };

/// Returns a random delay from zero to a limit.
state::Duration
RandomDelay(RandomGenerator& aRandom, state::Duration aLimit)
{
  return state::Duration(
    std::uniform_int_distribution<std::int64_t>(0, aLimit.count())(aRandom));
}

/// Records the start of a call and returns it: a full read, or a watch for
/// changes above the revision in force.
ReadPlatform
StartCall(PlatformReader& aReader,
          bool aFull,
          state::Revision aRevisionInForce,
          state::TimePoint aNow)
{
  aReader.mCallInProgress = true;
  aReader.mStarted = aNow;
  aReader.mFallbackTime.reset();
  aReader.mAfterRevision =
    aFull ? std::nullopt : std::optional(aRevisionInForce);
  return { aNow,
           aFull,
           aFull ? 0 : aRevisionInForce,
           aFull ? seconds(0) : kWatchTimeout };
}

} // namespace

PlatformReader
MakePlatformReader(RandomGenerator& aRandom, state::TimePoint aNow)
{
  PlatformReader reader;
  reader.mNextCall = aNow + RandomDelay(aRandom, kMaxStartDelay);
  reader.mLastAnswer = aNow;
  return reader;
}

std::optional<ReadPlatform>
NextRead(PlatformReader& aReader,
         bool aAssigned,
         state::Revision aRevisionInForce,
         state::TimePoint aLastDigest,
         RandomGenerator& aRandom,
         state::TimePoint aNow)
{
  if (aReader.mCallInProgress) {
    if (aNow - aReader.mStarted < kWatchTimeout + kCallGracePeriod) {
      return std::nullopt;
    }
    const state::Error timeout{ state::ErrorCode::DeadlineExceeded,
                                state::Verdict::NotRun,
                                "platform call did not end within 40 s" };
    RecordFailure(aReader, timeout, aRandom, aNow);
  }
  if (aNow < aReader.mNextCall) {
    return std::nullopt;
  }
  if (aAssigned) {
    return StartCall(aReader,
                     aReader.mNeedsFullRead || aRevisionInForce == 0,
                     aRevisionInForce,
                     aNow);
  }
  if (aNow - std::max(aLastDigest, aReader.mLastAnswer) < kFallbackTimeout) {
    aReader.mFallbackTime.reset();
    return std::nullopt;
  }
  if (!aReader.mFallbackTime) {
    aReader.mFallbackTime = aNow + RandomDelay(aRandom, kMaxFallbackDelay);
  }
  if (aNow < *aReader.mFallbackTime) {
    return std::nullopt;
  }
  return StartCall(aReader, true, aRevisionInForce, aNow);
}

void
RecordSuccess(PlatformReader& aReader,
              bool aStale,
              RandomGenerator& aRandom,
              state::TimePoint aNow)
{
  if (!aReader.mAfterRevision) {
    aReader.mNeedsFullRead = false;
  }
  aReader.mCallInProgress = false;
  aReader.mFailures = 0;
  aReader.mLastAnswer = aNow;
  aReader.mNextCall =
    aStale ? aNow + RandomDelay(aRandom, kMaxStaleDelay) : aNow;
}

void
RecordFailure(PlatformReader& aReader,
              const state::Error& aError,
              RandomGenerator& aRandom,
              state::TimePoint aNow)
{
  aReader.mCallInProgress = false;
  if (aReader.mAfterRevision &&
      (aError.mCode == state::ErrorCode::NotFound ||
       aError.mCode == state::ErrorCode::InvalidArgument)) {
    aReader.mNeedsFullRead = true;
  }
  const auto limit = std::min<state::Duration>(
    kInitialBackoff * (1 << std::min<std::uint32_t>(aReader.mFailures, 6)),
    kMaxBackoff);
  ++aReader.mFailures;
  aReader.mNextCall = aNow + RandomDelay(aRandom, limit);
}

} // namespace sassafrasknot::coordination
