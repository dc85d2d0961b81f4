#ifndef SASSAFRASKNOT_FLOWS_UPSTREAM_TABLE_HPP
#define SASSAFRASKNOT_FLOWS_UPSTREAM_TABLE_HPP

#include "sassafrasknot/flows/capacity_admission.hpp"
#include "sassafrasknot/flows/cold_admission.hpp"
#include "sassafrasknot/flows/failure_detector.hpp"
#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/flows/subset.hpp"
#include "sassafrasknot/flows/upstream_speed.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sassafrasknot::flows {

/// @brief Load that the flows of one or several instances put on an upstream.
struct UpstreamLoad
{
  /// Open feeds: flows that stay open for many requests.
  std::uint32_t mFeeds = 0;
  /// Requests in flight at the upstream, processed or queued.
  std::uint32_t mActiveRequests = 0;

  auto operator<=>(const UpstreamLoad&) const = default;
};

/// @brief Backlog of requests that were answered much earlier than usual. They
/// count as long as they would have run otherwise, so that an upstream which
/// fails requests quickly attracts no more of them than the others.
struct EarlyAnswers
{
  /// In units of the mean work, at mAt.
  double mBacklog = 0;
  /// Units that end per second.
  double mRate = 0;
  state::TimePoint mAt;
};

/// @brief Shortest handshakes at an upstream in the present and the previous
/// period. A handshake takes the same path as a request and its answer, so that
/// the difference is the upstream's time.
struct RecentHandshakes
{
  std::optional<state::Duration> mShortest;
  std::optional<state::Duration> mPreviousShortest;
  state::TimePoint mPeriodStart;
};

/// @brief An upstream with its state at this instance.
struct UpstreamRecord
{
  Upstream mUpstream;
  UpstreamToken mToken = kNoToken;
  Presence mPresence = Presence::Listed;
  /// Whether its data centre is evacuated, so that it receives no new flow.
  bool mEvacuated = false;
  /// When it ceases to be slow after its start.
  state::TimePoint mWarmUpEnd;
  /// Number of the last directory that had its token; see UpstreamTable.
  std::uint64_t mLastDirectory = 0;
  /// When it left the directory; only for Presence::Removed.
  state::TimePoint mRemovedAt;
  FailureDetector mFailureDetector;
  /// Whether the table's mObserved contains it.
  bool mIsObserved = false;
  /// Load by this instance's flows.
  UpstreamLoad mOwnLoad;
  /// Load by other instances' flows, as they last reported it.
  UpstreamLoad mPeerLoad;
  /// Expected remaining work of this instance's active requests, in units of
  /// the mean work, less their number; 0 while nothing is learned.
  double mExcessBacklog = 0;
  /// Peers' active requests, averaged over kReportTimeConstant.
  double mAveragePeerRequests = 0;
  /// Weight of the reported number of peers' requests against their average. It
  /// falls with the time that requests take: when most reported requests have
  /// already ended, the average is the better estimate, and all instances that
  /// place by the same reports would choose the same upstream.
  double mReportWeight = 1;
  EarlyAnswers mEarlyAnswers;
  SpeedEstimate mSpeed;
  /// Until when speeds that others report are ignored, since they may be those
  /// of the upstream's earlier process.
  state::TimePoint mIgnoreSharedSpeedUntil;
  RecentHandshakes mHandshakes;
  /// Answers that this instance did not use as samples of the speed, since they
  /// were much earlier than usual.
  std::uint64_t mEarlyAnswerCount = 0;
  /// Active requests of all instances, averaged over kLoadAverageTimeConstant.
  double mAverageActiveRequests = 0;
  /// Mean utilisation (active requests per slot) of its data centre, or null if
  /// none has been assigned; see AssumedUtilisation.
  const double* mDataCentreUtilisation = nullptr;
  /// Limit of its flows while it is cold.
  ColdAdmission mColdAdmission;
  /// Limit of this instance's active requests while it rejects some.
  CapacityLimit mCapacityLimit;
};

/// Time constant of the average of active requests: the length of some ten
/// requests, and longer than the interval of other data centres' reports.
constexpr std::chrono::milliseconds kLoadAverageTimeConstant{ 1000 };

/// Time constant of the average of peers' active requests: several times the
/// age of their reports.
constexpr std::chrono::milliseconds kReportTimeConstant{ 500 };

/// Time for which reported speeds of a restarted upstream are ignored: reports
/// count for up to 4.5 s (fleet::kSpeedReportRetention), and others may learn
/// of the restart later than this instance.
constexpr std::chrono::seconds kSharedSpeedDelay{ 6 };

/// @brief The upstreams of one service among which new flows are placed.
struct ServicePool
{
  /// Upstreams of all data centres.
  std::vector<UpstreamRecord*> mAll;
  /// Upstreams of this data centre among which this instance chooses: all of
  /// them, or its subset.
  std::vector<UpstreamRecord*> mLocalCandidates;
  /// Upstreams of other data centres, except evacuated ones.
  std::vector<UpstreamRecord*> mRemote;
  /// Cold upstreams of all data centres on which only this instance places
  /// flows; see UpdateColdLimits.
  std::vector<UpstreamRecord*> mColdPlaced;
  /// Whether mLocalCandidates is this instance's subset.
  bool mIsSubset = false;
  /// Whether flows are spread over mRemote: mLocalCandidates is a subset whose
  /// data centre is evacuated.
  bool mSpreadsRemotely = false;
  /// Evacuated data centres that have upstreams of the service.
  std::vector<state::DataCentreId> mEvacuated;
};

/// @brief All upstreams that packets may name, by token and by service.
struct UpstreamTable
{
  std::unordered_map<UpstreamToken, UpstreamRecord> mByToken;
  std::map<std::string, ServicePool, std::less<>> mByService;
  /// Upstreams of the last SetSharedSpeeds.
  std::vector<UpstreamToken> mWithSharedSpeed;
  /// Upstreams that left the directory and are kept for a while.
  std::set<UpstreamToken> mRemoved;
  /// Number of directories that have been applied.
  std::uint64_t mDirectories = 0;
  /// Whether the last directory had evacuated data centres.
  bool mHasEvacuations = false;
  /// Upstreams that may have load of this instance's flows or evidence of a
  /// failure; see ObservedUpstreams.
  std::set<UpstreamToken> mObserved;
  /// Mean utilisations of data centres that report no loads by upstream, 0 for
  /// others. Entries are not removed, since records point to them.
  std::map<state::DataCentreId, double> mMeanUtilisations;
  /// Upstreams to which the last SetPeerLoads assigned loads, in order.
  std::vector<UpstreamToken> mPeerLoaded;
  /// Upstreams that are new, have restarted or have moved to another data
  /// centre since the last SetPeerLoads.
  std::vector<UpstreamToken> mWithoutUtilisation;
};

/// @brief Applies a new directory, or the changes that an incremental one has.
/// Upstreams that are no longer in it are kept
/// as removed for longer than a flow may live, so that packets still reach
/// them. UpdateColdLimits has to be called afterwards.
/// @param aTable the table
/// @param aDirectory directory that replaces the previous one
/// @param aNow current time on the steady clock
/// @return whether BuildPools has to be called before: an upstream was added or
/// removed, or its service, data centre or evacuation has changed
bool
UpdateTable(UpstreamTable& aTable,
            const Directory& aDirectory,
            state::TimePoint aNow);

/// @brief Rebuilds the pools of all services.
/// @param aTable the table
/// @param aDataCentre data centre of this instance
/// @param aPosition its position among the instances there
void
BuildPools(UpstreamTable& aTable,
           const state::DataCentreId& aDataCentre,
           const InstancePosition& aPosition);

/// @brief Replaces the loads that other instances have reported. The time that
/// this takes depends on the number of loads, not of upstreams.
/// @param aTable the table
/// @param aLoads sums of other instances' loads by upstream; an upstream that
/// is missing has none
/// @param aMeanUtilisations active requests per slot of data centres that
/// report no loads by upstream
void
SetPeerLoads(UpstreamTable& aTable,
             const std::map<UpstreamToken, UpstreamLoad>& aLoads,
             const std::map<state::DataCentreId, double>& aMeanUtilisations);

/// @brief Replaces the speeds that other instances have reported. The cost
/// depends on the number of reported upstreams only.
/// @param aTable the table
/// @param aSpeeds reported speeds; an upstream that is missing has none
/// @param aNow current time on the steady clock
void
SetSharedSpeeds(UpstreamTable& aTable,
                const std::map<UpstreamToken, SharedSpeed>& aSpeeds,
                state::TimePoint aNow);

/// @brief Returns the mean utilisation of an upstream's data centre.
/// @param aRecord the upstream
/// @return active requests per slot; 0 if its data centre reports loads by
/// upstream or nothing
double
AssumedUtilisation(const UpstreamRecord& aRecord);

/// @brief Returns the active requests per slot of the local upstreams among
/// which this instance chooses.
/// @param aTable the table
/// @return the utilisation, 0 without upstreams
double
LocalUtilisation(const UpstreamTable& aTable);

/// @brief Advances the average of peers' active requests.
/// @param aRecord the upstream
/// @param aMeanWork mean work of its service, if it is learned; otherwise the
/// reported number counts alone
/// @param aElapsed time since the last call
void
UpdateReportAverage(UpstreamRecord& aRecord,
                    std::optional<Work> aMeanWork,
                    state::Duration aElapsed);

/// @brief Advances the averages of active requests.
/// @param aTable the table
/// @param aElapsed time since the last call
void
UpdateLoadAverages(UpstreamTable& aTable, state::Duration aElapsed);

/// @brief Records that an upstream has load of this instance's flows or
/// evidence of a failure. It is done for each flow's upstream on ticks, and for
/// each retransmission and change of liveness.
/// @param aTable the table
/// @param aRecord an upstream of the table
void
MarkObserved(UpstreamTable& aTable, UpstreamRecord& aRecord);

/// @brief Returns the upstreams that have load of this instance's flows or
/// evidence of a failure, and forgets those marked ones that have neither any
/// more. The time that this takes does not depend on the number of upstreams.
/// @param aTable the table
/// @return the upstreams in order of their tokens
std::vector<UpstreamRecord*>
ObservedUpstreams(UpstreamTable& aTable);

/// @brief Returns the upstream that a token names.
/// @param aTable the table
/// @param aToken token of a packet
/// @return the upstream, or null if the token is unknown
UpstreamRecord*
FindUpstream(UpstreamTable& aTable, UpstreamToken aToken);

} // namespace sassafrasknot::flows

#endif
