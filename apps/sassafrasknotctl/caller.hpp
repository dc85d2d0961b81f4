#ifndef SASSAFRASKNOTCTL_CALLER_HPP
#define SASSAFRASKNOTCTL_CALLER_HPP

#include <chrono>
#include <optional>
#include <string>

#include "load_messages.hpp"
#include "tcp_connection.hpp"

namespace sassafrasknotctl {

/// @brief What one flow does and when it counts as broken.
struct CallerPlan
{
  Request mRequest;
  state::Endpoint mCaller;
  state::Endpoint mService;
  /// When the flow was due; latencies count from here.
  state::TimePoint mDue;
  /// How long a feed stays open after its first message.
  std::chrono::milliseconds mFeedLength{};
  /// Time without any progress after which an established flow is broken.
  std::chrono::milliseconds mPatience{ 15000 };
  std::uint32_t mInitialSequence = 0;
  TcpSettings mTcp;
};

/// @brief How a flow ended.
enum class Outcome : std::uint8_t
{
  Open,       ///< Not ended yet.
  Kept,       ///< Complete and correct.
  Refused,    ///< A reset answered the SYN: not run.
  Unanswered, ///< The SYN got no answer.
  Broken,     ///< Established, but reset, silent or incomplete.
};

/// @brief The calling end of one flow.
struct Caller
{
  CallerPlan mPlan;
  TcpConnection mConnection;
  Outcome mOutcome = Outcome::Open;
  std::optional<state::TimePoint> mEstablished;
  std::optional<state::TimePoint> mAnswered;
  state::TimePoint mLastProgress;
  /// Whether payload was sent; a reset after that means may-have-run.
  bool mPayloadSent = false;
  /// An answer came from another service, or to another request, or with a
  /// wrong checksum.
  bool mMisrouted = false;
  /// Feed messages that were skipped or repeated.
  std::uint64_t mGaps = 0;
  std::uint64_t mMessages = 0;
  bool mRanTwice = false;
  /// The upstream that answered, as it names itself.
  std::string mUpstream;
  /// Why the flow broke, or empty.
  std::string mReason;
};

/// @brief Opens a flow.
/// @param aPlan what the flow does
/// @param aNow the time
/// @return the flow; its connection's output holds the SYN
Caller
OpenCaller(const CallerPlan& aPlan, state::TimePoint aNow);

/// @brief Takes a segment from the service.
/// @param aCaller the flow
/// @param aPacket the segment
/// @param aNow the time
void
OnPacket(Caller& aCaller,
         const protocol::PacketView& aPacket,
         state::TimePoint aNow);

/// @brief Retransmits, closes feeds that are due and gives up silent flows.
/// @param aCaller the flow
/// @param aNow the time
void
OnTick(Caller& aCaller, state::TimePoint aNow);

/// @brief Returns when OnTick has something to do next.
/// @param aCaller the flow
/// @return the time, or nothing for a flow that has ended
std::optional<state::TimePoint>
NextDeadline(const Caller& aCaller);

/// @brief Returns what a caller may conclude from the end of its flow.
/// @param aCaller a flow that has ended
/// @return NotRun before payload was sent, Answered after an answer, else
/// MayHaveRun
state::Verdict
VerdictOf(const Caller& aCaller);

} // namespace sassafrasknotctl

#endif
