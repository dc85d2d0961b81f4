#include "sassafrasknot/flows/data_centre_reachability.hpp"
#include "sassafrasknot/flows/failure_detector.hpp"

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

/// Opens a feed at a time and sends its request.
UpstreamToken
StartFeed(RouterFixture& aFixture, std::uint16_t aPort, milliseconds aTime)
{
  const auto token = aFixture.Open(aPort, kFeedPort, aTime).mUpstream->mToken;
  aFixture.Send(aPort, kFeedPort, token, 1, 1, 0, aTime + milliseconds(3));
  return token;
}

Decision
Request(RouterFixture& aFixture,
        std::uint16_t aPort,
        UpstreamToken aToken,
        milliseconds aTime)
{
  return aFixture.Send(aPort, kFeedPort, aToken, 1, 1, 170, aTime);
}

Liveness
LivenessOf(RouterFixture& aFixture, UpstreamToken aToken)
{
  return FindUpstream(aFixture.mRouter.mUpstreams, aToken)
    ->mFailureDetector.mLiveness;
}

struct TwoFeeds : RouterFixture
{
  TwoFeeds()
  {
    Add("i-1", "a");
    Publish(milliseconds(0));
    mToken = StartFeed(*this, 1, milliseconds(1));
    StartFeed(*this, 2, milliseconds(2));
    Add("i-2", "a");
    Publish(milliseconds(5));
    Request(*this, 1, mToken, milliseconds(100));
    Request(*this, 2, mToken, milliseconds(110));
    // i-2 shows life, so that this instance's own link works.
    RecordAnswer(
      FindUpstream(mRouter.mUpstreams, TokenOf("i-2"))->mFailureDetector,
      At(milliseconds(250)));
    mRouter.mLinkVerifiedAt = At(milliseconds(250));
  }

  UpstreamToken mToken = kNoToken;
};

// Guards against FLOW on trouble days of the first score: packets of uploads
// overtake each other, and an older one is no repetition.
TEST(Silence, PacketsThatOvertakeEachOtherProveNothing)
{
  TwoFeeds fixture;
  Request(fixture, 1, fixture.mToken, milliseconds(102));
  Request(fixture, 2, fixture.mToken, milliseconds(112));
  EXPECT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Responsive);
}

// Guards against resets after one lost packet.
TEST(Silence, OneRepetitionOnlyMakesNewFlowsGoElsewhere)
{
  TwoFeeds fixture;
  const auto decision = Request(fixture, 1, fixture.mToken, milliseconds(300));
  EXPECT_EQ(decision.mAction, PacketAction::Forward);
  EXPECT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Suspected);
  for (std::uint16_t port = 10; port < 20; ++port) {
    EXPECT_EQ(
      fixture.Open(port, kFeedPort, milliseconds(310)).mUpstream->mUpstream.mId,
      "i-2");
  }
}

// Guards against callers that wait for an upstream that has crashed.
TEST(Silence, TwoFlowsWithoutAnswerGiveUpIdempotentRequests)
{
  TwoFeeds fixture;
  Request(fixture, 1, fixture.mToken, milliseconds(300));
  const auto decision = Request(fixture, 2, fixture.mToken, milliseconds(310));
  EXPECT_EQ(decision.mAction, PacketAction::Reset);
  EXPECT_EQ(decision.mReason, Reason::UpstreamUnresponsive);
  EXPECT_EQ(decision.mVerdict, state::Verdict::MayHaveRun);
  const auto givenUp = AbandonUnansweredRequests(fixture.mRouter);
  ASSERT_EQ(givenUp.size(), 1U);
  EXPECT_EQ(givenUp[0].mPacket.mFlow.mCaller.mPort, 1);
}

// Guards against broken confirmations: a request that may have run and must
// not run twice is never given up for the caller.
TEST(Silence, NonIdempotentFlowsAreNeverReset)
{
  TwoFeeds fixture;
  fixture.Send(7, kRequestPort, fixture.mToken, 1, 1, 900, milliseconds(120));
  Request(fixture, 1, fixture.mToken, milliseconds(300));
  Request(fixture, 2, fixture.mToken, milliseconds(310));
  ASSERT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Unresponsive);
  EXPECT_EQ(
    fixture.Send(7, kRequestPort, fixture.mToken, 1, 1, 900, milliseconds(320))
      .mAction,
    PacketAction::Forward);
  for (const auto& flow : AbandonUnansweredRequests(fixture.mRouter)) {
    EXPECT_EQ(flow.mPacket.mFlow.mService.mPort, kFeedPort);
  }
}

// Guards against FLOW on the grown sites: a queue on this instance's own link
// delays packets to all upstreams alike.
TEST(Silence, WithoutALaterProofTheFaultMayBeOnTheOwnSide)
{
  TwoFeeds fixture;
  fixture.mRouter.mLinkVerifiedAt = At(milliseconds(130));
  Request(fixture, 1, fixture.mToken, milliseconds(300));
  EXPECT_EQ(Request(fixture, 2, fixture.mToken, milliseconds(310)).mAction,
            PacketAction::Forward);
  EXPECT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Suspected);
}

// Guards against FLOW after a freeze: the backlog holds packets and their
// copies at once.
TEST(Silence, PacketsFromBeforeAStallProveNothing)
{
  TwoFeeds fixture;
  OnTick(fixture.mRouter, At(milliseconds(120)));
  OnTick(fixture.mRouter, At(milliseconds(290)));
  Request(fixture, 1, fixture.mToken, milliseconds(300));
  Request(fixture, 2, fixture.mToken, milliseconds(310));
  EXPECT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Responsive);
}

// Guards against a dead upstream that counts as alive because answers to
// earlier requests arrive late.
TEST(Silence, AnAnswerToAnEarlierPacketIsNoLaterSign)
{
  FailureDetector silence;
  RecordRetransmission(
    silence, At(milliseconds(100)), {}, At(milliseconds(300)));
  EXPECT_FALSE(RecordAnswer(silence, At(milliseconds(90))));
  EXPECT_EQ(silence.mLiveness, Liveness::Suspected);
  EXPECT_TRUE(RecordAnswer(silence, At(milliseconds(101))));
  EXPECT_EQ(silence.mLiveness, Liveness::Responsive);
}

// Guards against news that is older than what this instance has seen itself.
TEST(Silence, AFreshSignOutweighsTheWordOfOthers)
{
  FailureDetector silence;
  RecordAnswer(silence, At(milliseconds(900)));
  EXPECT_FALSE(MarkUnresponsive(silence, At(milliseconds(1000))));
  EXPECT_TRUE(MarkUnresponsive(silence, At(milliseconds(1300))));
  EXPECT_FALSE(AdmitsFlow(silence, At(milliseconds(1400))));
  EXPECT_TRUE(AdmitsFlow(silence, At(milliseconds(1300) + kTrialInterval)));
}

/// Feeds at upstreams of data centre "b", whose requests go unanswered.
struct RemoteFeeds : RouterFixture
{
  explicit RemoteFeeds(int aUpstreams)
  {
    Add("local", "a");
    for (int index = 0; index < aUpstreams; ++index) {
      Add("i-" + std::to_string(index), "b");
    }
    Publish(milliseconds(0));
    mRouter.mLinkVerifiedAt = At(milliseconds(260));
  }

  void Lose(int aUpstream)
  {
    const auto token = TokenOf("i-" + std::to_string(aUpstream));
    const auto port = static_cast<std::uint16_t>(100 + aUpstream);
    Send(port, kFeedPort, token, 1, 1, 170, milliseconds(100 + aUpstream));
    Send(port, kFeedPort, token, 1, 1, 170, milliseconds(301 + aUpstream));
  }

  int Silent()
  {
    int count = 0;
    for (const auto& [token, record] : mRouter.mUpstreams.mByToken) {
      count +=
        record.mFailureDetector.mLiveness == Liveness::Unresponsive ? 1 : 0;
    }
    return count;
  }
};

// The pattern of a cut: several upstreams of one data centre at once. Guards
// against windows in which each upstream is found silent on its own.
TEST(DataCentreSilence, ACutShowsAtSeveralUpstreamsAtOnce)
{
  RemoteFeeds fixture(5);
  fixture.Lose(0);
  fixture.Lose(1);
  EXPECT_EQ(fixture.Silent(), 0);
  fixture.Lose(2);
  EXPECT_EQ(fixture.Silent(), 5);
}

// Guards against FLOW on krampon-prod-grown: a fifth of a large data centre's
// upstreams may crash at once while the others serve.
TEST(DataCentreSilence, SomeCrashesInALargeDataCentreAreNoCut)
{
  RemoteFeeds fixture(37);
  for (int index = 0; index < 7; ++index) {
    fixture.Lose(index);
  }
  EXPECT_EQ(fixture.Silent(), 0);
}

// Guards against resets for a cut that one upstream's answer disproves.
TEST(DataCentreSilence, OneAnswerDisprovesACut)
{
  RemoteFeeds fixture(5);
  RecordAnswer(
    FindUpstream(fixture.mRouter.mUpstreams, TokenOf("i-4"))->mFailureDetector,
    At(milliseconds(150)));
  for (int index = 0; index < 4; ++index) {
    fixture.Lose(index);
  }
  EXPECT_EQ(fixture.Silent(), 0);
}

// The pattern of krampon-prod-grown scale-1 (FLOW at 23.860 s): an instance has
// one idle flow at an upstream and sees no sign of its life between two packets
// that were lost ten seconds apart. Guards against open flows that are reset
// for them.
TEST(Silence, LostPacketsFarApartDoNotMakeAnUpstreamSilent)
{
  FailureDetector silence;
  const auto proof = [](milliseconds aSent) {
    return At(aSent + kLinkVerificationMargin + milliseconds(10));
  };
  for (const milliseconds sent : { milliseconds(0), milliseconds(10000) }) {
    RecordRetransmission(silence,
                         At(sent),
                         proof(sent),
                         At(sent + kAnswerTimeout + milliseconds(50)));
    EXPECT_EQ(silence.mLiveness, Liveness::Suspected);
  }
  const auto near = milliseconds(10000) + kEvidenceWindow;
  RecordRetransmission(silence,
                       At(near),
                       proof(near),
                       At(near + kAnswerTimeout + milliseconds(50)));
  EXPECT_EQ(silence.mLiveness, Liveness::Unresponsive);
}

} // namespace
} // namespace sassafrasknot::flows
