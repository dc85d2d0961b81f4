#include "sassafrasknot/coordination/member_updates.hpp"

#include "sassafrasknot/coordination/member_queries.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace sassafrasknot::coordination {
namespace {

constexpr std::size_t kMembersProbedOnChange = 3;

using state::TimePoint;

/// Returns how often each instance sends a new update: twice for each doubling
/// of the number of members in this data centre. This reaches nearly all
/// members when one message in ten is lost; probes correct the others.
std::uint32_t
RequiredTransmissions(const Membership& aMembership)
{
  return 2 * static_cast<std::uint32_t>(
               std::bit_width(CountPeers(aMembership) + 1));
}

/// Raises this instance's incarnation above that of an update which is wrong
/// about it, so that this instance's own description wins.
void
Refute(Membership& aMembership,
       const MemberUpdate& aUpdate,
       MembershipResult& aResult)
{
  auto& self = aMembership.mSelf;
  const bool wrong =
    aUpdate.mHealth != MemberHealth::Alive || aUpdate.mLeaving != self.mLeaving;
  if (aUpdate.mIncarnation > self.mIncarnation ||
      (wrong && aUpdate.mIncarnation == self.mIncarnation)) {
    self.mIncarnation = aUpdate.mIncarnation + 1;
    ++aMembership.mRefutations;
    aResult.mIncarnationChanged = true;
  }
}

} // namespace

bool
IsLocal(const Membership& aMembership, const Member& aMember)
{
  return aMember.mUpdate.mDataCentre == aMembership.mSelf.mDataCentre;
}

void
UpdateMember(Membership& aMembership,
             Member& aMember,
             const MemberUpdate& aUpdate,
             MembershipResult& aResult,
             TimePoint aNow)
{
  const auto before = std::exchange(aMember.mUpdate, aUpdate);
  const bool wasDead = before.mHealth == MemberHealth::Dead;
  const bool isDead = aUpdate.mHealth == MemberHealth::Dead;
  if (before.mHealth != aUpdate.mHealth) {
    aMember.mHealthChangeTime = aNow;
    aMember.mSuspectedBySelf =
      aMember.mSuspectedBySelf && aUpdate.mHealth == MemberHealth::Suspected;
  }
  if (wasDead != isDead) {
    aResult.mTransitions.push_back(aUpdate);
  }
  auto comparable = aUpdate;
  comparable.mHealth = before.mHealth;
  comparable.mIncarnation = before.mIncarnation;
  const bool viewChanged = wasDead != isDead || comparable != before;
  aResult.mViewsChanged = aResult.mViewsChanged || viewChanged;
  // Suspicions and refutations are propagated in the member's own data centre
  // only.
  if (viewChanged || IsLocal(aMembership, aMember)) {
    aMember.mTransmissionsLeft = RequiredTransmissions(aMembership);
  }
  aResult.mIncarnationChanged =
    aResult.mIncarnationChanged || aUpdate.mIncarnation != before.mIncarnation;
}

void
MergeUpdate(Membership& aMembership,
            MemberUpdate aUpdate,
            MembershipResult& aResult,
            TimePoint aNow)
{
  if (aUpdate.mId == aMembership.mSelf.mId) {
    Refute(aMembership, aUpdate, aResult);
    return;
  }
  const auto found = aMembership.mMembers.find(aUpdate.mId);
  if (found == aMembership.mMembers.end()) {
    if (aUpdate.mHealth != MemberHealth::Dead) {
      auto& member = aMembership.mMembers[aUpdate.mId];
      member.mUpdate = std::move(aUpdate);
      member.mHealthChangeTime = aNow;
      member.mTransmissionsLeft = RequiredTransmissions(aMembership);
      aResult.mViewsChanged = true;
    }
    return;
  }
  const auto& current = found->second.mUpdate;
  if (aUpdate.mIncarnation < current.mIncarnation) {
    return;
  }
  if (aUpdate.mIncarnation == current.mIncarnation) {
    aUpdate.mHealth = std::max(aUpdate.mHealth, current.mHealth);
    aUpdate.mLeaving = aUpdate.mLeaving || current.mLeaving;
  }
  if (aUpdate != current) {
    UpdateMember(aMembership, found->second, aUpdate, aResult, aNow);
  }
}

std::vector<MemberUpdate>
ChooseUpdates(Membership& aMembership, const state::InstanceId& aReceiver)
{
  std::vector<Member*> pending;
  for (auto& [id, member] : aMembership.mMembers) {
    const bool toRefute =
      id == aReceiver && member.mUpdate.mHealth != MemberHealth::Alive;
    if (member.mTransmissionsLeft > 0 || toRefute) {
      pending.push_back(&member);
    }
  }
  const auto isBefore = [&](const Member* aLeft, const Member* aRight) {
    return std::pair(aLeft->mUpdate.mId == aReceiver,
                     aLeft->mTransmissionsLeft) >
           std::pair(aRight->mUpdate.mId == aReceiver,
                     aRight->mTransmissionsLeft);
  };
  const auto count = std::min(kMaxUpdatesPerMessage, pending.size());
  std::partial_sort(pending.begin(),
                    pending.begin() + static_cast<std::ptrdiff_t>(count),
                    pending.end(),
                    isBefore);
  std::vector<MemberUpdate> updates;
  for (std::size_t index = 0; index < count; ++index) {
    auto& member = *pending[index];
    member.mTransmissionsLeft -= member.mTransmissionsLeft > 0 ? 1 : 0;
    updates.push_back(member.mUpdate);
  }
  return updates;
}

void
SendProbe(Membership& aMembership,
          const Member& aTarget,
          MembershipResult& aResult,
          TimePoint aNow)
{
  const auto& target = aTarget.mUpdate;
  const auto token = aMembership.mNextToken++;
  aMembership.mPendingProbes[token] = { target.mId, aNow, 1 };
  aResult.mOutgoing.push_back(
    { target.mPeerEndpoint,
      Probe{ token, ChooseUpdates(aMembership, target.mId) } });
}

void
ProbeRandomMembers(Membership& aMembership,
                   RandomGenerator& aRandom,
                   MembershipResult& aResult,
                   TimePoint aNow)
{
  for (const auto* member : ChooseMembers(aMembership,
                                          aMembership.mSelf.mDataCentre,
                                          kMembersProbedOnChange,
                                          aRandom)) {
    SendProbe(aMembership, *member, aResult, aNow);
  }
}

} // namespace sassafrasknot::coordination
