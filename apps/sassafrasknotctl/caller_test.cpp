#include <utility>

#include "caller.hpp"
#include <gtest/gtest.h>

namespace sassafrasknotctl {
namespace {

using std::chrono::milliseconds;

constexpr state::TimePoint kStart{};

// A caller with the server side of its connection, whose answers the tests
// write themselves.
struct Pair
{
  Caller mCaller;
  TcpConnection mServer;
};

void
Exchange(Pair& aPair)
{
  for (int i = 0; i < 4; ++i) {
    for (const auto& bytes :
         std::exchange(aPair.mCaller.mConnection.mOutput, {})) {
      OnSegment(aPair.mServer, protocol::ParsePacket(bytes).value(), kStart);
    }
    for (const auto& bytes : std::exchange(aPair.mServer.mOutput, {})) {
      OnPacket(aPair.mCaller, protocol::ParsePacket(bytes).value(), kStart);
    }
  }
}

Pair
Open(FlowKind aKind)
{
  CallerPlan plan;
  plan.mRequest.mId = 9;
  plan.mRequest.mKind = aKind;
  plan.mRequest.mOrganisation = "krampon";
  plan.mRequest.mService = "bookings";
  plan.mCaller = { { 0x7f1e0001 }, 10000 };
  plan.mService = { { 0x7f0a0001 }, 7001 };
  plan.mFeedLength = milliseconds(1000);
  Pair pair;
  pair.mCaller = OpenCaller(plan, kStart);
  const auto syn = std::exchange(pair.mCaller.mConnection.mOutput, {});
  pair.mServer =
    Accept(protocol::ParsePacket(syn.at(0)).value().mHeader, {}, 50, kStart);
  Exchange(pair);
  return pair;
}

Answer
CorrectAnswer()
{
  Answer answer;
  answer.mId = 9;
  answer.mOrganisation = "krampon";
  answer.mService = "bookings";
  answer.mUpstream = "127.20.0.1";
  answer.mRuns = 1;
  return answer;
}

void
SendAnswer(Pair& aPair, const Answer& aAnswer)
{
  Send(aPair.mServer, Encode(aAnswer), kStart);
  Exchange(aPair);
}

// Guards against an answer to another request that counts as a success.
TEST(Caller, NoticesAnswersThatAreNotItsOwn)
{
  for (const auto change : {
         +[](Answer& aAnswer) { aAnswer.mId = 8; },
         +[](Answer& aAnswer) { aAnswer.mOrganisation = "kandyan"; },
         +[](Answer& aAnswer) { aAnswer.mService = "returns"; },
       }) {
    auto pair = Open(FlowKind::Confirmation);
    auto answer = CorrectAnswer();
    change(answer);
    SendAnswer(pair, answer);
    EXPECT_TRUE(pair.mCaller.mMisrouted);
    EXPECT_FALSE(pair.mCaller.mAnswered.has_value());
  }
}

// Guards against an upload that arrived damaged and counts as kept.
TEST(Caller, ComparesTheChecksumOfItsUpload)
{
  auto pair = Open(FlowKind::Upload);
  auto answer = CorrectAnswer();
  answer.mChecksum = Checksum("other bytes");
  SendAnswer(pair, answer);
  EXPECT_TRUE(pair.mCaller.mMisrouted);
}

// Guards against a feed that changes its upstream or loses messages unnoticed.
TEST(Caller, NoticesGapsAndAnotherUpstream)
{
  auto pair = Open(FlowKind::Feed);
  auto answer = CorrectAnswer();
  SendAnswer(pair, answer);
  answer.mSequence = 2;
  SendAnswer(pair, answer);
  EXPECT_EQ(pair.mCaller.mGaps, 1U);
  EXPECT_FALSE(pair.mCaller.mMisrouted);
  answer.mUpstream = "127.20.0.2";
  SendAnswer(pair, answer);
  EXPECT_TRUE(pair.mCaller.mMisrouted);
}

// Guards against verdicts that promise more than the caller can know.
TEST(Caller, GivesTheVerdictOfAReset)
{
  auto pair = Open(FlowKind::Confirmation);
  Abort(pair.mServer);
  Exchange(pair);
  EXPECT_EQ(pair.mCaller.mOutcome, Outcome::Broken);
  EXPECT_EQ(VerdictOf(pair.mCaller), state::Verdict::MayHaveRun);

  auto feed = Open(FlowKind::Feed);
  SendAnswer(feed, CorrectAnswer());
  Abort(feed.mServer);
  Exchange(feed);
  EXPECT_EQ(feed.mCaller.mOutcome, Outcome::Broken);
  EXPECT_EQ(VerdictOf(feed.mCaller), state::Verdict::Answered);
}

// Guards against an upstream that ends a feed and is not counted.
TEST(Caller, CountsAFeedThatTheServerCloses)
{
  auto pair = Open(FlowKind::Feed);
  SendAnswer(pair, CorrectAnswer());
  Close(pair.mServer, kStart);
  Exchange(pair);
  EXPECT_EQ(pair.mCaller.mOutcome, Outcome::Broken);
  EXPECT_EQ(pair.mCaller.mReason, "closed early");
}

// Guards against a reset after the last answer that breaks a complete flow.
TEST(Caller, KeepsAFlowThatWasAnsweredBeforeTheReset)
{
  auto pair = Open(FlowKind::Confirmation);
  SendAnswer(pair, CorrectAnswer());
  Abort(pair.mServer);
  Exchange(pair);
  EXPECT_EQ(pair.mCaller.mOutcome, Outcome::Kept);
}

} // namespace
} // namespace sassafrasknotctl
