#include "sassafrasknot/coordination/control_core_impl.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

using state::TimePoint;

/// Number of designated readers in each data centre.
constexpr std::size_t kReadersPerDataCentre = 2;
/// Minimum interval of snapshots because of membership changes: many members
/// that fail within a short time lead to few snapshots.
constexpr std::chrono::milliseconds kMinMembershipPublishInterval{ 500 };
/// Minimum interval of snapshots because of incarnations. A refuted suspicion
/// changes nothing else.
constexpr std::chrono::seconds kMinIncarnationPublishInterval{ 5 };
/// Interval of contacts with seeds before another instance has responded.
constexpr std::chrono::milliseconds kSeedContactInterval{ 500 };
/// Interval of contacts with seeds afterwards.
constexpr std::chrono::seconds kSeedContactIntervalWithMembers{ 10 };
constexpr std::size_t kSeedsPerContact = 3;

bool
UsesGrpc(const ControlBody& aBody)
{
  return std::holds_alternative<Pull>(aBody) ||
         std::holds_alternative<PullResponse>(aBody);
}

bool
CarriesSummaries(const ControlBody& aBody)
{
  return std::holds_alternative<Probe>(aBody) ||
         std::holds_alternative<Acknowledgement>(aBody);
}

} // namespace

void
ControlCore::Impl::Send(std::vector<OutgoingMessage> aOutgoing, TimePoint aNow)
{
  for (auto& outgoing : aOutgoing) {
    const bool grpc = UsesGrpc(outgoing.mBody);
    ControlMessage message{
      mMembership.mSelf, mStore.mCompleteRevision, {}, {}
    };
    if (CarriesSummaries(outgoing.mBody)) {
      message.mRelayedSummaries = MakeRelayedSummaries(mMembership, aNow);
    }
    message.mBody = std::move(outgoing.mBody);
    state::Increment(mCounters, "control_messages_sent_total");
    mActions.emplace_back(
      SendMessage{ grpc ? MessageTransport::Grpc : MessageTransport::Udp,
                   outgoing.mTo,
                   std::move(message) });
  }
}

void
ControlCore::Impl::Log(LogLevel aLevel,
                       std::string aMessage,
                       std::vector<std::pair<std::string, std::string>> aFields)
{
  mActions.emplace_back(
    LogEvent{ aLevel, std::move(aMessage), std::move(aFields) });
}

void
ControlCore::Impl::ApplyMembershipResult(MembershipResult aResult,
                                         TimePoint aNow)
{
  Send(std::move(aResult.mOutgoing), aNow);
  for (const auto& update : aResult.mTransitions) {
    const bool dead = update.mHealth == MemberHealth::Dead;
    state::Increment(mCounters,
                     dead ? "members_dead_total" : "members_returned_total");
    Log(dead ? LogLevel::Warning : LogLevel::Info,
        dead ? "member is dead" : "member is alive again",
        { { "member", update.mId.mValue },
          { "data_centre", update.mDataCentre.mValue },
          { "incarnation", std::to_string(update.mIncarnation) } });
  }
  if (aResult.mViewsChanged) {
    mPublishSchedule.Request(aNow, kMinMembershipPublishInterval);
  } else if (aResult.mIncarnationChanged) {
    mPublishSchedule.Request(aNow, kMinIncarnationPublishInterval);
  }
}

void
ControlCore::Impl::ApplyMerge(const state::MergeResult& aResult, TimePoint aNow)
{
  if (aResult.mChanged.empty()) {
    return;
  }
  state::Increment(
    mCounters, "configuration_keys_changed_total", aResult.mChanged.size());
  for (const auto& rejection : aResult.mRejected) {
    state::Increment(mCounters, "organisations_rejected_total");
    Log(LogLevel::Error,
        "latest change of the organisation is not in force",
        { { "key", rejection.mKey },
          { "revision", std::to_string(rejection.mRevision) },
          { "reason", rejection.mReason } });
  }
  for (const auto& key : aResult.mChanged) {
    const auto& document = mStore.mRecords.find(key)->second.mDocument;
    if (const auto* list =
          std::get_if<state::InstanceListDocument>(document.get())) {
      ApplyMembershipResult(ApplyPublishedList(mMembership, *list, aNow), aNow);
    }
  }
  state::UpdateServices(mBuilder, mStore, aNow);
  mPublishSchedule.Request(aNow, {});
  Send(AnnounceChanges(
         mDissemination, mStore, mMembership, aResult.mChanged, mRandom, aNow),
       aNow);
}

void
ControlCore::Impl::ContactSeeds(TimePoint aNow)
{
  if (aNow < mNextSeedContact || mSettings.mSeeds.empty()) {
    return;
  }
  const bool alone =
    std::none_of(mMembership.mMembers.begin(),
                 mMembership.mMembers.end(),
                 [](const auto& aEntry) {
                   return aEntry.second.mLastDirectContact != TimePoint{};
                 });
  mNextSeedContact =
    aNow + (alone ? state::Duration(kSeedContactInterval)
                  : state::Duration(kSeedContactIntervalWithMembers));
  std::vector<state::Endpoint> chosen;
  std::sample(mSettings.mSeeds.begin(),
              mSettings.mSeeds.end(),
              std::back_inserter(chosen),
              kSeedsPerContact,
              mRandom);
  std::vector<OutgoingMessage> outgoing;
  for (const auto& seed : chosen) {
    if (seed != mSettings.mPeerEndpoint) {
      outgoing.push_back({ seed, Probe{ mMembership.mNextToken++, {} } });
    }
  }
  Send(std::move(outgoing), aNow);
}

void
ControlCore::Impl::CheckStall(TimePoint aNow)
{
  if (RecordTick(mStallDetector, aNow)) {
    state::Increment(mCounters, "stalls_total");
    Log(LogLevel::Warning,
        "event loop stalled for more than the failure timeout; state is "
        "untrusted until peers respond",
        {});
    ApplyMembershipResult(RestartMembership(mMembership, mRandom, aNow), aNow);
    mPublishSchedule.Request(aNow, {});
  }
  if (UpdateTrust(mStallDetector, CountPeers(mMembership), aNow)) {
    Log(LogLevel::Info,
        "state of this instance is trusted again after the stall",
        { { "answers", std::to_string(mStallDetector.mResponders.size()) } });
    mPublishSchedule.Request(aNow, {});
  }
}

void
ControlCore::Impl::UpdateReachableDataCentres(TimePoint aNow)
{
  auto reachable = ReachableDataCentres(mMembership, aNow);
  if (reachable == mReachableDataCentres) {
    return;
  }
  const auto logMissing = [&](const auto& aSet,
                              const auto& aOther,
                              LogLevel aLevel,
                              const char* aMessage) {
    for (const auto& dataCentre : aSet) {
      if (!aOther.contains(dataCentre)) {
        Log(aLevel, aMessage, { { "data_centre", dataCentre.mValue } });
      }
    }
  };
  logMissing(mReachableDataCentres,
             reachable,
             LogLevel::Warning,
             "data centre is unreachable");
  logMissing(reachable,
             mReachableDataCentres,
             LogLevel::Info,
             "data centre is reachable");
  mReachableDataCentres = std::move(reachable);
  mPublishSchedule.Request(aNow, {});
}

void
ControlCore::Impl::EndQuarantinesIfDue(TimePoint aNow)
{
  if (mBuilder.mQuarantine.mReleased.empty()) {
    return;
  }
  const auto lowestRevision =
    LowestRevisionInForce(mMembership, mStore.mCompleteRevision);
  if (state::EndQuarantines(mBuilder.mQuarantine, lowestRevision, aNow)) {
    Log(LogLevel::Info,
        "quarantine of moved endpoints ended",
        { { "floor", std::to_string(lowestRevision) } });
    state::UpdateServices(mBuilder, mStore, aNow);
    mPublishSchedule.Request(aNow, {});
  }
}

void
ControlCore::Impl::StartReadIfDue(TimePoint aNow)
{
  const bool assigned =
    IsAssigned(mMembership, "platform-readers", kReadersPerDataCentre);
  if (const auto read = NextRead(mReader,
                                 assigned,
                                 mStore.mCompleteRevision,
                                 mDissemination.mLastDigest,
                                 mRandom,
                                 aNow)) {
    state::Increment(mCounters, "platform_reads_total");
    mActions.emplace_back(*read);
  }
}

void
ControlCore::Impl::PublishIfDue(TimePoint aNow)
{
  if (!mPublishSchedule.mNextPublish || aNow < *mPublishSchedule.mNextPublish) {
    return;
  }
  mPublishSchedule = { std::nullopt, aNow };
  mSnapshot = state::BuildSnapshot(mBuilder,
                                   { mSettings.mId,
                                     mSettings.mDataCentre,
                                     mStore.mHighestRevision,
                                     MakeInstanceViews(mMembership),
                                     mReachableDataCentres,
                                     mStallDetector.mTrusted,
                                     mMembership.mSelf.mLeaving });
  state::Increment(mCounters, "snapshots_published_total");
  mActions.emplace_back(PublishSnapshot{ mSnapshot });
}

PullResponse
ControlCore::Impl::MakePullResponse(const Pull& aPull, TimePoint aNow) const
{
  auto response = AnswerPull(mStore, aPull);
  if (aPull.mWantsMembers) {
    for (const auto& [id, member] : mMembership.mMembers) {
      response.mMembers.push_back(member.mUpdate);
    }
  }
  for (const auto& [endpoint, released] : mBuilder.mQuarantine.mReleased) {
    if (released.mMoved) {
      response.mQuarantined.push_back(
        { endpoint,
          released.mRevision,
          std::chrono::floor<std::chrono::milliseconds>(
            aNow - released.mReleasedAt) });
    }
  }
  return response;
}

void
ControlCore::Impl::HandlePullResponse(const ControlMessage& aMessage,
                                      const PullResponse& aResponse,
                                      TimePoint aNow)
{
  // A process that has run for longer than a quarantine has recorded the moves
  // itself.
  if (aNow - mStarted < state::kQuarantine) {
    for (const auto& endpoint : aResponse.mQuarantined) {
      if (state::ApplyReportedMove(mBuilder.mQuarantine,
                                   endpoint.mEndpoint,
                                   endpoint.mRevision,
                                   aNow - endpoint.mAge)) {
        state::UpdateServices(mBuilder, mStore, aNow);
        mPublishSchedule.Request(aNow, {});
      }
    }
  }
  ApplyMerge(state::MergeEntries(mStore, aResponse.mEntries), aNow);
  Send(UpdateWantedKeys(mDissemination, mStore, aMessage, aResponse, aNow),
       aNow);
}

void
ControlCore::Impl::HandleBody(const ControlMessage& aMessage, TimePoint aNow)
{
  const auto& sender = aMessage.mSender;
  if (const auto* acknowledgement =
        std::get_if<Acknowledgement>(&aMessage.mBody);
      acknowledgement != nullptr &&
      sender.mDataCentre == mSettings.mDataCentre &&
      acknowledgement->mToken >= mMembership.mFirstValidToken) {
    RecordAcknowledgement(mStallDetector, sender.mId);
  }
  if (const auto* digest = std::get_if<Digest>(&aMessage.mBody)) {
    Send(HandleDigest(mDissemination, mStore, aMessage, *digest, aNow), aNow);
  } else if (const auto* pull = std::get_if<Pull>(&aMessage.mBody)) {
    state::Increment(mCounters, "pulls_answered_total");
    Send({ { sender.mControlEndpoint, MakePullResponse(*pull, aNow) } }, aNow);
  } else if (const auto* response =
               std::get_if<PullResponse>(&aMessage.mBody)) {
    HandlePullResponse(aMessage, *response, aNow);
  }
  // An instance without records, such as one that has just started, requests
  // all of them from the first sender that has some.
  if (mStore.mRecords.empty() && aMessage.mRevisionInForce > 0) {
    Send(RequestFullComparison(
           mDissemination, mStore, sender.mControlEndpoint, true, aNow),
         aNow);
  }
}

ControlActions
ControlCore::Impl::CollectActions(TimePoint aNow)
{
  PublishIfDue(aNow);
  return std::exchange(mActions, {});
}

} // namespace sassafrasknot::coordination
