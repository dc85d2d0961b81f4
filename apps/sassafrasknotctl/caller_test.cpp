#include <utility>

#include "caller.hpp"
#include <gtest/gtest.h>

namespace sassafrasknotctl {
namespace {

using std::chrono::milliseconds;

constexpr state::TimePoint kStart{};

// A caller and the server's end of its connection. The tests send the server's
// answers.
struct Pair
{
  Caller mCaller;
  TcpConnection mServer;
};

// Delivers the packets of both ends to each other.
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

// Returns a flow whose connection is established and whose request was sent.
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
  plan.mFeedDuration = milliseconds(1000);
  Pair pair;
  pair.mCaller = OpenCaller(plan, kStart);
  const auto syn = std::exchange(pair.mCaller.mConnection.mOutput, {});
  pair.mServer =
    Accept(protocol::ParsePacket(syn.at(0)).value().mHeader, {}, 50, kStart);
  Exchange(pair);
  return pair;
}

// Returns the answer that the caller expects.
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

// Guards against an answer that counts as a success although it belongs to
// another request, organisation or service.
TEST(Caller, DetectsAnswersToOtherRequests)
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

// Guards against an upload that counts as complete although its bytes were
// damaged on the way.
TEST(Caller, ComparesTheChecksumOfItsUpload)
{
  auto pair = Open(FlowKind::Upload);
  auto answer = CorrectAnswer();
  answer.mChecksum = Checksum("other bytes");
  SendAnswer(pair, answer);
  EXPECT_TRUE(pair.mCaller.mMisrouted);
}

// Guards against a feed that moves to another upstream or loses messages
// without being counted.
TEST(Caller, DetectsGapsAndAnotherUpstream)
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

// Guards against a wrong verdict after a reset: a request that was sent without
// an answer may have run, and a feed with a message was answered.
TEST(Caller, ReturnsTheVerdictAfterAReset)
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

// Guards against a feed that is closed by the upstream and does not count as
// broken.
TEST(Caller, CountsAFeedThatTheServerClosesAsBroken)
{
  auto pair = Open(FlowKind::Feed);
  SendAnswer(pair, CorrectAnswer());
  Close(pair.mServer, kStart);
  Exchange(pair);
  EXPECT_EQ(pair.mCaller.mOutcome, Outcome::Broken);
  EXPECT_EQ(pair.mCaller.mReason, "closed early");
}

// Guards against a flow that counts as broken because of a reset that arrived
// after its answer.
TEST(Caller, CompletesAFlowThatWasAnsweredBeforeTheReset)
{
  auto pair = Open(FlowKind::Confirmation);
  SendAnswer(pair, CorrectAnswer());
  Abort(pair.mServer);
  Exchange(pair);
  EXPECT_EQ(pair.mCaller.mOutcome, Outcome::Completed);
}

} // namespace
} // namespace sassafrasknotctl
