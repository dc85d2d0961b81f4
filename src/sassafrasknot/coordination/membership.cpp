#include "sassafrasknot/coordination/membership.hpp"

#include "sassafrasknot/coordination/member_queries.hpp"
#include "sassafrasknot/coordination/member_updates.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace sassafrasknot::coordination {
namespace {

/// Number of members that probe an unresponsive one on request.
constexpr std::size_t kIndirectProbes = 3;
/// One dead member is probed at this interval, so that the end of a network
/// partition is detected.
constexpr std::chrono::seconds kDeadProbePeriod{ 2 };
/// A dead member that is not listed is kept for this time: an old update that
/// arrives later than its removal would add it again as a live member.
constexpr std::chrono::seconds kDeadRetention{ 60 };
/// Additional timeout of suspicions that arrived in an update, so that the
/// refutation can arrive as well. Without it, lost messages lead some members
/// to count a live one as dead.
constexpr std::chrono::seconds kRefutationGrace{ 1 };
/// A relayed probe without acknowledgement is removed after this time.
constexpr std::chrono::seconds kRelayedProbeTimeout{ 1 };

using state::TimePoint;

/// Replaces the health in a member's update and keeps its other fields.
void
SetHealth(Membership& aMembership,
          Member& aMember,
          MemberHealth aHealth,
          MembershipResult& aResult,
          TimePoint aNow)
{
  auto update = aMember.mUpdate;
  update.mHealth = aHealth;
  UpdateMember(aMembership, aMember, update, aResult, aNow);
}

/// Returns the next member of the probe round, or null if this data centre has
/// no other member that is not dead. A round contains each member of this data
/// centre once, in random order, which bounds the time until it is probed.
Member*
NextProbeTarget(Membership& aMembership, RandomGenerator& aRandom)
{
  const auto popLiveMember = [&]() -> Member* {
    while (!aMembership.mProbeRound.empty()) {
      const auto id = std::move(aMembership.mProbeRound.back());
      aMembership.mProbeRound.pop_back();
      const auto found = aMembership.mMembers.find(id);
      if (found != aMembership.mMembers.end() &&
          found->second.mUpdate.mHealth != MemberHealth::Dead) {
        return &found->second;
      }
    }
    return nullptr;
  };
  if (auto* target = popLiveMember()) {
    return target;
  }
  for (const auto& [id, member] : aMembership.mMembers) {
    if (IsLocal(aMembership, member)) {
      aMembership.mProbeRound.push_back(id);
    }
  }
  std::shuffle(
    aMembership.mProbeRound.begin(), aMembership.mProbeRound.end(), aRandom);
  return popLiveMember();
}

/// Probes one random dead member of this data centre, if any.
void
ProbeDeadMember(Membership& aMembership,
                RandomGenerator& aRandom,
                MembershipResult& aResult,
                TimePoint aNow)
{
  std::vector<const Member*> dead;
  for (const auto& [id, member] : aMembership.mMembers) {
    if (IsLocal(aMembership, member) &&
        member.mUpdate.mHealth == MemberHealth::Dead) {
      dead.push_back(&member);
    }
  }
  if (!dead.empty()) {
    SendProbe(aMembership, *dead[aRandom() % dead.size()], aResult, aNow);
  }
}

/// Probes one random member that this instance itself suspects, so that it can
/// refute the suspicion in time.
void
ProbeSuspectedMember(Membership& aMembership,
                     RandomGenerator& aRandom,
                     MembershipResult& aResult,
                     TimePoint aNow)
{
  std::vector<const Member*> suspects;
  for (const auto& [id, member] : aMembership.mMembers) {
    if (member.mSuspectedBySelf &&
        member.mUpdate.mHealth == MemberHealth::Suspected) {
      suspects.push_back(&member);
    }
  }
  if (!suspects.empty()) {
    SendProbe(
      aMembership, *suspects[aRandom() % suspects.size()], aResult, aNow);
  }
}

/// Requests that up to kIndirectProbes random members probe a target, for the
/// case that only the direct path to the target is lossy.
void
ProbeIndirectly(Membership& aMembership,
                std::uint32_t aToken,
                const Member& aTarget,
                RandomGenerator& aRandom,
                MembershipResult& aResult)
{
  const auto& target = aTarget.mUpdate;
  auto relays = ChooseMembers(
    aMembership, aMembership.mSelf.mDataCentre, kIndirectProbes + 1, aRandom);
  std::erase_if(relays, [&](const Member* aRelay) {
    return aRelay == &aTarget || aRelay->mUpdate.mHealth == MemberHealth::Dead;
  });
  if (relays.size() > kIndirectProbes) {
    relays.pop_back();
  }
  for (const auto* relay : relays) {
    aResult.mOutgoing.push_back(
      { relay->mUpdate.mPeerEndpoint,
        IndirectProbe{ aToken, target.mId, target.mPeerEndpoint, {} } });
  }
}

/// Retries pending probes and suspects the members whose probes timed out.
void
UpdatePendingProbes(Membership& aMembership,
                    RandomGenerator& aRandom,
                    MembershipResult& aResult,
                    TimePoint aNow)
{
  for (auto at = aMembership.mPendingProbes.begin();
       at != aMembership.mPendingProbes.end();) {
    auto& [token, probe] = *at;
    const auto found = aMembership.mMembers.find(probe.mTarget);
    const auto age = aNow - probe.mSent;
    if (found == aMembership.mMembers.end() || age >= kProbeTimeout) {
      if (found != aMembership.mMembers.end() &&
          found->second.mUpdate.mHealth == MemberHealth::Alive) {
        found->second.mSuspectedBySelf = true;
        SetHealth(
          aMembership, found->second, MemberHealth::Suspected, aResult, aNow);
      }
      at = aMembership.mPendingProbes.erase(at);
      continue;
    }
    const auto attempts = age >= 2 * kProbeRetryInterval ? 3U
                          : age >= kProbeRetryInterval   ? 2U
                                                         : 1U;
    if (attempts > probe.mAttempts) {
      probe.mAttempts = attempts;
      const auto& target = found->second.mUpdate;
      if (attempts == 2) {
        aResult.mOutgoing.push_back(
          { target.mPeerEndpoint, Probe{ token, {} } });
      } else if (target.mHealth == MemberHealth::Alive) {
        ProbeIndirectly(aMembership, token, found->second, aRandom, aResult);
      }
    }
    ++at;
  }
}

/// Counts members as dead whose suspicion timed out, and removes dead members
/// and relayed probes whose retention is over.
void
UpdateTimedOutMembers(Membership& aMembership,
                      MembershipResult& aResult,
                      TimePoint aNow)
{
  for (auto& [id, member] : aMembership.mMembers) {
    if (IsLocal(aMembership, member) &&
        member.mUpdate.mHealth == MemberHealth::Suspected &&
        aNow - member.mHealthChangeTime >=
          (member.mSuspectedBySelf ? kSuspicionTimeout
                                   : kSuspicionTimeout + kRefutationGrace)) {
      SetHealth(aMembership, member, MemberHealth::Dead, aResult, aNow);
    }
  }
  const auto erased =
    std::erase_if(aMembership.mMembers, [&](const auto& aEntry) {
      const auto& member = aEntry.second;
      return !member.mListed && member.mUpdate.mHealth == MemberHealth::Dead &&
             aNow - member.mHealthChangeTime >= kDeadRetention;
    });
  aResult.mViewsChanged = aResult.mViewsChanged || erased > 0;
  std::erase_if(aMembership.mRelayedProbes, [&](const auto& aEntry) {
    return aNow - aEntry.second.mSent >= kRelayedProbeTimeout;
  });
}

} // namespace

MembershipResult
TickMembership(Membership& aMembership,
               RandomGenerator& aRandom,
               TimePoint aNow)
{
  MembershipResult result;
  UpdatePendingProbes(aMembership, aRandom, result, aNow);
  UpdateTimedOutMembers(aMembership, result, aNow);
  if (aNow >= aMembership.mNextProbe) {
    aMembership.mNextProbe = aNow + kProbePeriod;
    if (const auto* target = NextProbeTarget(aMembership, aRandom)) {
      SendProbe(aMembership, *target, result, aNow);
    }
    ProbeSuspectedMember(aMembership, aRandom, result, aNow);
  }
  if (aNow >= aMembership.mNextDeadProbe) {
    aMembership.mNextDeadProbe = aNow + kDeadProbePeriod;
    ProbeDeadMember(aMembership, aRandom, result, aNow);
  }
  return result;
}

MembershipResult
ApplyPublishedList(Membership& aMembership,
                   const state::InstanceListDocument& aList,
                   TimePoint aNow)
{
  MembershipResult result;
  std::set<state::InstanceId> listed;
  for (const auto& instance : aList.mInstances) {
    if (instance.mState == state::InstanceState::Dead ||
        instance.mId == aMembership.mSelf.mId) {
      continue;
    }
    listed.insert(instance.mId);
    const bool leaving = instance.mState == state::InstanceState::Leaving;
    const auto found = aMembership.mMembers.find(instance.mId);
    if (found == aMembership.mMembers.end()) {
      auto& member = aMembership.mMembers[instance.mId];
      member.mUpdate = { instance.mId,
                         aList.mDataCentre,
                         instance.mPeerEndpoint,
                         instance.mControlEndpoint,
                         MemberHealth::Alive,
                         leaving,
                         0 };
      member.mHealthChangeTime = aNow;
      result.mViewsChanged = true;
    } else if (leaving && !found->second.mUpdate.mLeaving) {
      auto update = found->second.mUpdate;
      update.mLeaving = true;
      UpdateMember(aMembership, found->second, update, result, aNow);
    }
  }
  // Members of other data centres are not probed, so the list decides when they
  // are removed. If one still runs, a later summary adds it again.
  const auto erased =
    std::erase_if(aMembership.mMembers, [&](const auto& aEntry) {
      const auto& [id, member] = aEntry;
      return member.mUpdate.mDataCentre == aList.mDataCentre &&
             !IsLocal(aMembership, member) && member.mListed &&
             !listed.contains(id);
    });
  result.mViewsChanged = result.mViewsChanged || erased > 0;
  for (auto& [id, member] : aMembership.mMembers) {
    if (member.mUpdate.mDataCentre == aList.mDataCentre) {
      member.mListed = listed.contains(id);
    }
  }
  return result;
}

MembershipResult
RestartMembership(Membership& aMembership,
                  RandomGenerator& aRandom,
                  TimePoint aNow)
{
  MembershipResult result;
  ++aMembership.mSelf.mIncarnation;
  aMembership.mPendingProbes.clear();
  aMembership.mRelayedProbes.clear();
  aMembership.mFirstValidToken = aMembership.mNextToken;
  for (auto& [id, member] : aMembership.mMembers) {
    if (member.mUpdate.mHealth == MemberHealth::Suspected) {
      member.mHealthChangeTime = aNow;
    }
  }
  ProbeRandomMembers(aMembership, aRandom, result, aNow);
  aMembership.mNextProbe = aNow + kProbePeriod;
  result.mViewsChanged = true;
  return result;
}

MembershipResult
LeaveMembership(Membership& aMembership,
                RandomGenerator& aRandom,
                TimePoint aNow)
{
  MembershipResult result;
  aMembership.mSelf.mLeaving = true;
  ++aMembership.mSelf.mIncarnation;
  ProbeRandomMembers(aMembership, aRandom, result, aNow);
  result.mViewsChanged = true;
  return result;
}

} // namespace sassafrasknot::coordination
