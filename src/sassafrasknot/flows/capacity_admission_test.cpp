#include "sassafrasknot/flows/capacity_admission.hpp"

#include <memory>

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

/// Two upstreams; requests on kRequestPort are urgent, those on kFeedPort not.
struct CapacityFixture : RouterFixture
{
  CapacityFixture()
  {
    auto configuration =
      std::make_shared<Configuration>(*mDirectory.mConfiguration);
    configuration->mRoutes.at({ kServiceAddress, kFeedPort }).mPriority = 2;
    configuration->mRoutes.at({ kServiceAddress, kRequestPort }).mPriority = 1;
    mDirectory.mConfiguration = configuration;
    AddUpstream("i-1", "a");
    AddUpstream("i-2", "a");
    Publish(milliseconds(0));
    OnTick(mRouter, At(milliseconds(0)));
  }

  UpstreamRecord& Record(const std::string& aId)
  {
    return *FindUpstream(mRouter.mUpstreams, TokenOf(aId));
  }

  /// Rejections while the given number of requests is active at each upstream,
  /// and a service in which most new flows find no capacity.
  void Reject(std::uint32_t aActive, milliseconds aTime)
  {
    for (const auto* id : { "i-1", "i-2" }) {
      Record(id).mOwnLoad.mActiveRequests = aActive;
      RecordRejection(mRouter.mCapacity, Record(id), At(aTime));
    }
    auto& service = mRouter.mCapacity.mServices["scheduling"];
    service.mWithoutCapacity = 1000;
    service.mOutcomesAt = At(aTime);
  }
};

// Guards against a limit before the first rejection, against one that falls
// once per rejection of a burst, and against one that outlasts the load.
TEST(CapacityAdmission, LimitFollowsRejectionsAndExpires)
{
  CapacityFixture fixture;
  auto& record = fixture.Record("i-1");
  const auto& limit = record.mCapacityLimit;
  EXPECT_FALSE(limit.mOwnLimit);
  fixture.Reject(10, milliseconds(0));
  EXPECT_EQ(limit.mOwnLimit, 10);
  fixture.Reject(10, milliseconds(49));
  EXPECT_EQ(limit.mOwnLimit, 10);
  fixture.Reject(10, milliseconds(50));
  EXPECT_DOUBLE_EQ(*limit.mOwnLimit, 7);
  record.mOwnLoad.mActiveRequests = 0;
  RecordCompletion(record, At(milliseconds(60)));
  EXPECT_DOUBLE_EQ(*limit.mOwnLimit, 7) << "the limit is not reached";
  record.mOwnLoad.mActiveRequests = 6;
  RecordCompletion(record, At(milliseconds(60)));
  EXPECT_DOUBLE_EQ(*limit.mOwnLimit, 7 + 1.0 / 7);
  for (int time = 100; time < 1000; time += 50) {
    fixture.Reject(10, milliseconds(time));
  }
  EXPECT_EQ(limit.mOwnLimit, kMinLimit);
  EXPECT_TRUE(
    HasCapacity(record, PriorityClass::Urgent, At(milliseconds(2951))))
    << "2 s after the last rejection";
  UpdateCapacity(fixture.mRouter.mCapacity,
                 fixture.mRouter.mUpstreams,
                 At(milliseconds(2950)));
  EXPECT_EQ(
    fixture.mRouter.mCapacity.mServices.at("scheduling").mLimitedUpstreams, 2U);
  OnTick(fixture.mRouter, At(milliseconds(2951)));
  EXPECT_FALSE(limit.mOwnLimit);
  EXPECT_EQ(
    fixture.mRouter.mCapacity.mServices.at("scheduling").mLimitedUpstreams, 0U);
}

// Guards against less urgent flows that take the capacity of urgent ones.
TEST(CapacityAdmission, LessUrgentFlowsAreRefusedFirst)
{
  CapacityFixture fixture;
  fixture.Reject(4, milliseconds(0));
  fixture.Record("i-1").mOwnLoad.mActiveRequests = 3;
  EXPECT_EQ(fixture.Open(1000, kFeedPort, milliseconds(1)).mReason,
            Reason::ServiceFull);
  const auto urgent = fixture.Open(1001, kRequestPort, milliseconds(1));
  EXPECT_EQ(urgent.mReason, Reason::Placed);
  EXPECT_EQ(urgent.mUpstream->mUpstream.mId, "i-1");
  EXPECT_EQ(fixture.Open(1002, kRequestPort, milliseconds(1)).mReason,
            Reason::ServiceFull);
}

// Guards against callers that wait for capacity until their deadline, against
// refused flows that count as load or as unanswered opens, and against refusals
// once an upstream has capacity again.
TEST(CapacityAdmission, RefusesAtOnceWithoutCapacity)
{
  CapacityFixture fixture;
  fixture.Reject(4, milliseconds(0));
  const auto refused = fixture.Open(1000, kFeedPort, milliseconds(1));
  EXPECT_EQ(refused.mAction, PacketAction::Reset);
  EXPECT_EQ(refused.mReason, Reason::ServiceFull);
  EXPECT_EQ(refused.mVerdict, state::Verdict::NotRun);
  EXPECT_TRUE(fixture.mRouter.mFlows.empty());
  fixture.Record("i-2").mOwnLoad.mActiveRequests = 2;
  EXPECT_EQ(fixture.Open(1001, kFeedPort, milliseconds(2)).mReason,
            Reason::Placed);
  EXPECT_EQ(fixture.mRouter.mFlows.size(), 1U);
}

// Guards against refusals in a moderate overload, in which most flows that find
// no capacity are still served from an upstream's queue.
TEST(CapacityAdmission, RefusesOnlyWhileMostFlowsHaveNoCapacity)
{
  ServiceCapacity service;
  EXPECT_FALSE(RecordCapacityOutcome(service, false, At(milliseconds(0))))
    << "a single flow";
  bool isOverloaded = false;
  for (int flow = 0; flow < 20; ++flow) {
    isOverloaded =
      RecordCapacityOutcome(service, flow % 3 != 0, At(milliseconds(flow)));
  }
  EXPECT_FALSE(isOverloaded);
  for (int flow = 20; flow < 60; ++flow) {
    isOverloaded =
      RecordCapacityOutcome(service, flow % 4 == 0, At(milliseconds(flow)));
  }
  EXPECT_TRUE(isOverloaded);
  EXPECT_FALSE(RecordCapacityOutcome(service, false, At(milliseconds(2000))))
    << "outcomes of two seconds ago";
}

// Guards against "not run" for a flow that another instance may have placed,
// here or elsewhere: a copy of its opening packet is never refused.
TEST(CapacityAdmission, NoResetOfAFlowThatMayExist)
{
  CapacityFixture fixture;
  const auto placed = fixture.Open(1001, kRequestPort, milliseconds(0));
  fixture.Reject(4, milliseconds(0));
  EXPECT_EQ(fixture.Open(1000, kRequestPort, milliseconds(1), 2).mAction,
            PacketAction::Forward);
  EXPECT_EQ(fixture.Open(1001, kRequestPort, milliseconds(1)).mAction,
            PacketAction::Forward)
    << "a duplicate of the first opening packet";
  EXPECT_EQ(fixture.Open(1001, kRequestPort, milliseconds(100), 1).mAction,
            PacketAction::Forward);
  EXPECT_EQ(fixture.Open(1001, kRequestPort, milliseconds(601), 2).mReason,
            Reason::Reassigned);
  EXPECT_EQ(placed.mReason, Reason::Placed);
}

// Guards against refusals by a service's only upstream, by one that is due a
// trial, and by a limit from before an upstream's restart.
TEST(CapacityAdmission, UnlimitedUpstreams)
{
  CapacityFixture fixture;
  fixture.Reject(1, milliseconds(0));
  EXPECT_EQ(fixture.Open(1000, kRequestPort, milliseconds(1)).mReason,
            Reason::ServiceFull);
  fixture.Record("i-2").mFailureDetector.mLiveness = Liveness::Unresponsive;
  EXPECT_TRUE(HasCapacity(
    fixture.Record("i-2"), PriorityClass::Other, At(milliseconds(1))));
  auto& upstreams = fixture.mDirectory.mUpstreams;
  upstreams[0].mUpstream.mStarted = milliseconds(1);
  fixture.Publish(milliseconds(2));
  EXPECT_FALSE(fixture.Record("i-1").mCapacityLimit.mOwnLimit);
  EXPECT_EQ(fixture.Open(1001, kRequestPort, milliseconds(3)).mReason,
            Reason::Placed);
  fixture.Reject(1, milliseconds(4));
  upstreams.pop_back();
  fixture.Publish(milliseconds(5));
  EXPECT_EQ(fixture.Open(1002, kRequestPort, milliseconds(6)).mReason,
            Reason::Placed);
}

// Guards against a refusal while another data centre has capacity.
TEST(CapacityAdmission, RemoteUpstreamWithCapacityIsPreferred)
{
  CapacityFixture fixture;
  fixture.AddUpstream("j-1", "b");
  fixture.Publish(milliseconds(0));
  fixture.Record("j-1").mPeerLoad.mActiveRequests = 9;
  fixture.Reject(4, milliseconds(0));
  EXPECT_EQ(
    fixture.Open(1000, kRequestPort, milliseconds(1)).mUpstream->mUpstream.mId,
    "j-1");
}

/// Learns the work of requests (15 ms), then sends a request that is answered
/// 7 ms after the handshake's 6 ms.
struct EvidenceFixture : CapacityFixture
{
  void Learn()
  {
    for (std::uint16_t port = 2000; port < 2060; ++port) {
      Request(port, milliseconds(15));
    }
    mTime += milliseconds(1000);
  }

  void Request(std::uint16_t aPort, milliseconds aWork)
  {
    constexpr milliseconds kHandshake{ 6 };
    const auto token = Open(aPort, kRequestPort, mTime).mUpstream->mToken;
    mTime += kHandshake;
    Send(aPort, kRequestPort, token, 1, 1, 100, mTime);
    mTime += kHandshake + aWork;
    OnTick(mRouter, At(mTime));
    auto finish = MakePacket(aPort, kRequestPort, state::SegmentKind::Finish);
    finish.mToken = token;
    finish.mSequence = 101;
    finish.mAcknowledged = 500;
    OnPacket(mRouter, finish, At(mTime));
  }

  void SetPeerRequests(std::uint32_t aActive)
  {
    Record("i-1").mPeerLoad.mActiveRequests = aActive;
    Record("i-2").mPeerLoad.mActiveRequests = aActive;
  }

  std::uint64_t Rejections() const { return mRouter.mCapacity.mRejections; }

  milliseconds mTime{ 0 };
};

// Guards against failures of an idle upstream that are taken for rejections,
// and against a judgement before the work of the route is learned.
TEST(CapacityAdmission, OnlyEarlyAnswersOfBusyUpstreamsAreRejections)
{
  EvidenceFixture fixture;
  fixture.SetPeerRequests(2);
  fixture.Request(1000, milliseconds(1));
  EXPECT_EQ(fixture.Rejections(), 0U) << "nothing is learned";
  fixture.SetPeerRequests(0);
  fixture.Learn();
  fixture.Request(1001, milliseconds(1));
  EXPECT_EQ(fixture.Rejections(), 0U) << "the upstream is idle";
  fixture.SetPeerRequests(1);
  fixture.Request(1002, milliseconds(1));
  EXPECT_EQ(fixture.Rejections(), 0U) << "one of two slots is free";
  fixture.SetPeerRequests(2);
  fixture.Request(1003, milliseconds(15));
  EXPECT_EQ(fixture.Rejections(), 0U) << "the answer is as late as usual";
  fixture.Request(1004, milliseconds(1));
  EXPECT_EQ(fixture.Rejections(), 1U);
}

// Guards against rejections that are not recognised while this instance's own
// link is congested, which is when most of them occur.
TEST(CapacityAdmission, RejectionIsRecognisedDuringCongestion)
{
  EvidenceFixture fixture;
  fixture.Learn();
  fixture.SetPeerRequests(2);
  const auto samples = fixture.mRouter.mWork.mSampleCount;
  const auto early = fixture.mRouter.mWork.mEarlyAnswerCount;
  fixture.mRouter.mIgnoreEvidenceBefore = At(std::chrono::hours(1));
  fixture.Request(1000, milliseconds(1));
  EXPECT_EQ(fixture.Rejections(), 1U);
  EXPECT_EQ(fixture.mRouter.mWork.mSampleCount, samples);
  EXPECT_EQ(fixture.mRouter.mWork.mEarlyAnswerCount, early);
}

} // namespace
} // namespace sassafrasknot::flows
