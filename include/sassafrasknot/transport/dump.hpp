#ifndef SASSAFRASKNOT_TRANSPORT_DUMP_HPP
#define SASSAFRASKNOT_TRANSPORT_DUMP_HPP

#include "sassafrasknot/state/counters.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/snapshot.hpp"
#include "sassafrasknot/transport/traffic_pool.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sassafrasknot::transport {

/// @brief The revision of an organisation's configuration that is in force,
/// that is, applied to traffic by this instance.
struct InForceSince
{
  state::Revision mRevision = 0;
  /// When the revision came into force.
  std::chrono::system_clock::time_point mSince;
};

/// @brief The revisions in force by organisation.
using InForceTimes = std::map<state::OrganisationId, InForceSince>;

/// @brief Records the revisions that a new snapshot puts in force. An
/// organisation whose revision is unchanged keeps its time.
/// @param aTimes revisions in force before; organisations without a service in
/// the snapshot are removed
/// @param aSnapshot the snapshot that came into force
/// @param aNow current time on the system clock
/// @return the organisations whose revision changed
std::vector<state::OrganisationId>
UpdateInForce(InForceTimes& aTimes,
              const state::Snapshot& aSnapshot,
              std::chrono::system_clock::time_point aNow);

/// @brief The data that a dump shows.
struct DumpInput
{
  /// JSON text of ControlCore::Dump: members with their states, organisations
  /// and quarantined endpoints, which recently left an organisation.
  std::string mControl;
  std::shared_ptr<const state::Snapshot> mSnapshot;
  InForceTimes mInForce;
  TrafficReport mTraffic;
  /// Counters of the control thread and of all traffic threads.
  state::Counters mCounters;
};

/// @brief Formats the state of an instance for operators.
/// @param aInput state of the control thread and the traffic threads
/// @return a JSON object as text
std::string
BuildDump(const DumpInput& aInput);

/// @brief Formats counters in the Prometheus text format (version 0.0.4).
/// @param aCounters values by name; a name that ends in "_total" is written as
/// a counter, any other as a gauge
/// @return the text; each name gets the prefix "sassafrasknot_"
std::string
FormatPrometheusText(const state::Counters& aCounters);

} // namespace sassafrasknot::transport

#endif
