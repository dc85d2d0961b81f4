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

/// Combines requests for a new snapshot, so that frequent changes lead to few
/// snapshots.
struct PublishSchedule
{
  /// When the next snapshot is due; absent if none was requested.
  std::optional<state::TimePoint> mNextPublish;
  state::TimePoint mLastPublish;

  /// Requests a snapshot at least aMinInterval after the last one. An earlier
  /// due time of another request is kept.
  void Request(state::TimePoint aNow, state::Duration aMinInterval)
  {
    const auto due = std::max(aNow, mLastPublish + aMinInterval);
    mNextPublish = mNextPublish ? std::min(*mNextPublish, due) : due;
  }
};

/// State of a control core, and the steps that its event handlers consist of.
struct ControlCore::Impl
{
  ControlSettings mSettings;
  RandomGenerator mRandom;
  /// When this process started.
  state::TimePoint mStarted;
  Membership mMembership;
  StallDetector mStallDetector;
  state::ConfigurationStore mStore;
  Dissemination mDissemination;
  PlatformReader mReader;
  state::SnapshotBuilder mBuilder;
  PublishSchedule mPublishSchedule;
  state::TimePoint mNextSeedContact;
  /// Data centres that the next snapshot shows as reachable; changes are
  /// logged.
  std::set<state::DataCentreId> mReachableDataCentres;
  /// The last published snapshot.
  std::shared_ptr<const state::Snapshot> mSnapshot;
  state::Counters mCounters;
  /// Actions of the current event so far.
  ControlActions mActions;

  /// Adds messages to the actions, with sender, revision and transport.
  void Send(std::vector<OutgoingMessage> aOutgoing, state::TimePoint aNow);
  /// Adds a log line to the actions.
  void Log(LogLevel aLevel,
           std::string aMessage,
           std::vector<std::pair<std::string, std::string>> aFields);
  /// Sends, logs and publishes what a change of the membership requires.
  void ApplyMembershipResult(MembershipResult aResult, state::TimePoint aNow);
  /// Logs, applies and announces changed configuration records.
  void ApplyMerge(const state::MergeResult& aResult, state::TimePoint aNow);
  /// Probes seeds that are due. Seeds are contacted often while no other
  /// instance has responded, and rarely after that, so that two groups of
  /// instances that were started separately become one.
  void ContactSeeds(state::TimePoint aNow);
  /// Detects stalls and their end.
  void CheckStall(state::TimePoint aNow);
  /// Recomputes which data centres are reachable and logs changes.
  void UpdateReachableDataCentres(state::TimePoint aNow);
  /// Ends the quarantines that are over.
  void EndQuarantinesIfDue(state::TimePoint aNow);
  /// Starts a call of the platform if one is due.
  void StartReadIfDue(state::TimePoint aNow);
  /// Builds and publishes a snapshot if one is due.
  void PublishIfDue(state::TimePoint aNow);
  /// Handles the body of a message, apart from its membership part.
  void HandleBody(const ControlMessage& aMessage, state::TimePoint aNow);
  /// Merges the response to a pull and requests what is still missing.
  void HandlePullResponse(const ControlMessage& aMessage,
                          const PullResponse& aResponse,
                          state::TimePoint aNow);
  /// Makes the response to a pull, with members and quarantined endpoints.
  PullResponse MakePullResponse(const Pull& aPull, state::TimePoint aNow) const;
  /// Ends an event: publishes a snapshot if due, and empties and returns
  /// mActions.
  ControlActions CollectActions(state::TimePoint aNow);
};

} // namespace sassafrasknot::coordination

#endif
