#ifndef SASSAFRASKNOT_EDGE_SETTINGS_HPP
#define SASSAFRASKNOT_EDGE_SETTINGS_HPP

#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasknot::edge {

/// @brief Settings of one instance.
struct EdgeSettings
{
  /// Name of the instance, for logs, dumps and the seeds of random choices.
  std::string mInstance;
  state::DataCentreId mDataCentre;
  /// UDP endpoint that receives callers' packets.
  state::Endpoint mTrafficEndpoint;
  /// HTTP endpoint of the readiness check.
  state::Endpoint mReadinessEndpoint;
  /// HTTP endpoint of metrics and the dump.
  state::Endpoint mAdminEndpoint;
  /// Endpoint for other instances: UDP for messages, HTTP for changes of the
  /// catalogue, which is this instance's copy of the store's records.
  state::Endpoint mFleetEndpoint;
  /// Endpoint at which other instances reach mFleetEndpoint. It identifies the
  /// instance in the fleet.
  state::Endpoint mAdvertisedEndpoint;
  /// Fleet endpoints of instances that are contacted first to join the fleet.
  std::vector<state::Endpoint> mSeeds;
  /// HTTP endpoint of the platform's store.
  state::Endpoint mStoreEndpoint;
  /// Processor time that the process may use, in cores.
  double mCpuShare = 1;
  /// Bandwidth of the instance's link, in Mbit/s.
  double mLinkMbps = 1000;
  /// Tolerance of the limits of cold upstreams.
  flows::ColdBounds mColdBounds;
  /// Upper limit of a planned stop; the process then ends in any case.
  std::chrono::milliseconds mMaxStopTime{ 5000 };
  /// Upper limit of a response body of the store, or of another instance that
  /// sends changes, in bytes.
  std::uint64_t mMaxStoreResponseBytes = std::uint64_t{ 4 } << 20U;
};

} // namespace sassafrasknot::edge

#endif
