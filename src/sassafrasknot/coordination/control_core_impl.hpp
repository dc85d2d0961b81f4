#ifndef SASSAFRASKNOT_COORDINATION_CONTROL_CORE_IMPL_HPP
#define SASSAFRASKNOT_COORDINATION_CONTROL_CORE_IMPL_HPP

#include "sassafrasknot/coordination/control_core.hpp"
#include "sassafrasknot/coordination/dissemination.hpp"
#include "sassafrasknot/coordination/member_queries.hpp"
#include "sassafrasknot/coordination/membership.hpp"
#include "sassafrasknot/coordination/platform_reader.hpp"
#include "sassafrasknot/coordination/stall_detector.hpp"
#include "sassafrasknot/state/configuration_store.hpp"
#include "sassafrasknot/state/snapshot_builder.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasknot::coordination {

/// When the next snapshot is due, if any.
struct PublishSchedule
{
  std::optional<state::TimePoint> mNextPublish;
  state::TimePoint mLastPublish;

  void Request(state::TimePoint aNow, state::Duration aPause)
  {
    const auto due = std::max(aNow, mLastPublish + aPause);
    mNextPublish = mNextPublish ? std::min(*mNextPublish, due) : due;
  }
};

struct ControlCore::Impl
{
  ControlSettings mSettings;
  RandomGenerator mRandom;
  state::TimePoint mStarted;
  Membership mMembership;
  StallDetector mStallDetector;
  state::ConfigurationStore mStore;
  Dissemination mDissemination;
  PlatformReader mReader;
  state::SnapshotBuilder mBuilder;
  PublishSchedule mPublishSchedule;
  state::TimePoint mNextSeedContact;
  std::set<state::DataCentreId> mReachableDataCentres;
  std::shared_ptr<const state::Snapshot> mSnapshot;
  state::Counters mCounters;
  ControlActions mActions;

  void Send(std::vector<OutgoingMessage> aOutgoing, state::TimePoint aNow);
  void Log(LogLevel aLevel,
           std::string aMessage,
           std::vector<std::pair<std::string, std::string>> aFields);
  void Apply(MembershipResult aResult, state::TimePoint aNow);
  void ApplyMerge(const state::MergeResult& aResult, state::TimePoint aNow);
  void ContactSeeds(state::TimePoint aNow);
  void CheckStall(state::TimePoint aNow);
  void CheckReachable(state::TimePoint aNow);
  void CheckQuarantine(state::TimePoint aNow);
  void CheckPlatform(state::TimePoint aNow);
  void PublishIfDue(state::TimePoint aNow);
  void HandleBody(const ControlMessage& aMessage, state::TimePoint aNow);
  void HandlePullResponse(const ControlMessage& aMessage,
                          const PullResponse& aRecords,
                          state::TimePoint aNow);
  PullResponse MakeRecords(const Pull& aPull, state::TimePoint aNow) const;
  ControlActions Finish(state::TimePoint aNow);
};

} // namespace sassafrasknot::coordination

#endif
