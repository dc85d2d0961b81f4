#include "sassafrasknot/coordination/member_updates.hpp"

namespace sassafrasknot::coordination {
namespace {

using state::TimePoint;

/// Handles the body of a message of another instance by its type. Digests and
/// pulls do not concern the membership and are ignored.
struct BodyHandler
{
  Membership& mMembership;
  const ControlMessage& mMessage;
  MembershipResult& mResult;
  TimePoint mNow;

  void MergeUpdates(const std::vector<MemberUpdate>& aUpdates) const
  {
    for (const auto& update : aUpdates) {
      MergeUpdate(mMembership, update, mResult, mNow);
    }
  }

  void operator()(const Probe& aProbe) const
  {
    MergeUpdates(aProbe.mUpdates);
    mResult.mOutgoing.push_back(
      { mMessage.mSender.mPeerEndpoint,
        Acknowledgement{ aProbe.mToken,
                         mMembership.mSelf.mId,
                         ChooseUpdates(mMembership, mMessage.mSender.mId) } });
  }

  /// Probes the target and stores the request until the acknowledgement
  /// arrives.
  void operator()(const IndirectProbe& aProbe) const
  {
    MergeUpdates(aProbe.mUpdates);
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
    MergeUpdates(aAcknowledgement.mUpdates);
    const auto relayed =
      mMembership.mRelayedProbes.find(aAcknowledgement.mToken);
    if (relayed != mMembership.mRelayedProbes.end()) {
      // Includes the target's own update, which may refute a suspicion.
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
    MergeUpdates(aSummary.mMembers);
    mMembership.mRemoteDataCentres[aSummary.mDataCentre] = {
      mNow, aSummary.mLowestRevision
    };
  }

  /// Adds dead members too. The published list may still contain them, and
  /// ApplyPublishedList adds a listed instance that is not on record as alive.
  void operator()(const PullResponse& aResponse) const
  {
    for (const auto& update : aResponse.mMembers) {
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

/// Records summaries of other data centres that a peer relayed, if they are
/// newer than those on record.
void
MergeRelayedSummaries(Membership& aMembership,
                      const std::vector<RelayedSummary>& aSummaries,
                      TimePoint aNow)
{
  for (const auto& summary : aSummaries) {
    if (summary.mDataCentre == aMembership.mSelf.mDataCentre) {
      continue;
    }
    auto& remote = aMembership.mRemoteDataCentres[summary.mDataCentre];
    if (const auto received = aNow - summary.mAge;
        received > remote.mLastSummary) {
      remote = { received, summary.mLowestRevision };
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
    MergeRelayedSummaries(aMembership, aMessage.mRelayedSummaries, aNow);
  }
  std::visit(BodyHandler{ aMembership, aMessage, result, aNow },
             aMessage.mBody);
  if (aMembership.mRefutations != refutations) {
    ProbeRandomMembers(aMembership, aRandom, result, aNow);
  }
  return result;
}

} // namespace sassafrasknot::coordination
