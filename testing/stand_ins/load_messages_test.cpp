#include "caller_set.hpp"
#include "fabric.hpp"
#include "upstream_set.hpp"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace stand_ins {
namespace {

namespace ctl = sassafrasknotctl;
using std::chrono::milliseconds;

constexpr state::Endpoint kCallers{ { 0x7f000001 }, 7900 };
constexpr state::Endpoint kUpstreams{ { 0x7f000001 }, 7700 };
constexpr state::Ipv4Address kServer{ 0x7f140001 };

// Callers, fabric and upstreams in virtual time, without instances. The callers
// address the upstream itself, and the fabric has the endpoint of the callers
// as its only instance, so that it sends packets from the upstream to the
// callers.
struct Network
{
  state::TimePoint mNow{};
  ctl::CallerSet mCallers;
  Fabric mFabric;
  UpstreamSet mUpstreams;
};

UpstreamSettings
ServerSettings()
{
  UpstreamSettings settings;
  settings.mAddress = kServer;
  settings.mOrganisation = "kandyan";
  settings.mService = "scheduling";
  settings.mSlots = 4;
  settings.mServiceTime = milliseconds(20);
  return settings;
}

Network
MakeNetwork(std::uint64_t aSeed, const Impairments& aImpairments)
{
  ctl::LoadOptions options;
  options.mSeed = aSeed;
  options.mDuration = milliseconds(2000);
  options.mFinishTimeout = milliseconds(60000);
  options.mFirstCaller = { 0x7f1e0001 };
  options.mPeriod = milliseconds(100);
  for (const auto kind : { ctl::FlowKind::Feed,
                           ctl::FlowKind::Upload,
                           ctl::FlowKind::Confirmation }) {
    options.mTargets.push_back(
      { kind, "kandyan", "scheduling", { kServer, 7001 }, 8.0 });
  }
  Network network;
  network.mCallers = ctl::MakeCallerSet(options, network.mNow);
  network.mFabric.mCallers = kCallers;
  network.mFabric.mUpstreams = kUpstreams;
  network.mFabric.mCallerPrefix = { { 0x7f1e0000 }, 16 };
  network.mFabric.mUpstreamPrefix = { { 0x7f140000 }, 16 };
  network.mFabric.mInstances = { kCallers };
  network.mFabric.mImpairments = aImpairments;
  network.mFabric.mRandom.seed(aSeed);
  network.mUpstreams.mRandom.seed(aSeed + 1);
  Configure(network.mUpstreams, { ServerSettings() }, network.mNow);
  return network;
}

// Advances the time by 1 ms and delivers the packets that are due.
void
Step(Network& aNetwork)
{
  aNetwork.mNow += milliseconds(1);
  const auto now = aNetwork.mNow;
  ctl::OnTick(aNetwork.mCallers, now);
  OnTick(aNetwork.mUpstreams, now);
  OnTick(aNetwork.mFabric, now);
  for (auto* const output :
       { &aNetwork.mCallers.mOutput, &aNetwork.mUpstreams.mOutput }) {
    for (const auto& bytes : *output) {
      OnDatagram(aNetwork.mFabric, bytes, now);
    }
    output->clear();
  }
  const auto deliveries = std::exchange(aNetwork.mFabric.mOutput, {});
  for (const auto& delivery : deliveries) {
    if (delivery.mDestination == kUpstreams) {
      OnDatagram(aNetwork.mUpstreams, delivery.mBytes, now);
    } else {
      ctl::OnDatagram(aNetwork.mCallers, delivery.mBytes, now);
    }
  }
}

// Runs until the callers have finished; returns the counters of all flows.
ctl::FlowTotals
RunToEnd(Network& aNetwork)
{
  do {
    Step(aNetwork);
  } while (!Finished(aNetwork.mCallers, aNetwork.mNow));
  return TotalOf(FinishReport(aNetwork.mCallers));
}

// With lost, duplicated and reordered packets, all flows must complete and no
// request may run twice. Otherwise, errors of the test programs would be
// counted as flows that the load balancer broke.
RC_GTEST_PROP(Exchange, SurvivesABadNetwork, (std::uint16_t aSeed))
{
  Impairments impairments;
  impairments.mDrop = *rc::gen::inRange(0, 15) / 100.0;
  impairments.mDuplicate = *rc::gen::inRange(0, 20) / 100.0;
  impairments.mReorder = *rc::gen::inRange(0, 30) / 100.0;
  auto network = MakeNetwork(aSeed, impairments);
  const auto sum = RunToEnd(network);
  RC_ASSERT(sum.mStarted > 0U);
  RC_ASSERT(sum.mCompleted == sum.mStarted);
  RC_ASSERT(sum.mMisrouted + sum.mGaps + sum.mRanTwice == 0U);
}

// Upstreams must remove ended connections and free the slots of their requests.
TEST(Exchange, FreesConnectionsAndSlots)
{
  auto network = MakeNetwork(1, { .mDrop = 0.05 });
  RunToEnd(network);
  for (int i = 0; i < 10000; ++i) {
    Step(network);
  }
  EXPECT_TRUE(network.mUpstreams.mConnections.empty());
  EXPECT_TRUE(network.mCallers.mCallers.empty());
  EXPECT_EQ(network.mUpstreams.mUpstreams.at(kServer).mOpenConnections, 0U);
  EXPECT_EQ(network.mUpstreams.mUpstreams.at(kServer).mActiveRequests, 0U);
}

// Flows answered by the upstream of another service must be counted as
// misrouted, not as kept.
TEST(Exchange, CountsAnswersOfAnotherService)
{
  auto network = MakeNetwork(2, {});
  auto settings = ServerSettings();
  settings.mService = "intake";
  Configure(network.mUpstreams, { settings }, network.mNow);
  const auto sum = RunToEnd(network);
  EXPECT_GT(sum.mStarted, 0U);
  EXPECT_EQ(sum.mMisrouted, sum.mOpened);
  EXPECT_EQ(sum.mCompleted, 0U);
  EXPECT_EQ(network.mUpstreams.mUpstreams.at(kServer).mTotals.mMisrouted,
            sum.mOpened);
}

// Refused connections must be counted as refused, not as broken, and their
// requests must not run.
TEST(Exchange, CountsRefusalsAsNotRun)
{
  auto network = MakeNetwork(3, {});
  auto settings = ServerSettings();
  settings.mMode = UpstreamMode::Shedding;
  Configure(network.mUpstreams, { settings }, network.mNow);
  const auto sum = RunToEnd(network);
  EXPECT_GT(sum.mStarted, 0U);
  EXPECT_EQ(sum.mRefused, sum.mStarted);
  EXPECT_EQ(sum.mBroken, 0U);
  EXPECT_TRUE(network.mUpstreams.mRuns.empty());
}

// When an upstream stops sending, its feeds must be counted as broken, not as
// kept.
TEST(Exchange, CountsUnresponsiveFlowsAsBroken)
{
  auto network = MakeNetwork(4, {});
  while (network.mNow.time_since_epoch() < milliseconds(1000)) {
    Step(network);
  }
  Configure(network.mUpstreams, {}, network.mNow);
  const auto sum = RunToEnd(network);
  EXPECT_GT(sum.mReasons.at("silent"), 0U);
  EXPECT_EQ(sum.mUnanswered + sum.mBroken + sum.mCompleted, sum.mStarted);
}

// A request that has run before must be counted as run twice, by the upstream
// and by the caller.
TEST(Exchange, CountsRequestsThatRunTwice)
{
  auto network = MakeNetwork(5, {});
  // The callers use identifiers with the seed, 5, in the upper 32 bits.
  for (std::uint64_t id = 0; id < 100; ++id) {
    network.mUpstreams.mRuns[(std::uint64_t{ 5 } << 32) + id] = 1;
  }
  const auto sum = RunToEnd(network);
  const auto& totals = network.mUpstreams.mUpstreams.at(kServer).mTotals;
  EXPECT_GT(sum.mRanTwice, 0U);
  EXPECT_EQ(totals.mRanTwice, sum.mRanTwice);
  EXPECT_EQ(totals.mRan, sum.mRanTwice);
}

// The same seed must give the same answer times and counters.
TEST(Exchange, RepeatsWithSameSeed)
{
  const Impairments impairments{ .mDrop = 0.1, .mReorder = 0.1 };
  auto first = MakeNetwork(6, impairments);
  auto second = MakeNetwork(6, impairments);
  EXPECT_EQ(RunToEnd(first).mAnswerTimes, RunToEnd(second).mAnswerTimes);
  EXPECT_EQ(first.mFabric.mCounters, second.mFabric.mCounters);
}

} // namespace
} // namespace stand_ins
