#ifndef SASSAFRASKNOTCTL_CALLER_HPP
#define SASSAFRASKNOTCTL_CALLER_HPP

#include <chrono>
#include <optional>
#include <string>

#include "load_messages.hpp"
#include "tcp_connection.hpp"

namespace sassafrasknotctl {

/// @brief Parameters of one flow: its request, its endpoints and its timeouts.
struct CallerPlan
{
  Request mRequest;
  /// Source endpoint of the flow.
  state::Endpoint mCaller;
  /// Listener of the service, the destination of the flow.
  state::Endpoint mService;
  /// Scheduled arrival time; latencies are measured from here, so that a delay
  /// of the load tool itself is included.
  state::TimePoint mDue;
  /// Time from a feed's first message until the caller closes it.
  std::chrono::milliseconds mFeedDuration{};
  /// An established flow without progress for this long is broken. Feeds get
  /// two message intervals in addition.
  std::chrono::milliseconds mProgressTimeout{ 15000 };
  /// Sequence number of the SYN.
  std::uint32_t mInitialSequence = 0;
  TcpSettings mTcp;
};

/// @brief Result of a flow.
enum class Outcome : std::uint8_t
{
  Open,       ///< Not ended yet.
  Completed,  ///< Answered and, for a feed, closed in order.
  Refused,    ///< A reset answered the SYN, so the request did not run.
  Unanswered, ///< The SYN was not answered.
  Broken,     ///< Established, then reset, without progress or incomplete.
};

/// @brief The caller's end of one flow: a TCP connection, the request sent on
/// it and what was observed. Each flow has a Caller of its own.
struct Caller
{
  CallerPlan mPlan;
  TcpConnection mConnection;
  Outcome mOutcome = Outcome::Open;
  /// When the connection was established.
  std::optional<state::TimePoint> mEstablished;
  /// When the first correct answer arrived.
  std::optional<state::TimePoint> mAnswered;
  /// When bytes were last acknowledged or received in order.
  state::TimePoint mLastProgress;
  /// Whether payload was sent. If the flow then ends without an answer, the
  /// request may have run.
  bool mPayloadSent = false;
  /// An answer was malformed, named another request, organisation, service or
  /// upstream, or had a wrong checksum.
  bool mMisrouted = false;
  /// Number of feed messages whose sequence number was not the expected one,
  /// because messages were skipped or repeated.
  std::uint64_t mGaps = 0;
  /// Number of correct answers received.
  std::uint64_t mMessages = 0;
  /// The upstream reported that the request ran more than once.
  bool mRanTwice = false;
  /// Address of the upstream as given in its answers; empty before the first.
  std::string mUpstream;
  /// Reason for Outcome::Broken, otherwise empty.
  std::string mReason;
};

/// @brief Opens a flow.
/// @param aPlan parameters of the flow
/// @param aNow current time on the steady clock
/// @return the flow, with the SYN in the output of its connection
Caller
OpenCaller(const CallerPlan& aPlan, state::TimePoint aNow);

/// @brief Handles a segment from the service: sends the request once the
/// connection is established and checks answers.
/// @param aCaller flow that the segment belongs to
/// @param aPacket segment sent by the service
/// @param aNow current time on the steady clock
void
OnPacket(Caller& aCaller,
         const protocol::PacketView& aPacket,
         state::TimePoint aNow);

/// @brief Retransmits, closes a feed whose duration has elapsed, and aborts an
/// established flow that made no progress within its timeout.
/// @param aCaller flow to update
/// @param aNow current time on the steady clock
void
OnTick(Caller& aCaller, state::TimePoint aNow);

/// @brief Returns the time of the next timer of a flow.
/// @param aCaller flow to inspect
/// @return when OnTick must be called next, or nothing if no timer runs
std::optional<state::TimePoint>
NextDeadline(const Caller& aCaller);

/// @brief Returns whether the request of a flow may have run, as far as the
/// caller can tell.
/// @param aCaller flow that has ended
/// @return Answered if a correct answer arrived, otherwise NotRun if no payload
/// was sent, otherwise MayHaveRun
state::Verdict
VerdictOf(const Caller& aCaller);

} // namespace sassafrasknotctl

#endif
