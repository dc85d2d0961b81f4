#ifndef SASSAFRASKNOT_TESTING_RANDOMISED_WORLD_HPP
#define SASSAFRASKNOT_TESTING_RANDOMISED_WORLD_HPP

#include "sassafrasknot/coordination/traffic_core.hpp"
#include "sassafrasknot/state/configuration.hpp"
#include "sassafrasknot/state/snapshot.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>

#include "fakes.hpp"

namespace randomised {

namespace state = sassafrasknot::state;
namespace coordination = sassafrasknot::coordination;

/// Size of the simulated fleet and faults of a run.
struct WorldOptions
{
  std::uint64_t mSeed = 1;
  std::size_t mDataCentres = 3;
  std::size_t mInstances = 9;
  std::size_t mOrganisations = 2;
  std::size_t mUpstreamsPerOrganisation = 15;
  /// New flows per second over all callers.
  double mArrivals = 50;
  /// Share of packets and peer messages that are lost, 0 to 1. Handover
  /// messages are never lost.
  double mLoss = 0;
  /// Deliberate fault that the checks must detect, or empty for none:
  /// - "misroute": some packets go to an upstream of another organisation.
  /// - "run-twice": some requests are counted as executed once more.
  /// - "false-not-run": some flows are reset as not run during their request.
  /// - "break-flows": some flows are reset.
  /// - "place-on-leaving": snapshots show leaving upstreams as live.
  /// - "revert": some snapshots state a revision that is one too low.
  std::string mDeliberateFault;
};

/// One instance: a real traffic core and this instance's own, possibly outdated
/// view of members and configuration.
struct FakeInstance
{
  state::InstanceId mId;
  state::DataCentreId mDataCentre;
  std::optional<coordination::TrafficCore> mCore;
  /// Packets that the core holds, by hold id.
  std::map<std::uint64_t, Packet> mHeldPackets;
  /// State of each member in this instance's view.
  std::map<state::InstanceId, state::InstanceState> mMembers;
  /// Reachable data centres in this instance's view.
  std::set<state::DataCentreId> mReachable;
  /// Configuration in force on this instance.
  std::vector<state::Organisation> mOrganisations;
  /// Tables of each organisation's service, newest first.
  std::vector<std::vector<state::ServiceTable>> mTables;
  state::Revision mRevision = 0;
  /// Sequence number of the last published snapshot.
  std::uint64_t mSequence = 0;
  /// The process is paused until this time; its events wait until then.
  TimePoint mPausedUntil;
  bool mAlive = true;
  bool mLeaving = false;
};

/// The simulated fleet: instances, callers, upstreams and the network between
/// them on virtual time. All randomness comes from one generator, so that a run
/// is reproducible from its seed.
struct World
{
  WorldOptions mOptions;
  std::mt19937_64 mRandom;
  TimePoint mNow{ std::chrono::seconds{ 1 } };
  std::vector<std::unique_ptr<FakeInstance>> mInstances;
  std::map<Endpoint, FakeUpstream> mUpstreams;
  /// Open flows by id.
  std::map<std::uint64_t, CallerFlow> mCallers;
  /// Ids of the open flows, by key.
  std::map<FlowKey, std::uint64_t> mFlowOfKey;
  /// How often upstreams executed the request of each flow.
  std::map<std::uint64_t, std::uint32_t> mExecutions;
  /// Flows whose caller received a reset stating that the request was not run.
  std::set<std::uint64_t> mReportedNotRun;
  /// Flows whose packets the network drops, as a failed middlebox would.
  std::set<std::uint64_t> mBlackholedFlows;
  /// Latest configuration.
  std::vector<state::Organisation> mOrganisations;
  /// Configurations before it, oldest first.
  std::vector<std::vector<state::Organisation>> mEarlierOrganisations;
  state::Revision mRevision = 1;
  std::vector<state::DataCentreId> mDataCentres;
  /// Ordered pairs of data centres that are partitioned from each other.
  std::set<std::pair<state::DataCentreId, state::DataCentreId>> mPartitions;
  std::uint64_t mNextFlow = 1;
  std::uint64_t mNextInstance = 1;
  std::uint64_t mNextEvent = 0;
  /// Flows that broke or hung, in order of occurrence.
  std::vector<std::uint64_t> mBrokenFlows;
  /// Id of the flow whose packets are printed; zero for none.
  std::uint64_t mTracedFlow = 0;
  RunTotals mTotals;
  /// Sum of the cores' counters after one call of RunWorld.
  state::Counters mCounters;

  /// A scheduled call; events at the same time run in the order of scheduling.
  struct Event
  {
    TimePoint mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mRun;
    /// Reversed, so that the priority queue returns the earliest event first.
    bool operator<(const Event& aOther) const
    {
      return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
    }
  };
  std::priority_queue<Event> mEvents;
};

/// Makes a world with its initial instances, organisations and upstreams.
std::unique_ptr<World>
MakeWorld(const WorldOptions& aOptions);

/// Runs events until aDuration has passed on virtual time or the total number
/// of steps (packets and messages handled by instances) reaches aMaxSteps. At
/// the end, adds the cores' counters to mCounters and the flows that ran
/// although reported as not run to the totals; each further call adds them
/// again.
void
RunWorld(World& aWorld, Duration aDuration, std::uint64_t aMaxSteps);

/// Schedules a call after a delay on virtual time.
void
Schedule(World& aWorld, Duration aDelay, std::function<void()> aRun);

/// Returns a uniformly distributed random number from 0 to 1.
double
Uniform(World& aWorld);

/// Returns a uniformly distributed random index below aCount, which is above
/// zero.
std::size_t
RandomIndex(World& aWorld, std::size_t aCount);

/// Sends a packet through the fabric, the network that spreads packets over the
/// instances, to a random live instance that the packet's origin can reach.
void
SendToFabric(World& aWorld, const Packet& aPacket);

/// Prints a line to stderr if the flow is the traced one.
void
Trace(const World& aWorld, std::uint64_t aCallerFlow, const std::string& aText);

/// Processes a packet that arrives at an upstream.
void
DeliverToUpstream(World& aWorld,
                  const Endpoint& aUpstream,
                  const Packet& aPacket);

/// Processes a packet that arrives at a caller.
void
DeliverToCaller(World& aWorld, const Packet& aPacket);

/// Opens a flow of a random kind, organisation and data centre.
void
OpenCallerFlow(World& aWorld);

/// Opens flows as a Poisson process at WorldOptions::mArrivals until the run
/// ends.
void
StartArrivals(World& aWorld);

/// Starts a new instance in a data centre; the instances learn of it within one
/// second.
FakeInstance&
StartInstance(World& aWorld, const state::DataCentreId& aDataCentre);

/// Changes the configuration; each instance applies it after its own random
/// delay of less than two seconds, or when its pause ends.
void
SubmitChange(World& aWorld, std::vector<state::Organisation> aOrganisations);

/// Builds a snapshot from an instance's own view and passes it to its core.
void
PublishSnapshot(World& aWorld, FakeInstance& aInstance);

/// Returns whether packets pass between two data centres.
bool
AreConnected(const World& aWorld,
             const state::DataCentreId& aFirst,
             const state::DataCentreId& aSecond);

/// Notifies all live instances of a member's new state, each after a random
/// delay from aMinDelay to aMaxDelay. A dead member stays dead.
void
NotifyMembers(World& aWorld,
              const state::InstanceId& aChanged,
              state::InstanceState aState,
              Duration aMinDelay,
              Duration aMaxDelay);

// Faults, in faults.cpp. A fault without a suitable target does nothing.

/// Starts an instance and stops another one of its data centre as planned, with
/// handover of its flows.
void
ReplaceInstance(World& aWorld);

/// Ends an instance without notice; a new one starts 8 s later.
void
KillInstance(World& aWorld);

/// Pauses an instance for 0.5 to 8 s.
void
PauseInstance(World& aWorld);

/// Submits a change that marks an upstream as leaving.
void
DrainUpstream(World& aWorld);

/// Submits a change that adds an upstream to an organisation.
void
AddUpstream(World& aWorld);

/// Submits the configuration before the latest change; upstreams that were
/// added since are drained.
void
ReverseChange(World& aWorld);

/// Partitions one data centre from all others for 2 to 42 s.
void
PartitionDataCentre(World& aWorld);

/// Drops all packets of an established flow from now on, in both directions;
/// resets that instances send to the caller still pass.
void
BlackholeFlow(World& aWorld);

/// Makes an upstream endpoint refuse new connections for 5 s.
void
ShedUpstream(World& aWorld);

/// Stops an upstream endpoint for 10 s; its connections are lost.
void
KillUpstream(World& aWorld);

} // namespace randomised

#endif
