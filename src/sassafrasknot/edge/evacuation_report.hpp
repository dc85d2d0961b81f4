#ifndef SASSAFRASKNOT_EDGE_EVACUATION_REPORT_HPP
#define SASSAFRASKNOT_EDGE_EVACUATION_REPORT_HPP

#include "sassafrasknot/flows/evacuation_status.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace sassafrasknot::edge {

/// State of a data centre that is evacuated, or that was and caused refusals.
struct EvacuationReport
{
  state::DataCentreId mDataCentre;
  /// Revision of the order, 0 if the evacuation has ended.
  state::Revision mRevision = 0;
  /// Upstreams of the data centre.
  std::size_t mUpstreams = 0;
  flows::EvacuationStatus mStatus;
};

/// Formats the metrics of evacuations in the Prometheus text format, with a
/// label for the data centre; empty if there are no reports.
std::string
FormatEvacuationMetrics(const std::vector<EvacuationReport>& aReports);

/// Formats one line of the dump for each data centre that is evacuated.
std::string
FormatEvacuations(const std::vector<EvacuationReport>& aReports);

} // namespace sassafrasknot::edge

#endif
