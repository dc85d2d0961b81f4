#ifndef SASSAFRASKNOT_COORDINATION_PLATFORM_READER_HPP
#define SASSAFRASKNOT_COORDINATION_PLATFORM_READER_HPP

#include "sassafrasknot/coordination/control_core.hpp"
#include "sassafrasknot/coordination/membership.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace sassafrasknot::coordination {

/// @brief Reads of the platform by one instance; at most one at a time.
struct PlatformReader
{
  bool mCallInProgress = false;
  state::TimePoint mStarted;
  /// Revision of the outstanding watch; absent for a full read.
  std::optional<state::Revision> mAfterRevision;
  /// Earliest time of the next call.
  state::TimePoint mNextCall;
  std::uint32_t mFailures = 0;
  bool mNeedsFullRead = true;
  /// When an instance that is no reader reads after all.
  std::optional<state::TimePoint> mFallbackTime;
  /// When the platform last answered.
  state::TimePoint mLastAnswer;
};

/// @brief Makes the state at the start of the process, with the first read at
/// a random time, so that a restart of all instances does not overload the
/// platform.
/// @param aRandom random numbers
/// @param aNow the time
/// @return the state
PlatformReader
MakePlatformReader(RandomGenerator& aRandom, state::TimePoint aNow);

/// @brief Decides whether a call is due.
/// @param aReader the state
/// @param aAssigned whether this instance is a reader of its data centre
/// @param aComplete revision up to which this instance has all changes
/// @param aLastDigest when a digest last arrived
/// @param aRandom random numbers
/// @param aNow the time
/// @return the call
std::optional<ReadPlatform>
NextRead(PlatformReader& aReader,
         bool aAssigned,
         state::Revision aComplete,
         state::TimePoint aLastDigest,
         RandomGenerator& aRandom,
         state::TimePoint aNow);

/// @brief Notes the end of a call. A stale answer is followed by a pause.
/// @param aReader the state
/// @param aStale whether the answer was older than what is known
/// @param aRandom random numbers
/// @param aNow the time
void
RecordSuccess(PlatformReader& aReader,
              bool aStale,
              RandomGenerator& aRandom,
              state::TimePoint aNow);

/// @brief Notes the failure of a call; the next one follows after a random
/// time whose limit doubles up to 30 s.
/// @param aReader the state
/// @param aError what failed; NotFound and InvalidArgument mean that the
/// watch's revision is not kept any more, so that a full read is needed
/// @param aRandom random numbers
/// @param aNow the time
void
RecordFailure(PlatformReader& aReader,
              const state::Error& aError,
              RandomGenerator& aRandom,
              state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
