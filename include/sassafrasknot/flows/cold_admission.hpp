#ifndef SASSAFRASKNOT_FLOWS_COLD_ADMISSION_HPP
#define SASSAFRASKNOT_FLOWS_COLD_ADMISSION_HPP

#include "sassafrasknot/flows/flow_length.hpp"
#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

/// Limits the requests that reach a cold upstream.
/// docs/design/cold-upstreams.md describes the design and its limits.
namespace sassafrasknot::flows {

struct UpstreamRecord;
struct UpstreamTable;

/// Number of instances that may place flows on one cold upstream within the
/// same second without exceeding its limit. Usually it is one; it is more while
/// instances are isolated from each other or one takes over from another.
constexpr std::uint32_t kConcurrentPlacingInstances = 3;
/// An instance places flows on a cold upstream only after it has been the
/// upstream's placing instance for this time. All instances in contact then
/// know it: gossip reaches all of them within a few of its periods (1 s).
constexpr std::chrono::milliseconds kPlacingDelay{ 10000 };
/// An older view of the fleet permits no placement: this instance was stalled.
/// It exceeds several intervals at which views are made (250 ms).
constexpr std::chrono::milliseconds kMaxViewAge{ 1000 };
/// Requests per second that are reserved for each feed at a cold upstream.
constexpr double kRequestsPerFeed = 4;
/// After the warm-up, instances begin to use the upstream one after the other
/// within this time, so that its load has no step.
constexpr std::chrono::milliseconds kJoinPeriod{ 5000 };

/// @brief What an instance knows of the fleet.
struct FleetView
{
  /// Hash that identifies this instance.
  std::uint64_t mSelf = 0;
  /// Hashes of the other instances that may place flows, in a fixed order.
  std::vector<std::uint64_t> mMembers;
  /// Whether this instance is in contact with most of the fleet and may place
  /// flows on cold upstreams at all.
  bool mMayPlace = false;
  /// When the view was made; zero if there is none.
  state::TimePoint mAsOf;
};

/// @brief State of the limit of one upstream at this instance.
struct ColdAdmission
{
  /// Requests that this instance may place there within any second, if
  /// mIsLimited.
  std::uint32_t mRequestsPerSecond = 0;
  /// The service has a limit. Otherwise nothing here has an effect.
  bool mIsLimited = false;
  /// Length of the warm-up by the configuration.
  std::chrono::milliseconds mWarmUp{ 0 };
  /// The upstream was published as cold since its start.
  bool mWasCold = false;
  /// This instance is the one that places flows there while it is cold.
  bool mIsPlacing = false;
  /// Since when it is, as far as this instance knows.
  state::TimePoint mPlacingSince;
  /// End of the validity of mIsPlacing.
  state::TimePoint mValidUntil;
  /// Time of the next admission at the earliest; zero before the first check.
  state::TimePoint mNextAdmission;
  /// Time up to which requests of open feeds have used their reserve.
  state::TimePoint mReservedUntil;
  /// Position of this instance within kJoinPeriod, from 0 to 1.
  double mJoinFraction = 0;
  /// Flows that this instance has placed there while it was cold.
  std::uint64_t mAdmittedFlows = 0;
};

/// @brief Numbers of new flows since the start of the process.
struct ColdCounters
{
  /// Flows that were placed on cold upstreams.
  std::uint64_t mAdmitted = 0;
  /// Flows for which a cold upstream of this instance was no candidate, since
  /// its budget was used up.
  std::uint64_t mBudgetUsedUp = 0;
  /// Flows that were refused while a cold upstream had no budget for them.
  std::uint64_t mRefused = 0;
};

/// @brief State that all cold upstreams share.
struct ColdPlacement
{
  FleetView mView;
  /// Last change of the view's members, or end of the last stall or isolation.
  state::TimePoint mViewChangedAt;
  ColdCounters mCounters;
};

/// @brief Applies the limits of a configuration to all upstreams. To be called
/// after each change of the table.
/// @param aPlacement the shared state
/// @param aTable upstreams, whose limits and lists of placed upstreams change
/// @param aConfiguration limits by service, or null if there is none yet
/// @param aBounds factor and addend of the limits
/// @param aNow current time on the steady clock
void
UpdateColdLimits(const ColdPlacement& aPlacement,
                 UpstreamTable& aTable,
                 const Configuration* aConfiguration,
                 const ColdBounds& aBounds,
                 state::TimePoint aNow);

/// @brief Applies a new view of the fleet.
/// @param aPlacement the shared state, which keeps the view
/// @param aTable upstreams, whose placing instances change
/// @param aView the view
/// @param aNow current time on the steady clock
void
UpdateFleetView(ColdPlacement& aPlacement,
                UpstreamTable& aTable,
                FleetView aView,
                state::TimePoint aNow);

/// @brief Treats the upstreams of a data centre as cold from now on, for the
/// length of their service's warm-up. To be called when an evacuation ends,
/// since they may have become cold without traffic. Upstreams without a limit
/// are not affected.
/// @param aTable upstreams
/// @param aDataCentre data centre that was evacuated
/// @param aNow current time on the steady clock
void
RestartWarmUps(UpstreamTable& aTable,
               const state::DataCentreId& aDataCentre,
               state::TimePoint aNow);

/// @brief Returns whether an upstream is cold and its service has a limit.
/// @param aRecord the upstream
/// @param aNow current time on the steady clock
/// @return whether AdmitsColdFlow decides on new flows
bool
IsColdAndLimited(const UpstreamRecord& aRecord, state::TimePoint aNow);

/// @brief Returns whether a new flow may go to an upstream, as far as its
/// warm-up is concerned.
/// @param aRecord the upstream
/// @param aLength expected length of the flow; feeds are limited more strictly
/// @param aNow current time on the steady clock
/// @return true for an upstream that is warm or has no limit
bool
AdmitsColdFlow(const UpstreamRecord& aRecord,
               FlowLength aLength,
               state::TimePoint aNow);

/// @brief Records a further request of an open flow at an upstream. It uses the
/// budget of new flows unless it is covered by the reserve of feeds, and has no
/// effect unless the upstream is cold and limited.
/// @param aRecord the upstream
/// @param aNow current time on the steady clock
void
RecordColdRequest(UpstreamRecord& aRecord, state::TimePoint aNow);

/// @brief Records that a new flow was placed on an upstream, whose first
/// request counts.
/// @param aRecord the upstream
/// @param aNow current time on the steady clock
void
RecordColdFlow(UpstreamRecord& aRecord, state::TimePoint aNow);

/// @brief Returns whether this instance does not use an upstream yet because
/// its warm-up has ended only recently, unless the others are much busier.
/// @param aRecord the upstream
/// @param aNow current time on the steady clock
/// @return whether the upstream is warm, limited, and not yet due here
bool
IsJoining(const UpstreamRecord& aRecord, state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
