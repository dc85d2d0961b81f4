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

/// @brief A call to the platform's store that is due.
struct StoreRead
{
  /// Whether to read all items; otherwise the call is a watch, which waits for
  /// changes after mAfter.
  bool mFull = false;
  state::Revision mAfter = 0;
  /// How long the store may wait for changes before it responds to a watch.
  std::chrono::milliseconds mWait{ 0 };

  auto operator<=>(const StoreRead&) const = default;
};

/// @brief How a call to the store failed.
enum class ReadFailure : std::uint8_t
{
  HistoryCompacted, ///< The store lacks some changes after mAfter.
  Refused,          ///< The store is overloaded or refuses this instance.
  Unavailable,      ///< No response in time, or the connection failed.
  Malformed,        ///< The response could not be decoded.
  TooLarge,         ///< The response exceeded the limit of its size.
};

/// @brief Intervals, delays and timeouts of a StoreReader.
struct ReaderTiming
{
  /// How long a watch waits for a change. It limits the time for which a
  /// connection without responses, or a network partition between the
  /// designated reader and the store, can delay changes. The watch and the
  /// timeout of its call (600 ms) take about half of the platform's shortest
  /// bound on applying configurations (3 s); the rest is left for the change to
  /// another reader.
  std::chrono::milliseconds mWatchTimeout{ 1000 };
  /// Delay after a watch without changes, in case the store responds at once
  /// instead of waiting.
  std::chrono::milliseconds mWatchInterval{ 50 };
  /// Delay after a watch with changes, so that further changes come in one
  /// response.
  std::chrono::milliseconds mBatchDelay{ 500 };
  /// An instance that is not the designated reader reads once its state has not
  /// been confirmed for this time, which is longer than a watch and the delay
  /// after it (mWatchTimeout + mBatchDelay).
  std::chrono::milliseconds mTakeOverTimeout{ 2200 };
  /// Added to mTakeOverTimeout for each reader rank; mMaxTakeOverTimeout limits
  /// the sum.
  std::chrono::milliseconds mTakeOverPerRank{ 100 };
  std::chrono::milliseconds mMaxTakeOverTimeout{ 4000 };
  /// Minimum ceiling of the backoff after failures for an instance that is not
  /// the designated reader but has a confirmed state.
  std::chrono::milliseconds mTakeOverBackoff{ 2000 };
  /// First and largest ceiling of the backoff after failures. The ceiling
  /// doubles with each failure, and the backoff is random between half of it
  /// and all of it.
  std::chrono::milliseconds mInitialBackoff{ 100 };
  std::chrono::milliseconds mMaxBackoff{ 800 };
};

/// @brief State of this instance's calls to the store, of which at most one is
/// outstanding. The designated reader watches the store for the whole fleet;
/// the other instances call it only while their state is not confirmed.
struct StoreReader
{
  ReaderTiming mTiming;
  bool mOutstanding = false;
  /// Whether the last call was made as the designated reader.
  bool mIsDesignatedReader = false;
  /// Whether the next call has to read all items.
  bool mNeedsFull = true;
  /// Earliest time of the next call.
  state::TimePoint mNextCall;
  /// Failures since the last successful call.
  std::uint32_t mFailures = 0;
  /// Whether the store lacked changes, and no watch has succeeded since.
  bool mIsHistoryMissing = false;
  /// Latest time at which the store confirmed this instance's revision as its
  /// newest, by a response to this or to another instance.
  state::TimePoint mConfirmedAt;
  bool mEverConfirmed = false;
};

/// @brief Returns the call that is due, if any, and marks it as outstanding.
/// @param aReader state of the calls
/// @param aRank this instance's reader rank, 0 for the designated reader
/// @param aRevision revision of this instance's catalogue, 0 if it has no state
/// @param aNow current time on the steady clock
/// @return the call; RecordRead or RecordReadFailure has to follow
std::optional<StoreRead>
NextRead(StoreReader& aReader,
         std::size_t aRank,
         state::Revision aRevision,
         state::TimePoint aNow);

/// @brief Records that a call has got its response. If the response shows that
/// this instance's revision is the newest, RecordConfirmation has to follow.
/// @param aReader state of the calls
/// @param aRead call that the response belongs to
/// @param aChanged whether the response contains changes
/// @param aNow current time on the steady clock
void
RecordRead(StoreReader& aReader,
           const StoreRead& aRead,
           bool aChanged,
           state::TimePoint aNow);

/// @brief Records the failure of a call and sets the time of the next one.
/// After HistoryCompacted that is a full read at once, unless the watch after
/// the last such read failed in the same way; otherwise a call after a backoff.
/// @param aReader state of the calls
/// @param aFailure how the call failed
/// @param aRandom source of the random backoff
/// @param aNow current time on the steady clock
void
RecordReadFailure(StoreReader& aReader,
                  ReadFailure aFailure,
                  std::minstd_rand& aRandom,
                  state::TimePoint aNow);

/// @brief Records when the store confirmed this instance's revision as its
/// newest, by a response to this or another instance. Older confirmations are
/// ignored.
/// @param aReader state of the calls
/// @param aAge upper bound of the time since the store confirmed the revision
/// @param aNow current time on the steady clock
void
RecordConfirmation(StoreReader& aReader,
                   state::Duration aAge,
                   state::TimePoint aNow);

} // namespace sassafrasknot::fleet

#endif
