#ifndef SASSAFRASKNOT_MEASURE_REGULAR_COST_HPP
#define SASSAFRASKNOT_MEASURE_REGULAR_COST_HPP

#include "sassafrasknot/edge/traffic_loop.hpp"
#include "sassafrasknot/edge/traffic_report.hpp"
#include "sassafrasknot/fleet/fleet_core.hpp"
#include "sassafrasknot/flows/directory_builder.hpp"
#include "sassafrasknot/flows/flow_router.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace sassafrasknot::measure {

/// One instance of the platform's daemon with the state that its threads have
/// at low load, without threads or network. There is one instance for 10
/// upstreams; both are spread over 3 data centres.
struct Deployment
{
  std::size_t mUpstreams = 0;
  /// Records of the store: a configuration and all upstreams.
  std::vector<fleet::Record> mRecords;
  flows::DirectoryBuilder mBuilder;
  flows::FlowRouter mRouter;
  fleet::FleetCore mCore;
  /// Loads of the neighbours, as PeerLoads returns them.
  edge::PeerLoadUpdate mPeerLoads;
  /// Encoded messages of the neighbours and the other local peers, in this
  /// order; made on first use.
  std::vector<std::string> mMessages;
  state::TimePoint mNow{ std::chrono::hours(1) };
  std::minstd_rand mRandom{ 1 };
};

/// Makes a deployment whose instance has open flows and knows its peers.
Deployment
MakeDeployment(std::size_t aUpstreams);

/// Returns the member with this index in the fleet.
fleet::Member
MakeMember(std::size_t aIndex);

/// Returns a message of a neighbour with loads on aLoads upstreams.
fleet::FleetMessage
MakeNeighbourMessage(const Deployment& aDeployment,
                     const fleet::Member& aSender,
                     std::size_t aLoads);

} // namespace sassafrasknot::measure

#endif
