#ifndef SASSAFRASKNOT_TESTING_RANDOMISED_FAKES_HPP
#define SASSAFRASKNOT_TESTING_RANDOMISED_FAKES_HPP

#include "sassafrasknot/state/error.hpp"
#include "sassafrasknot/state/flow.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

/// Randomised runs of real traffic cores on virtual time with fakes of callers,
/// upstreams and the network.
namespace randomised {

using sassafrasknot::state::DataCentreId;
using sassafrasknot::state::Duration;
using sassafrasknot::state::Endpoint;
using sassafrasknot::state::FlowEvent;
using sassafrasknot::state::FlowKey;
using sassafrasknot::state::OrganisationId;
using sassafrasknot::state::TimePoint;
using sassafrasknot::state::Verdict;

/// A packet on the simulated network.
struct Packet
{
  FlowEvent mFlow;
  /// Id of the flow that the packet belongs to; zero for none.
  std::uint64_t mCallerFlow = 0;
  /// Data centre of the sender.
  DataCentreId mOrigin;
  /// Verdict of a reset that an instance sends.
  Verdict mVerdict = Verdict::MayHaveRun;
};

/// What a caller uses a flow for.
enum class FlowKind : std::uint8_t
{
  Feed,         ///< Short request, then messages of the upstream until closed.
  Upload,       ///< Request of several segments and one answer.
  Confirmation, ///< Request of one segment and one answer.
};

/// State of a flow's connection at its caller.
enum class CallerFlowState : std::uint8_t
{
  Opening,     ///< The opening packet was sent.
  Established, ///< The upstream has accepted the connection.
  Finishing,   ///< The caller has sent a FIN.
  Done,        ///< Closed, reset or timed out.
};

/// A flow at its caller, which sends one request and waits for the complete
/// answer, or keeps a feed open until mCloseAt.
struct CallerFlow
{
  std::uint64_t mId = 0;
  FlowKey mKey;
  FlowKind mKind = FlowKind::Feed;
  OrganisationId mOrganisation;
  /// Data centre of the caller, which decides its side of a partition.
  DataCentreId mDataCentre;
  CallerFlowState mState = CallerFlowState::Opening;
  std::uint32_t mRequestBytes = 0;
  /// Acknowledged bytes of the request.
  std::uint32_t mAcknowledged = 0;
  /// Next sequence number expected from the upstream.
  std::uint32_t mNextExpected = 0;
  /// Received bytes of the answer.
  std::uint32_t mAnswerBytes = 0;
  /// Not used.
  std::uint32_t mFinishSequence = 0;
  TimePoint mOpened;
  /// When new bytes or acknowledgements last arrived.
  TimePoint mLastProgress;
  TimePoint mRetransmitAt;
  /// When the caller closes a feed.
  TimePoint mCloseAt;
  /// Current retransmission timeout.
  Duration mTimeout{};
  /// Retransmissions of the opening packet or of the FIN.
  std::uint32_t mRetries = 0;
};

/// A connection at its upstream.
struct Connection
{
  std::uint64_t mCallerFlow = 0;
  FlowKind mKind = FlowKind::Feed;
  std::uint32_t mRequestBytes = 0;
  /// Sequence number of the request's first byte.
  std::uint32_t mInitialReceiveSequence = 0;
  /// Next sequence number expected from the caller.
  std::uint32_t mReceived = 0;
  /// Sequence number of the first byte sent.
  std::uint32_t mInitialSendSequence = 0;
  /// Bytes sent.
  std::uint32_t mSent = 0;
  /// Bytes that the caller acknowledged.
  std::uint32_t mAcknowledged = 0;
  /// Whether a valid segment followed the opening packet.
  bool mEstablished = false;
  /// Whether the request has run here.
  bool mExecuted = false;
  /// Whether the caller's FIN has arrived.
  bool mFinished = false;
  /// Not used.
  TimePoint mAnswerAt;
  TimePoint mRetransmitAt;
  Duration mTimeout{};
  std::uint32_t mRetries = 0;
};

/// An upstream endpoint (address and port) and its connections.
struct FakeUpstream
{
  Endpoint mEndpoint;
  OrganisationId mOrganisation;
  DataCentreId mDataCentre;
  bool mAlive = true;
  /// Whether it refuses new connections.
  bool mShedding = false;
  /// When the configuration marked it as leaving; max() if it did not.
  TimePoint mLeavingSince = TimePoint::max();
  std::unordered_map<FlowKey, Connection> mConnections;
};

/// Totals of a run.
struct RunTotals
{
  /// Packets and messages that instances handled.
  std::uint64_t mSteps = 0;
  std::uint64_t mOpened = 0;
  std::uint64_t mEstablished = 0;
  std::uint64_t mCompleted = 0;
  /// Established flows that were reset.
  std::uint64_t mBroken = 0;
  /// Blackholed flows that were reset or hung, as expected of them.
  std::uint64_t mBrokenBlackholed = 0;
  /// Established flows without progress for a minute.
  std::uint64_t mHung = 0;
  /// Flows that were reset before they were established.
  std::uint64_t mRefusedNotRun = 0;
  /// Flows whose opening packet stayed unanswered.
  std::uint64_t mOpeningTimeouts = 0;
  /// Packets that arrived at another organisation's upstream or at the caller
  /// of another flow.
  std::uint64_t mMisrouted = 0;
  /// Executions of a request beyond the first.
  std::uint64_t mRanTwice = 0;
  /// Flows whose request ran although it was reported as not run, as counted at
  /// the end of each call of RunWorld.
  std::uint64_t mNotRunButRan = 0;
  /// Connections opened on an upstream more than 2 s after it was marked as
  /// leaving, when instances have applied that change.
  std::uint64_t mPlacedOnLeaving = 0;
  /// Injected faults by name.
  std::map<std::string, std::uint64_t> mFaults;

  auto operator<=>(const RunTotals&) const = default;
};

} // namespace randomised

#endif
