#ifndef SASSAFRASKNOT_EDGE_SETTINGS_HPP
#define SASSAFRASKNOT_EDGE_SETTINGS_HPP

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
  std::string mInstance;
  state::DataCentreId mDataCentre;
  /// UDP endpoint of callers' packets.
  state::Endpoint mTrafficEndpoint;
  /// TCP endpoint of the readiness check.
  state::Endpoint mReadinessEndpoint;
  /// TCP endpoint of metrics and the dump.
  state::Endpoint mAdminEndpoint;
  /// UDP and TCP endpoint for other instances.
  state::Endpoint mFleetEndpoint;
  /// Where other instances reach mFleetEndpoint; it identifies the instance.
  state::Endpoint mAdvertisedEndpoint;
  /// Fleet endpoints of instances that may know others.
  std::vector<state::Endpoint> mSeeds;
  state::Endpoint mStoreEndpoint;
  /// Share of a processor core that the process may use.
  double mCpuShare = 1;
  /// Bandwidth of the instance's link, in Mbit/s.
  double mLinkMbps = 1000;
  /// Longest planned stop.
  std::chrono::milliseconds mMaxStopTime{ 5000 };
  /// Longest answer of the store, in bytes.
  std::uint64_t mMaxStoreResponseBytes = std::uint64_t{ 4 } << 20U;
};

} // namespace sassafrasknot::edge

#endif
