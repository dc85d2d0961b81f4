#ifndef SASSAFRASKNOT_TESTING_MEASURE_SCENARIOS_HPP
#define SASSAFRASKNOT_TESTING_MEASURE_SCENARIOS_HPP

#include <cstdint>

#include "report.hpp"

namespace sassafrasknot::measure {

/// @brief Measures how evenly feeds spread over the upstreams.
/// @param aSeed seed of the runs
/// @return one row per deployment, number of feeds and layout
Report
MeasureConnections(std::uint64_t aSeed);

/// @brief Measures how evenly work spreads over the upstreams at 80% load.
/// @param aSeed seed of the runs
/// @return one row per deployment and layout
Report
MeasureWork(std::uint64_t aSeed);

/// @brief Measures goodput, refusals and waits in overload: the offered load
/// rises within 3 s from 50% to 100, 200 or 300% of the slots and stays there.
/// @param aSeed seed of the runs
/// @return one row per deployment, load, deadline and layout
Report
MeasureOverload(std::uint64_t aSeed);

/// @brief Measures the wait of short work at 80% load when a part of the work
/// are stragglers, which hold their slot 100 times longer.
/// @param aSeed seed of the runs
/// @return one row per deployment, share of stragglers and layout
Report
MeasureStragglers(std::uint64_t aSeed);

} // namespace sassafrasknot::measure

#endif
