#include "sassafrasknot/edge/control_loop.hpp"

#include <utility>

namespace sassafrasknot::edge {

void
ControlLoop::ApplyEvacuation(const DecodedEvacuation& aDecoded,
                             const std::string& aKey)
{
  const auto& [evacuation, valueError] = aDecoded;
  const auto revision = std::to_string(evacuation.mRevision);
  if (!valueError.empty()) {
    Increment(mMetrics->mMalformedRecords);
    mLog->Write(
      "record_unreadable",
      { { "key", aKey }, { "revision", revision }, { "reason", valueError } });
  }
  if (flows::BeginEvacuation(mDirectoryBuilder, evacuation)) {
    mLog->Write("evacuation_started",
                { { "data_centre", evacuation.mDataCentre.mValue },
                  { "revision", revision } });
  }
}

void
ControlLoop::ApplyEvacuationEnd(const state::DataCentreId& aDataCentre)
{
  if (flows::EndEvacuation(mDirectoryBuilder, aDataCentre)) {
    mLog->Write("evacuation_ended",
                { { "data_centre", aDataCentre.mValue },
                  { "revision", std::to_string(mCore.mCatalogue.mRevision) } });
  }
}

void
ControlLoop::CheckEvacuations()
{
  std::set<state::DataCentreId> withoutUpstreams;
  for (const auto& [dataCentre, revision] : mDirectoryBuilder.mEvacuations) {
    if (flows::CountUpstreams(mDirectoryBuilder, dataCentre) > 0) {
      continue;
    }
    withoutUpstreams.insert(dataCentre);
    if (!mEvacuatedWithoutUpstreams.contains(dataCentre)) {
      Increment(mMetrics->mEvacuationsWithoutUpstreams);
      mLog->Write("evacuation_without_upstreams",
                  { { "data_centre", dataCentre.mValue },
                    { "revision", std::to_string(revision) } });
    }
  }
  mEvacuatedWithoutUpstreams = std::move(withoutUpstreams);
}

std::vector<EvacuationReport>
ControlLoop::EvacuationReports() const
{
  // The traffic thread's report may lack an evacuation that has just begun.
  auto statuses = mTrafficReport.mEvacuations;
  for (const auto& [dataCentre, revision] : mDirectoryBuilder.mEvacuations) {
    statuses.try_emplace(dataCentre);
  }
  std::vector<EvacuationReport> reports;
  for (const auto& [dataCentre, status] : statuses) {
    const auto found = mDirectoryBuilder.mEvacuations.find(dataCentre);
    reports.push_back(
      { dataCentre,
        found == mDirectoryBuilder.mEvacuations.end() ? 0 : found->second,
        flows::CountUpstreams(mDirectoryBuilder, dataCentre),
        status });
  }
  return reports;
}

} // namespace sassafrasknot::edge
