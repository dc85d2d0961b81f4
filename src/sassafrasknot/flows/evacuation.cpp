#include "sassafrasknot/flows/evacuation.hpp"

#include <algorithm>
#include <utility>

namespace sassafrasknot::flows {
namespace {

/// Returns the share of an upstream's capacity that is unused, as far as it is
/// known here. It stays above zero, so that reports which are out of date
/// exclude no data centre.
double
SpareCapacity(const UpstreamRecord& aRecord)
{
  constexpr double kMinSpareCapacity = 0.05;
  const double activeRequests =
    aRecord.mOwnLoad.mActiveRequests + aRecord.mPeerLoad.mActiveRequests;
  const double utilisation = std::max(activeRequests / aRecord.mUpstream.mSlots,
                                      AssumedUtilisation(aRecord));
  return std::max(1 - utilisation, kMinSpareCapacity);
}

} // namespace

bool
BeginEvacuation(DirectoryBuilder& aBuilder, const Evacuation& aEvacuation)
{
  auto& revision = aBuilder.mEvacuations[aEvacuation.mDataCentre];
  if (aEvacuation.mRevision <= revision) {
    return false;
  }
  revision = aEvacuation.mRevision;
  return true;
}

bool
EndEvacuation(DirectoryBuilder& aBuilder,
              const state::DataCentreId& aDataCentre)
{
  return aBuilder.mEvacuations.erase(aDataCentre) > 0;
}

std::size_t
CountUpstreams(const DirectoryBuilder& aBuilder,
               const state::DataCentreId& aDataCentre)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aBuilder.mUpstreams, [&](const auto& aItem) {
      return aItem.second.mListed.mUpstream.mDataCentre == aDataCentre;
    }));
}

bool
ApplyEvacuations(UpstreamTable& aTable, const Evacuations& aEvacuations)
{
  bool hasChanged = false;
  for (auto& [token, record] : aTable.mByToken) {
    const bool isEvacuated =
      aEvacuations.contains(record.mUpstream.mDataCentre);
    hasChanged = std::exchange(record.mEvacuated, isEvacuated) != isEvacuated ||
                 hasChanged;
  }
  return hasChanged;
}

void
AddEvacuated(ServicePool& aPool, const state::DataCentreId& aDataCentre)
{
  if (std::ranges::find(aPool.mEvacuated, aDataCentre) ==
      aPool.mEvacuated.end()) {
    aPool.mEvacuated.push_back(aDataCentre);
  }
}

void
KeepOneDataCentre(std::vector<UpstreamRecord*>& aCandidates,
                  std::minstd_rand& aRandom)
{
  std::vector<double> weights;
  weights.reserve(aCandidates.size());
  for (const auto* record : aCandidates) {
    weights.push_back(SpareCapacity(*record));
  }
  std::discrete_distribution<std::size_t> choose(weights.begin(),
                                                 weights.end());
  const auto dataCentre = aCandidates[choose(aRandom)]->mUpstream.mDataCentre;
  std::erase_if(aCandidates, [&](const auto* aRecord) {
    return aRecord->mUpstream.mDataCentre != dataCentre;
  });
}

} // namespace sassafrasknot::flows
