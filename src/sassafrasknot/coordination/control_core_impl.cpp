#include "sassafrasknot/coordination/control_core_impl.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

using state::TimePoint;

/// Platform readers of each data centre.
constexpr std::size_t kReaders = 2;
/// Joins the membership changes of a bad minute into few snapshots.
constexpr std::chrono::milliseconds kMembershipPause{ 500 };
/// A refuted suspicion changes nothing but the incarnation.
constexpr std::chrono::seconds kIncarnationPause{ 5 };
constexpr std::chrono::milliseconds kSeedPeriod{ 500 };
constexpr std::chrono::seconds kSeedPeriodWithMembers{ 10 };
constexpr std::size_t kSeedsAtOnce = 3;

bool
UsesGrpc(const ControlBody& aBody)
{
  return std::holds_alternative<Pull>(aBody) ||
         std::holds_alternative<PullResponse>(aBody);
}

bool
CarriesHeartbeats(const ControlBody& aBody)
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
    if (CarriesHeartbeats(outgoing.mBody)) {
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
ControlCore::Impl::Apply(MembershipResult aResult, TimePoint aNow)
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
    mPublishSchedule.Request(aNow, kMembershipPause);
  } else if (aResult.mIncarnationChanged) {
    mPublishSchedule.Request(aNow, kIncarnationPause);
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
        "organisation's change is not in force",
        { { "key", rejection.mKey },
          { "revision", std::to_string(rejection.mRevision) },
          { "reason", rejection.mReason } });
  }
  for (const auto& key : aResult.mChanged) {
    const auto& document = mStore.mRecords.find(key)->second.mDocument;
    if (const auto* list =
          std::get_if<state::InstanceListDocument>(document.get())) {
      Apply(ApplyPublishedList(mMembership, *list, aNow), aNow);
    }
  }
  state::UpdateServices(mBuilder, mStore, aNow);
  mPublishSchedule.Request(aNow, {});
  Send(AnnounceChanges(
         mDissemination, mStore, mMembership, aResult.mChanged, mRandom, aNow),
       aNow);
}

/// Asks seeds while this instance knows no other one, and rarely after that,
/// so that two groups that were started apart find each other.
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
  mNextSeedContact = aNow + (alone ? state::Duration(kSeedPeriod)
                                   : state::Duration(kSeedPeriodWithMembers));
  std::vector<state::Endpoint> chosen;
  std::sample(mSettings.mSeeds.begin(),
              mSettings.mSeeds.end(),
              std::back_inserter(chosen),
              kSeedsAtOnce,
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
    Log(LogLevel::Warning, "this instance stalled", {});
    Apply(RestartMembership(mMembership, mRandom, aNow), aNow);
    mPublishSchedule.Request(aNow, {});
  }
  if (UpdateTrust(mStallDetector, CountPeers(mMembership), aNow)) {
    Log(LogLevel::Info,
        "this instance's state is trusted again",
        { { "answers", std::to_string(mStallDetector.mResponders.size()) } });
    mPublishSchedule.Request(aNow, {});
  }
}

void
ControlCore::Impl::CheckReachable(TimePoint aNow)
{
  auto reachable = ReachableDataCentres(mMembership, aNow);
  if (reachable == mReachableDataCentres) {
    return;
  }
  const auto report = [&](const auto& aSet,
                          const auto& aOther,
                          LogLevel aLevel,
                          const char* aMessage) {
    for (const auto& dataCentre : aSet) {
      if (!aOther.contains(dataCentre)) {
        Log(aLevel, aMessage, { { "data_centre", dataCentre.mValue } });
      }
    }
  };
  report(mReachableDataCentres,
         reachable,
         LogLevel::Warning,
         "data centre is unreachable");
  report(reachable,
         mReachableDataCentres,
         LogLevel::Info,
         "data centre is reachable");
  mReachableDataCentres = std::move(reachable);
  mPublishSchedule.Request(aNow, {});
}

void
ControlCore::Impl::CheckQuarantine(TimePoint aNow)
{
  if (mBuilder.mQuarantine.mReleased.empty()) {
    return;
  }
  const auto floor =
    LowestRevisionInForce(mMembership, mStore.mCompleteRevision);
  if (state::EndQuarantines(mBuilder.mQuarantine, floor, aNow)) {
    Log(LogLevel::Info,
        "quarantine ended",
        { { "floor", std::to_string(floor) } });
    state::UpdateServices(mBuilder, mStore, aNow);
    mPublishSchedule.Request(aNow, {});
  }
}

void
ControlCore::Impl::CheckPlatform(TimePoint aNow)
{
  const bool assigned = IsAssigned(mMembership, "platform-readers", kReaders);
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
ControlCore::Impl::MakeRecords(const Pull& aPull, TimePoint aNow) const
{
  auto records = AnswerPull(mStore, aPull);
  if (aPull.mWantsMembers) {
    for (const auto& [id, member] : mMembership.mMembers) {
      records.mMembers.push_back(member.mUpdate);
    }
  }
  for (const auto& [endpoint, departure] : mBuilder.mQuarantine.mReleased) {
    if (departure.mMoved) {
      records.mQuarantined.push_back(
        { endpoint,
          departure.mRevision,
          std::chrono::floor<std::chrono::milliseconds>(
            aNow - departure.mReleasedAt) });
    }
  }
  return records;
}

void
ControlCore::Impl::HandlePullResponse(const ControlMessage& aMessage,
                                      const PullResponse& aRecords,
                                      TimePoint aNow)
{
  // A process that runs for longer has seen the moves itself.
  if (aNow - mStarted < state::kQuarantine) {
    for (const auto& moved : aRecords.mQuarantined) {
      if (state::ApplyReportedMove(mBuilder.mQuarantine,
                                   moved.mEndpoint,
                                   moved.mRevision,
                                   aNow - moved.mAge)) {
        state::UpdateServices(mBuilder, mStore, aNow);
        mPublishSchedule.Request(aNow, {});
      }
    }
  }
  ApplyMerge(state::MergeEntries(mStore, aRecords.mEntries), aNow);
  Send(UpdateWantedKeys(mDissemination, mStore, aMessage, aRecords, aNow),
       aNow);
}

void
ControlCore::Impl::HandleBody(const ControlMessage& aMessage, TimePoint aNow)
{
  const auto& sender = aMessage.mSender;
  if (const auto* answer = std::get_if<Acknowledgement>(&aMessage.mBody);
      answer != nullptr && sender.mDataCentre == mSettings.mDataCentre &&
      answer->mToken >= mMembership.mFirstValidToken) {
    RecordAcknowledgement(mStallDetector, sender.mId);
  }
  if (const auto* digest = std::get_if<Digest>(&aMessage.mBody)) {
    Send(HandleDigest(mDissemination, mStore, aMessage, *digest, aNow), aNow);
  } else if (const auto* pull = std::get_if<Pull>(&aMessage.mBody)) {
    state::Increment(mCounters, "pulls_answered_total");
    Send({ { sender.mControlEndpoint, MakeRecords(*pull, aNow) } }, aNow);
  } else if (const auto* records = std::get_if<PullResponse>(&aMessage.mBody)) {
    HandlePullResponse(aMessage, *records, aNow);
  }
  // An instance that has just started asks whoever answers first.
  if (mStore.mRecords.empty() && aMessage.mRevisionInForce > 0) {
    Send(RequestFullComparison(
           mDissemination, mStore, sender.mControlEndpoint, true, aNow),
         aNow);
  }
}

ControlActions
ControlCore::Impl::Finish(TimePoint aNow)
{
  PublishIfDue(aNow);
  return std::exchange(mActions, {});
}

} // namespace sassafrasknot::coordination
