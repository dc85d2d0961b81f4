#include "sassafrasknot/flows/placement_candidates.hpp"

#include "sassafrasknot/flows/evacuation.hpp"

#include <algorithm>
#include <span>

namespace sassafrasknot::flows {
namespace {

/// Preference class of an upstream for a flow. Only upstreams of the lowest
/// class that any has are compared.
enum class Preference : std::uint8_t
{
  Admitting,    ///< Responsive, or a trial is due.
  NotAdmitting, ///< Suspected or unresponsive.
  Avoided,      ///< Has not answered this flow's opening packet.
};

Preference
PreferenceOf(const UpstreamRecord& aRecord,
             const PlacementRequest& aRequest,
             state::TimePoint aNow)
{
  if (aRecord.mToken == aRequest.mAvoid) {
    return Preference::Avoided;
  }
  return AdmitsFlow(aRecord.mFailureDetector, aNow) ? Preference::Admitting
                                                    : Preference::NotAdmitting;
}

/// Returns the upstreams of the best preference class that any has.
std::vector<UpstreamRecord*>
PreferredCandidates(std::span<UpstreamRecord* const> aUpstreams,
                    const PlacementRequest& aRequest,
                    state::TimePoint aNow)
{
  std::vector<UpstreamRecord*> candidates;
  auto best = Preference::Avoided;
  for (auto* record : aUpstreams) {
    if (!AcceptsFlows(*record) ||
        !AdmitsColdFlow(*record, aRequest.mLength, aNow)) {
      continue;
    }
    const auto preference = PreferenceOf(*record, aRequest, aNow);
    if (preference < best) {
      best = preference;
      candidates.clear();
    }
    if (preference == best) {
      candidates.push_back(record);
    }
  }
  return candidates;
}

/// Adds the cold upstreams on which only this instance places flows, as far as
/// they admit the flow. They may be outside of its subset.
void
AddColdCandidates(std::vector<UpstreamRecord*>& aCandidates,
                  const ServicePool& aPool,
                  const PlacementRequest& aRequest,
                  state::TimePoint aNow)
{
  for (auto* record : PreferredCandidates(aPool.mColdPlaced, aRequest, aNow)) {
    if (IsColdAndLimited(*record, aNow) &&
        PreferenceOf(*record, aRequest, aNow) == Preference::Admitting &&
        std::ranges::find(aCandidates, record) == aCandidates.end()) {
      aCandidates.push_back(record);
    }
  }
}

/// Adds aWanted random upstreams of other data centres that admit the flow.
void
AddRemoteCandidates(std::vector<UpstreamRecord*>& aCandidates,
                    const ServicePool& aPool,
                    const PlacementRequest& aRequest,
                    std::size_t aWanted,
                    std::minstd_rand& aRandom,
                    state::TimePoint aNow)
{
  // Several draws for each choice, since upstreams of an unreachable data
  // centre may be drawn, which do not admit the flow.
  constexpr std::size_t kDrawsPerChoice = 4;
  std::size_t wanted = aWanted;
  auto draws = aPool.mRemote.empty() ? 0 : wanted * kDrawsPerChoice;
  for (; wanted > 0 && draws > 0; --draws) {
    auto* record = aPool.mRemote[aRandom() % aPool.mRemote.size()];
    if (AcceptsFlows(*record) &&
        AdmitsColdFlow(*record, aRequest.mLength, aNow) &&
        PreferenceOf(*record, aRequest, aNow) == Preference::Admitting) {
      aCandidates.push_back(record);
      --wanted;
    }
  }
}

/// Removes all but the first mLocalChoices local and mRemoteChoices remote
/// candidates.
void
LimitCandidates(std::vector<UpstreamRecord*>& aCandidates,
                const PlacementRequest& aRequest,
                const PlacementPolicy& aPolicy)
{
  std::size_t local = 0;
  std::size_t remote = 0;
  std::erase_if(aCandidates, [&](const UpstreamRecord* aRecord) {
    const bool isLocal = aRecord->mUpstream.mDataCentre == aRequest.mDataCentre;
    return isLocal ? ++local > aPolicy.mLocalChoices
                   : ++remote > aPolicy.mRemoteChoices;
  });
}

/// Returns upstreams to compare for an instance whose subset is in an evacuated
/// data centre: random ones of one other data centre.
std::vector<UpstreamRecord*>
SpreadCandidates(const ServicePool& aPool,
                 const PlacementRequest& aRequest,
                 const PlacementPolicy& aPolicy,
                 std::minstd_rand& aRandom,
                 state::TimePoint aNow)
{
  std::vector<UpstreamRecord*> candidates;
  AddRemoteCandidates(
    candidates, aPool, aRequest, aPolicy.mSpreadChoices, aRandom, aNow);
  if (candidates.empty()) {
    candidates = PreferredCandidates(aPool.mRemote, aRequest, aNow);
    std::ranges::shuffle(candidates, aRandom);
    candidates.resize(std::min(candidates.size(), aPolicy.mSpreadChoices));
  }
  if (!candidates.empty()) {
    KeepOneDataCentre(candidates, aRandom);
  }
  return candidates;
}

} // namespace

bool
AcceptsFlows(const UpstreamRecord& aRecord)
{
  return aRecord.mPresence != Presence::Removed &&
         !aRecord.mUpstream.mDraining && !aRecord.mEvacuated;
}

std::vector<UpstreamRecord*>
FindCandidates(const ServicePool& aPool,
               const PlacementRequest& aRequest,
               const PlacementPolicy& aPolicy,
               std::minstd_rand& aRandom,
               state::TimePoint aNow)
{
  if (!aPool.mIsSubset) {
    auto candidates = PreferredCandidates(aPool.mAll, aRequest, aNow);
    std::ranges::shuffle(candidates, aRandom);
    return candidates;
  }
  if (aPool.mSpreadsRemotely) {
    return SpreadCandidates(aPool, aRequest, aPolicy, aRandom, aNow);
  }
  auto candidates = PreferredCandidates(aPool.mLocalCandidates, aRequest, aNow);
  const bool hasAdmitting =
    !candidates.empty() &&
    PreferenceOf(*candidates.front(), aRequest, aNow) == Preference::Admitting;
  if (!hasAdmitting) {
    candidates = PreferredCandidates(aPool.mAll, aRequest, aNow);
    std::ranges::shuffle(candidates, aRandom);
    LimitCandidates(candidates, aRequest, aPolicy);
    return candidates;
  }
  AddRemoteCandidates(
    candidates, aPool, aRequest, aPolicy.mRemoteChoices, aRandom, aNow);
  AddColdCandidates(candidates, aPool, aRequest, aNow);
  std::ranges::shuffle(candidates, aRandom);
  return candidates;
}

bool
RemoveWithoutCapacity(std::vector<UpstreamRecord*>& aCandidates,
                      const ServicePool& aPool,
                      PriorityClass aClass,
                      state::TimePoint aNow)
{
  if (aCandidates.empty() ||
      (aCandidates.size() == 1 &&
       std::ranges::count_if(aPool.mAll, [](const UpstreamRecord* aRecord) {
         return AcceptsFlows(*aRecord);
       }) <= 1)) {
    return false;
  }
  std::erase_if(aCandidates, [&](const UpstreamRecord* aRecord) {
    return !HasCapacity(*aRecord, aClass, aNow);
  });
  return aCandidates.empty();
}

} // namespace sassafrasknot::flows
