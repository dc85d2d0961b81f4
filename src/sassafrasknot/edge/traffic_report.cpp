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

std::map<flows::UpstreamToken, std::uint32_t>
ReportSpeeds(const flows::UpstreamTable& aTable, state::TimePoint aNow)
{
  std::map<flows::UpstreamToken, std::uint32_t> speeds;
  for (const auto& [token, record] : aTable.mByToken) {
    if (const auto percent = flows::ReportedSpeedPercent(record.mSpeed, aNow)) {
      speeds.emplace(token, percent);
    }
  }
  return speeds;
}

} // namespace sassafrasknot::edge
