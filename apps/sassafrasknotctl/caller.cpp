#include "caller.hpp"

#include <algorithm>
#include <utility>

namespace sassafrasknotctl {

namespace {

void
EndBroken(Caller& aCaller, std::string_view aReason)
{
  aCaller.mOutcome = Outcome::Broken;
  aCaller.mReason = aReason;
}

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

bool
Matches(const Caller& aCaller, const Answer& aAnswer)
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

void
TakeAnswer(Caller& aCaller, std::string_view aLine, state::TimePoint aNow)
{
  const auto answer = DecodeAnswer(aLine);
  if (!answer || !Matches(aCaller, answer.value())) {
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

// Work is complete once its answer arrived; what happens to the FIN afterwards
// takes nothing away from it. A feed must also end in order, as a feed that has
// gone silent would otherwise look complete when its caller closes it.
bool
Complete(const Caller& aCaller)
{
  const auto& connection = aCaller.mConnection;
  return connection.mClosed && aCaller.mMessages > 0 &&
         (aCaller.mPlan.mRequest.mKind != FlowKind::Feed ||
          connection.mEndReason == TcpEndReason::Finished);
}

void
TakeEnd(Caller& aCaller)
{
  const auto& connection = aCaller.mConnection;
  if (aCaller.mOutcome != Outcome::Open ||
      connection.mState != TcpState::Ended) {
    return;
  }
  if (Complete(aCaller)) {
    aCaller.mOutcome = Outcome::Kept;
  } else if (connection.mEndReason == TcpEndReason::Refused) {
    aCaller.mOutcome = Outcome::Refused;
  } else if (!aCaller.mEstablished) {
    aCaller.mOutcome = Outcome::Unanswered;
  } else {
    EndBroken(aCaller,
              connection.mEndReason == TcpEndReason::Reset ? "reset"
                                                           : "timed out");
  }
}

std::chrono::milliseconds
Patience(const Caller& aCaller)
{
  const auto& request = aCaller.mPlan.mRequest;
  return aCaller.mPlan.mPatience + (request.mKind == FlowKind::Feed
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
    TakeAnswer(aCaller, *line, aNow);
  }
  if (PeerFinished(connection) && !connection.mClosed) {
    EndBroken(aCaller, "closed early");
    Close(connection, aNow);
  }
  TakeEnd(aCaller);
}

void
OnTick(Caller& aCaller, state::TimePoint aNow)
{
  auto& connection = aCaller.mConnection;
  OnTimer(connection, aNow);
  TakeEnd(aCaller);
  if (aCaller.mOutcome != Outcome::Open) {
    return;
  }
  if (aCaller.mPlan.mRequest.mKind == FlowKind::Feed && aCaller.mAnswered &&
      aNow >= *aCaller.mAnswered + aCaller.mPlan.mFeedLength) {
    Close(connection, aNow);
  }
  if (aCaller.mEstablished &&
      aNow >= aCaller.mLastProgress + Patience(aCaller)) {
    if (Complete(aCaller)) {
      aCaller.mOutcome = Outcome::Kept;
    } else {
      EndBroken(aCaller, "silent");
    }
    Abort(connection);
  }
}

std::optional<state::TimePoint>
NextDeadline(const Caller& aCaller)
{
  auto wake = aCaller.mConnection.mDeadline;
  const auto consider = [&wake](state::TimePoint aTime) {
    wake = wake ? std::min(*wake, aTime) : aTime;
  };
  if (aCaller.mOutcome == Outcome::Open && aCaller.mEstablished) {
    consider(aCaller.mLastProgress + Patience(aCaller));
    if (aCaller.mPlan.mRequest.mKind == FlowKind::Feed && aCaller.mAnswered &&
        !aCaller.mConnection.mClosed) {
      consider(*aCaller.mAnswered + aCaller.mPlan.mFeedLength);
    }
  }
  return wake;
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
