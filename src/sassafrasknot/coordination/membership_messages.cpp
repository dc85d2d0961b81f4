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
      MergeUpdate(mMembership, update, mResult, mNow);
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
    mMembership.mRelayedProbes[token] = { mMessage.mSender.mPeerEndpoint,
                                          aProbe.mToken,
                                          mNow };
    mResult.mOutgoing.push_back(
      { aProbe.mTargetEndpoint,
        Probe{ token, ChooseUpdates(mMembership, aProbe.mTarget) } });
  }

  void operator()(const Acknowledgement& aAcknowledgement) const
  {
    TakeUpdates(aAcknowledgement.mUpdates);
    const auto relayed =
      mMembership.mRelayedProbes.find(aAcknowledgement.mToken);
    if (relayed != mMembership.mRelayedProbes.end()) {
      // The target's own update goes along, since it may refute a suspicion.
      mResult.mOutgoing.push_back({ relayed->second.mRequester,
                                    Acknowledgement{ relayed->second.mToken,
                                                     aAcknowledgement.mMember,
                                                     { mMessage.mSender } } });
      mMembership.mRelayedProbes.erase(relayed);
    }
    mMembership.mPendingProbes.erase(aAcknowledgement.mToken);
  }

  void operator()(const DataCentreSummary& aSummary) const
  {
    TakeUpdates(aSummary.mMembers);
    mMembership.mRemoteDataCentres[aSummary.mDataCentre] = {
      mNow, aSummary.mLowestRevision
    };
  }

  /// Keeps dead members too: the published list may still show them.
  void operator()(const PullResponse& aRecords) const
  {
    for (const auto& update : aRecords.mMembers) {
      if (update.mId != mMembership.mSelf.mId &&
          !mMembership.mMembers.contains(update.mId)) {
        auto& member = mMembership.mMembers[update.mId];
        member.mUpdate = update;
        member.mHealthChangeTime = mNow;
        mResult.mViewsChanged = true;
      } else {
        MergeUpdate(mMembership, update, mResult, mNow);
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
               const std::vector<RelayedSummary>& aHeartbeats,
               TimePoint aNow)
{
  for (const auto& heartbeat : aHeartbeats) {
    if (heartbeat.mDataCentre == aMembership.mSelf.mDataCentre) {
      continue;
    }
    auto& contact = aMembership.mRemoteDataCentres[heartbeat.mDataCentre];
    if (const auto heard = aNow - heartbeat.mAge;
        heard > contact.mLastSummary) {
      contact = { heard, heartbeat.mLowestRevision };
    }
  }
}

} // namespace

MembershipResult
HandleMessage(Membership& aMembership,
              const ControlMessage& aMessage,
              RandomGenerator& aRandom,
              TimePoint aNow)
{
  MembershipResult result;
  const auto refutations = aMembership.mRefutations;
  if (aMessage.mSender.mId == aMembership.mSelf.mId) {
    return result;
  }
  MergeUpdate(aMembership, aMessage.mSender, result, aNow);
  if (const auto found = aMembership.mMembers.find(aMessage.mSender.mId);
      found != aMembership.mMembers.end() &&
      found->second.mUpdate.mIncarnation == aMessage.mSender.mIncarnation) {
    found->second.mLastDirectContact = aNow;
    found->second.mRevisionInForce = aMessage.mRevisionInForce;
  }
  if (aMessage.mSender.mDataCentre == aMembership.mSelf.mDataCentre) {
    TakeHeartbeats(aMembership, aMessage.mRelayedSummaries, aNow);
  }
  std::visit(BodyTaker{ aMembership, aMessage, result, aNow }, aMessage.mBody);
  if (aMembership.mRefutations != refutations) {
    ProbeRandomMembers(aMembership, aRandom, result, aNow);
  }
  return result;
}

} // namespace sassafrasknot::coordination
