#ifndef SASSAFRASKNOT_FLOWS_FAILURE_DETECTOR_HPP
#define SASSAFRASKNOT_FLOWS_FAILURE_DETECTOR_HPP

#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>

namespace sassafrasknot::flows {

/// Time after which a packet without an answer counts as evidence of a failure.
/// Callers retransmit after 200 ms; an upstream acknowledges within a few round
/// trips.
constexpr std::chrono::milliseconds kAnswerTimeout{ 150 };
/// Retransmissions make an upstream unresponsive only if a packet that was
/// forwarded more than this time after the first unanswered one was answered,
/// by any upstream. Otherwise the cause may be a queue on this instance's own
/// link.
constexpr std::chrono::milliseconds kLinkVerificationMargin{ 100 };
/// Number of flows with a retransmission that make an upstream unresponsive. A
/// single one may be a lost packet.
constexpr std::uint32_t kUnresponsiveAfterFlows = 2;
/// Number of unanswered opens that make an upstream suspected. They never make
/// it unresponsive, since the flows may have moved to another instance.
constexpr std::uint32_t kSuspectedAfterUnansweredOpens = 2;
/// Missing answers of one flow after which it is reset at an upstream that only
/// other instances, other upstreams of its data centre or ignored opening
/// packets show to be unresponsive. A single one may be a lost packet; the
/// second follows 0.6 s after the request.
constexpr std::uint32_t kAbandonedAfterMissing = 2;
/// Time without an answer that shows a failure instead of a late process. A
/// process on a busy machine may lose the processor for 400 ms, and all packets
/// that arrive meanwhile are late by the same cause, of whatever flow. A caller
/// that retransmits for the second time, 0.6 s after its request, shows that no
/// answer came in all that time.
constexpr std::chrono::milliseconds kMaxUpstreamDelay{ 400 };
constexpr std::chrono::milliseconds kOverdueAfter =
  kMaxUpstreamDelay + std::chrono::milliseconds(100);
/// Number of open flows with an overdue request after which one missing answer
/// suffices to reset others there. A single one may have lost two packets.
constexpr std::uint32_t kFailedAfterOverdueFlows = 2;
/// Unanswered packets are counted together if they were forwarded within this
/// time, which is several times the interval of retransmissions. Without this
/// limit, packets lost long apart would add up at an instance that has few
/// flows at an upstream and so records few answers in between.
constexpr std::chrono::milliseconds kEvidenceWindow{ 2000 };
/// A report of another instance or the check of its data centre has no effect
/// on an upstream that answered a packet forwarded less than this time ago:
/// these may be older than the answer, but not by more than this time.
constexpr std::chrono::milliseconds kRecentAnswerAge{ 300 };
/// Interval of trials: new flows that are sent to a suspected or unresponsive
/// upstream although no probe has reached it. Several times the interval of
/// probes.
constexpr std::chrono::milliseconds kTrialInterval{ 3000 };

/// @brief State of an upstream as concluded from its missing answers.
enum class Liveness : std::uint8_t
{
  Responsive,
  Suspected, ///< New flows go elsewhere, except for trials.
  /// Other instances have found it unresponsive, or its data centre appears to
  /// be unreachable. New flows go elsewhere. Open ones: see IsAbandoned.
  Reported,
  /// Several of this instance's own flows have missed answers.
  Unresponsive,
};

/// @brief Which packet of a flow was retransmitted.
enum class RetransmittedPacket : std::uint8_t
{
  Open, ///< The opening packet. An upstream that is full does not answer it.
  Data, ///< A packet of an open flow.
};

/// @brief How far answers to probes count. After an upstream has crashed,
/// another process may answer at its address, which does not accept its flows.
enum class ProbeTrust : std::uint8_t
{
  Trusted,
  /// A probe has made the upstream responsive, and no flow was answered since.
  OnTrial,
  /// Thereafter flows were unanswered: only an answered flow makes the upstream
  /// responsive again.
  Distrusted,
};

/// @brief Passive failure detector of one upstream. Answers go to callers
/// directly, so that an instance sees only what callers' packets show: an
/// acknowledgement of the upstream's bytes is an answer, a retransmission or a
/// caller that does not return is evidence of a failure.
struct FailureDetector
{
  Liveness mLiveness = Liveness::Responsive;
  /// When the newest packet that the upstream has answered was forwarded. An
  /// answer to an earlier packet may arrive later without changing it.
  state::TimePoint mLastAnsweredSent;
  /// The same without answers to probes.
  state::TimePoint mLastFlowAnsweredSent;
  /// When the first of the packets that are counted as unanswered was
  /// forwarded, or when the upstream was marked unresponsive without any; zero
  /// if there is no evidence.
  state::TimePoint mUnansweredSince;
  /// Number of flows whose caller has retransmitted a packet.
  std::uint32_t mRetransmittingFlows = 0;
  /// Number of open flows among them.
  std::uint32_t mRetransmittingOpenFlows = 0;
  /// Number of open flows with a request that was retransmitted kOverdueAfter
  /// or more after it was first forwarded.
  std::uint32_t mOverdueOpenFlows = 0;
  /// Number of flows whose caller did not return after its opening packet.
  std::uint32_t mUnansweredOpens = 0;
  /// Another instance has reported it as unresponsive.
  bool mReported = false;
  /// Its whole data centre appears to be unreachable.
  bool mDataCentreUnreachable = false;
  ProbeTrust mProbeTrust = ProbeTrust::Trusted;
  /// Earliest time of the next trial.
  state::TimePoint mNextTrial;
};

/// @brief Records that the upstream has answered a packet of a flow. If the
/// packet was not forwarded before the first unanswered one, all evidence is
/// cleared and the upstream is responsive.
/// @param aDetector the upstream's failure detector
/// @param aSent when the answered packet was forwarded
/// @return whether its liveness changed
bool
RecordAnswer(FailureDetector& aDetector, state::TimePoint aSent);

/// @brief Records that a probe was answered at the upstream's address. It
/// counts like an answered packet unless answers to probes are distrusted.
/// @param aDetector the upstream's failure detector
/// @param aSent when the probe was sent
/// @return whether its liveness changed
bool
RecordProbeAnswer(FailureDetector& aDetector, state::TimePoint aSent);

/// @brief Records that a caller has retransmitted a packet. It counts if the
/// packet was first forwarded at least kAnswerTimeout ago and no later one has
/// been answered.
/// @param aDetector the upstream's failure detector
/// @param aPacket which packet of the flow
/// @param aSent when the packet was first forwarded
/// @param aLinkVerifiedAt when the newest packet that any upstream has answered
/// was forwarded. Unless that is more than kLinkVerificationMargin after the
/// first unanswered packet, the fault may be on this instance's side, and
/// retransmissions make the upstream suspected at most.
/// @param aNow current time on the steady clock
/// @return whether its liveness changed
bool
RecordRetransmission(FailureDetector& aDetector,
                     RetransmittedPacket aPacket,
                     state::TimePoint aSent,
                     state::TimePoint aLinkVerifiedAt,
                     state::TimePoint aNow);

/// @brief Records that a caller has retransmitted the request of an open flow
/// for the first time since it is overdue. It counts unless the upstream has
/// answered a later packet of a flow. An answered probe does not suffice:
/// another process may answer at the upstream's address. If
/// kFailedAfterOverdueFlows are overdue, the upstream is unresponsive.
/// @param aDetector the upstream's failure detector
/// @param aSent when the request was first forwarded
/// @param aLinkVerifiedAt see RecordRetransmission
/// @param aNow current time on the steady clock
/// @return whether its liveness changed
bool
RecordOverdueRequest(FailureDetector& aDetector,
                     state::TimePoint aSent,
                     state::TimePoint aLinkVerifiedAt,
                     state::TimePoint aNow);

/// @brief Records that a caller did not return within kAnswerTimeout of its
/// opening packet. It counts unless a later packet has been answered.
/// @param aDetector the upstream's failure detector
/// @param aSent when the opening packet was forwarded
/// @param aNow current time on the steady clock
/// @return whether its liveness changed
bool
RecordUnansweredOpen(FailureDetector& aDetector,
                     state::TimePoint aSent,
                     state::TimePoint aNow);

/// @brief Clears the unanswered opens, which showed no failure of this
/// upstream. If there is no other evidence, it is responsive.
/// @param aDetector the upstream's failure detector
/// @return whether its liveness changed
bool
ClearUnansweredOpens(FailureDetector& aDetector);

/// @brief Records that another instance has reported the upstream as
/// unresponsive. The fault may be on that instance's side, so that the report
/// alone resets no open flow. Has no effect if the upstream has answered a
/// packet of the last kRecentAnswerAge.
/// @param aDetector the upstream's failure detector
/// @param aNow current time on the steady clock
/// @return whether its liveness changed
bool
RecordReport(FailureDetector& aDetector, state::TimePoint aNow);

/// @brief Records that the upstream's whole data centre appears to be
/// unreachable. Only other upstreams may have failed, so that this alone resets
/// no open flow. Has no effect if the upstream has answered a packet of the
/// last kRecentAnswerAge.
/// @param aDetector the upstream's failure detector
/// @param aNow current time on the steady clock
/// @return whether its liveness changed
bool
RecordUnreachableDataCentre(FailureDetector& aDetector, state::TimePoint aNow);

/// @brief Returns whether an open idempotent flow may be reset because the
/// upstream does not answer it. A flow without a missing answer of its own
/// never is. One suffices if kFailedAfterOverdueFlows other requests are
/// overdue. If open flows have made the upstream unresponsive, the request has
/// to be overdue itself, since the upstream may be late. Otherwise
/// kAbandonedAfterMissing are needed, since an upstream that ignores opening
/// packets, or that others report, may still serve it.
/// @param aDetector the upstream's failure detector
/// @param aMissingAnswers the flow's missing answers to its newest data
/// @param aUnansweredFor time from its newest data to the last retransmission
/// that showed a missing answer
/// @return whether it may be reset
bool
IsAbandoned(const FailureDetector& aDetector,
            std::uint32_t aMissingAnswers,
            state::Duration aUnansweredFor);

/// @brief Returns whether overdue requests show that the upstream has failed,
/// so that one missing answer resets an idempotent flow there.
/// @param aDetector the upstream's failure detector
/// @return whether it has failed
bool
HasFailed(const FailureDetector& aDetector);

/// @brief Returns whether a new flow may go to the upstream: always if it is
/// responsive, otherwise only when a trial is due.
/// @param aDetector the upstream's failure detector
/// @param aNow current time on the steady clock
/// @return whether a new flow may go there
bool
AdmitsFlow(const FailureDetector& aDetector, state::TimePoint aNow);

/// @brief Records that a new flow was sent to the upstream. Unless the upstream
/// is responsive, the flow is a trial and the next one is due kTrialInterval
/// later.
/// @param aDetector the upstream's failure detector
/// @param aNow current time on the steady clock
void
RecordTrial(FailureDetector& aDetector, state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
