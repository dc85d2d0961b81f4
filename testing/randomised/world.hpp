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

/// Size and faults of a run.
struct WorldOptions
{
  std::uint64_t mSeed = 1;
  std::size_t mDataCentres = 3;
  std::size_t mInstances = 9;
  std::size_t mOrganisations = 2;
  std::size_t mUpstreamsPerOrganisation = 15;
  /// New flows a second over all callers.
  double mArrivals = 50;
  /// Part of the packets and peer messages that is lost, 0 to 1.
  double mLoss = 0;
  /// A deliberate fault that a check must find: "misroute", "run-twice",
  /// "false-not-run", "place-on-leaving", "break-flows" or "revert", or empty.
  std::string mSabotage;
};

/// One process with its traffic core and what it believes.
struct FakeInstance
{
  state::InstanceId mId;
  state::DataCentreId mDataCentre;
  std::optional<coordination::TrafficCore> mCore;
  std::map<std::uint64_t, Packet> mHeld;
  /// Members as this instance sees them.
  std::map<state::InstanceId, state::InstanceState> mMembers;
  std::set<state::DataCentreId> mReachable;
  std::vector<state::Organisation> mOrganisations;
  std::vector<std::vector<state::ServiceTable>> mTables;
  state::Revision mRevision = 0;
  std::uint64_t mSequence = 0;
  TimePoint mPausedUntil;
  bool mAlive = true;
  bool mLeaving = false;
};

/// Instances, callers and upstreams on virtual time.
struct World
{
  WorldOptions mOptions;
  std::mt19937_64 mRandom;
  TimePoint mNow{ std::chrono::seconds{ 1 } };
  std::vector<std::unique_ptr<FakeInstance>> mInstances;
  std::map<Endpoint, FakeUpstream> mUpstreams;
  std::map<std::uint64_t, CallerFlow> mCallers;
  std::map<FlowKey, std::uint64_t> mFlowOfKey;
  std::map<std::uint64_t, std::uint32_t> mExecutions;
  std::set<std::uint64_t> mToldNotRun;
  /// Flows whose packets a middlebox has stopped passing on.
  std::set<std::uint64_t> mSilenced;
  std::vector<state::Organisation> mOrganisations;
  std::vector<std::vector<state::Organisation>> mEarlierOrganisations;
  state::Revision mRevision = 1;
  std::vector<state::DataCentreId> mDataCentres;
  std::set<std::pair<state::DataCentreId, state::DataCentreId>> mCuts;
  std::uint64_t mNextFlow = 1;
  std::uint64_t mNextInstance = 1;
  std::uint64_t mNextEvent = 0;
  std::vector<std::uint64_t> mBrokenFlows;
  /// Caller's flow whose packets are printed, zero for none.
  std::uint64_t mTraced = 0;
  Tally mTally;
  state::Counters mCounters;

  struct Event
  {
    TimePoint mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mRun;
    bool operator<(const Event& aOther) const
    {
      return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
    }
  };
  std::priority_queue<Event> mEvents;
};

/// Makes a world with its first instances and organisations.
std::unique_ptr<World>
MakeWorld(const WorldOptions& aOptions);

/// Runs events until the time or the number of steps is reached.
void
RunWorld(World& aWorld, Duration aDuration, std::uint64_t aMostSteps);

/// Plans a call.
void
Schedule(World& aWorld, Duration aDelay, std::function<void()> aRun);

/// Returns a number from 0 to 1.
double
Uniform(World& aWorld);

/// Returns an index below aCount, which is above zero.
std::size_t
Pick(World& aWorld, std::size_t aCount);

/// Sends a packet to a random instance through the fabric.
void
SendToFabric(World& aWorld, const Packet& aPacket);

/// Prints a line about the traced flow.
void
Trace(const World& aWorld, std::uint64_t aCallerFlow, const std::string& aText);

/// Hands a packet to an upstream or to a caller.
void
DeliverToUpstream(World& aWorld,
                  const Endpoint& aUpstream,
                  const Packet& aPacket);
void
DeliverToCaller(World& aWorld, const Packet& aPacket);

/// Opens a flow of a random kind and organisation.
void
OpenCallerFlow(World& aWorld);

/// Opens flows at the world's rate until the run ends.
void
StartArrivals(World& aWorld);

/// Starts a new instance in a data centre and tells the others with a delay.
FakeInstance&
StartInstance(World& aWorld, const state::DataCentreId& aDataCentre);

/// Changes the configuration; each instance learns of it within two seconds.
void
SubmitChange(World& aWorld, std::vector<state::Organisation> aOrganisations);

/// Makes an instance's snapshot from what it believes and hands it over.
void
PublishSnapshot(World& aWorld, FakeInstance& aInstance);

/// Whether packets pass between two data centres.
bool
Connected(const World& aWorld,
          const state::DataCentreId& aFirst,
          const state::DataCentreId& aSecond);

/// Tells all instances that one of them changed its state, each after a delay
/// of up to aSlowest.
void
TellMembers(World& aWorld,
            const state::InstanceId& aChanged,
            state::InstanceState aState,
            Duration aFastest,
            Duration aSlowest);

// Faults, in faults.cpp.

/// Replaces an instance by a planned stop.
void
ReplaceInstance(World& aWorld);
void
KillInstance(World& aWorld);
void
PauseInstance(World& aWorld);
void
DrainUpstream(World& aWorld);
void
AddUpstream(World& aWorld);
void
ReverseChange(World& aWorld);
void
CutDataCentre(World& aWorld);
void
SilenceFlow(World& aWorld);
void
ShedUpstream(World& aWorld);
void
KillUpstream(World& aWorld);

} // namespace randomised

#endif
