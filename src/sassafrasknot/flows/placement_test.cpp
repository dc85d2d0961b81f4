#include "sassafrasknot/flows/placement.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

struct PlacementFixture
{
  void Add(const std::string& aId, const std::string& aDataCentre)
  {
    UpstreamRecord record;
    record.mUpstream = MakeUpstream(aId, aDataCentre);
    record.mToken = TokenOf(aId);
    mRecords.push_back(record);
  }

  UpstreamRecord* Choose(RequestKind aKind = RequestKind::NonIdempotent)
  {
    UpstreamTable table;
    for (const auto& record : mRecords) {
      table.mByToken[record.mToken] = record;
    }
    BuildPools(table, { "a" }, mPlace);
    auto* chosen = ChooseUpstream(table.mByService["scheduling"],
                                  { aKind, { "a" }, kNoToken },
                                  {},
                                  mRandom,
                                  At(milliseconds(0)));
    if (chosen == nullptr) {
      return nullptr;
    }
    return &*std::ranges::find(
      mRecords, chosen->mToken, &UpstreamRecord::mToken);
  }

  std::vector<UpstreamRecord> mRecords;
  InstancePosition mPlace{ 0, 3 };
  std::minstd_rand mRandom{ 5 };
};

// Guards against confirmations that queue behind feeds at the crest while slots
// are free elsewhere.
TEST(Placement, RequestsGoWhereTheFewestAreAtWork)
{
  PlacementFixture fixture;
  fixture.Add("i-1", "a");
  fixture.Add("i-2", "a");
  fixture.Add("i-3", "a");
  fixture.mRecords[0].mOwnLoad.mActiveRequests = 2;
  fixture.mRecords[1].mPeerLoad.mActiveRequests = 1;
  EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-3");
}

// Guards against traffic between data centres without need, and against callers
// that queue at home while other data centres are idle.
TEST(Placement, OtherDataCentresTakeRequestsOnlyWhenTheOwnIsBusy)
{
  PlacementFixture fixture;
  fixture.Add("i-1", "a");
  fixture.Add("i-2", "b");
  EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-1");
  fixture.mRecords[0].mOwnLoad.mActiveRequests = 4;
  EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-2");
}

// Guards against feeds that meet at one upstream before their requests show it.
TEST(Placement, FeedsSpreadEvenlyBeforeTheyWork)
{
  PlacementFixture fixture;
  for (int index = 0; index < 4; ++index) {
    fixture.Add("i-" + std::to_string(index), "a");
  }
  for (int feed = 0; feed < 40; ++feed) {
    ++fixture.Choose(RequestKind::Idempotent)->mOwnLoad.mFeeds;
  }
  for (const auto& record : fixture.mRecords) {
    EXPECT_NEAR(record.mOwnLoad.mFeeds, 10, 1);
  }
}

// Guards against new flows at upstreams that leave, are gone or do not answer.
TEST(Placement, AvoidsUpstreamsThatTakeNoFlows)
{
  PlacementFixture fixture;
  for (int index = 0; index < 5; ++index) {
    fixture.Add("i-" + std::to_string(index), "a");
  }
  fixture.mRecords[0].mUpstream.mDraining = true;
  fixture.mRecords[1].mPresence = Presence::Removed;
  fixture.mRecords[2].mPresence = Presence::Expired;
  MarkUnresponsive(fixture.mRecords[3].mFailureDetector, At(milliseconds(0)));
  for (int count = 0; count < 20; ++count) {
    EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-4");
  }
  // An entry may lapse while its upstream lives.
  fixture.mRecords[4].mUpstream.mDraining = true;
  EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-2");
}

// Guards against cold upstreams that get as much as warm ones.
TEST(Placement, PrefersWarmUpstreams)
{
  PlacementFixture fixture;
  fixture.Add("i-1", "a");
  fixture.Add("i-2", "a");
  fixture.mRecords[0].mWarmUpEnd = At(milliseconds(2000));
  for (int count = 0; count < 20; ++count) {
    EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-2");
  }
}

/// Places one flow on each of many instances that know the same loads, and
/// returns the most that one upstream gets.
int
FullestUpstream(std::size_t aInstances, std::size_t aUpstreams)
{
  std::map<std::string, int> counts;
  for (std::size_t instance = 0; instance < aInstances; ++instance) {
    PlacementFixture fixture;
    fixture.mRandom.seed(static_cast<unsigned>(instance + 1));
    fixture.mPlace = { instance, aInstances };
    for (std::size_t index = 0; index < aUpstreams; ++index) {
      fixture.Add("i-" + std::to_string(index), "a");
      fixture.mRecords.back().mPeerLoad.mActiveRequests = index == 0 ? 0 : 1;
    }
    ++counts[fixture.Choose()->mUpstream.mId];
  }
  int fullest = 0;
  for (const auto& [id, count] : counts) {
    fullest = std::max(fullest, count);
  }
  return fullest;
}

// The pattern of krampon-prod-grown scale-1: 20 instances choose at the same
// moment by the same report, in which one upstream is the least loaded. Guards
// against all of them meeting there, where 16 places (slots and queue) exist.
TEST(Placement, ManyInstancesWithOneReportDoNotMeetAtOneUpstream)
{
  EXPECT_LE(FullestUpstream(20, 30), 8);
}

// The pattern of the sweep to 300 instances. Guards against instances that all
// compare all upstreams, at a cost that grows with their number, and against
// upstreams that get more than their share by it.
TEST(Placement, DividedUpstreamsGetEqualSharesOfTheFlows)
{
  constexpr std::size_t kInstances = 30;
  constexpr std::size_t kUpstreams = 60;
  constexpr int kFlows = 40;
  std::map<std::string, int> counts;
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    PlacementFixture fixture;
    fixture.mPlace = { instance, kInstances };
    for (std::size_t index = 0; index < kUpstreams; ++index) {
      fixture.Add("i-" + std::to_string(index), "a");
    }
    std::set<std::string> used;
    for (int flow = 0; flow < kFlows; ++flow) {
      auto* upstream = fixture.Choose();
      ++upstream->mOwnLoad.mActiveRequests;
      ++counts[upstream->mUpstream.mId];
      used.insert(upstream->mUpstream.mId);
    }
    EXPECT_LE(used.size(), kInstancesPerUpstream * kUpstreams / kInstances + 1);
  }
  constexpr int kMean = kFlows * kInstances / kUpstreams;
  EXPECT_EQ(counts.size(), kUpstreams);
  for (const auto& [id, count] : counts) {
    EXPECT_LE(count, kMean * 3 / 2) << id;
  }
}

// Guards against feeds that are refused where upstreams are divided and all of
// the own data centre drain, have crashed, or are none.
TEST(Placement, OtherDataCentresServeADividedOneWithoutUpstreams)
{
  PlacementFixture fixture;
  fixture.mPlace = { 0, 20 };
  fixture.Add("i-1", "b");
  fixture.Add("i-2", "b");
  for (const auto kind :
       { RequestKind::Idempotent, RequestKind::NonIdempotent }) {
    ASSERT_NE(fixture.Choose(kind), nullptr);
  }
  fixture.Add("i-3", "a");
  fixture.mRecords.back().mUpstream.mDraining = true;
  const auto* chosen = fixture.Choose(RequestKind::Idempotent);
  ASSERT_NE(chosen, nullptr);
  EXPECT_EQ(chosen->mUpstream.mDataCentre.mValue, "b");
}

// Guards against requests that go to a busy data centre because nothing is
// known of its upstreams.
TEST(Placement, TheMeanUseStandsInForUnknownLoads)
{
  PlacementFixture fixture;
  fixture.Add("i-1", "a");
  fixture.Add("i-2", "b");
  fixture.mRecords[0].mOwnLoad.mActiveRequests = 3;
  fixture.mRecords[1].mAssumedUtilisation = 1.5;
  EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-1");
  fixture.mRecords[1].mAssumedUtilisation = 0.5;
  EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-2");
}

// Guards against an approximation that is not monotonic, which would send flows
// to the fuller of two upstreams.
TEST(Placement, ExpectedWaitGrowsWithUse)
{
  for (std::uint32_t slots = 1; slots <= 8; ++slots) {
    double previous = -1;
    for (double use = 0; use < 4; use += 0.01) {
      const auto wait = ExpectedWait(use, slots);
      EXPECT_GT(wait, previous - 1e-12) << slots << " slots, use " << use;
      previous = wait;
    }
  }
}

} // namespace
} // namespace sassafrasknot::flows
