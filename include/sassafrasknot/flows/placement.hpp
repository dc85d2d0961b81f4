#ifndef SASSAFRASKNOT_FLOWS_PLACEMENT_HPP
#define SASSAFRASKNOT_FLOWS_PLACEMENT_HPP

#include "sassafrasknot/flows/upstream_table.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <random>
#include <span>

namespace sassafrasknot::flows {

/// @brief Weights of the parts of a placement's cost. Costs are in units of a
/// fully used upstream.
struct PlacementPolicy
{
  /// Another data centre costs latency and traffic between data centres.
  double mRemote = 0.5;
  /// An upstream that is slow after its start.
  double mCold = 0.5;
  /// An upstream whose entry has lapsed.
  double mMissing = 8.0;
  /// Weight of a feed against a request at work, per slot.
  double mFeed = 0.1;
};

/// @brief What is to be placed.
struct PlacementRequest
{
  RequestKind mKind = RequestKind::NonIdempotent;
  /// Data centre of this instance and of the caller.
  state::DataCentreId mDataCentre;
  /// Upstream that has just left the flow without an answer.
  FlowToken mAvoid = kNoToken;
};

/// @brief Chooses the upstream of a new flow: the cheapest one that takes new
/// flows, at random among equals.
/// @param aUpstreams the service's upstreams
/// @param aRequest what is placed
/// @param aPolicy weights
/// @param aRandom random numbers
/// @param aNow the time
/// @return the upstream, or null if none takes new flows
UpstreamRecord*
ChooseUpstream(std::span<UpstreamRecord* const> aUpstreams,
               const PlacementRequest& aRequest,
               const PlacementPolicy& aPolicy,
               std::minstd_rand& aRandom,
               state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
