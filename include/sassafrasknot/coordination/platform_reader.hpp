#ifndef SASSAFRASKNOT_COORDINATION_PLATFORM_READER_HPP
#define SASSAFRASKNOT_COORDINATION_PLATFORM_READER_HPP

#include "sassafrasknot/coordination/control_core.hpp"
#include "sassafrasknot/coordination/membership.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace sassafrasknot::coordination {

/// @brief State of one instance's calls of the platform, which stores the
/// configuration; at most one call is in progress. The two designated readers
/// of each data centre read all records once and then watch for changes. The
/// other instances receive the records from their peers and call the platform
/// only if nothing arrives for 30 s.
struct PlatformReader
{
  bool mCallInProgress = false;
  /// When the last call started.
  state::TimePoint mStarted;
  /// Revision above which the last call watches for changes; absent for a full
  /// read.
  std::optional<state::Revision> mAfterRevision;
  /// Earliest time of the next call.
  state::TimePoint mNextCall;
  /// Failed calls since the last successful one.
  std::uint32_t mFailures = 0;
  bool mNeedsFullRead = true;
  /// When an instance that is not a designated reader starts a full read
  /// because it receives nothing from its peers; absent while they send.
  std::optional<state::TimePoint> mFallbackTime;
  /// When a call last succeeded, at first the start of the process.
  state::TimePoint mLastAnswer;
};

/// @brief Makes the state at the start of the process. The first read takes
/// place after a random delay of up to 2 s, so that a restart of all instances
/// does not overload the platform.
/// @param aRandom generator of the random choices
/// @param aNow current time on the steady clock
/// @return the initial state
PlatformReader
MakePlatformReader(RandomGenerator& aRandom, state::TimePoint aNow);

/// @brief Decides whether a call is due. A call that did not end within 40 s
/// counts as failed.
/// @param aReader state of the reads
/// @param aAssigned whether this instance is a designated reader of its data
/// centre
/// @param aRevisionInForce revision up to which this instance has all changes
/// @param aLastDigest when a digest of a peer last arrived
/// @param aRandom generator of the random choices
/// @param aNow current time on the steady clock
/// @return the call to start, or nothing if none is due
std::optional<ReadPlatform>
NextRead(PlatformReader& aReader,
         bool aAssigned,
         state::Revision aRevisionInForce,
         state::TimePoint aLastDigest,
         RandomGenerator& aRandom,
         state::TimePoint aNow);

/// @brief Records the success of a call. The next call may start at once, or
/// after a random delay of up to 2 s if the response was stale.
/// @param aReader state of the reads
/// @param aStale whether the response's revision was below the revision in
/// force on this instance
/// @param aRandom generator of the random choices
/// @param aNow current time on the steady clock
void
RecordSuccess(PlatformReader& aReader,
              bool aStale,
              RandomGenerator& aRandom,
              state::TimePoint aNow);

/// @brief Records the failure of a call. The next one follows after a random
/// delay whose limit starts at 500 ms and doubles up to 30 s.
/// @param aReader state of the reads
/// @param aError reason of the failure; for a watch, NotFound and
/// InvalidArgument mean that the platform has compacted the history after the
/// watch's revision, so that a full read is needed
/// @param aRandom generator of the random choices
/// @param aNow current time on the steady clock
void
RecordFailure(PlatformReader& aReader,
              const state::Error& aError,
              RandomGenerator& aRandom,
              state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
