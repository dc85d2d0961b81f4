#include "evacuation_report.hpp"

#include "sassafrasknot/edge/metrics.hpp"

#include <string_view>

namespace sassafrasknot::edge {
namespace {

/// Writes one metric with a value for each data centre.
template<typename Value>
std::string
FormatMetric(const std::vector<EvacuationReport>& aReports,
             const std::string& aName,
             const std::string& aType,
             const std::string& aHelp,
             const Value& aValue)
{
  const auto name = "sassafrasknot_" + aName;
  auto text =
    "# HELP " + name + " " + aHelp + "\n# TYPE " + name + " " + aType + "\n";
  for (const auto& report : aReports) {
    text += name + "{data_centre=\"" + EscapeLabel(report.mDataCentre.mValue) +
            "\"} " + std::to_string(aValue(report)) + "\n";
  }
  return text;
}

} // namespace

std::string
FormatEvacuationMetrics(const std::vector<EvacuationReport>& aReports)
{
  using Report = EvacuationReport;
  if (aReports.empty()) {
    return "";
  }
  return FormatMetric(aReports,
                      "evacuation_revision",
                      "gauge",
                      "Revision of the order to evacuate the data centre; 0 "
                      "after its end.",
                      [](const Report& aReport) { return aReport.mRevision; }) +
         FormatMetric(
           aReports,
           "evacuation_upstreams",
           "gauge",
           "Upstreams of the data centre.",
           [](const Report& aReport) { return aReport.mUpstreams; }) +
         FormatMetric(
           aReports,
           "evacuation_open_flows",
           "gauge",
           "Open flows of this instance at upstreams of the data centre.",
           [](const Report& aReport) { return aReport.mStatus.mOpenFlows; }) +
         FormatMetric(
           aReports,
           "evacuation_refused_flows_total",
           "counter",
           "New flows that were refused while the data centre was evacuated.",
           [](const Report& aReport) { return aReport.mStatus.mRefusedFlows; });
}

std::string
FormatEvacuations(const std::vector<EvacuationReport>& aReports)
{
  std::string text;
  for (const auto& report : aReports) {
    if (report.mRevision != 0) {
      text += "evacuated " + EscapeLabel(report.mDataCentre.mValue) +
              " revision=" + std::to_string(report.mRevision) +
              " upstreams=" + std::to_string(report.mUpstreams) +
              " open_flows=" + std::to_string(report.mStatus.mOpenFlows) +
              " refused_flows=" + std::to_string(report.mStatus.mRefusedFlows) +
              "\n";
    }
  }
  return text;
}

} // namespace sassafrasknot::edge
