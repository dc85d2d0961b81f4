#include "caller.hpp"

#include <algorithm>
#include <utility>

namespace sassafrasknotctl {

namespace {

// Ends the flow as broken, for one of the reasons that the report counts.
void
MarkBroken(Caller& aCaller, std::string_view aReason)
{
  aCaller.mOutcome = Outcome::Broken;
  aCaller.mReason = aReason;
}

// Records the established connection and sends the request, with the upload.
void
SendRequest(Caller& aCaller, state::TimePoint aNow)
{
  const auto& request = aCaller.mPlan.mRequest;
  aCaller.mEstablished = aNow;
  aCaller.mPayloadSent = true;
  Send(aCaller.mConnection, Encode(request), aNow);
  if (request.mKind == FlowKind::Upload) {
    Send(aCaller.mConnection,
         MakeUploadPayload(request.mId, request.mUploadBytes),
         aNow);
  }
}

// Returns whether an answer belongs to the flow's request, comes from the same
// upstream as earlier answers and has the correct checksum.
bool
MatchesRequest(const Caller& aCaller, const Answer& aAnswer)
{
  const auto& request = aCaller.mPlan.mRequest;
  return aAnswer.mId == request.mId &&
         aAnswer.mOrganisation == request.mOrganisation &&
         aAnswer.mService == request.mService &&
         (aCaller.mUpstream.empty() ||
          aCaller.mUpstream == aAnswer.mUpstream) &&
         (request.mKind != FlowKind::Upload ||
          aAnswer.mChecksum ==
            Checksum(MakeUploadPayload(request.mId, request.mUploadBytes)));
}

// Checks an answer. The first correct answer closes an upload or confirmation;
// the messages of a feed are checked for gaps.
void
HandleAnswer(Caller& aCaller, std::string_view aLine, state::TimePoint aNow)
{
  const auto answer = DecodeAnswer(aLine);
  if (!answer || !MatchesRequest(aCaller, answer.value())) {
    aCaller.mMisrouted = true;
    return;
  }
  const auto& value = answer.value();
  aCaller.mUpstream = value.mUpstream;
  if (!aCaller.mAnswered) {
    aCaller.mAnswered = aNow;
  }
  aCaller.mRanTwice = aCaller.mRanTwice || value.mRuns > 1;
  if (aCaller.mPlan.mRequest.mKind != FlowKind::Feed) {
    Close(aCaller.mConnection, aNow);
  } else if (value.mSequence != aCaller.mMessages) {
    ++aCaller.mGaps;
  }
  ++aCaller.mMessages;
}

// An upload or confirmation is complete once its answer has arrived, however
// the connection ends after that. A feed must also end with both FINs
// acknowledged: otherwise a feed whose messages stopped would count as complete
// when the caller closes it.
bool
IsComplete(const Caller& aCaller)
{
  const auto& connection = aCaller.mConnection;
  return connection.mClosed && aCaller.mMessages > 0 &&
         (aCaller.mPlan.mRequest.mKind != FlowKind::Feed ||
          connection.mEndReason == TcpEndReason::Finished);
}

// Sets the outcome once the connection has ended.
void
RecordEnd(Caller& aCaller)
{
  const auto& connection = aCaller.mConnection;
  if (aCaller.mOutcome != Outcome::Open ||
      connection.mState != TcpState::Ended) {
    return;
  }
  if (IsComplete(aCaller)) {
    aCaller.mOutcome = Outcome::Completed;
  } else if (connection.mEndReason == TcpEndReason::Refused) {
    aCaller.mOutcome = Outcome::Refused;
  } else if (!aCaller.mEstablished) {
    aCaller.mOutcome = Outcome::Unanswered;
  } else {
    MarkBroken(aCaller,
               connection.mEndReason == TcpEndReason::Reset ? "reset"
                                                            : "timed out");
  }
}

// A feed is idle between its messages, so its timeout is two intervals longer.
std::chrono::milliseconds
ProgressTimeout(const Caller& aCaller)
{
  const auto& request = aCaller.mPlan.mRequest;
  return aCaller.mPlan.mProgressTimeout + (request.mKind == FlowKind::Feed
                                             ? 2 * request.mPeriod
                                             : std::chrono::milliseconds{});
}

} // namespace

Caller
OpenCaller(const CallerPlan& aPlan, state::TimePoint aNow)
{
  Caller caller;
  caller.mPlan = aPlan;
  caller.mLastProgress = aNow;
  caller.mConnection = Connect(
    aPlan.mCaller, aPlan.mService, aPlan.mTcp, aPlan.mInitialSequence, aNow);
  return caller;
}

void
OnPacket(Caller& aCaller,
         const protocol::PacketView& aPacket,
         state::TimePoint aNow)
{
  auto& connection = aCaller.mConnection;
  const auto before =
    std::pair(connection.mUnacknowledged, connection.mReceiveNext);
  OnSegment(connection, aPacket, aNow);
  if (before !=
      std::pair(connection.mUnacknowledged, connection.mReceiveNext)) {
    aCaller.mLastProgress = aNow;
  }
  if (connection.mState == TcpState::Established && !aCaller.mEstablished) {
    SendRequest(aCaller, aNow);
  }
  while (auto line = PopLine(connection.mReceived)) {
    HandleAnswer(aCaller, *line, aNow);
  }
  if (PeerFinished(connection) && !connection.mClosed) {
    MarkBroken(aCaller, "closed early");
    Close(connection, aNow);
  }
  RecordEnd(aCaller);
}

void
OnTick(Caller& aCaller, state::TimePoint aNow)
{
  auto& connection = aCaller.mConnection;
  OnTimer(connection, aNow);
  RecordEnd(aCaller);
  if (aCaller.mOutcome != Outcome::Open) {
    return;
  }
  if (aCaller.mPlan.mRequest.mKind == FlowKind::Feed && aCaller.mAnswered &&
      aNow >= *aCaller.mAnswered + aCaller.mPlan.mFeedDuration) {
    Close(connection, aNow);
  }
  if (aCaller.mEstablished &&
      aNow >= aCaller.mLastProgress + ProgressTimeout(aCaller)) {
    if (IsComplete(aCaller)) {
      aCaller.mOutcome = Outcome::Completed;
    } else {
      MarkBroken(aCaller, "silent");
    }
    Abort(connection);
  }
}

std::optional<state::TimePoint>
NextDeadline(const Caller& aCaller)
{
  auto next = aCaller.mConnection.mDeadline;
  const auto consider = [&next](state::TimePoint aTime) {
    next = next ? std::min(*next, aTime) : aTime;
  };
  if (aCaller.mOutcome == Outcome::Open && aCaller.mEstablished) {
    consider(aCaller.mLastProgress + ProgressTimeout(aCaller));
    if (aCaller.mPlan.mRequest.mKind == FlowKind::Feed && aCaller.mAnswered &&
        !aCaller.mConnection.mClosed) {
      consider(*aCaller.mAnswered + aCaller.mPlan.mFeedDuration);
    }
  }
  return next;
}

state::Verdict
VerdictOf(const Caller& aCaller)
{
  if (aCaller.mAnswered) {
    return state::Verdict::Answered;
  }
  return aCaller.mPayloadSent ? state::Verdict::MayHaveRun
                              : state::Verdict::NotRun;
}

} // namespace sassafrasknotctl
