#include "sassafrasknot/coordination/member_updates.hpp"

namespace sassafrasknot::coordination {
namespace {

using state::TimePoint;

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

  /// Keeps dead members too: the published list may still show them.
  void operator()(const Records& aRecords) const
  {
    for (const auto& update : aRecords.mMembers) {
      if (update.mId != mMembership.mSelf.mId &&
          !mMembership.mMembers.contains(update.mId)) {
        auto& member = mMembership.mMembers[update.mId];
        member.mUpdate = update;
        member.mChanged = mNow;
        mResult.mChanged = true;
      } else {
        TakeUpdate(mMembership, update, mResult, mNow);
      }
    }
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

} // namespace

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

} // namespace sassafrasknot::coordination
