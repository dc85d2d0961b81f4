#ifndef SASSAFRASKNOT_FLOWS_PLACEMENT_HPP
#define SASSAFRASKNOT_FLOWS_PLACEMENT_HPP

#include "sassafrasknot/flows/upstream_table.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <random>

namespace sassafrasknot::flows {

/// @brief Weights of the parts of a placement's cost. The unit is the mean work
/// time of a request.
struct PlacementPolicy
{
  /// Another data centre costs latency, traffic between data centres, and the
  /// flow if the data centres are cut off from each other. A feed stays for
  /// long, so that its balance counts more.
  double mRemoteFeedPenalty = 0.15;
  double mRemoteRequestPenalty = 0.5;
  /// An upstream that is slow after its start.
  double mWarmUpPenalty = 0.3;
  /// An upstream whose entry has lapsed.
  double mExpiredPenalty = 8.0;
  /// Difference between an upstream without flows and one with its fair share
  /// of them, so that flows spread when nothing else tells upstreams apart.
  double mFairShareWeight = 0.05;
  /// Upstreams of other data centres that are compared where the data centre's
  /// upstreams are divided, and upstreams of the own one if none of the own
  /// subset answers. Little is known of either, so that all instances that took
  /// the cheapest would meet there.
  std::size_t mRemoteChoices = 1;
  std::size_t mLocalChoices = 2;
};

/// @brief What is to be placed.
struct PlacementRequest
{
  RequestKind mKind = RequestKind::NonIdempotent;
  /// Data centre of this instance and of the caller.
  state::DataCentreId mDataCentre;
  /// Upstream that has just left the flow without an answer.
  UpstreamToken mAvoid = kNoToken;
};

/// @brief Returns the mean wait at an upstream, in units of the mean work time:
/// an approximation of a queue with several servers and random arrivals
/// (Sakasegawa 1977).
/// @param aUse mean number of requests at work per slot; may exceed 1
/// @param aSlots number of slots
/// @return the wait, growing steadily with use
double
ExpectedWait(double aUse, std::uint32_t aSlots);

/// @brief Chooses the upstream of a new flow: the cheapest one that takes new
/// flows, at random among equals. Where the data centre's upstreams are
/// divided, it is the cheapest of this instance's subset and of a few others.
/// @param aPool the service's upstreams
/// @param aRequest what is placed
/// @param aPolicy weights
/// @param aRandom random numbers
/// @param aNow the time
/// @return the upstream, or null if none takes new flows
UpstreamRecord*
ChooseUpstream(const ServicePool& aPool,
               const PlacementRequest& aRequest,
               const PlacementPolicy& aPolicy,
               std::minstd_rand& aRandom,
               state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
