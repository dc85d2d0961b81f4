#ifndef SASSAFRASKNOT_FLOWS_FLOW_ROUTER_HPP
#define SASSAFRASKNOT_FLOWS_FLOW_ROUTER_HPP

#include "sassafrasknot/flows/flow_entry.hpp"
#include "sassafrasknot/flows/packet.hpp"
#include "sassafrasknot/flows/placement.hpp"
#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/flows/upstream_table.hpp"
#include "sassafrasknot/state/error.hpp"

#include <cstdint>
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
  state::DataCentreId mDataCentre;
  PlacementPolicy mPolicy;
  /// Seed of random choices.
  std::uint32_t mRandomSeed = 1;
};

/// @brief Why a packet was handled as it was.
enum class Reason : std::uint8_t
{
  Placed,        ///< A new flow got an upstream.
  Reassigned,    ///< A copy of the opening packet went to another upstream.
  Retransmitted, ///< A copy of the opening packet went to the same upstream.
  Established,   ///< The packet's token names its upstream.
  NotReady,      ///< No directory is known yet.
  NoRoute,       ///< The configuration has no such service address.
  NoUpstream,    ///< No upstream of the service takes new flows.
  NoToken,       ///< An established flow's packet names no upstream.
  UnknownToken,  ///< The named upstream is not known here.
  UpstreamUnresponsive, ///< The upstream does not answer; the caller may try
                        ///< again.
};

/// @brief Number of reasons.
constexpr std::size_t kReasonCount = 10;

/// @brief Returns the name of a reason as logs and metrics show it.
/// @param aReason the reason
/// @return lower-case words joined by underscores
std::string_view
ToString(Reason aReason);

/// @brief What is done with a packet.
enum class PacketAction : std::uint8_t
{
  Forward, ///< To the upstream.
  Reset,   ///< The caller gets a reset.
  Hold,    ///< To be decided on again once a directory is known.
  Discard,
};

/// @brief A decision on one packet.
struct Decision
{
  PacketAction mAction = PacketAction::Discard;
  Reason mReason = Reason::NotReady;
  /// Whether the flow's request may have run, as far as this instance knows.
  state::Verdict mVerdict = state::Verdict::NotRun;
  /// Receiver of a Forward, or the upstream for which a flow is reset; valid
  /// until the next directory.
  const UpstreamRecord* mUpstream = nullptr;
  /// Upstream that did not answer the flow's opening packet; for Reassigned.
  const UpstreamRecord* mPreviousUpstream = nullptr;
  /// Time from a request's last byte to the caller's acknowledgement of the
  /// answer's first bytes, where the packet shows it.
  std::optional<state::Duration> mResponseTime;
};

/// @brief A change of belief about an upstream.
struct LivenessChange
{
  UpstreamToken mToken = kNoToken;
  Liveness mLiveness = Liveness::Responsive;
};

/// @brief A flow that is given up although its caller has sent nothing new.
struct AbandonedFlow
{
  /// Names the flow; without payload.
  CallerPacket mPacket;
  UpstreamToken mToken = kNoToken;
};

/// @brief Decides on callers' packets by the directory, the packets' tokens and
/// what it has seen. Not safe for use from several threads.
struct FlowRouter
{
  RouterSettings mSettings;
  std::minstd_rand mRandom;
  std::shared_ptr<const Directory> mDirectory;
  UpstreamTable mUpstreams;
  std::unordered_map<state::FlowKey, FlowEntry> mFlows;
  /// Changes since they were last taken.
  std::vector<LivenessChange> mLivenessChanges;
  /// Upstreams whose silence has just been found.
  std::vector<UpstreamToken> mNewlyUnresponsive;
  /// Place among the instances of this data centre.
  InstancePosition mPosition;
  state::TimePoint mLastTick;
  /// When the newest packet was sent on that any upstream has answered.
  state::TimePoint mLinkVerifiedAt;
  /// Packets that were sent on before are no evidence of silence.
  state::TimePoint mIgnoreEvidenceBefore;
};

/// @brief Makes a router without any directory.
/// @param aSettings settings
/// @return the router
FlowRouter
MakeRouter(RouterSettings aSettings);

/// @brief Takes over a newer directory.
/// @param aRouter the router
/// @param aDirectory the directory
/// @param aNow the time
void
OnDirectory(FlowRouter& aRouter,
            std::shared_ptr<const Directory> aDirectory,
            state::TimePoint aNow);

/// @brief Takes over this instance's place among those of its data centre.
/// @param aRouter the router
/// @param aPlace the place
void
OnPosition(FlowRouter& aRouter, const InstancePosition& aPlace);

/// @brief Decides on a packet.
/// @param aRouter the router
/// @param aPacket the packet
/// @param aNow the time
/// @return what to do with it
Decision
OnPacket(FlowRouter& aRouter,
         const CallerPacket& aPacket,
         state::TimePoint aNow);

/// @brief Gives up the idempotent requests that newly silent upstreams have not
/// answered, so that their callers try again at once. To be called after each
/// event.
/// @param aRouter the router
/// @return flows whose callers are to get a reset
std::vector<AbandonedFlow>
AbandonUnansweredRequests(FlowRouter& aRouter);

/// @brief Takes upstreams that other instances have found silent.
/// @param aRouter the router
/// @param aTokens the upstreams
/// @param aNow the time
void
OnReportedUnresponsive(FlowRouter& aRouter,
                       const std::set<UpstreamToken>& aTokens,
                       state::TimePoint aNow);

/// @brief Takes an upstream's answer to a probe.
/// @param aRouter the router
/// @param aToken the upstream
/// @param aSent when the probe was sent
void
OnProbeSuccess(FlowRouter& aRouter,
               UpstreamToken aToken,
               state::TimePoint aSent);

/// @brief Finds opening packets without an answer and forgets flows that have
/// ended or moved to other instances. To be called several times a second.
/// @param aRouter the router
/// @param aNow the time
void
OnTick(FlowRouter& aRouter, state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
