#ifndef SASSAFRASKNOT_FLOWS_FLOW_ROUTER_HPP
#define SASSAFRASKNOT_FLOWS_FLOW_ROUTER_HPP

#include "sassafrasknot/flows/bulk_admission.hpp"
#include "sassafrasknot/flows/flow_entry.hpp"
#include "sassafrasknot/flows/link_monitor.hpp"
#include "sassafrasknot/flows/packet.hpp"
#include "sassafrasknot/flows/placement.hpp"
#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/flows/upstream_table.hpp"
#include "sassafrasknot/flows/work_model.hpp"
#include "sassafrasknot/state/error.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sassafrasknot::flows {

/// @brief Settings of a router.
struct RouterSettings
{
  /// Data centre of this instance.
  state::DataCentreId mDataCentre;
  PlacementPolicy mPolicy;
  /// Seed of the random choices among upstreams.
  std::uint32_t mRandomSeed = 1;
  /// Bandwidth of this instance's link, in Mbit/s; 0 if not known.
  double mLinkMbps = 0;
  /// Tolerance of the limits of cold upstreams.
  ColdBounds mColdBounds;
};

/// @brief Why a packet was handled as it was.
enum class Reason : std::uint8_t
{
  Placed,        ///< An upstream was chosen for a new flow.
  Reassigned,    ///< A copy of the opening packet went to another upstream.
  Retransmitted, ///< A copy of the opening packet went to the same upstream.
  Established,   ///< The packet went to the upstream that its token names.
  Unrouted,      ///< The same, although the configuration has no route yet.
  NotReady,      ///< There is no directory or configuration yet.
  NoRoute,       ///< The configuration has no route for the address.
  NoUpstream,    ///< No upstream of the service accepts new flows.
  NoToken,       ///< A packet of an established flow has no token.
  UnknownToken,  ///< The token's upstream is not known here.
  UpstreamUnresponsive, ///< The upstream is unresponsive; the caller may try
                        ///< again.
  Evacuated,   ///< The upstream's data centre is evacuated, and the flow waits
               ///< until its answer is overdue.
  Deferred,    ///< The link has no capacity for a new upload; the caller
               ///< retransmits its opening packet.
  LinkFull,    ///< The same, at the caller's last retransmission.
  ServiceFull, ///< All upstreams are at their limits.
};

/// @brief Number of reasons.
constexpr std::size_t kReasonCount = 15;

/// @brief Returns the name of a reason as it stands in logs and metrics.
/// @param aReason reason of a decision
/// @return lower-case words joined by underscores
std::string_view
ToString(Reason aReason);

/// @brief What is done with a packet.
enum class PacketAction : std::uint8_t
{
  Forward, ///< It is forwarded to the upstream.
  Reset,   ///< It is discarded, and the caller receives a reset.
  Hold,    ///< It is kept until a directory is known and then decided on again.
  Discard,
};

/// @brief A decision on one packet.
struct Decision
{
  PacketAction mAction = PacketAction::Discard;
  Reason mReason = Reason::NotReady;
  /// Whether the flow's request may have been executed, as far as this instance
  /// can tell.
  state::Verdict mVerdict = state::Verdict::NotRun;
  /// Upstream that the packet is forwarded to, or because of whose failure or
  /// evacuation it is not; valid until the next directory.
  const UpstreamRecord* mUpstream = nullptr;
  /// Upstream that did not answer the flow's opening packet; for Reassigned.
  const UpstreamRecord* mPreviousUpstream = nullptr;
  /// Time from a request's last byte to the caller's acknowledgement of the
  /// answer's first bytes, if this packet is that acknowledgement.
  std::optional<state::Duration> mResponseTime;
  /// Why the upstream was chosen, if it was chosen for this packet.
  std::optional<ChoiceReason> mChoice;
};

/// @brief A change of an upstream's liveness.
struct LivenessChange
{
  UpstreamToken mToken = kNoToken;
  Liveness mLiveness = Liveness::Responsive;
};

/// @brief A flow that this instance resets without a packet of its caller.
struct AbandonedFlow
{
  /// The flow and its last acknowledgement; without payload.
  CallerPacket mPacket;
  UpstreamToken mToken = kNoToken;
};

/// @brief Numbers of opening packets by outcome. Older ones count less; see
/// kOpenOutcomesMemory.
struct OpenOutcomes
{
  /// The caller returned and so had the upstream's answer.
  double mAnswered = 0;
  /// The caller did not return within kAnswerTimeout.
  double mUnanswered = 0;
};

/// Time constant of the outcomes of opening packets: longer than it takes until
/// routers have settled on the instances that are ready.
constexpr std::chrono::milliseconds kOpenOutcomesMemory{ 1000 };

/// A flow without a route is reset only once the store has confirmed the
/// configuration this long after the flow was first seen. Confirmations are
/// dated by their arrival here; a response of the store may be as old as the
/// time limit of its call (1.6 s).
constexpr std::chrono::milliseconds kConfirmationMargin{ 2000 };

/// @brief State from which callers' packets are decided on: the directory, and
/// what this instance has observed of flows and upstreams. Not safe for use
/// from several threads.
struct FlowRouter
{
  RouterSettings mSettings;
  std::minstd_rand mRandom;
  std::shared_ptr<const Directory> mDirectory;
  /// Latest time at which the store confirmed the directory as its newest.
  state::TimePoint mDirectoryConfirmedAt;
  UpstreamTable mUpstreams;
  std::unordered_map<state::FlowKey, FlowEntry> mFlows;
  /// Length of the flows of each route.
  std::map<state::Endpoint, FlowLengthEstimate> mFlowLengths;
  /// Work of the requests of each route and caller.
  WorkModel mWork;
  /// Changes that the owner of the router has not collected yet.
  std::vector<LivenessChange> mLivenessChanges;
  /// Upstreams that became unresponsive, or were reported as such, since
  /// AbandonUnansweredRequests was last called.
  std::vector<UpstreamToken> mNewlyUnresponsive;
  /// Position among the instances of this data centre.
  InstancePosition mPosition;
  state::TimePoint mLastTick;
  /// Outcomes of the opening packets that this instance forwarded.
  OpenOutcomes mOpens;
  /// When the newest packet that any upstream has answered was forwarded. It
  /// verifies that this instance's own link worked then.
  state::TimePoint mLinkVerifiedAt;
  /// Delays on this instance's own link.
  LinkMonitor mLink;
  /// New flows that were refused although upstreams of an evacuated data centre
  /// serve them, by that data centre, since the start.
  std::map<state::DataCentreId, std::uint64_t> mEvacuationRefusals;
  /// Uploads on this instance's own link.
  BulkAdmission mBulk;
  /// Limits of upstreams that reject requests.
  CapacityAdmission mCapacity;
  /// View of the fleet, by which one instance places flows on a cold upstream.
  ColdPlacement mColdPlacement;
  /// Packets that were forwarded before this time, the end of the last stall or
  /// congestion of this instance, are no evidence of a failure. What arrived
  /// during a stall is processed at once after it, so that a retransmission may
  /// be read although the upstream has answered in time.
  state::TimePoint mIgnoreEvidenceBefore;
};

/// @brief Makes a router, which holds all packets until its first directory.
/// @param aSettings data centre, placement policy and random seed
/// @return the router
FlowRouter
MakeRouter(RouterSettings aSettings);

/// @brief Applies a newer directory.
/// @param aRouter the router
/// @param aDirectory directory that replaces the previous one
/// @param aNow current time on the steady clock
void
OnDirectory(FlowRouter& aRouter,
            std::shared_ptr<const Directory> aDirectory,
            state::TimePoint aNow);

/// @brief Records that the store has confirmed the directory as its newest.
/// @param aRouter the router
/// @param aConfirmedAt when it did so
void
OnDirectoryConfirmed(FlowRouter& aRouter, state::TimePoint aConfirmedAt);

/// @brief Applies this instance's position among those of its data centre,
/// which determines its subset of upstreams.
/// @param aRouter the router
/// @param aPosition the position
/// @param aNow current time on the steady clock
void
OnPosition(FlowRouter& aRouter,
           const InstancePosition& aPosition,
           state::TimePoint aNow);

/// @brief Applies a new view of the fleet, which determines the cold upstreams
/// on which this instance places flows.
/// @param aRouter the router
/// @param aView the view
/// @param aNow current time on the steady clock
void
OnFleetView(FlowRouter& aRouter, FleetView aView, state::TimePoint aNow);

/// @brief Decides on a caller's packet and records what it shows.
/// @param aRouter the router
/// @param aPacket the packet
/// @param aNow current time on the steady clock
/// @return what to do with it
Decision
OnPacket(FlowRouter& aRouter,
         const CallerPacket& aPacket,
         state::TimePoint aNow);

/// @brief Abandons the flows whose idempotent requests are unanswered at
/// upstreams that have just become unresponsive, so that their callers try
/// again at once. To be called after each event.
/// @param aRouter the router
/// @return flows whose callers must be sent a reset
std::vector<AbandonedFlow>
AbandonUnansweredRequests(FlowRouter& aRouter);

/// @brief Handles a report of other instances that upstreams are unresponsive.
/// @param aRouter the router
/// @param aTokens tokens of the upstreams; unknown ones are ignored
/// @param aNow current time on the steady clock
void
OnReportedUnresponsive(FlowRouter& aRouter,
                       const std::set<UpstreamToken>& aTokens,
                       state::TimePoint aNow);

/// @brief Handles an upstream's answer to a probe.
/// @param aRouter the router
/// @param aToken token of the upstream; an unknown one is ignored
/// @param aSent when the probe was sent
void
OnProbeSuccess(FlowRouter& aRouter,
               UpstreamToken aToken,
               state::TimePoint aSent);

/// @brief Records unanswered opens, removes the entries of flows that are idle
/// or have moved to other instances, and advances the averages of load. To be
/// called periodically, at intervals well below 100 ms: a longer one counts as
/// a stall of this instance.
/// @param aRouter the router
/// @param aNow current time on the steady clock
void
OnTick(FlowRouter& aRouter, state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
