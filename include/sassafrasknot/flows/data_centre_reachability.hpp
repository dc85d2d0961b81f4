#ifndef SASSAFRASKNOT_FLOWS_DATA_CENTRE_REACHABILITY_HPP
#define SASSAFRASKNOT_FLOWS_DATA_CENTRE_REACHABILITY_HPP

#include "sassafrasknot/flows/upstream_table.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <cstdint>

namespace sassafrasknot::flows {

/// Minimum number of upstreams with a retransmission for a data centre to count
/// as unreachable; two may have crashed.
constexpr std::uint32_t kUnreachableMinUpstreams = 3;
/// The upstreams with a retransmission must also be at least one in this many
/// of the data centre's, rounded up; a fifth of them may crash at once.
constexpr std::uint32_t kUnreachableMinShareDivisor = 4;

/// @brief Returns whether a data centre appears to be unreachable: several of
/// its upstreams have retransmissions, and none has answered a packet that was
/// forwarded at or after the first unanswered one. A network partition shows at
/// several upstreams at once long before each of them is unresponsive on its
/// own. So do crashes of several upstreams while no packet has been sent to the
/// others.
/// @param aTable all upstreams
/// @param aDataCentre a data centre other than this instance's
/// @param aLinkVerifiedAt when the newest packet that any upstream has answered
/// was forwarded. Unless that is more than kLinkVerificationMargin after the
/// first unanswered packet, the fault may be on this instance's side.
/// @return whether it appears to be unreachable
bool
IsDataCentreUnreachable(const UpstreamTable& aTable,
                        const state::DataCentreId& aDataCentre,
                        state::TimePoint aLinkVerifiedAt);

} // namespace sassafrasknot::flows

#endif
