#include "sassafrasknot/state/claims.hpp"

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace sassafrasknot::state {
namespace {

using Organisations = std::map<std::string, OrganisationState, std::less<>>;
using Choices = std::map<std::string, ActivePairChoice, std::less<>>;

/// Key and claim of the organisation that holds an endpoint.
struct Holder
{
  Revision mRevision = 0;
  const std::string* mKey = nullptr;
};

struct EndpointHash
{
  std::size_t operator()(const Endpoint& aEndpoint) const noexcept
  {
    return std::hash<std::uint64_t>{}(
      (std::uint64_t{ aEndpoint.mAddress.mValue } << 16) | aEndpoint.mPort);
  }
};

using Holders = std::unordered_map<Endpoint, Holder, EndpointHash>;

/// Returns whether a pair exists and is valid.
bool
IsUsable(const std::optional<RenderedPair>& aPair)
{
  return aPair && aPair->mOrganisation;
}

/// Returns the pair of a choice, or null for ActivePairChoice::None.
const RenderedPair*
ChosenPair(const OrganisationState& aState, ActivePairChoice aChoice)
{
  if (aChoice == ActivePairChoice::None) {
    return nullptr;
  }
  return aChoice == ActivePairChoice::Latest ? &*aState.mLatest
                                             : &*aState.mFallback;
}

/// Returns the revision of the claim of an endpoint by a pair: that of the pair
/// unless the organisation has an earlier claim.
Revision
ClaimRevision(const OrganisationState& aState,
              const RenderedPair& aPair,
              const Endpoint& aEndpoint)
{
  const auto found = aState.mClaims.find(aEndpoint);
  const auto revision = PairRevision(aPair.mPair);
  return found == aState.mClaims.end() ? revision
                                       : std::min(found->second, revision);
}

/// Returns the holder of each endpoint: of the organisations whose chosen pairs
/// use it, the one with the lowest claim revision, then the lowest key.
Holders
FindHolders(const Organisations& aOrganisations, const Choices& aChoices)
{
  Holders holders;
  for (const auto& [key, state] : aOrganisations) {
    const auto* pair = ChosenPair(state, aChoices.at(key));
    if (pair == nullptr) {
      continue;
    }
    for (const auto& endpoint : pair->mEndpoints) {
      const Holder claim{ ClaimRevision(state, *pair, endpoint), &key };
      const auto [position, inserted] = holders.try_emplace(endpoint, claim);
      if (!inserted &&
          std::tie(claim.mRevision, *claim.mKey) <
            std::tie(position->second.mRevision, *position->second.mKey)) {
        position->second = claim;
      }
    }
  }
  return holders;
}

/// Returns the first endpoint of a pair that another organisation holds, or
/// null if there is none.
const Endpoint*
FirstConflict(const RenderedPair& aPair,
              const std::string& aKey,
              const Holders& aHolders)
{
  for (const auto& endpoint : aPair.mEndpoints) {
    const auto found = aHolders.find(endpoint);
    if (found != aHolders.end() && *found->second.mKey != aKey) {
      return &endpoint;
    }
  }
  return nullptr;
}

std::string
ConflictReason(const Endpoint& aEndpoint, const Holders& aHolders)
{
  return "endpoint " + ToString(aEndpoint) + " is already claimed by " +
         *aHolders.at(aEndpoint).mKey;
}

/// Reconsiders organisations whose pair was rejected, in ascending order of its
/// revision. A pair may have lost a claim to an organisation that was then
/// rejected itself; it is chosen if its endpoints are free now.
void
ReconsiderRejected(
  Organisations& aOrganisations,
  Choices& aChoices,
  const std::vector<std::pair<Revision, std::string>>& aRejected)
{
  for (const auto& [revision, key] : aRejected) {
    auto& state = aOrganisations.find(key)->second;
    const auto holders = FindHolders(aOrganisations, aChoices);
    if (IsUsable(state.mLatest) &&
        FirstConflict(*state.mLatest, key, holders) == nullptr) {
      aChoices[key] = ActivePairChoice::Latest;
      state.mReason.clear();
    } else if (aChoices[key] == ActivePairChoice::None &&
               IsUsable(state.mFallback) &&
               FirstConflict(*state.mFallback, key, holders) == nullptr) {
      aChoices[key] = ActivePairChoice::Fallback;
    }
  }
}

} // namespace

Revision
PairRevision(const RecordPair& aPair)
{
  return std::max(aPair.mOrganisation.mRevision, aPair.mTemplate.mRevision);
}

Choices
ResolveClaims(Organisations& aOrganisations)
{
  Choices choices;
  for (auto& [key, state] : aOrganisations) {
    choices[key] = IsUsable(state.mLatest)     ? ActivePairChoice::Latest
                   : IsUsable(state.mFallback) ? ActivePairChoice::Fallback
                                               : ActivePairChoice::None;
    state.mReason = state.mLatest ? state.mLatest->mReason : std::string();
  }
  std::set<std::pair<Revision, std::string>> rejected;
  // Each round rejects the pairs that lose a claim. The loop ends because a
  // choice only changes from latest to fallback or none, or from fallback to
  // none.
  for (bool settled = false; !settled;) {
    settled = true;
    const auto holders = FindHolders(aOrganisations, choices);
    for (auto& [key, state] : aOrganisations) {
      auto& choice = choices[key];
      const auto* pair = ChosenPair(state, choice);
      const auto* conflict =
        pair == nullptr ? nullptr : FirstConflict(*pair, key, holders);
      if (conflict == nullptr) {
        continue;
      }
      settled = false;
      state.mReason = ConflictReason(*conflict, holders);
      rejected.emplace(PairRevision(pair->mPair), key);
      choice = choice == ActivePairChoice::Latest && IsUsable(state.mFallback)
                 ? ActivePairChoice::Fallback
                 : ActivePairChoice::None;
    }
  }
  ReconsiderRejected(
    aOrganisations, choices, { rejected.begin(), rejected.end() });
  return choices;
}

} // namespace sassafrasknot::state
