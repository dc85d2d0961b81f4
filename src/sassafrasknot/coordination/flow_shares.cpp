#include "sassafrasknot/coordination/flow_shares.hpp"

namespace sassafrasknot::coordination {
namespace {

/// Open flows of one traffic core: 500,000 entries of about 250 bytes take less
/// than half of an instance's memory of 256 MB.
constexpr std::uint64_t kMaxOpenFlows = 500000;
/// A placement takes about 1 us, so that most of a traffic thread's time is
/// left for packets.
constexpr double kMaxNewFlowsPerSecond = 20000;
constexpr double kNewFlowBurst = 5000;

/// Returns the organisation of the flow's shard, or null.
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
  return MakeOrganisationShares(kMaxOpenFlows, kMaxNewFlowsPerSecond, aNow);
}

void
UpdateShares(TrafficState& aState, state::TimePoint aNow)
{
  aState.mNewFlowBucket.mRate = kMaxNewFlowsPerSecond;
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
