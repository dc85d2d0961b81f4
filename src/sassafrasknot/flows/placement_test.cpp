#include "sassafrasknot/flows/placement.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

/// Upstreams of one service as seen by an instance of data centre "a".
struct PlacementFixture
{
  void AddUpstream(const std::string& aId, const std::string& aDataCentre)
  {
    UpstreamRecord record;
    record.mUpstream = MakeUpstream(aId, aDataCentre);
    record.mToken = TokenOf(aId);
    mRecords.push_back(record);
  }

  /// Chooses the upstream of a new flow, without placing it there.
  UpstreamRecord* Choose(FlowLength aLength = FlowLength::SingleRequest)
  {
    UpstreamTable table;
    for (const auto& record : mRecords) {
      table.mByToken[record.mToken] = record;
    }
    BuildPools(table, { "a" }, mPosition);
    auto* chosen = ChooseUpstream(table.mByService["scheduling"],
                                  { aLength, { "a" }, kNoToken },
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
  InstancePosition mPosition{ 0, 3 };
  std::minstd_rand mRandom{ 5 };
};

// Guards against requests that queue behind feeds at a busy upstream, at peak
// load, while slots are free elsewhere.
TEST(Placement, RequestsGoWhereTheFewestAreActive)
{
  PlacementFixture fixture;
  fixture.AddUpstream("i-1", "a");
  fixture.AddUpstream("i-2", "a");
  fixture.AddUpstream("i-3", "a");
  fixture.mRecords[0].mOwnLoad.mActiveRequests = 2;
  fixture.mRecords[1].mPeerLoad.mActiveRequests = 1;
  EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-3");
}

// Guards against unnecessary traffic between data centres, and against requests
// that queue locally while other data centres are idle.
TEST(Placement, OtherDataCentresReceiveRequestsOnlyWhenTheOwnIsBusy)
{
  PlacementFixture fixture;
  fixture.AddUpstream("i-1", "a");
  fixture.AddUpstream("i-2", "b");
  EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-1");
  fixture.mRecords[0].mOwnLoad.mActiveRequests = 4;
  EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-2");
}

// Guards against feeds that are all placed on one upstream before their
// requests show as load.
TEST(Placement, FeedsSpreadEvenlyBeforeTheirRequests)
{
  PlacementFixture fixture;
  for (int index = 0; index < 4; ++index) {
    fixture.AddUpstream("i-" + std::to_string(index), "a");
  }
  for (int feed = 0; feed < 40; ++feed) {
    ++fixture.Choose(FlowLength::ManyRequests)->mOwnLoad.mFeeds;
  }
  for (const auto& record : fixture.mRecords) {
    EXPECT_NEAR(record.mOwnLoad.mFeeds, 10, 1);
  }
}

// Guards against new flows at upstreams that are draining, removed, expired or
// unresponsive. An expired one is used if there is no other, since its entry
// may have expired while it still runs.
TEST(Placement, AvoidsUpstreamsThatAcceptNoFlows)
{
  PlacementFixture fixture;
  for (int index = 0; index < 5; ++index) {
    fixture.AddUpstream("i-" + std::to_string(index), "a");
  }
  fixture.mRecords[0].mUpstream.mDraining = true;
  fixture.mRecords[1].mPresence = Presence::Removed;
  fixture.mRecords[2].mPresence = Presence::Expired;
  RecordUnreachableDataCentre(fixture.mRecords[3].mFailureDetector,
                              At(milliseconds(0)));
  for (int count = 0; count < 20; ++count) {
    EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-4");
  }
  // Only the expired upstream and the unresponsive one are left.
  fixture.mRecords[4].mUpstream.mDraining = true;
  EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-2");
}

// Guards against upstreams that receive as many flows while they are slow after
// their start as others.
TEST(Placement, PrefersWarmUpstreams)
{
  PlacementFixture fixture;
  fixture.AddUpstream("i-1", "a");
  fixture.AddUpstream("i-2", "a");
  fixture.mRecords[0].mWarmUpEnd = At(milliseconds(2000));
  for (int count = 0; count < 20; ++count) {
    EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-2");
  }
}

/// Lets each of many instances with the same loads place one flow, and returns
/// the highest number of flows at one upstream.
int
MaxFlowsPerUpstream(std::size_t aInstances, std::size_t aUpstreams)
{
  std::map<std::string, int> counts;
  for (std::size_t instance = 0; instance < aInstances; ++instance) {
    PlacementFixture fixture;
    fixture.mRandom.seed(static_cast<unsigned>(instance + 1));
    fixture.mPosition = { instance, aInstances };
    for (std::size_t index = 0; index < aUpstreams; ++index) {
      fixture.AddUpstream("i-" + std::to_string(index), "a");
      fixture.mRecords.back().mPeerLoad.mActiveRequests = index == 0 ? 0 : 1;
    }
    ++counts[fixture.Choose()->mUpstream.mId];
  }
  int maxFlows = 0;
  for (const auto& [id, count] : counts) {
    maxFlows = std::max(maxFlows, count);
  }
  return maxFlows;
}

// Guards against an upstream that is overloaded because 20 instances choose at
// the same moment by the same load report, in which it is the least loaded. It
// has room for 16 requests, in slots and queue.
TEST(Placement, ManyInstancesWithOneReportDoNotAllChooseOneUpstream)
{
  EXPECT_LE(MaxFlowsPerUpstream(20, 30), 8);
}

// Guards against large data centres in which each instance compares all
// upstreams, at a cost that grows with their number, and against subsets by
// which some upstreams receive more than their share of flows.
TEST(Placement, SubsetsGiveUpstreamsEqualSharesOfTheFlows)
{
  constexpr std::size_t kInstances = 30;
  constexpr std::size_t kUpstreams = 60;
  constexpr int kFlows = 40;
  std::map<std::string, int> counts;
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    PlacementFixture fixture;
    fixture.mPosition = { instance, kInstances };
    for (std::size_t index = 0; index < kUpstreams; ++index) {
      fixture.AddUpstream("i-" + std::to_string(index), "a");
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

// Guards against flows that are refused in a data centre with subsetting
// because it has no upstreams or all of them drain, although other data centres
// have some.
TEST(Placement, OtherDataCentresServeOneWithSubsetsButNoUpstreams)
{
  PlacementFixture fixture;
  fixture.mPosition = { 0, 20 };
  fixture.AddUpstream("i-1", "b");
  fixture.AddUpstream("i-2", "b");
  for (const auto length :
       { FlowLength::ManyRequests, FlowLength::SingleRequest }) {
    ASSERT_NE(fixture.Choose(length), nullptr);
  }
  fixture.AddUpstream("i-3", "a");
  fixture.mRecords.back().mUpstream.mDraining = true;
  const auto* chosen = fixture.Choose(FlowLength::ManyRequests);
  ASSERT_NE(chosen, nullptr);
  EXPECT_EQ(chosen->mUpstream.mDataCentre.mValue, "b");
}

// Guards against requests that go to a busy data centre because its loads are
// not known by upstream.
TEST(Placement, MeanUtilisationReplacesUnknownLoads)
{
  PlacementFixture fixture;
  fixture.AddUpstream("i-1", "a");
  fixture.AddUpstream("i-2", "b");
  fixture.mRecords[0].mOwnLoad.mActiveRequests = 3;
  double utilisation = 1.5;
  fixture.mRecords[1].mDataCentreUtilisation = &utilisation;
  EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-1");
  utilisation = 0.5;
  EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-2");
}

// Guards against an approximation that is not monotonic, which would send flows
// to the fuller of two upstreams.
TEST(Placement, ExpectedWaitGrowsWithUtilisation)
{
  for (std::uint32_t slots = 1; slots <= 8; ++slots) {
    double previous = -1;
    for (double utilisation = 0; utilisation < 4; utilisation += 0.01) {
      const auto wait = ExpectedWait(utilisation, slots);
      EXPECT_GT(wait, previous - 1e-12)
        << slots << " slots, utilisation " << utilisation;
      previous = wait;
    }
  }
}

} // namespace
} // namespace sassafrasknot::flows
