#include "sassafrasknot/fleet/probe_schedule.hpp"
#include "sassafrasknot/fleet/store_reader.hpp"

#include <gtest/gtest.h>

namespace sassafrasknot::fleet {
namespace {

using std::chrono::milliseconds;

state::TimePoint
At(milliseconds aTime)
{
  return state::TimePoint(std::chrono::hours(1) + aTime);
}

// Guards against a reader that watches for changes which the store no longer
// keeps (history compacted), and never gets them.
TEST(StoreReader, ReadsEverythingAfterTheHistoryIsCompacted)
{
  StoreReader reader;
  std::minstd_rand random;
  EXPECT_TRUE(NextRead(reader, 0, 0, At(milliseconds(0)))->mFull);
  EXPECT_FALSE(NextRead(reader, 0, 0, At(milliseconds(1))));
  RecordRead(reader, { true, 0, {} }, true, At(milliseconds(5)));
  const auto watch = NextRead(reader, 0, 7, At(milliseconds(5)));
  ASSERT_TRUE(watch);
  EXPECT_EQ(*watch, (StoreRead{ false, 7, reader.mTiming.mWatchTimeout }));
  RecordReadFailure(
    reader, ReadFailure::HistoryCompacted, random, At(milliseconds(9)));
  EXPECT_TRUE(NextRead(reader, 0, 7, At(milliseconds(9)))->mFull);
}

// Guards against full reads and watches without a pause while each watch after
// a full read finds the history missing: a store that came back from an older
// copy has lower revisions than this instance.
TEST(StoreReader, RepeatedlyMissingHistoryIsFollowedByABackoff)
{
  StoreReader reader;
  std::minstd_rand random;
  int watches = 0;
  for (auto time = milliseconds(0); time < milliseconds(10000);
       time += milliseconds(5)) {
    const auto read = NextRead(reader, 0, 7, At(time));
    if (read && read->mFull) {
      RecordRead(reader, *read, false, At(time));
    } else if (read) {
      ++watches;
      RecordReadFailure(
        reader, ReadFailure::HistoryCompacted, random, At(time));
    }
  }
  EXPECT_LE(watches, 32);
  // A watch that succeeds ends this.
  RecordRead(reader, { false, 7, {} }, false, At(milliseconds(11000)));
  RecordReadFailure(
    reader, ReadFailure::HistoryCompacted, random, At(milliseconds(12000)));
  EXPECT_TRUE(NextRead(reader, 0, 7, At(milliseconds(12000)))->mFull);
}

// Guards against a reader that stays behind because the changes since its last
// read cannot be decoded or are too large for one response: many versions of a
// long configuration during an outage.
TEST(StoreReader, ReadsEverythingAfterAWatchThatWouldFailAgain)
{
  for (const auto failure : { ReadFailure::Malformed, ReadFailure::TooLarge }) {
    StoreReader reader;
    std::minstd_rand random;
    RecordRead(reader, { true, 0, {} }, true, At(milliseconds(5)));
    ASSERT_FALSE(NextRead(reader, 0, 7, At(milliseconds(5)))->mFull);
    RecordReadFailure(reader, failure, random, At(milliseconds(9)));
    EXPECT_FALSE(NextRead(reader, 0, 7, At(milliseconds(9))));
    const auto next =
      NextRead(reader, 0, 7, At(milliseconds(9) + reader.mTiming.mMaxBackoff));
    ASSERT_TRUE(next);
    EXPECT_TRUE(next->mFull);
  }
}

// Guards against calls without backoff while the store refuses them.
TEST(StoreReader, FailuresAreFollowedByAGrowingBackoff)
{
  StoreReader reader;
  std::minstd_rand random;
  int calls = 0;
  for (auto time = milliseconds(0); time < milliseconds(5000);
       time += milliseconds(25)) {
    if (NextRead(reader, 0, 0, At(time))) {
      ++calls;
      RecordReadFailure(reader, ReadFailure::Refused, random, At(time));
    }
  }
  EXPECT_LE(calls, 16);
  EXPECT_GE(calls, 6);
}

// Guards against instances that read the store although the designated reader
// does it for them, and against instances that never read it although its
// confirmations no longer arrive.
TEST(StoreReader, OthersReadOnlyOnceNothingConfirmsTheirState)
{
  StoreReader reader;
  RecordConfirmation(reader, milliseconds(100), At(milliseconds(1000)));
  reader.mNeedsFull = false;
  EXPECT_FALSE(NextRead(reader, 2, 7, At(milliseconds(2000))));
  const auto due = milliseconds(901) + reader.mTiming.mTakeOverTimeout +
                   2 * reader.mTiming.mTakeOverPerRank;
  EXPECT_TRUE(NextRead(reader, 2, 7, At(due)));
}

// Guards against a network partition from many upstreams whose probes use up
// the file descriptors, and against probes of an upstream without a delay
// between them.
TEST(ProbeSchedule, LimitsConcurrentProbesAndTheirRate)
{
  ProbeSchedule schedule;
  std::vector<flows::UpstreamToken> candidates;
  for (flows::UpstreamToken token = 1; token <= 100; ++token) {
    candidates.push_back(token);
  }
  EXPECT_EQ(NextProbes(schedule, candidates, At(milliseconds(0))).size(),
            kMaxConcurrentProbes);
  EXPECT_TRUE(NextProbes(schedule, candidates, At(milliseconds(10))).empty());
  RecordProbeEnd(schedule, 1, At(milliseconds(20)));
  EXPECT_EQ(NextProbes(schedule, { 1 }, At(milliseconds(30))).size(), 0U);
  EXPECT_EQ(
    NextProbes(schedule, { 1 }, At(milliseconds(20) + kProbeInterval)).size(),
    1U);
}

} // namespace
} // namespace sassafrasknot::fleet
