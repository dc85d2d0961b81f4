#ifndef SASSAFRASKNOT_FLOWS_EVACUATION_STATUS_HPP
#define SASSAFRASKNOT_FLOWS_EVACUATION_STATUS_HPP

#include "sassafrasknot/flows/flow_router.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <cstdint>
#include <map>

namespace sassafrasknot::flows {

/// @brief What an instance observes of the evacuation of one data centre.
struct EvacuationStatus
{
  /// Established flows in this instance's table whose upstream is there.
  std::uint64_t mOpenFlows = 0;
  /// New flows that were refused since the start, because no upstream accepted
  /// them while upstreams there were evacuated.
  std::uint64_t mRefusedFlows = 0;

  auto operator<=>(const EvacuationStatus&) const = default;
};

/// @brief Returns the progress of evacuations. The cost grows with the number
/// of flows if any data centre is evacuated.
/// @param aRouter the router
/// @return status of each data centre that is evacuated, and of those that were
/// and caused refusals
std::map<state::DataCentreId, EvacuationStatus>
EvacuationStatuses(const FlowRouter& aRouter);

} // namespace sassafrasknot::flows

#endif
