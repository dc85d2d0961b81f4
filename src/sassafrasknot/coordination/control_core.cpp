#include "sassafrasknot/coordination/control_core.hpp"

#include "sassafrasknot/coordination/control_core_impl.hpp"

namespace sassafrasknot::coordination {

using state::TimePoint;

ControlCore::ControlCore(ControlSettings aSettings,
                         std::uint64_t aSeed,
                         TimePoint aNow)
  : mImpl(std::make_unique<Impl>())
{
  auto& impl = *mImpl;
  impl.mRandom.seed(aSeed);
  impl.mStarted = aNow;
  impl.mStallDetector.mLastTick = aNow;
  impl.mMembership.mSelf = {
    aSettings.mId,           aSettings.mDataCentre,
    aSettings.mPeerEndpoint, aSettings.mControlEndpoint,
    MemberHealth::Alive,     false,
    aSettings.mIncarnation
  };
  // Instances that start together must not all send at the same time.
  const auto randomStart = [&](state::Duration aPeriod) {
    return aNow + state::Duration(std::uniform_int_distribution<std::int64_t>(
                    0, aPeriod.count())(impl.mRandom));
  };
  impl.mMembership.mNextProbe = randomStart(kProbePeriod);
  impl.mMembership.mNextDeadProbe = randomStart(std::chrono::seconds(1));
  impl.mMembership.mNextSummary = randomStart(std::chrono::seconds(1));
  impl.mDissemination.mNextDigest = randomStart(std::chrono::seconds(1));
  impl.mDissemination.mLastDigest = aNow;
  impl.mDissemination.mLastComparison = aNow - std::chrono::hours(1);
  impl.mDissemination.mLastChange = aNow - std::chrono::hours(1);
  impl.mReader = MakePlatformReader(impl.mRandom, aNow);
  impl.mNextSeedContact = aNow;
  impl.mReachableDataCentres = { aSettings.mDataCentre };
  impl.mSettings = std::move(aSettings);
  impl.mPublishSchedule.Request(aNow, {});
  impl.PublishIfDue(aNow);
  impl.mPublishSchedule.Request(aNow, {});
  impl.mActions.clear();
}

ControlCore::~ControlCore() = default;
ControlCore::ControlCore(ControlCore&&) noexcept = default;
ControlCore&
ControlCore::operator=(ControlCore&&) noexcept = default;

ControlActions
ControlCore::OnTick(TimePoint aNow)
{
  auto& impl = *mImpl;
  impl.CheckStall(aNow);
  impl.ContactSeeds(aNow);
  impl.ApplyMembershipResult(
    TickMembership(impl.mMembership, impl.mRandom, aNow), aNow);
  impl.Send(
    MakeSummaries(
      impl.mMembership, impl.mStore.mCompleteRevision, impl.mRandom, aNow),
    aNow);
  impl.Send(
    TickDissemination(
      impl.mDissemination, impl.mStore, impl.mMembership, impl.mRandom, aNow),
    aNow);
  impl.UpdateReachableDataCentres(aNow);
  impl.EndQuarantinesIfDue(aNow);
  impl.StartReadIfDue(aNow);
  return impl.CollectActions(aNow);
}

ControlActions
ControlCore::OnMessage(TimePoint aNow, const ControlMessage& aMessage)
{
  auto& impl = *mImpl;
  if (aMessage.mSender.mId == impl.mSettings.mId) {
    return {};
  }
  state::Increment(impl.mCounters, "control_messages_received_total");
  impl.CheckStall(aNow);
  impl.ApplyMembershipResult(
    HandleMessage(impl.mMembership, aMessage, impl.mRandom, aNow), aNow);
  impl.HandleBody(aMessage, aNow);
  return impl.CollectActions(aNow);
}

ControlActions
ControlCore::OnPlatformRecords(
  TimePoint aNow,
  const std::vector<state::ConfigurationRecord>& aRecords,
  state::Revision aRevision,
  bool aFull)
{
  auto& impl = *mImpl;
  impl.CheckStall(aNow);
  const bool stale = aRevision < impl.mStore.mCompleteRevision;
  const auto afterRevision = aFull ? std::nullopt : impl.mReader.mAfterRevision;
  // Without a watch on record, changes below these records may be missing, so
  // the complete revision is not raised.
  const auto completeRevision =
    aFull || afterRevision ? aRevision : state::Revision{ 0 };
  const auto result = state::MergeRecords(
    impl.mStore,
    aRecords,
    completeRevision,
    aFull ? std::nullopt : std::optional(afterRevision.value_or(0)));
  if (stale) {
    state::Increment(impl.mCounters, "platform_answers_stale_total");
  }
  RecordSuccess(impl.mReader, stale, impl.mRandom, aNow);
  impl.ApplyMerge(result, aNow);
  impl.StartReadIfDue(aNow);
  return impl.CollectActions(aNow);
}

ControlActions
ControlCore::OnPlatformFailure(TimePoint aNow, const state::Error& aError)
{
  auto& impl = *mImpl;
  impl.CheckStall(aNow);
  RecordFailure(impl.mReader, aError, impl.mRandom, aNow);
  state::Increment(impl.mCounters, "platform_failures_total");
  impl.Log(LogLevel::Warning,
           "read or watch of the platform failed",
           { { "error", std::string(ToString(aError.mCode)) },
             { "message", aError.mMessage } });
  return impl.CollectActions(aNow);
}

ControlActions
ControlCore::OnWatchReturned(TimePoint aNow, state::Revision aRevision)
{
  auto& impl = *mImpl;
  impl.CheckStall(aNow);
  const bool stale = aRevision < impl.mStore.mCompleteRevision;
  if (!stale && impl.mReader.mAfterRevision &&
      *impl.mReader.mAfterRevision <= impl.mStore.mCompleteRevision) {
    state::RaiseCompleteRevision(impl.mStore, aRevision);
  }
  RecordSuccess(impl.mReader, stale, impl.mRandom, aNow);
  impl.StartReadIfDue(aNow);
  return impl.CollectActions(aNow);
}

ControlActions
ControlCore::OnStopRequested(TimePoint aNow)
{
  auto& impl = *mImpl;
  impl.Log(LogLevel::Info, "planned stop begins; this instance is leaving", {});
  impl.ApplyMembershipResult(
    LeaveMembership(impl.mMembership, impl.mRandom, aNow), aNow);
  impl.mPublishSchedule.Request(aNow, {});
  return impl.CollectActions(aNow);
}

std::shared_ptr<const state::Snapshot>
ControlCore::CurrentSnapshot() const
{
  return mImpl->mSnapshot;
}

state::Revision
ControlCore::RevisionInForce() const
{
  return mImpl->mStore.mCompleteRevision;
}

const state::Counters&
ControlCore::Counters() const
{
  return mImpl->mCounters;
}

} // namespace sassafrasknot::coordination
