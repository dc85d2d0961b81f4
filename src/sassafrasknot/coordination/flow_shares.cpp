#include "sassafrasknot/coordination/flow_shares.hpp"

namespace sassafrasknot::coordination {
namespace {

/// Flows of one traffic core: 500,000 entries of about 250 bytes stay within
/// half of the 256 MB of a node.
constexpr std::uint64_t kMostFlows = 500000;
/// New flows a second of one traffic core. A placement takes about 1 us, so
/// this leaves most of the core to packets.
constexpr double kMostNewFlows = 20000;
constexpr double kNewFlowBurst = 5000;

/// Returns the organisation of the shard that accounts the flow, or null.
const state::OrganisationId*
OrganisationOf(TrafficState& aState, const FlowEntry& aEntry)
{
  const auto found = aState.mShards.find(aEntry.mShard);
  return found == aState.mShards.end() ? nullptr : &found->second.mOrganisation;
}

} // namespace

OrganisationShares
MakeCoreShares(state::TimePoint aNow)
{
  return MakeOrganisationShares(kMostFlows, kMostNewFlows, aNow);
}

void
UpdateShares(TrafficState& aState, state::TimePoint aNow)
{
  aState.mNewFlowBucket.mRate = kMostNewFlows;
  aState.mNewFlowBucket.mBurst = kNewFlowBurst;
  for (const auto& service : aState.mIndex.mSnapshot->mServices) {
    SetWeight(aState.mShares,
              service.mId.mOrganisation,
              service.mOrganisationWeight,
              aNow);
  }
}

bool
AdmitNewFlow(TrafficState& aState,
             state::TimePoint aNow,
             const state::OrganisationId& aOrganisation)
{
  const bool overloaded = !TryConsume(aState.mNewFlowBucket, 1, aNow);
  return AdmitFlow(aState.mShares, aOrganisation, overloaded, aNow);
}

void
AddToShare(TrafficState& aState, FlowEntry& aEntry)
{
  if (const auto* const organisation = OrganisationOf(aState, aEntry);
      organisation != nullptr && !aEntry.mCountedInShare) {
    aEntry.mCountedInShare = true;
    AddOpenFlow(aState.mShares, *organisation);
  }
}

void
RemoveFromShare(TrafficState& aState, FlowEntry& aEntry)
{
  if (const auto* const organisation = OrganisationOf(aState, aEntry);
      organisation != nullptr && aEntry.mCountedInShare) {
    aEntry.mCountedInShare = false;
    RemoveOpenFlow(aState.mShares, *organisation);
  }
}

} // namespace sassafrasknot::coordination
