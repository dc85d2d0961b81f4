#ifndef SASSAFRASKNOT_EDGE_TRAFFIC_REPORT_HPP
#define SASSAFRASKNOT_EDGE_TRAFFIC_REPORT_HPP

#include "sassafrasknot/edge/metrics.hpp"
#include "sassafrasknot/fleet/fleet_message.hpp"
#include "sassafrasknot/flows/evacuation_status.hpp"
#include "sassafrasknot/flows/upstream_table.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sassafrasknot::edge {

/// State of the traffic thread, sent to the control thread regularly.
struct TrafficReport
{
  /// Loads of this instance's flows on upstreams; those without load are
  /// absent.
  std::vector<fleet::UpstreamLoadEntry> mOwnLoads;
  /// Speeds of upstreams by this instance's own samples, in percent; only in
  /// one report per second.
  std::optional<std::map<flows::UpstreamToken, std::uint32_t>> mOwnSpeeds;
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
  /// Upstreams with a limit of active requests, for each service with a route.
  LimitedUpstreams mLimitedUpstreams;
  /// Time since the last datagram on the traffic endpoint.
  state::Duration mSinceLastPacket{ 0 };
};

/// Returns a report with the loads and liveness of upstreams; its other members
/// are empty. To be called after flows::OnTick, which marks upstreams with
/// load.
TrafficReport
ReportUpstreams(flows::UpstreamTable& aTable);

/// Returns the speeds that this instance has learned from recent own samples,
/// in percent.
std::map<flows::UpstreamToken, std::uint32_t>
ReportSpeeds(const flows::UpstreamTable& aTable, state::TimePoint aNow);

} // namespace sassafrasknot::edge

#endif
