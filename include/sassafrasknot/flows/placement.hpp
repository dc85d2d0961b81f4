#ifndef SASSAFRASKNOT_FLOWS_PLACEMENT_HPP
#define SASSAFRASKNOT_FLOWS_PLACEMENT_HPP

#include "sassafrasknot/flows/flow_length.hpp"
#include "sassafrasknot/flows/upstream_table.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <random>
#include <string_view>

namespace sassafrasknot::flows {

/// @brief Parameters of placement, the choice of an upstream for a new flow. An
/// upstream's cost estimates the wait of the flow's requests there, in units of
/// the mean time that a request takes; penalties are added to it.
struct PlacementPolicy
{
  /// Penalties of upstreams of other data centres, for feeds and for other
  /// requests. They stand for latency, for traffic between data centres, and
  /// for the flow that is lost in a network partition. The penalty of feeds is
  /// lower, since they stay for long and their balance matters more.
  double mRemoteFeedPenalty = 0.15;
  double mRemoteRequestPenalty = 0.5;
  /// Penalty of an upstream that is still slow after its start.
  double mWarmUpPenalty = 0.3;
  /// Penalty of an upstream with a limit whose warm-up has just ended, until
  /// this instance is due to use it; see IsJoining.
  double mJoiningPenalty = 2.0;
  /// Penalty of an upstream whose entry has expired.
  double mExpiredPenalty = 8.0;
  /// Difference in cost between an upstream without feeds and one with its fair
  /// share of them, so that feeds spread when all else is equal.
  double mFairShareWeight = 0.05;
  /// With subsetting: number of random upstreams of other data centres to
  /// compare, and of local ones if no upstream of the subset admits the flow.
  /// Their loads are known only roughly; if each instance took the cheapest of
  /// all, they would all choose the same one.
  std::size_t mRemoteChoices = 1;
  std::size_t mLocalChoices = 2;
  /// With subsetting: number of random upstreams to draw if this instance's
  /// data centre is evacuated. Those of one data centre are compared, about
  /// half of them if two are left.
  std::size_t mSpreadChoices = 8;
};

/// @brief A new flow that needs an upstream.
struct PlacementRequest
{
  FlowLength mLength = FlowLength::SingleRequest;
  /// Data centre of this instance and of the caller.
  state::DataCentreId mDataCentre;
  /// Upstream that did not answer the flow's opening packet, if any. It is
  /// chosen only if there is no other.
  UpstreamToken mAvoid = kNoToken;
  /// Expected work of its request, in units of the mean work.
  double mWork = 1;
  /// Class of a flow that is placed within the limits of CapacityAdmission.
  std::optional<PriorityClass> mClass;
};

/// @brief Why an upstream was chosen over the next best one.
enum class ChoiceReason : std::uint8_t
{
  OnlyOne,    ///< No other upstream was compared.
  EqualCost,  ///< At random among upstreams of equal cost.
  LessLoad,   ///< It has less backlog per slot or, for feeds, fewer of them.
  Faster,     ///< It works faster.
  LowPenalty, ///< The next best is in another data centre, cold or expired.
  NoCapacity, ///< None was chosen: all candidates are at their limits.
};

/// @brief Returns the name of a reason as it stands in logs.
/// @param aReason why an upstream was chosen
/// @return lower-case words joined by underscores
std::string_view
ToString(ChoiceReason aReason);

/// @brief Returns the work that is expected to be left of the requests at an
/// upstream. A request of another instance counts as one unit, since only their
/// number is reported.
/// @param aRecord the upstream
/// @param aNow current time on the steady clock
/// @return backlog in units of the mean work; the number of active requests
/// while nothing is learned
double
ExpectedBacklog(const UpstreamRecord& aRecord, state::TimePoint aNow);

/// @brief Returns the mean wait at an upstream by an approximation of a queue
/// with several servers and random arrivals (Sakasegawa 1977).
/// @param aUtilisation mean number of active requests per slot; may exceed 1
/// @param aSlots number of slots, at least 1
/// @return the wait in units of the mean time that a request takes; it never
/// falls with rising utilisation
double
ExpectedWait(double aUtilisation, std::uint32_t aSlots);

/// @brief Chooses the upstream of a new flow: the cheapest one that accepts new
/// flows, at random among equals. Upstreams that are suspected or unresponsive
/// and due no trial are considered only if there is no other, and
/// aRequest.mAvoid comes last. With subsetting, this instance's subset and a
/// few random upstreams of other data centres are compared, or a few random
/// ones of all data centres if no upstream of the subset admits the flow. If
/// the subset's data centre is evacuated, flows are spread over the other ones
/// in proportion to their spare capacity. A cold upstream whose limit does not
/// admit the flow is never chosen. If aRequest.mClass is set, nor is one
/// without capacity, unless the service has no other upstream.
/// @param aPool the service's upstreams
/// @param aRequest the flow
/// @param aPolicy penalties, weights and numbers of random choices
/// @param aRandom source of random numbers
/// @param aNow current time on the steady clock
/// @param aReason receives why the upstream was chosen, or NoCapacity, unless
/// it is null
/// @return the upstream, or null if none accepts new flows
UpstreamRecord*
ChooseUpstream(const ServicePool& aPool,
               const PlacementRequest& aRequest,
               const PlacementPolicy& aPolicy,
               std::minstd_rand& aRandom,
               state::TimePoint aNow,
               ChoiceReason* aReason = nullptr);

} // namespace sassafrasknot::flows

#endif
