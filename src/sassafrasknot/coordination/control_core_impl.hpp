#ifndef SASSAFRASKNOT_COORDINATION_CONTROL_CORE_IMPL_HPP
#define SASSAFRASKNOT_COORDINATION_CONTROL_CORE_IMPL_HPP

#include "sassafrasknot/coordination/control_core.hpp"
#include "sassafrasknot/coordination/dissemination.hpp"
#include "sassafrasknot/coordination/member_queries.hpp"
#include "sassafrasknot/coordination/membership.hpp"
#include "sassafrasknot/coordination/platform_reader.hpp"
#include "sassafrasknot/coordination/stall_guard.hpp"
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
struct PublishPlan
{
  std::optional<state::TimePoint> mDue;
  state::TimePoint mLast;

  void Request(state::TimePoint aNow, state::Duration aPause)
  {
    const auto due = std::max(aNow, mLast + aPause);
    mDue = mDue ? std::min(*mDue, due) : due;
  }
};

struct ControlCore::Impl
{
  ControlSettings mSettings;
  RandomGenerator mRandom;
  state::TimePoint mStarted;
  Membership mMembership;
  StallGuard mGuard;
  state::ConfigurationStore mStore;
  Dissemination mDissemination;
  PlatformReader mReader;
  state::SnapshotBuilder mBuilder;
  PublishPlan mPlan;
  state::TimePoint mNextSeed;
  std::set<state::DataCentreId> mReachable;
  std::shared_ptr<const state::Snapshot> mSnapshot;
  state::Counters mCounters;
  ControlActions mActions;

  void Send(std::vector<Outgoing> aOutgoing, state::TimePoint aNow);
  void Log(LogLevel aLevel,
           std::string aMessage,
           std::vector<std::pair<std::string, std::string>> aFields);
  void Apply(MembershipResult aResult, state::TimePoint aNow);
  void ApplyMerge(const state::MergeResult& aResult, state::TimePoint aNow);
  void ReadSeeds(state::TimePoint aNow);
  void CheckStall(state::TimePoint aNow);
  void CheckReachable(state::TimePoint aNow);
  void CheckQuarantine(state::TimePoint aNow);
  void CheckPlatform(state::TimePoint aNow);
  void PublishIfDue(state::TimePoint aNow);
  void TakeBody(const ControlMessage& aMessage, state::TimePoint aNow);
  void TakeRecords(const ControlMessage& aMessage,
                   const Records& aRecords,
                   state::TimePoint aNow);
  Records MakeRecords(const Pull& aPull, state::TimePoint aNow) const;
  ControlActions Finish(state::TimePoint aNow);
};

} // namespace sassafrasknot::coordination

#endif
