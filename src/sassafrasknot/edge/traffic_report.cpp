#include "sassafrasknot/edge/traffic_report.hpp"

namespace sassafrasknot::edge {

TrafficReport
ReportUpstreams(flows::UpstreamTable& aTable)
{
  TrafficReport report;
  for (const auto* record : flows::ObservedUpstreams(aTable)) {
    const auto token = record->mToken;
    if (record->mOwnLoad != flows::UpstreamLoad{}) {
      report.mOwnLoads.push_back({ token, record->mOwnLoad });
    }
    if (record->mFailureDetector.mLiveness == flows::Liveness::Unresponsive &&
        !record->mFailureDetector.mDataCentreUnreachable) {
      report.mUnresponsive.push_back(token);
    }
    if (record->mFailureDetector.mLiveness != flows::Liveness::Responsive &&
        record->mPresence != flows::Presence::Removed && !record->mEvacuated) {
      report.mProbeCandidates.push_back(token);
    }
  }
  return report;
}

} // namespace sassafrasknot::edge
