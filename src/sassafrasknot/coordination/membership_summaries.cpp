#include "sassafrasknot/coordination/member_queries.hpp"
#include "sassafrasknot/coordination/member_updates.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

constexpr std::chrono::seconds kSummaryPeriod{ 1 };
constexpr std::size_t kMaxMembersPerSummary = 3;

using state::TimePoint;

/// Returns the lowest revision in force among this data centre's instances that
/// are listed or not dead; zero if one of them has sent no message.
state::Revision
LowestLocalRevision(const Membership& aMembership, state::Revision aOwnRevision)
{
  auto lowest = aOwnRevision;
  for (const auto& [id, member] : aMembership.mMembers) {
    const bool counts =
      member.mListed || member.mUpdate.mHealth != MemberHealth::Dead;
    if (counts && IsLocal(aMembership, member)) {
      lowest = std::min(lowest, member.mRevisionInForce);
    }
  }
  return lowest;
}

/// Chooses updates of this data centre's members for a summary. Suspected
/// members are shown as alive, since suspicions stay in the data centre.
std::vector<MemberUpdate>
ChooseSummaryMembers(const Membership& aMembership, RandomGenerator& aRandom)
{
  std::vector<const Member*> local;
  for (const auto& [id, member] : aMembership.mMembers) {
    if (IsLocal(aMembership, member)) {
      local.push_back(&member);
    }
  }
  // Members with recent changes come first, the others in random order.
  std::shuffle(local.begin(), local.end(), aRandom);
  std::stable_sort(
    local.begin(), local.end(), [](const Member* aLeft, const Member* aRight) {
      return aLeft->mTransmissionsLeft > aRight->mTransmissionsLeft;
    });
  std::vector<MemberUpdate> updates;
  for (const auto* member : local) {
    if (updates.size() == kMaxMembersPerSummary) {
      break;
    }
    updates.push_back(member->mUpdate);
    if (updates.back().mHealth == MemberHealth::Suspected) {
      updates.back().mHealth = MemberHealth::Alive;
    }
  }
  return updates;
}

} // namespace

std::vector<OutgoingMessage>
MakeSummaries(Membership& aMembership,
              state::Revision aOwnRevision,
              RandomGenerator& aRandom,
              TimePoint aNow)
{
  std::vector<OutgoingMessage> summaries;
  if (aNow < aMembership.mNextSummary) {
    return summaries;
  }
  aMembership.mNextSummary = aNow + kSummaryPeriod;
  for (const auto& dataCentre : OtherDataCentres(aMembership)) {
    if (!IsAssigned(aMembership, "contact/" + dataCentre.mValue, 1)) {
      continue;
    }
    for (const auto* receiver :
         ChooseMembers(aMembership, dataCentre, 1, aRandom)) {
      summaries.push_back(
        { receiver->mUpdate.mPeerEndpoint,
          DataCentreSummary{ aMembership.mSelf.mDataCentre,
                             LowestLocalRevision(aMembership, aOwnRevision),
                             ChooseSummaryMembers(aMembership, aRandom) } });
    }
  }
  return summaries;
}

state::Revision
LowestRevisionInForce(const Membership& aMembership,
                      state::Revision aOwnRevision)
{
  auto lowest = LowestLocalRevision(aMembership, aOwnRevision);
  for (const auto& dataCentre : OtherDataCentres(aMembership)) {
    const auto remote = aMembership.mRemoteDataCentres.find(dataCentre);
    lowest = std::min(lowest,
                      remote == aMembership.mRemoteDataCentres.end()
                        ? 0
                        : remote->second.mLowestRevision);
  }
  return lowest;
}

} // namespace sassafrasknot::coordination
