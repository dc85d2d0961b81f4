#include "sassafrasknot/coordination/member_queries.hpp"

#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

/// Keeps the relayed summaries of a message under 100 bytes.
constexpr std::size_t kMaxSummariesPerMessage = 4;

state::InstanceView
MakeView(const MemberUpdate& aUpdate)
{
  state::InstanceView view;
  view.mId = aUpdate.mId;
  view.mDataCentre = aUpdate.mDataCentre;
  view.mPeerEndpoint = aUpdate.mPeerEndpoint;
  view.mControlEndpoint = aUpdate.mControlEndpoint;
  view.mState = aUpdate.mHealth == MemberHealth::Dead
                  ? state::InstanceState::Dead
                : aUpdate.mLeaving ? state::InstanceState::Leaving
                                   : state::InstanceState::Live;
  view.mIncarnation = aUpdate.mIncarnation;
  view.mHash = state::HashBytes(aUpdate.mId.mValue);
  return view;
}

} // namespace

bool
IsAssigned(const Membership& aMembership,
           std::string_view aTask,
           std::size_t aCount)
{
  const auto& self = aMembership.mSelf;
  if (self.mLeaving) {
    return false;
  }
  const auto task =
    state::HashBytes(self.mDataCentre.mValue, state::HashBytes(aTask));
  const auto score = [&](const state::InstanceId& aId) {
    return state::RendezvousScore(task, state::HashBytes(aId.mValue));
  };
  const auto own = score(self.mId);
  std::size_t higherRanked = 0;
  for (const auto& [id, member] : aMembership.mMembers) {
    const auto& update = member.mUpdate;
    if (update.mDataCentre == self.mDataCentre && !update.mLeaving &&
        update.mHealth != MemberHealth::Dead && score(id) > own) {
      ++higherRanked;
    }
  }
  return higherRanked < aCount;
}

std::vector<const Member*>
ChooseMembers(const Membership& aMembership,
              const state::DataCentreId& aDataCentre,
              std::size_t aCount,
              RandomGenerator& aRandom)
{
  std::vector<const Member*> notDead;
  std::vector<const Member*> dead;
  for (const auto& [id, member] : aMembership.mMembers) {
    if (member.mUpdate.mDataCentre == aDataCentre) {
      const bool isDead = member.mUpdate.mHealth == MemberHealth::Dead;
      (isDead ? dead : notDead).push_back(&member);
    }
  }
  std::vector<const Member*> chosen;
  const auto& candidates = notDead.empty() ? dead : notDead;
  std::sample(candidates.begin(),
              candidates.end(),
              std::back_inserter(chosen),
              aCount,
              aRandom);
  return chosen;
}

std::size_t
CountPeers(const Membership& aMembership)
{
  return static_cast<std::size_t>(std::count_if(
    aMembership.mMembers.begin(),
    aMembership.mMembers.end(),
    [&](const auto& aEntry) {
      const auto& update = aEntry.second.mUpdate;
      return update.mDataCentre == aMembership.mSelf.mDataCentre &&
             update.mHealth != MemberHealth::Dead;
    }));
}

std::set<state::DataCentreId>
OtherDataCentres(const Membership& aMembership)
{
  std::set<state::DataCentreId> others;
  for (const auto& [id, member] : aMembership.mMembers) {
    if (member.mUpdate.mDataCentre != aMembership.mSelf.mDataCentre) {
      others.insert(member.mUpdate.mDataCentre);
    }
  }
  return others;
}

std::set<state::DataCentreId>
ReachableDataCentres(const Membership& aMembership, state::TimePoint aNow)
{
  std::set<state::DataCentreId> reachable{ aMembership.mSelf.mDataCentre };
  for (const auto& [dataCentre, remote] : aMembership.mRemoteDataCentres) {
    if (aNow - remote.mLastSummary < kUnreachableTimeout) {
      reachable.insert(dataCentre);
    }
  }
  return reachable;
}

std::vector<RelayedSummary>
MakeRelayedSummaries(const Membership& aMembership, state::TimePoint aNow)
{
  std::vector<RelayedSummary> summaries;
  for (const auto& [dataCentre, remote] : aMembership.mRemoteDataCentres) {
    const auto age = aNow - remote.mLastSummary;
    if (age < kUnreachableTimeout) {
      summaries.push_back(
        { dataCentre,
          remote.mLowestRevision,
          std::chrono::ceil<std::chrono::milliseconds>(age) });
    }
  }
  std::sort(summaries.begin(),
            summaries.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.mAge < aRight.mAge;
            });
  if (summaries.size() > kMaxSummariesPerMessage) {
    summaries.resize(kMaxSummariesPerMessage);
  }
  return summaries;
}

std::vector<state::InstanceView>
MakeInstanceViews(const Membership& aMembership)
{
  std::vector<state::InstanceView> views;
  views.reserve(aMembership.mMembers.size() + 1);
  const auto& self = aMembership.mSelf;
  bool selfAdded = false;
  for (const auto& [id, member] : aMembership.mMembers) {
    if (!selfAdded && self.mId < id) {
      views.push_back(MakeView(self));
      selfAdded = true;
    }
    views.push_back(MakeView(member.mUpdate));
  }
  if (!selfAdded) {
    views.push_back(MakeView(self));
  }
  return views;
}

} // namespace sassafrasknot::coordination
