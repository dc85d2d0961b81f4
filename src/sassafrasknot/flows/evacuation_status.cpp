#include "sassafrasknot/flows/evacuation_status.hpp"

namespace sassafrasknot::flows {

std::map<state::DataCentreId, EvacuationStatus>
EvacuationStatuses(const FlowRouter& aRouter)
{
  std::map<state::DataCentreId, EvacuationStatus> statuses;
  for (const auto& [dataCentre, count] : aRouter.mEvacuationRefusals) {
    statuses[dataCentre].mRefusedFlows = count;
  }
  if (!aRouter.mDirectory || aRouter.mDirectory->mEvacuations.empty()) {
    return statuses;
  }
  for (const auto& [dataCentre, revision] : aRouter.mDirectory->mEvacuations) {
    statuses.try_emplace(dataCentre);
  }
  const auto& upstreams = aRouter.mUpstreams.mByToken;
  for (const auto& [key, entry] : aRouter.mFlows) {
    const auto found = upstreams.find(entry.mToken);
    if (entry.mEstablished && found != upstreams.end() &&
        found->second.mEvacuated) {
      ++statuses[found->second.mUpstream.mDataCentre].mOpenFlows;
    }
  }
  return statuses;
}

} // namespace sassafrasknot::flows
