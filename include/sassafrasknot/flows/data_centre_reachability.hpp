#ifndef SASSAFRASKNOT_FLOWS_DATA_CENTRE_REACHABILITY_HPP
#define SASSAFRASKNOT_FLOWS_DATA_CENTRE_REACHABILITY_HPP

#include "sassafrasknot/flows/upstream_table.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <cstdint>

namespace sassafrasknot::flows {

/// Upstreams of another data centre with a repeated packet, and none with an
/// answer to a later one, that show that the data centre is cut off: at least
/// this many, since two may have crashed,
constexpr std::uint32_t kUnreachableMinUpstreams = 3;
/// and one of this many of the data centre's upstreams, since a fifth of them
/// may crash at once.
constexpr std::uint32_t kUnreachableMinShareDivisor = 4;

/// @brief Returns whether no upstream of a data centre answers: the pattern of
/// a cut between data centres, which shows at several upstreams at once long
/// before it shows at each of them.
/// @param aTable the upstreams
/// @param aDataCentre another data centre
/// @param aProof when the newest packet was sent on that any upstream has
/// answered; without a later proof the fault may be on this instance's side
/// @return whether it is to be taken as cut off
bool
IsDataCentreUnreachable(const UpstreamTable& aTable,
                        const state::DataCentreId& aDataCentre,
                        state::TimePoint aProof);

} // namespace sassafrasknot::flows

#endif
