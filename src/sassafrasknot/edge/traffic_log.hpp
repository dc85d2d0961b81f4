#ifndef SASSAFRASKNOT_EDGE_TRAFFIC_LOG_HPP
#define SASSAFRASKNOT_EDGE_TRAFFIC_LOG_HPP

#include "sassafrasknot/flows/flow_router.hpp"
#include "sassafrasknot/state/flow.hpp"
#include "sassafrasknot/state/time.hpp"

#include <memory>
#include <string>

namespace sassafrasknot::edge {

/// Returns a flow as logs show it, CALLER>SERVICE.
std::string
FormatFlow(const state::FlowKey& aFlow);

/// Returns one line per upstream for the dump.
std::shared_ptr<const std::string>
FormatUpstreams(const flows::FlowRouter& aRouter, state::TimePoint aNow);

} // namespace sassafrasknot::edge

#endif
