#include "sassafrasknot/coordination/platform_reader.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kWatchWait{ 30 };
constexpr seconds kCallTimeout{ 10 };
constexpr seconds kSilence{ 30 };
constexpr seconds kFallbackJitter{ 30 };
/// 590 instances that start together stay below 300 reads a second.
constexpr seconds kStartJitter{ 2 };
constexpr milliseconds kFirstBackoff{ 500 };
constexpr seconds kLongestBackoff{ 30 };
constexpr seconds kStalePause{ 2 };

state::Duration
Jitter(RandomGenerator& aRandom, state::Duration aLimit)
{
  return state::Duration(
    std::uniform_int_distribution<std::int64_t>(0, aLimit.count())(aRandom));
}

ReadPlatform
Start(PlatformReader& aReader,
      bool aFull,
      state::Revision aComplete,
      state::TimePoint aNow)
{
  aReader.mCallInProgress = true;
  aReader.mStarted = aNow;
  aReader.mFallbackTime.reset();
  aReader.mAfterRevision = aFull ? std::nullopt : std::optional(aComplete);
  return {
    aNow, aFull, aFull ? 0 : aComplete, aFull ? seconds(0) : kWatchWait
  };
}

} // namespace

PlatformReader
MakePlatformReader(RandomGenerator& aRandom, state::TimePoint aNow)
{
  PlatformReader reader;
  reader.mNextCall = aNow + Jitter(aRandom, kStartJitter);
  reader.mLastAnswer = aNow;
  return reader;
}

std::optional<ReadPlatform>
NextRead(PlatformReader& aReader,
         bool aAssigned,
         state::Revision aComplete,
         state::TimePoint aLastDigest,
         RandomGenerator& aRandom,
         state::TimePoint aNow)
{
  if (aReader.mCallInProgress) {
    if (aNow - aReader.mStarted < kWatchWait + kCallTimeout) {
      return std::nullopt;
    }
    const state::Error timeout{ state::ErrorCode::DeadlineExceeded,
                                state::Verdict::NotRun,
                                "the call did not end" };
    RecordFailure(aReader, timeout, aRandom, aNow);
  }
  if (aNow < aReader.mNextCall) {
    return std::nullopt;
  }
  if (aAssigned) {
    return Start(
      aReader, aReader.mNeedsFullRead || aComplete == 0, aComplete, aNow);
  }
  if (aNow - std::max(aLastDigest, aReader.mLastAnswer) < kSilence) {
    aReader.mFallbackTime.reset();
    return std::nullopt;
  }
  if (!aReader.mFallbackTime) {
    aReader.mFallbackTime = aNow + Jitter(aRandom, kFallbackJitter);
  }
  if (aNow < *aReader.mFallbackTime) {
    return std::nullopt;
  }
  return Start(aReader, true, aComplete, aNow);
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
  aReader.mNextCall = aStale ? aNow + Jitter(aRandom, kStalePause) : aNow;
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
    kFirstBackoff * (1 << std::min<std::uint32_t>(aReader.mFailures, 6)),
    kLongestBackoff);
  ++aReader.mFailures;
  aReader.mNextCall = aNow + Jitter(aRandom, limit);
}

} // namespace sassafrasknot::coordination
