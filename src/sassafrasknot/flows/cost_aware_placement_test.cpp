#include "sassafrasknot/flows/flow_router.hpp"

#include <algorithm>
#include <cmath>
#include <map>

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

/// Two upstreams in one data centre and single requests, one at a time.
struct LearningFixture : RouterFixture
{
  LearningFixture()
  {
    AddUpstream("i-1", "a");
    AddUpstream("i-2", "a");
    Publish(milliseconds(0));
    Tick();
  }

  void Tick() { OnTick(mRouter, At(mTime)); }

  void Advance(milliseconds aTime)
  {
    constexpr milliseconds kTickInterval{ 25 };
    for (const auto end = mTime + aTime; mTime < end;) {
      mTime = std::min(end, mTime + kTickInterval);
      Tick();
    }
  }

  /// Opens a flow and finishes it after a request; the handshake takes 6 ms.
  /// @param aTimes time that a request takes at each upstream
  /// @return the upstream
  UpstreamToken Request(const std::map<UpstreamToken, milliseconds>& aTimes)
  {
    const auto port = mNextPort++;
    const auto token = Open(port, kRequestPort, mTime).mUpstream->mToken;
    Advance(kHandshake);
    Send(port, kRequestPort, token, 1, 1, 100, mTime);
    Advance(kHandshake + aTimes.at(token));
    Send(port, kRequestPort, token, 101, 500, 0, mTime);
    auto finish = MakePacket(port, kRequestPort, state::SegmentKind::Finish);
    finish.mToken = token;
    finish.mSequence = 101;
    finish.mAcknowledged = 500;
    OnPacket(mRouter, finish, At(mTime));
    return token;
  }

  UpstreamRecord& Record(const std::string& aId)
  {
    return *FindUpstream(mRouter.mUpstreams, TokenOf(aId));
  }

  static constexpr milliseconds kHandshake{ 6 };
  milliseconds mTime{ 0 };
  std::uint16_t mNextPort = 2000;
};

// Guards against placement at low load that ignores that one upstream works
// faster, and against the network's delay being taken for work.
TEST(CostAwarePlacement, RequestsGoToTheFasterUpstreamAtLowLoad)
{
  LearningFixture fixture;
  const std::map<UpstreamToken, milliseconds> times{
    { TokenOf("i-1"), milliseconds(10) }, { TokenOf("i-2"), milliseconds(25) }
  };
  for (int index = 0; index < 100; ++index) {
    fixture.Request(times);
  }
  const auto now = At(fixture.mTime);
  EXPECT_GT(Speed(fixture.Record("i-1").mSpeed, now), 1.1);
  EXPECT_LT(Speed(fixture.Record("i-2").mSpeed, now), 1);
  int atFaster = 0;
  for (int index = 0; index < 20; ++index) {
    atFaster += fixture.Request(times) == TokenOf("i-1") ? 1 : 0;
  }
  EXPECT_EQ(atFaster, 20);
  EXPECT_EQ(fixture.Record("i-1").mExcessBacklog, 0);
  EXPECT_EQ(fixture.Record("i-1").mOwnLoad.mActiveRequests, 0U);
}

// Guards against an upstream that restarts and is judged by the speed of its
// earlier process.
TEST(CostAwarePlacement, RestartedUpstreamHasNoEstimate)
{
  LearningFixture fixture;
  for (int index = 0; index < 100; ++index) {
    fixture.Request({ { TokenOf("i-1"), milliseconds(10) },
                      { TokenOf("i-2"), milliseconds(25) } });
  }
  fixture.mDirectory.mUpstreams[0].mUpstream.mStarted = milliseconds(1);
  fixture.Publish(fixture.mTime);
  EXPECT_EQ(Speed(fixture.Record("i-1").mSpeed, At(fixture.mTime)), 1);
}

// Guards against a new instance that places flows as if all upstreams were
// equal until it has learned their speeds itself: before its first answer, it
// uses what its neighbours report.
TEST(CostAwarePlacement, NewInstancePlacesByTheSpeedsOfItsNeighbours)
{
  LearningFixture fixture;
  SetSharedSpeeds(fixture.mRouter.mUpstreams,
                  { { TokenOf("i-1"), { std::log(0.5), 3 } },
                    { TokenOf("i-2"), { std::log(1.5), 3 } } },
                  At(fixture.mTime));
  EXPECT_EQ(fixture.Open(1000, kRequestPort, fixture.mTime).mUpstream->mToken,
            TokenOf("i-2"));
  int atFaster = 0;
  for (std::uint16_t port = 1001; port < 1008; ++port) {
    const auto decision = fixture.Open(port, kRequestPort, fixture.mTime);
    atFaster += decision.mUpstream->mToken == TokenOf("i-2") ? 1 : 0;
  }
  EXPECT_GE(atFaster, 4);
  SetSharedSpeeds(fixture.mRouter.mUpstreams, {}, At(fixture.mTime));
  EXPECT_EQ(Speed(fixture.Record("i-2").mSpeed, At(fixture.mTime)), 1);
}

// Guards against an upstream that restarts and is judged by what neighbours
// still report of its earlier process, as they learn of the restart later.
TEST(CostAwarePlacement, RestartedUpstreamIgnoresReportsOfItsEarlierProcess)
{
  LearningFixture fixture;
  const std::map<UpstreamToken, SharedSpeed> speeds{
    { TokenOf("i-1"), { std::log(0.5), 3 } },
    { TokenOf("i-2"), { std::log(0.5), 3 } }
  };
  const auto share = [&] {
    SetSharedSpeeds(fixture.mRouter.mUpstreams, speeds, At(fixture.mTime));
    return Speed(fixture.Record("i-1").mSpeed, At(fixture.mTime));
  };
  EXPECT_NEAR(share(), 0.5, 1e-9);
  fixture.mDirectory.mUpstreams[0].mUpstream.mStarted = milliseconds(1);
  fixture.Publish(fixture.mTime);
  EXPECT_EQ(Speed(fixture.Record("i-1").mSpeed, At(fixture.mTime)), 1);
  EXPECT_EQ(share(), 1);
  EXPECT_NEAR(
    Speed(fixture.Record("i-2").mSpeed, At(fixture.mTime)), 0.5, 1e-9);
  fixture.mTime += kSharedSpeedDelay;
  EXPECT_NEAR(share(), 0.5, 1e-9);
}

// Guards against an upstream that fails requests quickly and is reported as
// fast to instances that have seen none of its answers.
TEST(CostAwarePlacement, UpstreamThatFailsQuicklyIsNotReportedAsFast)
{
  for (const int usualRequests : { 0, 60 }) {
    LearningFixture fixture;
    const std::map<UpstreamToken, milliseconds> usual{
      { TokenOf("i-1"), milliseconds(20) }, { TokenOf("i-2"), milliseconds(20) }
    };
    for (int index = 0; index < usualRequests; ++index) {
      fixture.Request(usual);
    }
    for (int index = 0; index < 100; ++index) {
      fixture.Request({ { TokenOf("i-1"), milliseconds(1) },
                        { TokenOf("i-2"), milliseconds(20) } });
    }
    EXPECT_LT(
      ReportedSpeedPercent(fixture.Record("i-1").mSpeed, At(fixture.mTime)),
      120U);
  }
}

// Guards against a black hole: an upstream that fails requests within 1 ms must
// not look fast, and must not receive the requests of the others.
TEST(CostAwarePlacement, UpstreamThatFailsQuicklyIsNotPreferred)
{
  LearningFixture fixture;
  const std::map<UpstreamToken, milliseconds> times{
    { TokenOf("i-1"), milliseconds(20) }, { TokenOf("i-2"), milliseconds(20) }
  };
  for (int index = 0; index < 60; ++index) {
    fixture.Request(times);
  }
  int atFailing = 0;
  for (int index = 0; index < 100; ++index) {
    const auto token =
      fixture.Request({ { TokenOf("i-1"), milliseconds(1) },
                        { TokenOf("i-2"), milliseconds(20) } });
    atFailing += token == TokenOf("i-1") ? 1 : 0;
  }
  EXPECT_LT(atFailing, 60);
  EXPECT_GT(fixture.Record("i-1").mEarlyAnswerCount, 0U);
  EXPECT_LT(Speed(fixture.Record("i-1").mSpeed, At(fixture.mTime)), 1.2);
}

// Guards against a new request at an upstream whose slot is taken by a request
// that is already known to be long, while others are about to end.
TEST(CostAwarePlacement, BacklogGrowsWithTheTimeOfALongRequest)
{
  LearningFixture fixture;
  const std::map<UpstreamToken, milliseconds> usual{
    { TokenOf("i-1"), milliseconds(15) }, { TokenOf("i-2"), milliseconds(15) }
  };
  const std::map<UpstreamToken, milliseconds> rare{
    { TokenOf("i-1"), milliseconds(105) }, { TokenOf("i-2"), milliseconds(105) }
  };
  for (int index = 0; index < 200; ++index) {
    fixture.Request(index % 20 == 0 ? rare : usual);
  }
  const auto token =
    fixture.Open(1000, kRequestPort, fixture.mTime).mUpstream->mToken;
  fixture.Advance(LearningFixture::kHandshake);
  fixture.Send(1000, kRequestPort, token, 1, 1, 100, fixture.mTime);
  fixture.Advance(milliseconds(50));
  const auto& record = *FindUpstream(fixture.mRouter.mUpstreams, token);
  EXPECT_GT(ExpectedBacklog(record, At(fixture.mTime)), 1.5);
}

// Guards against decisions that change before anything is learned: the backlog
// is the number of active requests.
TEST(CostAwarePlacement, BacklogIsTheNumberOfRequestsAtFirst)
{
  LearningFixture fixture;
  for (std::uint16_t port = 1000; port < 1007; ++port) {
    fixture.Open(port, kRequestPort, fixture.mTime);
  }
  fixture.Record("i-1").mPeerLoad.mActiveRequests = 3;
  fixture.Tick();
  EXPECT_EQ(ExpectedBacklog(fixture.Record("i-1"), At(fixture.mTime)),
            3.0 + fixture.Record("i-1").mOwnLoad.mActiveRequests);
}

} // namespace
} // namespace sassafrasknot::flows
