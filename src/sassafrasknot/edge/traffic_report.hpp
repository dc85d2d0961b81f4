#ifndef SASSAFRASKNOT_EDGE_TRAFFIC_REPORT_HPP
#define SASSAFRASKNOT_EDGE_TRAFFIC_REPORT_HPP

#include "sassafrasknot/fleet/fleet_message.hpp"
#include "sassafrasknot/flows/evacuation_status.hpp"
#include "sassafrasknot/flows/upstream_table.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace sassafrasknot::edge {

/// State of the traffic thread, sent to the control thread regularly.
struct TrafficReport
{
  /// Loads of this instance's flows on upstreams; those without load are
  /// absent.
  std::vector<fleet::UpstreamLoadEntry> mOwnLoads;
  /// Upstreams that this instance itself has found unresponsive, without
  /// reports of others.
  std::vector<flows::UpstreamToken> mUnresponsive;
  /// Active requests per slot of the upstreams of this data centre that this
  /// instance chooses from.
  double mLocalUtilisation = 0;
  /// Upstreams that are suspected or unresponsive, and neither removed nor
  /// evacuated.
  std::vector<flows::UpstreamToken> mProbeCandidates;
  std::size_t mOpenFlows = 0;
  /// Progress of evacuations; it can be a second old.
  std::map<state::DataCentreId, flows::EvacuationStatus> mEvacuations;
  /// Time since the last datagram on the traffic endpoint.
  state::Duration mSinceLastPacket{ 0 };
};

/// Returns a report with the loads and liveness of upstreams; its other members
/// are empty. To be called after flows::OnTick, which marks upstreams with
/// load.
TrafficReport
ReportUpstreams(flows::UpstreamTable& aTable);

} // namespace sassafrasknot::edge

#endif
