#include "sassafrasknot/flows/data_centre_reachability.hpp"
#include "sassafrasknot/flows/failure_detector.hpp"

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

/// Opens a feed and acknowledges the upstream's handshake 3 ms later.
UpstreamToken
OpenFeed(RouterFixture& aFixture, std::uint16_t aPort, milliseconds aTime)
{
  const auto token = aFixture.Open(aPort, kFeedPort, aTime).mUpstream->mToken;
  aFixture.Send(aPort, kFeedPort, token, 1, 1, 0, aTime + milliseconds(3));
  return token;
}

/// Sends a request of an open feed, or the same one again.
Decision
SendRequest(RouterFixture& aFixture,
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

/// Two feeds at i-1 whose requests of 100 ms and 110 ms are unanswered, and an
/// upstream i-2 without flows.
struct TwoUnansweredFeeds : RouterFixture
{
  TwoUnansweredFeeds()
  {
    AddUpstream("i-1", "a");
    Publish(milliseconds(0));
    mToken = OpenFeed(*this, 1, milliseconds(1));
    OpenFeed(*this, 2, milliseconds(2));
    AddUpstream("i-2", "a");
    Publish(milliseconds(5));
    SendRequest(*this, 1, mToken, milliseconds(100));
    SendRequest(*this, 2, mToken, milliseconds(110));
    // An answer of i-2 to a later packet verifies this instance's own link.
    RecordAnswer(
      FindUpstream(mRouter.mUpstreams, TokenOf("i-2"))->mFailureDetector,
      At(milliseconds(250)));
    mRouter.mLinkVerifiedAt = At(milliseconds(250));
  }

  UpstreamToken mToken = kNoToken;
};

// Guards against resets of open flows because of packets that overtook each
// other, as those of uploads do: the older one arrives later, but is not a
// retransmission.
TEST(FailureDetector, PacketsThatOvertakeEachOtherAreNoEvidence)
{
  TwoUnansweredFeeds fixture;
  SendRequest(fixture, 1, fixture.mToken, milliseconds(102));
  SendRequest(fixture, 2, fixture.mToken, milliseconds(112));
  EXPECT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Responsive);
}

// Guards against resets after a single lost packet: it makes the upstream
// suspected, and only new flows avoid it.
TEST(FailureDetector, OneRetransmissionOnlyMakesNewFlowsGoElsewhere)
{
  TwoUnansweredFeeds fixture;
  const auto decision =
    SendRequest(fixture, 1, fixture.mToken, milliseconds(300));
  EXPECT_EQ(decision.mAction, PacketAction::Forward);
  EXPECT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Suspected);
  for (std::uint16_t port = 10; port < 20; ++port) {
    EXPECT_EQ(
      fixture.Open(port, kFeedPort, milliseconds(310)).mUpstream->mUpstream.mId,
      "i-2");
  }
}

// Guards against callers that wait for an upstream that has crashed: after
// retransmissions of two flows, idempotent requests there are reset at their
// second one, and others that were retransmitted once at that moment.
TEST(FailureDetector, RetransmissionsOfTwoFlowsResetIdempotentRequests)
{
  TwoUnansweredFeeds fixture;
  SendRequest(fixture, 1, fixture.mToken, milliseconds(300));
  SendRequest(fixture, 2, fixture.mToken, milliseconds(310));
  ASSERT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Unresponsive);
  SendRequest(fixture, 3, fixture.mToken, milliseconds(400));
  SendRequest(fixture, 3, fixture.mToken, milliseconds(600));
  EXPECT_TRUE(AbandonUnansweredRequests(fixture.mRouter).empty());
  for (const std::uint16_t port : { 1, 2 }) {
    const auto decision =
      SendRequest(fixture, port, fixture.mToken, milliseconds(690 + 10 * port));
    EXPECT_EQ(decision.mAction, PacketAction::Reset);
    EXPECT_EQ(decision.mReason, Reason::UpstreamUnresponsive);
    EXPECT_EQ(decision.mVerdict, state::Verdict::MayHaveRun);
  }
  const auto abandoned = AbandonUnansweredRequests(fixture.mRouter);
  ASSERT_EQ(abandoned.size(), 1U);
  EXPECT_EQ(abandoned[0].mPacket.mFlow.mCaller.mPort, 3);
}

// Guards against resets of non-idempotent requests at an unresponsive upstream:
// they may have been executed, and the caller must not repeat them.
TEST(FailureDetector, NonIdempotentFlowsAreNeverReset)
{
  TwoUnansweredFeeds fixture;
  fixture.Send(7, kRequestPort, fixture.mToken, 1, 1, 900, milliseconds(120));
  SendRequest(fixture, 1, fixture.mToken, milliseconds(300));
  SendRequest(fixture, 2, fixture.mToken, milliseconds(310));
  ASSERT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Unresponsive);
  EXPECT_EQ(
    fixture.Send(7, kRequestPort, fixture.mToken, 1, 1, 900, milliseconds(320))
      .mAction,
    PacketAction::Forward);
  for (const auto& flow : AbandonUnansweredRequests(fixture.mRouter)) {
    EXPECT_EQ(flow.mPacket.mFlow.mService.mPort, kFeedPort);
  }
}

// Guards against resets because of a queue on this instance's own link, which
// delays packets to all upstreams alike: unless some upstream has answered a
// later packet, the upstream is suspected only.
TEST(FailureDetector, WithoutAVerifiedLinkAnUpstreamIsSuspectedOnly)
{
  TwoUnansweredFeeds fixture;
  fixture.mRouter.mLinkVerifiedAt = At(milliseconds(130));
  SendRequest(fixture, 1, fixture.mToken, milliseconds(300));
  EXPECT_EQ(SendRequest(fixture, 2, fixture.mToken, milliseconds(310)).mAction,
            PacketAction::Forward);
  EXPECT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Suspected);
}

// Guards against resets after a stall of this process: its backlog holds
// packets together with their retransmissions.
TEST(FailureDetector, PacketsFromBeforeAStallAreNoEvidence)
{
  TwoUnansweredFeeds fixture;
  OnTick(fixture.mRouter, At(milliseconds(120)));
  OnTick(fixture.mRouter, At(milliseconds(290)));
  SendRequest(fixture, 1, fixture.mToken, milliseconds(300));
  SendRequest(fixture, 2, fixture.mToken, milliseconds(310));
  EXPECT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Responsive);
}

// Guards against a crashed upstream that counts as responsive because answers
// to earlier packets arrive late.
TEST(FailureDetector, AnAnswerToAnEarlierPacketClearsNoEvidence)
{
  FailureDetector detector;
  RecordRetransmission(detector,
                       RetransmittedPacket::Data,
                       At(milliseconds(100)),
                       {},
                       At(milliseconds(300)));
  EXPECT_FALSE(RecordAnswer(detector, At(milliseconds(90))));
  EXPECT_EQ(detector.mLiveness, Liveness::Suspected);
  EXPECT_TRUE(RecordAnswer(detector, At(milliseconds(101))));
  EXPECT_EQ(detector.mLiveness, Liveness::Responsive);
}

// Guards against resets of open flows at an upstream that is full: it ignores
// opening packets and serves the flows that it has.
TEST(FailureDetector, IgnoredOpeningPacketsResetNoOpenFlow)
{
  RouterFixture fixture;
  fixture.AddUpstream("i-1", "a");
  fixture.Publish(milliseconds(0));
  const auto full = OpenFeed(fixture, 1, milliseconds(1));
  for (const std::uint16_t port : { 2, 3 }) {
    fixture.Open(port, kFeedPort, milliseconds(100 + port));
  }
  SendRequest(fixture, 1, full, milliseconds(110));
  fixture.AddUpstream("i-2", "a");
  fixture.Publish(milliseconds(200));
  fixture.mRouter.mLinkVerifiedAt = At(milliseconds(250));
  for (const std::uint16_t port : { 2, 3 }) {
    const auto copy =
      fixture.Open(port, kFeedPort, milliseconds(300 + port), 1);
    EXPECT_EQ(copy.mUpstream->mUpstream.mId, "i-2");
  }
  ASSERT_EQ(LivenessOf(fixture, full), Liveness::Unresponsive);
  EXPECT_TRUE(AbandonUnansweredRequests(fixture.mRouter).empty());
  const auto next =
    fixture.Send(1, kFeedPort, full, 171, 1, 170, milliseconds(305));
  EXPECT_EQ(next.mAction, PacketAction::Forward);
  EXPECT_EQ(
    fixture.Open(4, kFeedPort, milliseconds(306)).mUpstream->mUpstream.mId,
    "i-2");
  // If it does not answer open flows either, they are reset, but not after a
  // single lost packet.
  const auto first =
    fixture.Send(1, kFeedPort, full, 171, 1, 170, milliseconds(506));
  EXPECT_EQ(first.mAction, PacketAction::Forward);
  const auto second =
    fixture.Send(1, kFeedPort, full, 171, 1, 170, milliseconds(907));
  EXPECT_EQ(second.mAction, PacketAction::Reset);
}

// Guards against reports of other instances that are older than the newest
// answer that this instance has recorded itself.
TEST(FailureDetector, ARecentAnswerOutweighsReportsOfOthers)
{
  FailureDetector detector;
  RecordAnswer(detector, At(milliseconds(900)));
  EXPECT_FALSE(RecordUnreachableDataCentre(detector, At(milliseconds(1000))));
  EXPECT_TRUE(RecordUnreachableDataCentre(detector, At(milliseconds(1300))));
  EXPECT_FALSE(AdmitsFlow(detector, At(milliseconds(1400))));
  EXPECT_TRUE(AdmitsFlow(detector, At(milliseconds(1300) + kTrialInterval)));
}

// Guards against resets of open flows by an instance that misses no answer
// itself, because another instance, which a fault has cut off from the
// upstream, reports it as unresponsive. Only new flows go elsewhere.
TEST(FailureDetector, AReportAloneResetsNoOpenFlow)
{
  TwoUnansweredFeeds fixture;
  OnReportedUnresponsive(
    fixture.mRouter, { fixture.mToken }, At(milliseconds(430)));
  EXPECT_TRUE(AbandonUnansweredRequests(fixture.mRouter).empty());
  const auto next =
    fixture.Send(1, kFeedPort, fixture.mToken, 171, 1, 170, milliseconds(440));
  EXPECT_EQ(next.mAction, PacketAction::Forward);
  EXPECT_EQ(
    fixture.Open(10, kFeedPort, milliseconds(450)).mUpstream->mUpstream.mId,
    "i-2");
}

// Guards against idempotent requests that wait at a crashed upstream until
// their deadline, because the instance that holds them has too few flows there
// to detect the failure itself: with another instance's report, its second
// retransmission suffices. Also guards against a reset after the first one,
// which a single lost packet causes (review case 1).
TEST(FailureDetector, AReportAndTwoMissingAnswersResetAnIdempotentRequest)
{
  TwoUnansweredFeeds fixture;
  OnReportedUnresponsive(
    fixture.mRouter, { fixture.mToken }, At(milliseconds(305)));
  ASSERT_TRUE(AbandonUnansweredRequests(fixture.mRouter).empty());
  EXPECT_EQ(SendRequest(fixture, 1, fixture.mToken, milliseconds(310)).mAction,
            PacketAction::Forward);
  const auto decision =
    SendRequest(fixture, 1, fixture.mToken, milliseconds(711));
  EXPECT_EQ(decision.mAction, PacketAction::Reset);
  EXPECT_EQ(decision.mReason, Reason::UpstreamUnresponsive);
  EXPECT_EQ(decision.mVerdict, state::Verdict::MayHaveRun);
}

// Guards against the same wait where the retransmissions precede the report.
TEST(FailureDetector, AReportAbandonsRequestsThatWereRetransmittedBefore)
{
  TwoUnansweredFeeds fixture;
  SendRequest(fixture, 1, fixture.mToken, milliseconds(301));
  SendRequest(fixture, 1, fixture.mToken, milliseconds(702));
  OnReportedUnresponsive(
    fixture.mRouter, { fixture.mToken }, At(milliseconds(720)));
  const auto abandoned = AbandonUnansweredRequests(fixture.mRouter);
  ASSERT_EQ(abandoned.size(), 1U);
  EXPECT_EQ(abandoned[0].mPacket.mFlow.mCaller.mPort, 1);
}

// Guards against own evidence that is ignored once a report has come. It is
// also no reason to reset a request that was sent a moment ago and has no
// missing answer of its own yet; its first retransmission is one once two
// others are overdue.
TEST(FailureDetector, OwnEvidenceAfterAReportResetsAtTheFirstRetransmission)
{
  TwoUnansweredFeeds fixture;
  fixture.Send(3, kFeedPort, fixture.mToken, 1, 1, 170, milliseconds(290));
  OnReportedUnresponsive(
    fixture.mRouter, { fixture.mToken }, At(milliseconds(305)));
  SendRequest(fixture, 1, fixture.mToken, milliseconds(310));
  SendRequest(fixture, 2, fixture.mToken, milliseconds(320));
  EXPECT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Unresponsive);
  SendRequest(fixture, 3, fixture.mToken, milliseconds(491));
  SendRequest(fixture, 4, fixture.mToken, milliseconds(600));
  EXPECT_TRUE(AbandonUnansweredRequests(fixture.mRouter).empty());
  for (const std::uint16_t port : { 1, 2 }) {
    const auto decision =
      SendRequest(fixture, port, fixture.mToken, milliseconds(700 + 10 * port));
    EXPECT_EQ(decision.mAction, PacketAction::Reset);
  }
  const auto abandoned = AbandonUnansweredRequests(fixture.mRouter);
  ASSERT_EQ(abandoned.size(), 1U);
  EXPECT_EQ(abandoned[0].mPacket.mFlow.mCaller.mPort, 3);
  const auto decision =
    SendRequest(fixture, 4, fixture.mToken, milliseconds(801));
  EXPECT_EQ(decision.mAction, PacketAction::Reset);
}

// Guards against resets at an upstream whose answers are late instead of
// missing: once the retransmitted request of one flow is answered, it is no
// longer evidence beside that of another one.
TEST(FailureDetector, ALateAnswerVoidsTheEvidenceOfItsRetransmission)
{
  TwoUnansweredFeeds fixture;
  SendRequest(fixture, 1, fixture.mToken, milliseconds(300));
  ASSERT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Suspected);
  fixture.Send(1, kFeedPort, fixture.mToken, 171, 400, 0, milliseconds(305));
  EXPECT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Responsive);
  const auto decision =
    SendRequest(fixture, 2, fixture.mToken, milliseconds(310));
  EXPECT_EQ(decision.mAction, PacketAction::Forward);
}

/// Sends the packets of an upload to i-2, four each millisecond.
void
SendUpload(RouterFixture& aFixture, std::uint32_t aPackets, milliseconds aStart)
{
  for (std::uint32_t packet = 0; packet < aPackets; ++packet) {
    aFixture.Send(7,
                  kRequestPort,
                  TokenOf("i-2"),
                  1 + packet * 1200,
                  1,
                  1200,
                  aStart + milliseconds(packet / 4));
  }
}

/// Two feeds with unanswered requests at an instance whose link has 10 Mbit/s
/// while an upload of the given size passes through it.
Decision
RetransmitBesideUpload(std::uint32_t aUploadPackets)
{
  TwoUnansweredFeeds fixture;
  fixture.mRouter.mLink = MakeLinkMonitor(10);
  SendUpload(fixture, aUploadPackets, milliseconds(90));
  SendRequest(fixture, 1, fixture.mToken, milliseconds(300));
  SendRequest(fixture, 2, fixture.mToken, milliseconds(310));
  return SendRequest(fixture, 1, fixture.mToken, milliseconds(700));
}

// Guards against resets while many uploads pass through an instance with a
// slow link: packets wait and are lost in its queue, so that retransmissions
// say nothing about the upstream.
TEST(FailureDetector, AQueueOnTheOwnLinkIsNoEvidence)
{
  EXPECT_EQ(RetransmitBesideUpload(400).mAction, PacketAction::Forward);
  EXPECT_EQ(RetransmitBesideUpload(20).mAction, PacketAction::Reset);
}

// Guards against resets in a burst that fills the link's queue for moments
// only: a buffer may drop packets long before they would be late. One such
// moment takes packets of several flows, so that two losses are no coincidence.
TEST(FailureDetector, PacketsThatAFullQueueMayHaveDroppedAreNoEvidence)
{
  TwoUnansweredFeeds fixture;
  fixture.mRouter.mLink = MakeLinkMonitor(10);
  for (const std::uint16_t port : { 1, 2 }) {
    fixture.Send(
      port, kFeedPort, fixture.mToken, 171, 400, 0, milliseconds(260));
  }
  SendUpload(fixture, 40, milliseconds(280));
  const auto request = [&](std::uint16_t aPort, milliseconds aTime) {
    return fixture.Send(aPort, kFeedPort, fixture.mToken, 171, 400, 170, aTime);
  };
  request(1, milliseconds(290));
  request(2, milliseconds(291));
  fixture.mRouter.mLinkVerifiedAt = At(milliseconds(450));
  EXPECT_EQ(request(1, milliseconds(491)).mAction, PacketAction::Forward);
  EXPECT_EQ(request(2, milliseconds(492)).mAction, PacketAction::Forward);
  EXPECT_TRUE(AbandonUnansweredRequests(fixture.mRouter).empty());
  // On an empty link, the second missing answers count.
  EXPECT_EQ(request(1, milliseconds(892)).mAction, PacketAction::Forward);
  EXPECT_EQ(request(2, milliseconds(893)).mAction, PacketAction::Reset);
}

// Guards against the same where the queue is in the network towards this
// instance: it shows as handshakes that are slow at all upstreams alike.
TEST(FailureDetector, SlowHandshakesAtAllUpstreamsAreNoEvidence)
{
  TwoUnansweredFeeds fixture;
  for (std::uint16_t port = 20; port < 24; ++port) {
    const auto token =
      fixture.Open(port, kRequestPort, milliseconds(port)).mUpstream->mToken;
    fixture.Send(port, kRequestPort, token, 1, 1, 0, milliseconds(port + 120));
  }
  SendRequest(fixture, 1, fixture.mToken, milliseconds(300));
  EXPECT_EQ(SendRequest(fixture, 2, fixture.mToken, milliseconds(310)).mAction,
            PacketAction::Forward);
}

// Guards against new flows that keep going to a crashed upstream because
// another process answers probes at its address. That one does not answer the
// flows, so that after it, only an answered flow may make the upstream
// responsive again.
TEST(FailureDetector, ProbesDoNotReviveAnUpstreamWhoseFlowsStayUnanswered)
{
  TwoUnansweredFeeds fixture;
  auto& router = fixture.mRouter;
  SendRequest(fixture, 1, fixture.mToken, milliseconds(300));
  ASSERT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Suspected);
  OnProbeSuccess(router, fixture.mToken, At(milliseconds(400)));
  ASSERT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Responsive);
  fixture.Send(5, kFeedPort, fixture.mToken, 1, 1, 170, milliseconds(500));
  fixture.Send(5, kFeedPort, fixture.mToken, 1, 1, 170, milliseconds(700));
  ASSERT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Suspected);
  OnProbeSuccess(router, fixture.mToken, At(milliseconds(1100)));
  EXPECT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Suspected);
  fixture.Send(6, kFeedPort, fixture.mToken, 1, 1, 170, milliseconds(1200));
  fixture.Send(6, kFeedPort, fixture.mToken, 171, 400, 0, milliseconds(1240));
  EXPECT_EQ(LivenessOf(fixture, fixture.mToken), Liveness::Responsive);
}

// Guards against upstreams that stay suspected after a partition because probes
// are not trusted any more, although no flow was unanswered since the last one.
TEST(FailureDetector, ProbesReviveAnUpstreamWhoseFlowsWereAnsweredInBetween)
{
  FailureDetector detector;
  for (milliseconds time{ 0 }; time < milliseconds(9000);
       time += milliseconds(3000)) {
    RecordRetransmission(detector,
                         RetransmittedPacket::Data,
                         At(time),
                         {},
                         At(time + milliseconds(200)));
    EXPECT_EQ(detector.mLiveness, Liveness::Suspected);
    EXPECT_TRUE(RecordProbeAnswer(detector, At(time + milliseconds(700))));
    EXPECT_EQ(detector.mLiveness, Liveness::Responsive);
    RecordAnswer(detector, At(time + milliseconds(800)));
  }
}

// Guards against distrust of probes because of packets that were forwarded
// before the probe, and because of reports of other instances.
TEST(FailureDetector, OnlyOwnFlowsAfterAProbeShowThatItMeantNothing)
{
  FailureDetector detector;
  RecordReport(detector, At(milliseconds(100)));
  EXPECT_TRUE(RecordProbeAnswer(detector, At(milliseconds(200))));
  RecordRetransmission(detector,
                       RetransmittedPacket::Data,
                       At(milliseconds(150)),
                       {},
                       At(milliseconds(350)));
  EXPECT_EQ(detector.mLiveness, Liveness::Responsive);
  RecordReport(detector, At(milliseconds(600)));
  EXPECT_EQ(detector.mLiveness, Liveness::Reported);
  EXPECT_TRUE(RecordProbeAnswer(detector, At(milliseconds(700))));
}

/// A router with one local upstream and several in data centre "b", i-0 and up,
/// whose requests may be left unanswered.
struct RemoteFeeds : RouterFixture
{
  explicit RemoteFeeds(int aUpstreams)
  {
    AddUpstream("local", "a");
    for (int index = 0; index < aUpstreams; ++index) {
      AddUpstream("i-" + std::to_string(index), "b");
    }
    Publish(milliseconds(0));
    mRouter.mLinkVerifiedAt = At(milliseconds(260));
  }

  /// Sends a request to an upstream of "b" and retransmits it 201 ms later.
  void RetransmitRequest(int aUpstream)
  {
    const auto token = TokenOf("i-" + std::to_string(aUpstream));
    const auto port = static_cast<std::uint16_t>(100 + aUpstream);
    Send(port, kFeedPort, token, 1, 1, 170, milliseconds(100 + aUpstream));
    Send(port, kFeedPort, token, 1, 1, 170, milliseconds(301 + aUpstream));
  }

  /// Returns the number of upstreams that new flows avoid because their data
  /// centre appears to be unreachable.
  int CountCutOff()
  {
    int count = 0;
    for (const auto& [token, record] : mRouter.mUpstreams.mByToken) {
      const auto& detector = record.mFailureDetector;
      const bool isCutOff = detector.mLiveness >= Liveness::Reported &&
                            detector.mDataCentreUnreachable &&
                            !AdmitsFlow(detector, At(milliseconds(310)));
      count += isCutOff ? 1 : 0;
    }
    return count;
  }
};

// Guards against slow detection of a network partition, in which each upstream
// of the other data centre has to be found unresponsive on its own: after
// retransmissions at three of five, new flows avoid all five.
TEST(DataCentreReachability, APartitionShowsAtSeveralUpstreamsAtOnce)
{
  RemoteFeeds fixture(5);
  fixture.RetransmitRequest(0);
  fixture.RetransmitRequest(1);
  EXPECT_EQ(fixture.CountCutOff(), 0);
  fixture.RetransmitRequest(2);
  EXPECT_EQ(fixture.CountCutOff(), 5);
}

// Guards against requests that wait in a partition until several callers have
// retransmitted at the same upstream: once the data centre appears to be
// unreachable, each one is reset when its own caller retransmits for the second
// time, 0.6 s after it was sent.
TEST(DataCentreReachability,
     APartitionResetsEachRequestAtItsSecondRetransmission)
{
  RemoteFeeds fixture(5);
  const auto token = TokenOf("i-4");
  fixture.Send(9, kFeedPort, token, 1, 1, 170, milliseconds(290));
  for (int index = 0; index < 3; ++index) {
    fixture.RetransmitRequest(index);
  }
  fixture.Send(9, kFeedPort, token, 1, 1, 170, milliseconds(491));
  const auto decision =
    fixture.Send(9, kFeedPort, token, 1, 1, 170, milliseconds(892));
  EXPECT_EQ(decision.mAction, PacketAction::Reset);
  EXPECT_EQ(decision.mReason, Reason::UpstreamUnresponsive);
  // So are the flows whose retransmissions showed the partition.
  EXPECT_TRUE(AbandonUnansweredRequests(fixture.mRouter).empty());
  for (int index = 0; index < 3; ++index) {
    const auto port = static_cast<std::uint16_t>(100 + index);
    const auto reset = fixture.Send(port,
                                    kFeedPort,
                                    TokenOf("i-" + std::to_string(index)),
                                    1,
                                    1,
                                    170,
                                    milliseconds(900 + index));
    EXPECT_EQ(reset.mAction, PacketAction::Reset);
  }
}

// Guards against the reset of an open flow at a working upstream that loses one
// packet while three others of its data centre have failed (review case 1).
TEST(DataCentreReachability, OneLostPacketAtAWorkingUpstreamResetsNoFlow)
{
  RemoteFeeds fixture(5);
  for (const int index : { 0, 1, 2 }) {
    fixture.RetransmitRequest(index);
  }
  ASSERT_EQ(fixture.CountCutOff(), 5);
  const auto token = TokenOf("i-3");
  fixture.Send(200, kFeedPort, token, 1, 1, 170, milliseconds(320));
  EXPECT_EQ(
    fixture.Send(200, kFeedPort, token, 1, 1, 170, milliseconds(521)).mAction,
    PacketAction::Forward);
  EXPECT_TRUE(AbandonUnansweredRequests(fixture.mRouter).empty());
  fixture.Send(200, kFeedPort, token, 171, 400, 0, milliseconds(530));
  EXPECT_EQ(LivenessOf(fixture, token), Liveness::Responsive);
}

// Guards against resets of open flows at working upstreams after three others
// of their data centre failed. This instance has sent nothing to the working
// ones since, so that it cannot know of them (review case 1).
TEST(DataCentreReachability, FailuresOfOthersResetNoOpenFlow)
{
  RemoteFeeds fixture(6);
  for (const int index : { 3, 4, 5 }) {
    const auto token = TokenOf("i-" + std::to_string(index));
    const auto port = static_cast<std::uint16_t>(200 + index);
    fixture.Send(port, kFeedPort, token, 1, 1, 170, milliseconds(50));
  }
  for (const int index : { 0, 1, 2 }) {
    fixture.RetransmitRequest(index);
  }
  ASSERT_EQ(fixture.CountCutOff(), 6);
  for (const auto& flow : AbandonUnansweredRequests(fixture.mRouter)) {
    EXPECT_LT(flow.mPacket.mFlow.mCaller.mPort, 200);
  }
  for (const int index : { 3, 4, 5 }) {
    const auto token = TokenOf("i-" + std::to_string(index));
    const auto port = static_cast<std::uint16_t>(200 + index);
    const auto next =
      fixture.Send(port, kFeedPort, token, 171, 400, 170, milliseconds(310));
    EXPECT_EQ(next.mAction, PacketAction::Forward);
  }
}

// Guards against resets of open flows at working upstreams of a large data
// centre of which a fifth crash at once.
TEST(DataCentreReachability, SomeCrashesInALargeDataCentreAreNoPartition)
{
  RemoteFeeds fixture(37);
  for (int index = 0; index < 7; ++index) {
    fixture.RetransmitRequest(index);
  }
  EXPECT_EQ(fixture.CountCutOff(), 0);
}

// Guards against resets because of a supposed network partition, although one
// upstream of the data centre has answered a later packet.
TEST(DataCentreReachability, OneAnswerRulesOutAPartition)
{
  RemoteFeeds fixture(5);
  RecordAnswer(
    FindUpstream(fixture.mRouter.mUpstreams, TokenOf("i-4"))->mFailureDetector,
    At(milliseconds(150)));
  for (int index = 0; index < 4; ++index) {
    fixture.RetransmitRequest(index);
  }
  EXPECT_EQ(fixture.CountCutOff(), 0);
}

// Guards against resets of open flows because of two packets that were lost ten
// seconds apart. An instance with a single, mostly idle flow at an upstream
// records no answer in between that would clear the first loss.
TEST(FailureDetector, LostPacketsFarApartDoNotMakeAnUpstreamUnresponsive)
{
  FailureDetector detector;
  const auto linkVerifiedAt = [](milliseconds aSent) {
    return At(aSent + kLinkVerificationMargin + milliseconds(10));
  };
  for (const milliseconds sent : { milliseconds(0), milliseconds(10000) }) {
    RecordRetransmission(detector,
                         RetransmittedPacket::Data,
                         At(sent),
                         linkVerifiedAt(sent),
                         At(sent + kAnswerTimeout + milliseconds(50)));
    EXPECT_EQ(detector.mLiveness, Liveness::Suspected);
  }
  const auto withinWindow = milliseconds(10000) + kEvidenceWindow;
  RecordRetransmission(detector,
                       RetransmittedPacket::Data,
                       At(withinWindow),
                       linkVerifiedAt(withinWindow),
                       At(withinWindow + kAnswerTimeout + milliseconds(50)));
  EXPECT_EQ(detector.mLiveness, Liveness::Unresponsive);
}

} // namespace
} // namespace sassafrasknot::flows
