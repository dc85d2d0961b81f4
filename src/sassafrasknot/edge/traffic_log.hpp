#ifndef SASSAFRASKNOT_EDGE_TRAFFIC_LOG_HPP
#define SASSAFRASKNOT_EDGE_TRAFFIC_LOG_HPP

#include "sassafrasknot/flows/flow_router.hpp"
#include "sassafrasknot/state/flow.hpp"
#include "sassafrasknot/state/time.hpp"

#include <string>

namespace sassafrasknot::edge {

/// Formats a flow for logs: CALLER>SERVICE, both as IP:PORT.
std::string
FormatFlow(const state::FlowKey& aFlow);

/// Formats one line of the dump per upstream, with its loads and the state of
/// its failure detector, and one per route with the learned size of its
/// uploads.
std::string
FormatUpstreams(const flows::FlowRouter& aRouter, state::TimePoint aNow);

} // namespace sassafrasknot::edge

#endif
