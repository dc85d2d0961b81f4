#include "sassafrasknot/flows/cold_admission.hpp"

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

using std::chrono::seconds;

/// Limit of 20 x 1.5 + 6 = 36 requests per second for the fleet, 12 for one
/// instance.
constexpr WarmUpLimit kLimit{ seconds(60), 20 };
constexpr ColdBounds kBounds{ 1.5, 6 };
constexpr std::uint32_t kOwnLimit = 12;
constexpr milliseconds kViewInterval{ 250 };

/// A router with one cold upstream whose service has a limit. The instance is
/// alone in the fleet unless a test says otherwise.
struct ColdFixture : RouterFixture
{
  explicit ColdFixture(WarmUpLimit aLimit = kLimit)
  {
    mRouter.mSettings.mColdBounds = kBounds;
    auto configuration =
      std::make_shared<Configuration>(*mDirectory.mConfiguration);
    configuration->mWarmUpLimits["scheduling"] = aLimit;
    mDirectory.mConfiguration = configuration;
    AddUpstream("i-1", "a");
    mDirectory.mUpstreams[0].mUpstream.mWarmUpLeft = seconds(60);
    mView.mSelf = 1;
    mView.mMayPlace = true;
    Publish(milliseconds(0));
  }

  UpstreamRecord& Record(const std::string& aId = "i-1")
  {
    return *FindUpstream(mRouter.mUpstreams, TokenOf(aId));
  }

  void SendView(milliseconds aTime)
  {
    mView.mAsOf = At(aTime);
    OnFleetView(mRouter, mView, At(aTime));
  }

  /// Sends views at regular intervals, up to aUntil.
  void Run(milliseconds aFrom, milliseconds aUntil)
  {
    for (auto time = aFrom; time <= aUntil; time += kViewInterval) {
      SendView(time);
    }
  }

  /// Opens a flow of one request each 10 ms and returns how many were placed.
  int OpenMany(milliseconds aFrom, milliseconds aUntil)
  {
    int placed = 0;
    for (auto time = aFrom; time < aUntil; time += milliseconds(10)) {
      if (time % kViewInterval == milliseconds(0)) {
        SendView(time);
      }
      const auto decision = Open(mNextPort++, kRequestPort, time);
      if (decision.mAction == PacketAction::Forward) {
        ++placed;
      } else {
        EXPECT_EQ(decision.mReason, Reason::NoUpstream);
        EXPECT_EQ(decision.mVerdict, state::Verdict::NotRun);
      }
    }
    return placed;
  }

  FleetView mView;
  std::uint16_t mNextPort = 1024;
};

// Guards against a limit that applies where the configuration has none, which
// would refuse flows of services that were served before.
TEST(ColdAdmission, WithoutALimitColdUpstreamsAreUsedAsBefore)
{
  ColdFixture fixture({ seconds(60), 0 });
  EXPECT_EQ(fixture.OpenMany(milliseconds(0), milliseconds(1000)), 100);
  EXPECT_FALSE(IsColdAndLimited(fixture.Record(), At(milliseconds(0))));
  EXPECT_EQ(fixture.mRouter.mColdPlacement.mCounters.mAdmitted, 0U);
}

// Guards against a fresh burst after the start of an instance, whose previous
// process may have used the budget just before.
TEST(ColdAdmission, AnInstancePlacesNothingUntilTheFleetKnowsIt)
{
  ColdFixture fixture;
  EXPECT_EQ(fixture.OpenMany(milliseconds(0), kPlacingDelay), 0);
  EXPECT_GT(fixture.mRouter.mColdPlacement.mCounters.mRefused, 900U);
  EXPECT_GT(fixture.OpenMany(kPlacingDelay, kPlacingDelay + milliseconds(1000)),
            0);
}

// Guards against more requests than the instance's part of the limit, and
// against a budget that does not grow or is never used.
TEST(ColdAdmission, BudgetGrowsUntilTheEndOfTheWarmUp)
{
  ColdFixture fixture;
  fixture.Run(milliseconds(0), kPlacingDelay);
  const auto early = fixture.OpenMany(seconds(11), seconds(16));
  fixture.Run(seconds(16), seconds(54));
  const auto late = fixture.OpenMany(seconds(54), seconds(59));
  EXPECT_GE(early, 5 * kOwnLimit / 2);
  EXPECT_LE(early, 5 * kOwnLimit * 2 / 3);
  EXPECT_GE(late, 5 * kOwnLimit * 4 / 5);
  EXPECT_LE(late, 5 * kOwnLimit);
  EXPECT_EQ(fixture.mRouter.mColdPlacement.mCounters.mAdmitted,
            static_cast<std::uint64_t>(early + late));
  EXPECT_EQ(fixture.OpenMany(seconds(60), seconds(61)), 100);
}

// Guards against packets that were held during a stall being admitted by an
// outdated view, while another instance has taken over.
TEST(ColdAdmission, AStalledInstanceWaitsAgain)
{
  ColdFixture fixture;
  fixture.Run(milliseconds(0), seconds(12));
  EXPECT_NE(fixture.Open(1, kRequestPort, seconds(12)).mUpstream, nullptr);
  EXPECT_EQ(fixture.Open(2, kRequestPort, seconds(14)).mUpstream, nullptr);
  EXPECT_EQ(fixture.OpenMany(seconds(14), seconds(24)), 0);
  EXPECT_GT(fixture.OpenMany(seconds(24), seconds(25)), 0);
}

// Guards against placement by an instance that is isolated from most of the
// fleet, whose other instances have taken over.
TEST(ColdAdmission, AnIsolatedInstancePlacesNothing)
{
  ColdFixture fixture;
  fixture.Run(milliseconds(0), seconds(12));
  fixture.mView.mMayPlace = false;
  EXPECT_EQ(fixture.OpenMany(seconds(12), seconds(14)), 0);
  fixture.mView.mMayPlace = true;
  EXPECT_EQ(fixture.OpenMany(seconds(14), seconds(24)), 0);
  EXPECT_GT(fixture.OpenMany(seconds(24), seconds(25)), 0);
}

// Guards against several instances that place flows on one upstream because
// they disagree about the placing one, and against upstreams without any.
TEST(ColdAdmission, ExactlyOneInstancePlacesOnEachUpstream)
{
  constexpr std::uint64_t kInstances = 7;
  std::size_t placing = 0;
  std::size_t most = 0;
  for (std::uint64_t self = 0; self < kInstances; ++self) {
    ColdFixture fixture;
    for (int index = 2; index <= 70; ++index) {
      fixture.AddUpstream("i-" + std::to_string(index), "b");
      fixture.mDirectory.mUpstreams.back().mUpstream.mWarmUpLeft = seconds(60);
    }
    fixture.Publish(milliseconds(1));
    fixture.mView.mSelf = self;
    for (std::uint64_t other = 0; other < kInstances; ++other) {
      if (other != self) {
        fixture.mView.mMembers.push_back(other);
      }
    }
    fixture.SendView(milliseconds(2));
    const auto& pool = fixture.mRouter.mUpstreams.mByService["scheduling"];
    placing += pool.mColdPlaced.size();
    most = std::max(most, pool.mColdPlaced.size());
  }
  EXPECT_EQ(placing, 70U);
  EXPECT_LE(most, 30U);
}

// Guards against feeds whose later requests exceed the limit, which no instance
// can prevent once they are open.
TEST(ColdAdmission, FeedsTakeAtMostHalfOfTheBudget)
{
  ColdFixture fixture;
  fixture.Run(milliseconds(0), seconds(12));
  const auto& record = fixture.Record();
  auto now = At(seconds(12));
  EXPECT_TRUE(AdmitsColdFlow(record, FlowLength::ManyRequests, now));
  fixture.Record().mOwnLoad.mFeeds = 1;
  // A second feed would reserve 8 of 12 requests per second.
  EXPECT_FALSE(AdmitsColdFlow(record, FlowLength::ManyRequests, now));
  EXPECT_TRUE(AdmitsColdFlow(record, FlowLength::SingleRequest, now));
  // Feeds that other instances have opened there count too.
  fixture.Record().mPeerLoad.mFeeds = 1;
  EXPECT_FALSE(AdmitsColdFlow(record, FlowLength::SingleRequest, now));
}

// Guards against new flows that add to the requests of open feeds.
TEST(ColdAdmission, RequestsOfOpenFlowsUseTheBudget)
{
  ColdFixture fixture;
  fixture.Run(milliseconds(0), seconds(12));
  const auto token = TokenOf("i-1");
  // A flow that another instance placed sends ten requests.
  for (std::uint32_t request = 0; request < 10; ++request) {
    fixture.Send(9,
                 kFeedPort,
                 token,
                 1 + request * 100,
                 1 + request * 500,
                 100,
                 seconds(12) + milliseconds(10 * request));
  }
  EXPECT_FALSE(AdmitsColdFlow(
    fixture.Record(), FlowLength::SingleRequest, At(milliseconds(12500))));
}

// Guards against a cold upstream that receives no flows in a large data centre
// because it is not in the subset of its placing instance.
TEST(ColdAdmission, PlacesOutsideOfTheSubset)
{
  ColdFixture fixture;
  for (int index = 2; index <= 40; ++index) {
    fixture.AddUpstream("i-" + std::to_string(index), "a");
  }
  fixture.Publish(milliseconds(1));
  bool wasOutside = false;
  for (std::size_t position = 0; position < 20; ++position) {
    OnPosition(fixture.mRouter, { position, 20 }, At(milliseconds(2)));
    const auto& pool = fixture.mRouter.mUpstreams.mByService["scheduling"];
    fixture.SendView(milliseconds(3));
    EXPECT_EQ(pool.mColdPlaced.size(), 1U);
    wasOutside = wasOutside ||
                 std::ranges::find(pool.mLocalCandidates, &fixture.Record()) ==
                   pool.mLocalCandidates.end();
  }
  ASSERT_TRUE(wasOutside);
  OnPosition(fixture.mRouter, { 0, 20 }, At(milliseconds(4)));
  fixture.Run(milliseconds(250), seconds(12));
  for (auto& [token, record] : fixture.mRouter.mUpstreams.mByToken) {
    record.mOwnLoad.mActiveRequests = token == TokenOf("i-1") ? 0 : 4;
  }
  const auto decision = fixture.Open(5, kRequestPort, seconds(12));
  ASSERT_NE(decision.mUpstream, nullptr);
  EXPECT_EQ(decision.mUpstream->mUpstream.mId, "i-1");
}

// Guards against a step at the end of the warm-up, when all instances would
// prefer the idle upstream at once.
TEST(ColdAdmission, InstancesJoinOneAfterTheOtherAfterTheWarmUp)
{
  std::vector<int> joining;
  for (const auto left : { 0, 1250, 2500, 3750, 5000 }) {
    int count = 0;
    for (std::uint64_t self = 1; self <= 100; ++self) {
      ColdFixture fixture;
      fixture.mView.mSelf = self;
      fixture.SendView(milliseconds(1));
      count +=
        IsJoining(fixture.Record(), At(seconds(60) + milliseconds(left)));
    }
    joining.push_back(count);
  }
  EXPECT_EQ(joining.front(), 100);
  EXPECT_EQ(joining.back(), 0);
  EXPECT_NEAR(joining[1], 75, 12);
  EXPECT_NEAR(joining[2], 50, 12);
  EXPECT_NEAR(joining[3], 25, 12);
  // While joining, an upstream is still used if there is no other.
  ColdFixture fixture;
  EXPECT_NE(fixture.Open(1, kRequestPort, seconds(60)).mUpstream, nullptr);
}

// Guards against all traffic returning at once to a data centre whose upstreams
// have become cold during its evacuation.
TEST(ColdAdmission, UpstreamsAreColdAgainAfterAnEvacuation)
{
  ColdFixture fixture;
  fixture.AddUpstream("i-2", "b");
  fixture.mDirectory.mEvacuations[{ "a" }] = 5;
  fixture.Publish(milliseconds(1));
  fixture.Run(milliseconds(0), seconds(70));
  EXPECT_FALSE(IsColdAndLimited(fixture.Record(), At(seconds(70))));
  fixture.mDirectory.mEvacuations.clear();
  fixture.Publish(seconds(70));
  EXPECT_TRUE(IsColdAndLimited(fixture.Record(), At(seconds(129))));
  EXPECT_FALSE(IsColdAndLimited(fixture.Record(), At(seconds(130))));
  EXPECT_FALSE(IsColdAndLimited(fixture.Record("i-2"), At(seconds(71))));
  EXPECT_FALSE(AdmitsColdFlow(
    fixture.Record(), FlowLength::SingleRequest, At(seconds(70))));
  EXPECT_TRUE(AdmitsColdFlow(
    fixture.Record(), FlowLength::SingleRequest, At(milliseconds(70250))));
}

// Guards against flows that reach a cold upstream without budget as a last
// resort: reassigned ones, and those of a data centre with subsetting in which
// no upstream admits flows.
TEST(ColdAdmission, LastResortsRespectTheLimit)
{
  for (const std::size_t instances : { 3U, 20U }) {
    ColdFixture fixture;
    fixture.AddUpstream("i-2", "a");
    fixture.AddUpstream("i-3", "b");
    fixture.mDirectory.mUpstreams[2].mUpstream.mWarmUpLeft = seconds(60);
    fixture.Publish(milliseconds(1));
    OnPosition(fixture.mRouter, { 0, instances }, At(milliseconds(1)));
    const auto first = fixture.Open(1, kRequestPort, milliseconds(2));
    ASSERT_NE(first.mUpstream, nullptr);
    EXPECT_EQ(first.mUpstream->mUpstream.mId, "i-2");
    // It does not answer; the others are cold and not placed here.
    const auto copy = fixture.Open(1, kRequestPort, milliseconds(202), 1);
    ASSERT_NE(copy.mUpstream, nullptr);
    EXPECT_EQ(copy.mUpstream->mUpstream.mId, "i-2");
    fixture.mDirectory.mUpstreams[1].mUpstream.mDraining = true;
    fixture.Publish(milliseconds(300));
    const auto refused = fixture.Open(2, kRequestPort, milliseconds(301));
    EXPECT_EQ(refused.mAction, PacketAction::Reset);
    EXPECT_EQ(refused.mReason, Reason::NoUpstream);
    EXPECT_EQ(refused.mVerdict, state::Verdict::NotRun);
  }
}

// Guards against a fresh allowance for an upstream that restarts while cold.
TEST(ColdAdmission, ARestartedUpstreamStartsWithoutBudget)
{
  ColdFixture fixture;
  fixture.Run(milliseconds(0), seconds(12));
  EXPECT_GT(fixture.OpenMany(seconds(12), seconds(13)), 0);
  fixture.mDirectory.mUpstreams[0].mUpstream.mStarted = seconds(5);
  fixture.Publish(seconds(13));
  EXPECT_EQ(fixture.Open(1, kRequestPort, seconds(13)).mUpstream, nullptr);
  EXPECT_LE(fixture.OpenMany(seconds(13), seconds(14)),
            static_cast<int>(kOwnLimit / 2));
}

} // namespace
} // namespace sassafrasknot::flows
