#ifndef SASSAFRASKNOT_FLEET_STORE_READER_HPP
#define SASSAFRASKNOT_FLEET_STORE_READER_HPP

#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

namespace sassafrasknot::fleet {

/// @brief A call to the platform that is due.
struct StoreRead
{
  /// Reads all items; otherwise waits for changes after mAfter.
  bool mFull = false;
  state::Revision mAfter = 0;
  /// How long the platform may hold the call.
  std::chrono::milliseconds mWait{ 0 };

  auto operator<=>(const StoreRead&) const = default;
};

/// @brief How a call failed.
enum class ReadFailure : std::uint8_t
{
  HistoryCompacted, ///< Changes after the revision are no longer kept.
  Refused,          ///< The platform is overloaded or refuses this instance.
  Unavailable,      ///< Nothing came back in time, or the connection broke.
  Malformed,        ///< The answer could not be read.
};

/// @brief Pauses of a reader.
struct ReaderTiming
{
  /// How long a watch waits for a change. It bounds the time for which a
  /// connection that has gone silent, or a cut between the reader and the
  /// platform, can hide changes: with the time-out of the call and the change
  /// to another reader half of the platform's shortest bound on applying
  /// configurations (3 s).
  std::chrono::milliseconds mWatchTimeout{ 1000 };
  /// After a watch without changes, in case the platform does not let it wait.
  std::chrono::milliseconds mWatchInterval{ 50 };
  /// After changes, so that those that follow come in one answer.
  std::chrono::milliseconds mBatchDelay{ 500 };
  /// An instance that is no reader reads once nothing has confirmed its state
  /// for this time: a watch and its pause, with a margin.
  std::chrono::milliseconds mTakeOverTimeout{ 2200 };
  /// Added per place in the order of readers, up to a limit.
  std::chrono::milliseconds mTakeOverPerRank{ 100 };
  std::chrono::milliseconds mMaxTakeOverTimeout{ 4000 };
  /// Pause after failures of an instance that is no reader.
  std::chrono::milliseconds mTakeOverBackoff{ 2000 };
  /// First and longest ceiling of the pause after failures.
  std::chrono::milliseconds mInitialBackoff{ 100 };
  std::chrono::milliseconds mMaxBackoff{ 800 };
};

/// @brief Reads of the platform by one instance, at most one at a time.
struct StoreReader
{
  ReaderTiming mTiming;
  bool mOutstanding = false;
  /// The last call was made as the reader of others.
  bool mIsDesignatedReader = false;
  bool mNeedsFull = true;
  state::TimePoint mNext;
  std::uint32_t mFailures = 0;
  /// Latest time at which the known revision was the platform's.
  state::TimePoint mConfirmed;
  bool mEverConfirmed = false;
};

/// @brief Decides whether a call is due.
/// @param aReader the reader
/// @param aRank place in the order of readers, 0 for the reader
/// @param aRevision revision that this instance knows
/// @param aNow the time
/// @return the call
std::optional<StoreRead>
NextRead(StoreReader& aReader,
         std::size_t aRank,
         state::Revision aRevision,
         state::TimePoint aNow);

/// @brief Notes an answer.
/// @param aReader the reader
/// @param aRead the call
/// @param aChanged whether it brought changes
/// @param aNow the time
void
RecordRead(StoreReader& aReader,
           const StoreRead& aRead,
           bool aChanged,
           state::TimePoint aNow);

/// @brief Notes a failure.
/// @param aReader the reader
/// @param aFailure what failed
/// @param aRandom random numbers
/// @param aNow the time
void
RecordReadFailure(StoreReader& aReader,
                  ReadFailure aFailure,
                  std::minstd_rand& aRandom,
                  state::TimePoint aNow);

/// @brief Notes that another instance knows the same or a later revision, which
/// this instance has taken over.
/// @param aReader the reader
/// @param aAge how long ago that revision was the platform's
/// @param aNow the time
void
RecordConfirmation(StoreReader& aReader,
                   state::Duration aAge,
                   state::TimePoint aNow);

} // namespace sassafrasknot::fleet

#endif
