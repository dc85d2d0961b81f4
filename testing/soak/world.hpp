#ifndef SASSAFRASKNOT_SOAK_WORLD_HPP
#define SASSAFRASKNOT_SOAK_WORLD_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "addresses.hpp"
#include "caller.hpp"
#include "child_process.hpp"
#include "disturbances.hpp"
#include "plan.hpp"
#include "relay.hpp"
#include "report.hpp"
#include "stand_ins.hpp"
#include "upstream.hpp"

namespace soak {

/// Name of the store in Disturbances.
constexpr const char* kStoreComponent = "store";
/// Suffix of the component of Disturbances that each restart of an instance
/// disturbs. It suspends only the rules with time bounds after an
/// acknowledgement, not the one on open flows.
constexpr const char* kStartsSuffix = " starts";
/// Bounds of the platform: the time from a configuration's acknowledgement
/// until it is in force, and the time from SIGTERM to SIGKILL.
constexpr std::chrono::milliseconds kConfigurationBound{ 3000 };
constexpr std::chrono::milliseconds kTerminationGrace{ 6000 };
/// Period after the recovery; the requests that start in it are counted for the
/// rule RECOVER.
constexpr std::chrono::milliseconds kRecoveryCheckPeriod{ 4000 };
/// Service endpoints: feeds (kDesk) and confirmations (kDeskOnce) of the
/// service "desk", uploads of the service "intake".
inline constexpr Endpoint kDesk{ { 0xC6120001 }, 8443 };
inline constexpr Endpoint kDeskOnce{ { 0xC6120001 }, 8080 };
inline constexpr Endpoint kIntake{ { 0xC6120002 }, 8443 };

/// @brief Formats an upstream's label as in its id: at least 8 hexadecimal
/// digits.
std::string
FormatLabel(std::uint64_t aLabel);

/// @brief Size, load and files of one run.
struct WorldOptions
{
  std::uint64_t mSeed = 1;
  std::size_t mInstances = 6;
  std::size_t mDataCentres = 3;
  /// The first data centres have upstreams. All flows of the others cross data
  /// centres, where instances detect failures by fewer packets.
  std::size_t mUpstreamDataCentres = 2;
  std::size_t mUpstreams = 18;
  std::size_t mCallers = 6;
  /// Mean number of open feeds, and of requests per second of each other kind.
  std::size_t mFeeds = 40;
  double mRequestsPerSecond = 40;
  /// Period from the start of traffic in which faults start.
  std::chrono::milliseconds mLength{ 30000 };
  /// Path of the program that runs an instance.
  std::string mDaemon;
  /// Existing folder for the settings and logs of instances.
  std::string mFolder;
  /// Kind of faults that the plan has beside planned work, or nothing for all
  /// kinds; see MakePlan.
  std::optional<FaultKind> mOnlyKind;
  /// Kind of the deliberate fault that a check must find, or empty.
  std::string mSabotage;
};

/// @brief One instance with the relays in front of it.
struct Instance
{
  std::size_t mNumber = 0;
  std::string mName;
  std::string mDataCentre;
  /// Relays of messages from peers, of connections from peers (pulls of their
  /// state) and of its connections to the store.
  std::shared_ptr<DatagramSocket> mFleetRelay;
  std::shared_ptr<ConnectionRelay> mPullRelay;
  std::shared_ptr<ConnectionRelay> mStoreRelay;
  std::unique_ptr<ChildProcess> mProcess;
  /// SIGTERM was sent, so the process is expected to end with status 0.
  bool mIsStopping = false;
  /// SIGKILL was sent.
  bool mWasKilled = false;
  bool mIsPaused = false;
  /// Readiness checks that failed in a row; at first as many as make it
  /// unready.
  int mFailedReadinessChecks = 2;
  /// Number of active faults that block messages to it, and from it.
  int mInboundBlocks = 0;
  int mOutboundBlocks = 0;
  /// When SIGTERM was sent.
  Clock::time_point mTerminationTime;
};

/// @brief One run: the instances as processes, and fakes of the rest of the
/// platform (store, routers, upstreams, callers) in this process on one thread.
/// Rules are checked while it runs.
class World
{
public:
  /// @brief Reserves addresses, starts the instances and creates the fakes.
  /// @throws std::runtime_error if no network is free or a process cannot start
  explicit World(WorldOptions aOptions);
  ~World();

  /// @brief Executes the plan, waits for the recovery and checks it. May be
  /// called once.
  /// @return counts and violations of the run
  Report Run();

  /// @brief Returns the second byte of the addresses that a run uses.
  friend std::uint8_t NetworkOf(const World& aWorld)
  {
    return aWorld.mAddresses.mNetwork;
  }

private:
  /// A route that changes of the configuration add and remove.
  struct TestRoute
  {
    Endpoint mEndpoint;
    /// When the store acknowledged the last change of it.
    Clock::time_point mChangeTime;
    bool mIsPresent = true;
  };

  /// A flow that an upstream reported as open.
  struct FlowRecord
  {
    std::uint64_t mLabel = 0; ///< Of the upstream at which it is open.
    bool mIsOpen = false;
    Clock::time_point mOpeningTime;
  };

  /// Selects a network that no other run uses and reserves it.
  void ReserveNetwork();
  /// Creates an instance with its relays and starts its process.
  void AddInstance(std::size_t aNumber);
  void StartProcess(Instance& aInstance);
  void WriteSettings(const Instance& aInstance) const;
  /// Starts an upstream and writes its entry to the store.
  void AddUpstream(const std::string& aService, std::uint64_t aLabel);
  /// Writes an upstream's entry to the store.
  void PublishUpstream(const Upstream& aUpstream);
  /// Deletes an upstream's entry from the store.
  void WithdrawUpstream(const Upstream& aUpstream);
  /// Writes the next version of the configuration to the store.
  void PublishConfiguration();
  void AddCallers();

  /// Sends a caller's packet to an instance as the platform's routers do: by a
  /// hash over the ready instances of the caller's data centre.
  void RoutePacket(std::size_t aCaller,
                   const FlowEndpoints& aEndpoints,
                   const std::string&);
  /// Sends a caller's packet to an instance over a link with the current loss.
  void Deliver(const Endpoint& aInstance,
               std::size_t aCaller,
               const std::string& aBytes);
  /// Forwards a message between instances unless a fault blocks it.
  void RelayFleet(Instance& aTo, const Endpoint& aFrom, std::string_view);
  /// Returns whether a partition separates an instance from an upstream.
  bool IsPartitionedFrom(const Instance& aInstance,
                         std::size_t aUpstreamNumber) const;
  /// Returns the instances of a data centre to which routers send packets: the
  /// ready ones, or all if less than half of them are ready.
  std::vector<Instance*> ReadyInstances(const std::string& aDataCentre);

  /// Requests the readiness of each instance, as the platform's routers do.
  void CheckReadiness();
  /// Checks the rules STOP and ENDS, and restarts processes that ended.
  void CheckProcesses();
  /// Checks with one opening packet whether an instance serves a random test
  /// route exactly if it is configured.
  void ProbeRoutes();
  /// Starts the requests of one tick, a random number of each kind.
  void StartRequests();
  /// Injects one fault of the plan and counts it in the report.
  void InjectFault(const Fault& aFault);
  void InjectProcessFault(const Fault& aFault, Instance& aInstance);
  void InjectStoreFault(const Fault& aFault);
  void InjectUpstreamFault(const Fault& aFault);
  void InjectLinkFault(const Fault& aFault, Instance& aInstance);
  /// Sends SIGKILL to an instance's process.
  void Kill(Instance& aInstance);
  /// Blocks messages from peers and the store to an instance for a time, and
  /// with aBothDirections also its messages to peers and upstreams.
  void BlockInstance(Instance& aInstance,
                     bool aBothDirections,
                     std::chrono::milliseconds);
  /// Separates the first data centre from the others for a time.
  void PartitionDataCentre(std::chrono::milliseconds aDuration);
  /// Adds or removes a test route unless it is already so.
  /// @return the route's endpoint, or nothing if nothing changed
  std::optional<Endpoint> ChangeRoutes(bool aAdd, std::size_t aTarget);
  /// Adds a test route, on which callers open feeds at once, and pauses the
  /// instance that hands the change over to the others.
  void FreezeReader(const Fault& aFault);
  /// Pauses the instance from which another one pulls next, once it has
  /// answered that one; the requests of others get no answer.
  void PauseFirstSource(std::chrono::milliseconds aDuration);
  /// Sends SIGSTOP to an instance's process, and SIGCONT after a time.
  void Pause(Instance& aInstance, std::chrono::milliseconds aDuration);
  /// Pauses an instance for a part of the time, and lets the store not answer
  /// others, which is not a disturbance of these or of the store.
  void TurnReadersAway(const Fault& aFault);
  /// Lets the store not answer an instance for a time.
  void TurnAway(Instance& aInstance, std::chrono::milliseconds aDuration);
  /// Lets a group of upstreams stop responding for a time.
  void SilenceUpstreams(const Fault& aFault);
  /// Delays one upstream of "desk" that responds. It excuses no flow.
  void DelayUpstream(const Fault& aFault);
  /// Returns whether a caller's packet is lost while upstreams are silent: each
  /// other upstream loses one packet of an open flow.
  bool IsLostDuringSilence(const FlowEndpoints& aEndpoints);
  /// Selects two to four upstreams of one service and one data centre that
  /// respond, and leaves at least one there.
  /// @return the upstreams, or none if too few are left
  std::vector<std::shared_ptr<Upstream>> PickUpstreamGroup(std::size_t aTarget);
  /// Writes the item that evacuates a data centre, and later removes it.
  void Evacuate(const Fault& aFault);
  /// Adds an upstream of the same service and starts to drain the old one.
  void ReplaceUpstream(Upstream& aOld);
  /// Schedules the deliberate faults of --sabotage that happen at a given time.
  void ScheduleDeliberateFault();
  /// Injects the deliberate faults `reset` and `silence`: resets the flow of a
  /// packet if it is open and no fault disturbs it.
  void ResetOpenFlow(const FlowEndpoints& aEndpoints,
                     const std::string& aBytes);

  UpstreamEvents MakeUpstreamEvents(const std::string& aService,
                                    std::uint64_t aLabel,
                                    const std::string& aDataCentre);
  CallerEvents MakeCallerEvents();
  /// Checks the rules ROUTE, DRAIN and CONFIG on an opening packet.
  void CheckOpening(const std::string& aService,
                    std::uint64_t aLabel,
                    const FlowEndpoints& aEndpoints,
                    const Instance& aFrom);
  /// Checks the rule EVACUATE on an opening packet: a data centre that has been
  /// evacuated for longer than the bound receives no new flow.
  void CheckEvacuation(std::uint64_t aLabel,
                       const std::string& aDataCentre,
                       const FlowEndpoints& aEndpoints,
                       const Instance& aFrom);
  /// Returns whether rules with a time bound apply to an instance: neither it,
  /// its process's start nor the store was disturbed recently.
  bool IsInstanceStable(const Instance& aInstance) const;
  /// Returns whether neither the instance nor the flow's upstream was disturbed
  /// recently, so that no fault excuses a broken flow.
  bool IsFlowStable(const Instance& aInstance, std::uint64_t aLabel) const;
  /// Returns whether a configuration has removed a flow's route: it is absent
  /// now, or was added again after the flow opened. A flow may also open after
  /// its route's removal, at an instance that has not received it yet.
  bool IsRouteRemoved(const FlowEndpoints& aEndpoints,
                      Clock::time_point aOpeningTime) const;

  /// Returns the data centre of the instance or caller with a number.
  std::string DataCentreOf(std::size_t aNumber) const;
  /// Returns the data centre of the upstream with a number.
  std::string UpstreamDataCentreOf(std::size_t aNumber) const;
  /// Returns the instance with an endpoint of its own or of its relay.
  Instance& InstanceAt(const Endpoint& aEndpoint);
  /// Selects an upstream for a fault, or returns null if too few are left.
  std::shared_ptr<Upstream> PickUpstream(std::size_t aTarget);
  /// Records a disturbance of all instances and upstreams, from now on.
  void DisturbAll(std::chrono::milliseconds aDuration);
  void DisturbComponent(const std::string& aComponent,
                        std::chrono::milliseconds aDuration);
  void RecordViolation(const std::string& aRule,
                       const FlowEndpoints& aEndpoints,
                       const std::string& aDescription);
  /// Repeats an action until the run ends, the first time after one period.
  void RunEvery(std::chrono::milliseconds aPeriod,
                std::function<void()> aAction);

  WorldOptions mOptions;
  Addresses mAddresses;
  std::mt19937 mRandom;
  boost::asio::io_context mContext;
  /// Bound to ReservationEndpoint for as long as this run uses its network.
  boost::asio::ip::tcp::acceptor mReservation{ mContext };
  std::unique_ptr<sassafrasknot::testing::FakeStore> mStore;
  std::vector<std::unique_ptr<Instance>> mInstances;
  /// Instance that last called the store.
  std::size_t mLastReader = 0;
  std::vector<std::shared_ptr<Upstream>> mUpstreams;
  std::vector<std::shared_ptr<Caller>> mCallers;
  std::vector<TestRoute> mTestRoutes;
  /// When the store acknowledged the drain of an upstream, by label.
  std::map<std::uint64_t, Clock::time_point> mDrainTimes;
  /// When the store acknowledged the evacuation of a data centre, by its name.
  std::map<std::string, Clock::time_point> mEvacuationTimes;
  std::map<FlowEndpoints, FlowRecord> mFlows;
  /// Number of runs of each request, by its id.
  std::map<std::string, int> mRuns;
  /// Ids of requests that callers recorded as not run.
  std::set<std::string> mNotRun;
  Disturbances mDisturbances;
  Report mReport;
  std::uint64_t mVersion = 0;
  std::uint64_t mNextLabel = 0x1000;
  std::size_t mNextUpstream = 0;
  /// Start time in the next upstream's entry; each entry has a later one.
  std::uint64_t mNextStartTime = 1;
  /// Share of packets that are lost; also of those that are late or repeated.
  double mLoss = 0;
  /// Labels of the upstreams that lose no packet in the current silence, since
  /// they are silent or have lost one.
  std::set<std::uint64_t> mLossless;
  int mActiveSilences = 0;
  /// Number of active partitions, and of active faults of the store.
  int mDataCentrePartitions = 0;
  int mActiveStoreFaults = 0;
  bool mIsFinished = false;
  /// Processes that ended are not restarted.
  bool mAreRestartsSuspended = false;
  /// Start of traffic.
  Clock::time_point mStart;
  /// When the recovery must be complete; unset before.
  Clock::time_point mRecoveryTime;
};

/// @brief Formats a flow as the log of an instance does: CALLER>SERVICE.
std::string
FormatFlow(const FlowEndpoints& aEndpoints);

} // namespace soak

#endif
