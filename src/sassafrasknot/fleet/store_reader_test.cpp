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

// Guards against a reader that waits for changes that the platform no longer
// has.
TEST(StoreReader, ReadsEverythingAfterTheHistoryIsLost)
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

// Guards against a store that is called without pause while it is down.
TEST(StoreReader, FailuresAreFollowedByGrowingPauses)
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

// Guards against instances that read although another does it for them, and
// against ones that never do when its news cease.
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

// Guards against a cut of many upstreams that uses up descriptors, and against
// probes that follow each other without pause.
TEST(ProbeSchedule, BoundsProbesAndTheirRate)
{
  ProbeSchedule schedule;
  std::vector<flows::UpstreamToken> silent;
  for (flows::UpstreamToken token = 1; token <= 100; ++token) {
    silent.push_back(token);
  }
  EXPECT_EQ(NextProbes(schedule, silent, At(milliseconds(0))).size(),
            kMaxConcurrentProbes);
  EXPECT_TRUE(NextProbes(schedule, silent, At(milliseconds(10))).empty());
  RecordProbeEnd(schedule, 1, At(milliseconds(20)));
  EXPECT_EQ(NextProbes(schedule, { 1 }, At(milliseconds(30))).size(), 0U);
  EXPECT_EQ(
    NextProbes(schedule, { 1 }, At(milliseconds(20) + kProbeInterval)).size(),
    1U);
}

} // namespace
} // namespace sassafrasknot::fleet
