#ifndef SASSAFRASKNOT_FLOWS_PLACEMENT_CANDIDATES_HPP
#define SASSAFRASKNOT_FLOWS_PLACEMENT_CANDIDATES_HPP

#include "sassafrasknot/flows/placement.hpp"

#include <random>
#include <vector>

namespace sassafrasknot::flows {

/// Returns whether new flows may be placed on an upstream at all.
bool
AcceptsFlows(const UpstreamRecord& aRecord);

/// Returns the upstreams to compare for a flow, in random order, so that the
/// first of equal cost is a random one. ChooseUpstream describes which they
/// are.
std::vector<UpstreamRecord*>
FindCandidates(const ServicePool& aPool,
               const PlacementRequest& aRequest,
               const PlacementPolicy& aPolicy,
               std::minstd_rand& aRandom,
               state::TimePoint aNow);

/// @brief Removes the candidates whose limit is reached, unless the service has
/// no other upstream.
/// @param aCandidates upstreams to compare
/// @param aPool the service's upstreams
/// @param aClass class of the flow
/// @param aNow current time on the steady clock
/// @return whether all of them were removed
bool
RemoveWithoutCapacity(std::vector<UpstreamRecord*>& aCandidates,
                      const ServicePool& aPool,
                      PriorityClass aClass,
                      state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
