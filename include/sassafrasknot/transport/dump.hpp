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

/// @brief The revision of an organisation that is in force, and since when.
struct InForceSince
{
  state::Revision mRevision = 0;
  std::chrono::system_clock::time_point mSince;
};

using InForceTimes = std::map<state::OrganisationId, InForceSince>;

/// @brief Notes organisations whose revision a snapshot changes.
/// @param aTimes times so far; organisations that left are removed
/// @param aSnapshot the snapshot that came into force
/// @param aNow the time
/// @return the organisations whose revision changed
std::vector<state::OrganisationId>
UpdateInForce(InForceTimes& aTimes,
              const state::Snapshot& aSnapshot,
              std::chrono::system_clock::time_point aNow);

/// @brief What a dump is composed of.
struct DumpInput
{
  /// ControlCore::Dump: members as seen, organisations, quarantine.
  std::string mControl;
  std::shared_ptr<const state::Snapshot> mSnapshot;
  InForceTimes mInForce;
  TrafficReport mTraffic;
  state::Counters mCounters;
};

/// @brief Writes the state of a process for operators.
/// @param aParts its parts
/// @return a JSON object
std::string
BuildDump(const DumpInput& aParts);

/// @brief Writes counters in the Prometheus text format (version 0.0.4).
/// @param aCounters the counters; names that end in "_total" are counters,
/// others are gauges
/// @return the text; each name has the prefix "sassafrasknot_"
std::string
PrometheusText(const state::Counters& aCounters);

} // namespace sassafrasknot::transport

#endif
