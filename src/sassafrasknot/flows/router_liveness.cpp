#include "sassafrasknot/flows/router_liveness.hpp"

#include "sassafrasknot/flows/data_centre_silence.hpp"

#include <utility>

namespace sassafrasknot::flows {
namespace {

/// Gives up the idempotent requests that a silent upstream has not answered, so
/// that their callers try again without waiting for a retransmission.
void
GiveUpRequests(FlowRouter& aRouter,
               const UpstreamRecord& aRecord,
               std::vector<GivenUpFlow>& aGivenUp)
{
  for (auto it = aRouter.mFlows.begin(); it != aRouter.mFlows.end();) {
    const auto& [key, entry] = *it;
    const bool isUnanswered = entry.mToken == aRecord.mToken && entry.mOpen &&
                              entry.mAtWork &&
                              entry.mKind == RequestKind::Idempotent &&
                              entry.mNewData > aRecord.mSilence.mLastSign;
    if (!isUnanswered) {
      ++it;
      continue;
    }
    CallerPacket packet;
    packet.mFlow = key;
    packet.mAcknowledged = entry.mAcknowledged;
    aGivenUp.push_back({ packet, entry.mToken });
    Release(aRouter, entry);
    it = aRouter.mFlows.erase(it);
  }
}

/// Spreads the silence of several upstreams to their whole data centre.
void
CheckDataCentre(FlowRouter& aRouter,
                const state::DataCentreId& aDataCentre,
                state::TimePoint aNow)
{
  if (aDataCentre == aRouter.mSettings.mDataCentre ||
      !IsCutOff(aRouter.mUpstreams, aDataCentre, aRouter.mProof)) {
    return;
  }
  for (auto& [token, record] : aRouter.mUpstreams.mByToken) {
    if (record.mUpstream.mDataCentre == aDataCentre &&
        record.mPresence != Presence::Gone) {
      NoteChange(aRouter, record, NoteSilent(record.mSilence, aNow));
    }
  }
}

} // namespace

void
AddLoad(UpstreamRecord& aRecord, const FlowEntry& aEntry, int aSign)
{
  if (aEntry.mCounted && aEntry.mKind == RequestKind::Idempotent) {
    aRecord.mOwn.mFeeds += aSign;
  }
  if (aEntry.mAtWork) {
    aRecord.mOwn.mAtWork += aSign;
  }
}

void
Release(FlowRouter& aRouter, const FlowEntry& aEntry)
{
  if (auto* record = FindUpstream(aRouter.mUpstreams, aEntry.mToken)) {
    AddLoad(*record, aEntry, -1);
  }
}

void
NoteChange(FlowRouter& aRouter, const UpstreamRecord& aRecord, bool aChanged)
{
  if (!aChanged) {
    return;
  }
  aRouter.mLivenessChanges.push_back(
    { aRecord.mToken, aRecord.mSilence.mLiveness });
  if (aRecord.mSilence.mLiveness == Liveness::Silent) {
    aRouter.mNewlySilent.push_back(aRecord.mToken);
  }
}

void
NoteRepetition(FlowRouter& aRouter,
               UpstreamRecord& aRecord,
               state::TimePoint aSent,
               state::TimePoint aNow)
{
  if (aSent < aRouter.mEvidenceFrom) {
    return;
  }
  NoteChange(aRouter,
             aRecord,
             NoteRepeated(aRecord.mSilence, aSent, aRouter.mProof, aNow));
  CheckDataCentre(aRouter, aRecord.mUpstream.mDataCentre, aNow);
}

std::vector<GivenUpFlow>
TakeGivenUp(FlowRouter& aRouter)
{
  std::vector<GivenUpFlow> givenUp;
  for (const auto token : std::exchange(aRouter.mNewlySilent, {})) {
    const auto* record = FindUpstream(aRouter.mUpstreams, token);
    if (record != nullptr && record->mSilence.mLiveness == Liveness::Silent) {
      GiveUpRequests(aRouter, *record, givenUp);
    }
  }
  return givenUp;
}

void
OnPeerSilence(FlowRouter& aRouter,
              const std::set<FlowToken>& aTokens,
              state::TimePoint aNow)
{
  for (const auto token : aTokens) {
    if (auto* record = FindUpstream(aRouter.mUpstreams, token)) {
      NoteChange(aRouter, *record, NoteSilent(record->mSilence, aNow));
    }
  }
}

void
OnProven(FlowRouter& aRouter, FlowToken aToken, state::TimePoint aSent)
{
  if (auto* record = FindUpstream(aRouter.mUpstreams, aToken)) {
    NoteChange(aRouter, *record, NoteSign(record->mSilence, aSent));
  }
}

} // namespace sassafrasknot::flows
