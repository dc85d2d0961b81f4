#include "sassafrasknot/coordination/membership.hpp"

#include "sassafrasknot/coordination/member_queries.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace sassafrasknot::coordination {
namespace {

constexpr std::size_t kIndirectProbes = 3;
/// Dead members are probed rarely, so that a healed partition is noticed.
constexpr std::chrono::seconds kDeadProbePeriod{ 2 };
/// A dead member that is not listed is kept as long as old updates of it may
/// arrive.
constexpr std::chrono::seconds kDeadRetention{ 60 };
/// Members that heard of a suspicion wait for the refutation to reach them;
/// without this, lost messages made some of them count a live member as dead.
constexpr std::chrono::seconds kRefutationGrace{ 1 };
constexpr std::chrono::seconds kSummaryPeriod{ 1 };
constexpr std::chrono::seconds kRelayTimeout{ 1 };
constexpr std::size_t kMembersPerSummary = 3;

using state::TimePoint;

bool
IsLocal(const Membership& aMembership, const Member& aMember)
{
  return aMember.mUpdate.mDataCentre == aMembership.mSelf.mDataCentre;
}

/// Two transmissions for each doubling reach nearly all members although one
/// message in ten is lost; probes find what was missed.
std::uint32_t
TransmissionsNeeded(const Membership& aMembership)
{
  return 2 * static_cast<std::uint32_t>(
               std::bit_width(CountPeers(aMembership) + 1));
}

void
NoteChange(Membership& aMembership,
           Member& aMember,
           const MemberUpdate& aUpdate,
           MembershipResult& aResult,
           TimePoint aNow)
{
  const auto before = std::exchange(aMember.mUpdate, aUpdate);
  const bool wasDead = before.mHealth == MemberHealth::Dead;
  const bool isDead = aUpdate.mHealth == MemberHealth::Dead;
  if (before.mHealth != aUpdate.mHealth) {
    aMember.mChanged = aNow;
    aMember.mSuspectedHere =
      aMember.mSuspectedHere && aUpdate.mHealth == MemberHealth::Suspected;
  }
  if (wasDead != isDead) {
    aResult.mTransitions.push_back(aUpdate);
  }
  auto comparable = aUpdate;
  comparable.mHealth = before.mHealth;
  comparable.mIncarnation = before.mIncarnation;
  const bool isNews = wasDead != isDead || comparable != before;
  aResult.mChanged = aResult.mChanged || isNews;
  // Suspicions and refutations concern the member's own data centre only.
  if (isNews || IsLocal(aMembership, aMember)) {
    aMember.mTransmissions = TransmissionsNeeded(aMembership);
  }
  aResult.mIncarnationChanged =
    aResult.mIncarnationChanged || aUpdate.mIncarnation != before.mIncarnation;
}

/// Raises this instance's incarnation above an update that is wrong of it.
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

void
TakeUpdate(Membership& aMembership,
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
      member.mChanged = aNow;
      member.mTransmissions = TransmissionsNeeded(aMembership);
      aResult.mChanged = true;
    }
    return;
  }
  const auto& known = found->second.mUpdate;
  if (aUpdate.mIncarnation < known.mIncarnation) {
    return;
  }
  if (aUpdate.mIncarnation == known.mIncarnation) {
    aUpdate.mHealth = std::max(aUpdate.mHealth, known.mHealth);
    aUpdate.mLeaving = aUpdate.mLeaving || known.mLeaving;
  }
  if (aUpdate != known) {
    NoteChange(aMembership, found->second, aUpdate, aResult, aNow);
  }
}

void
SetHealth(Membership& aMembership,
          Member& aMember,
          MemberHealth aHealth,
          MembershipResult& aResult,
          TimePoint aNow)
{
  auto update = aMember.mUpdate;
  update.mHealth = aHealth;
  NoteChange(aMembership, aMember, update, aResult, aNow);
}

/// Chooses the updates that were passed on least; that of the receiver comes
/// first if it has something to refute.
std::vector<MemberUpdate>
ChooseUpdates(Membership& aMembership, const state::InstanceId& aReceiver)
{
  std::vector<Member*> pending;
  for (auto& [id, member] : aMembership.mMembers) {
    const bool toRefute =
      id == aReceiver && member.mUpdate.mHealth != MemberHealth::Alive;
    if (member.mTransmissions > 0 || toRefute) {
      pending.push_back(&member);
    }
  }
  const auto isBefore = [&](const Member* aLeft, const Member* aRight) {
    return std::pair(aLeft->mUpdate.mId == aReceiver, aLeft->mTransmissions) >
           std::pair(aRight->mUpdate.mId == aReceiver, aRight->mTransmissions);
  };
  const auto count = std::min(kUpdatesPerMessage, pending.size());
  std::partial_sort(pending.begin(),
                    pending.begin() + static_cast<std::ptrdiff_t>(count),
                    pending.end(),
                    isBefore);
  std::vector<MemberUpdate> updates;
  for (std::size_t index = 0; index < count; ++index) {
    auto& member = *pending[index];
    member.mTransmissions -= member.mTransmissions > 0 ? 1 : 0;
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
  aMembership.mPending[token] = { target.mId, aNow, 1 };
  aResult.mOutgoing.push_back(
    { target.mPeerEndpoint,
      Probe{ token, ChooseUpdates(aMembership, target.mId) } });
}

/// Returns the next member of a round in random order, which bounds the time
/// until each member is probed.
Member*
NextTarget(Membership& aMembership, RandomGenerator& aRandom)
{
  const auto take = [&]() -> Member* {
    while (!aMembership.mRound.empty()) {
      const auto id = std::move(aMembership.mRound.back());
      aMembership.mRound.pop_back();
      const auto found = aMembership.mMembers.find(id);
      if (found != aMembership.mMembers.end() &&
          found->second.mUpdate.mHealth != MemberHealth::Dead) {
        return &found->second;
      }
    }
    return nullptr;
  };
  if (auto* target = take()) {
    return target;
  }
  for (const auto& [id, member] : aMembership.mMembers) {
    if (IsLocal(aMembership, member)) {
      aMembership.mRound.push_back(id);
    }
  }
  std::shuffle(aMembership.mRound.begin(), aMembership.mRound.end(), aRandom);
  return take();
}

void
ProbeDead(Membership& aMembership,
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

/// Asks members that this instance suspects once more, so that they can refute
/// in time.
void
ProbeSuspect(Membership& aMembership,
             RandomGenerator& aRandom,
             MembershipResult& aResult,
             TimePoint aNow)
{
  std::vector<const Member*> suspects;
  for (const auto& [id, member] : aMembership.mMembers) {
    if (member.mSuspectedHere &&
        member.mUpdate.mHealth == MemberHealth::Suspected) {
      suspects.push_back(&member);
    }
  }
  if (!suspects.empty()) {
    SendProbe(
      aMembership, *suspects[aRandom() % suspects.size()], aResult, aNow);
  }
}

void
ProbeIndirectly(Membership& aMembership,
                std::uint32_t aToken,
                const Member& aTarget,
                RandomGenerator& aRandom,
                MembershipResult& aResult)
{
  const auto& target = aTarget.mUpdate;
  auto helpers = ChooseMembers(
    aMembership, aMembership.mSelf.mDataCentre, kIndirectProbes + 1, aRandom);
  std::erase_if(helpers, [&](const Member* aHelper) {
    return aHelper == &aTarget ||
           aHelper->mUpdate.mHealth == MemberHealth::Dead;
  });
  if (helpers.size() > kIndirectProbes) {
    helpers.pop_back();
  }
  for (const auto* helper : helpers) {
    aResult.mOutgoing.push_back(
      { helper->mUpdate.mPeerEndpoint,
        IndirectProbe{ aToken, target.mId, target.mPeerEndpoint, {} } });
  }
}

void
CheckPending(Membership& aMembership,
             RandomGenerator& aRandom,
             MembershipResult& aResult,
             TimePoint aNow)
{
  for (auto at = aMembership.mPending.begin();
       at != aMembership.mPending.end();) {
    auto& [token, probe] = *at;
    const auto found = aMembership.mMembers.find(probe.mTarget);
    const auto age = aNow - probe.mSent;
    if (found == aMembership.mMembers.end() || age >= kProbeTimeout) {
      if (found != aMembership.mMembers.end() &&
          found->second.mUpdate.mHealth == MemberHealth::Alive) {
        found->second.mSuspectedHere = true;
        SetHealth(
          aMembership, found->second, MemberHealth::Suspected, aResult, aNow);
      }
      at = aMembership.mPending.erase(at);
      continue;
    }
    const auto attempts = age >= 2 * kDirectTimeout ? 3U
                          : age >= kDirectTimeout   ? 2U
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

void
CheckMembers(Membership& aMembership, MembershipResult& aResult, TimePoint aNow)
{
  for (auto& [id, member] : aMembership.mMembers) {
    if (IsLocal(aMembership, member) &&
        member.mUpdate.mHealth == MemberHealth::Suspected &&
        aNow - member.mChanged >= (member.mSuspectedHere
                                     ? kSuspicionTimeout
                                     : kSuspicionTimeout + kRefutationGrace)) {
      SetHealth(aMembership, member, MemberHealth::Dead, aResult, aNow);
    }
  }
  const auto erased =
    std::erase_if(aMembership.mMembers, [&](const auto& aEntry) {
      const auto& member = aEntry.second;
      return !member.mListed && member.mUpdate.mHealth == MemberHealth::Dead &&
             aNow - member.mChanged >= kDeadRetention;
    });
  aResult.mChanged = aResult.mChanged || erased > 0;
  std::erase_if(aMembership.mRelayed, [&](const auto& aEntry) {
    return aNow - aEntry.second.mSent >= kRelayTimeout;
  });
}

/// Answers a probe or passes an acknowledgement on.
struct BodyTaker
{
  Membership& mMembership;
  const ControlMessage& mMessage;
  MembershipResult& mResult;
  TimePoint mNow;

  void TakeUpdates(const std::vector<MemberUpdate>& aUpdates) const
  {
    for (const auto& update : aUpdates) {
      TakeUpdate(mMembership, update, mResult, mNow);
    }
  }

  void operator()(const Probe& aProbe) const
  {
    TakeUpdates(aProbe.mUpdates);
    mResult.mOutgoing.push_back(
      { mMessage.mSender.mPeerEndpoint,
        Acknowledgement{ aProbe.mToken,
                         mMembership.mSelf.mId,
                         ChooseUpdates(mMembership, mMessage.mSender.mId) } });
  }

  void operator()(const IndirectProbe& aProbe) const
  {
    TakeUpdates(aProbe.mUpdates);
    const auto token = mMembership.mNextToken++;
    mMembership.mRelayed[token] = { mMessage.mSender.mPeerEndpoint,
                                    aProbe.mToken,
                                    mNow };
    mResult.mOutgoing.push_back(
      { aProbe.mTargetEndpoint,
        Probe{ token, ChooseUpdates(mMembership, aProbe.mTarget) } });
  }

  void operator()(const Acknowledgement& aAcknowledgement) const
  {
    TakeUpdates(aAcknowledgement.mUpdates);
    const auto relayed = mMembership.mRelayed.find(aAcknowledgement.mToken);
    if (relayed != mMembership.mRelayed.end()) {
      // The target's own update goes along, since it may refute a suspicion.
      mResult.mOutgoing.push_back({ relayed->second.mAsker,
                                    Acknowledgement{ relayed->second.mToken,
                                                     aAcknowledgement.mMember,
                                                     { mMessage.mSender } } });
      mMembership.mRelayed.erase(relayed);
    }
    mMembership.mPending.erase(aAcknowledgement.mToken);
  }

  void operator()(const DataCentreSummary& aSummary) const
  {
    TakeUpdates(aSummary.mMembers);
    mMembership.mContacts[aSummary.mDataCentre] = { mNow,
                                                    aSummary.mLowestRevision };
  }

  template<typename Other>
  void operator()(const Other& /*aOther*/) const
  {
  }
};

void
TakeHeartbeats(Membership& aMembership,
               const std::vector<DataCentreHeartbeat>& aHeartbeats,
               TimePoint aNow)
{
  for (const auto& heartbeat : aHeartbeats) {
    if (heartbeat.mDataCentre == aMembership.mSelf.mDataCentre) {
      continue;
    }
    auto& contact = aMembership.mContacts[heartbeat.mDataCentre];
    if (const auto heard = aNow - heartbeat.mAge; heard > contact.mHeard) {
      contact = { heard, heartbeat.mLowestRevision };
    }
  }
}

void
ProbeSome(Membership& aMembership,
          RandomGenerator& aRandom,
          MembershipResult& aResult,
          TimePoint aNow)
{
  for (const auto* member : ChooseMembers(aMembership,
                                          aMembership.mSelf.mDataCentre,
                                          kIndirectProbes,
                                          aRandom)) {
    SendProbe(aMembership, *member, aResult, aNow);
  }
}

/// Returns the lowest revision of this data centre's instances.
state::Revision
LocalFloor(const Membership& aMembership, state::Revision aRevision)
{
  auto lowest = aRevision;
  for (const auto& [id, member] : aMembership.mMembers) {
    const bool counts =
      member.mListed || member.mUpdate.mHealth != MemberHealth::Dead;
    if (counts && IsLocal(aMembership, member)) {
      lowest = std::min(lowest, member.mRevision);
    }
  }
  return lowest;
}

std::vector<MemberUpdate>
SummaryMembers(const Membership& aMembership, RandomGenerator& aRandom)
{
  std::vector<const Member*> local;
  for (const auto& [id, member] : aMembership.mMembers) {
    if (IsLocal(aMembership, member)) {
      local.push_back(&member);
    }
  }
  // Recent changes first, the others in random order.
  std::shuffle(local.begin(), local.end(), aRandom);
  std::stable_sort(
    local.begin(), local.end(), [](const Member* aLeft, const Member* aRight) {
      return aLeft->mTransmissions > aRight->mTransmissions;
    });
  std::vector<MemberUpdate> updates;
  for (const auto* member : local) {
    if (updates.size() == kMembersPerSummary) {
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

MembershipResult
TickMembership(Membership& aMembership,
               RandomGenerator& aRandom,
               TimePoint aNow)
{
  MembershipResult result;
  CheckPending(aMembership, aRandom, result, aNow);
  CheckMembers(aMembership, result, aNow);
  if (aNow >= aMembership.mNextProbe) {
    aMembership.mNextProbe = aNow + kProbePeriod;
    if (const auto* target = NextTarget(aMembership, aRandom)) {
      SendProbe(aMembership, *target, result, aNow);
    }
    ProbeSuspect(aMembership, aRandom, result, aNow);
  }
  if (aNow >= aMembership.mNextDeadProbe) {
    aMembership.mNextDeadProbe = aNow + kDeadProbePeriod;
    ProbeDead(aMembership, aRandom, result, aNow);
  }
  return result;
}

MembershipResult
TakeMessage(Membership& aMembership,
            const ControlMessage& aMessage,
            RandomGenerator& aRandom,
            TimePoint aNow)
{
  MembershipResult result;
  const auto refutations = aMembership.mRefutations;
  if (aMessage.mSender.mId == aMembership.mSelf.mId) {
    return result;
  }
  TakeUpdate(aMembership, aMessage.mSender, result, aNow);
  if (const auto found = aMembership.mMembers.find(aMessage.mSender.mId);
      found != aMembership.mMembers.end() &&
      found->second.mUpdate.mIncarnation == aMessage.mSender.mIncarnation) {
    found->second.mHeard = aNow;
    found->second.mRevision = aMessage.mRevision;
  }
  if (aMessage.mSender.mDataCentre == aMembership.mSelf.mDataCentre) {
    TakeHeartbeats(aMembership, aMessage.mHeartbeats, aNow);
  }
  std::visit(BodyTaker{ aMembership, aMessage, result, aNow }, aMessage.mBody);
  if (aMembership.mRefutations != refutations) {
    ProbeSome(aMembership, aRandom, result, aNow);
  }
  return result;
}

MembershipResult
TakePublishedList(Membership& aMembership,
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
      member.mChanged = aNow;
      result.mChanged = true;
    } else if (leaving && !found->second.mUpdate.mLeaving) {
      auto update = found->second.mUpdate;
      update.mLeaving = true;
      NoteChange(aMembership, found->second, update, result, aNow);
    }
  }
  for (auto& [id, member] : aMembership.mMembers) {
    if (member.mUpdate.mDataCentre == aList.mDataCentre) {
      member.mListed = listed.contains(id);
    }
  }
  return result;
}

std::vector<Outgoing>
MakeSummaries(Membership& aMembership,
              state::Revision aRevision,
              RandomGenerator& aRandom,
              TimePoint aNow)
{
  std::vector<Outgoing> summaries;
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
                             LocalFloor(aMembership, aRevision),
                             SummaryMembers(aMembership, aRandom) } });
    }
  }
  return summaries;
}

state::Revision
FleetFloor(const Membership& aMembership, state::Revision aRevision)
{
  auto lowest = LocalFloor(aMembership, aRevision);
  for (const auto& dataCentre : OtherDataCentres(aMembership)) {
    const auto contact = aMembership.mContacts.find(dataCentre);
    lowest = std::min(lowest,
                      contact == aMembership.mContacts.end()
                        ? 0
                        : contact->second.mLowestRevision);
  }
  return lowest;
}

MembershipResult
RestartMembership(Membership& aMembership,
                  RandomGenerator& aRandom,
                  TimePoint aNow)
{
  MembershipResult result;
  ++aMembership.mSelf.mIncarnation;
  aMembership.mPending.clear();
  aMembership.mRelayed.clear();
  aMembership.mFirstValidToken = aMembership.mNextToken;
  for (auto& [id, member] : aMembership.mMembers) {
    if (member.mUpdate.mHealth == MemberHealth::Suspected) {
      member.mChanged = aNow;
    }
  }
  ProbeSome(aMembership, aRandom, result, aNow);
  aMembership.mNextProbe = aNow + kProbePeriod;
  result.mChanged = true;
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
  ProbeSome(aMembership, aRandom, result, aNow);
  result.mChanged = true;
  return result;
}

} // namespace sassafrasknot::coordination
