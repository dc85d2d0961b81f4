#ifndef SASSAFRASKNOT_TESTING_CONTROL_CONTROL_FLEET_HPP
#define SASSAFRASKNOT_TESTING_CONTROL_CONTROL_FLEET_HPP

#include "sassafrasknot/coordination/control_core.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// @brief Simulated fleet for tests and measurements of control cores.
namespace sassafrasknot::testing {

/// @brief Simulated platform, which stores the configuration. Each data centre
/// reads a replica of its own.
struct FakePlatform
{
  std::map<std::string, state::ConfigurationRecord> mRecords;
  state::Revision mRevision = 0;
  /// All calls fail.
  bool mDown = false;
  /// Data centres that cannot reach the platform, so that their calls fail.
  std::set<std::string> mDisconnected;
  /// Records and revision of the replicas that are out of date, by data centre.
  std::map<std::string,
           std::pair<std::map<std::string, state::ConfigurationRecord>,
                     state::Revision>>
    mStale;
  /// Number of reads and watches that were started.
  std::uint64_t mReads = 0;
};

/// @brief Bytes that one instance sent, including headers of lower protocols.
struct SentBytes
{
  /// Probes, acknowledgements and summaries.
  std::uint64_t mMembership = 0;
  /// Digests, pulls and responses.
  std::uint64_t mConfiguration = 0;
};

/// @brief A simulated instance; its core is absent while the process is
/// stopped.
struct FleetInstance
{
  coordination::ControlSettings mSettings;
  std::optional<coordination::ControlCore> mCore;
  /// Events are delayed until this time, as if the process were paused.
  state::TimePoint mPausedUntil;
  SentBytes mSent;
  /// Processor time of all calls of the core.
  state::Duration mProcessorTime{};
  /// Number of published snapshots.
  std::uint64_t mSnapshots = 0;
  /// Messages of all log events.
  std::vector<std::string> mLog;
};

/// @brief Runs several control cores on virtual time with a simulated network
/// that can lose messages.
class ControlFleet
{
public:
  struct Options
  {
    std::size_t mInstances = 3;
    std::size_t mDataCentres = 1;
    std::uint64_t mSeed = 1;
    /// Share of the messages that are lost, 0 to 1, including those over gRPC.
    double mLoss = 0.0;
    /// Not used.
    bool mPublishLists = true;
  };

  /// @brief Makes the settings of all instances without starting them.
  explicit ControlFleet(const Options& aOptions);

  /// @brief Publishes a record with the next revision and ends the watches that
  /// wait for it.
  state::Revision Publish(state::ConfigurationRecord aRecord);
  /// @brief Publishes the list of running instances of each data centre.
  void PublishInstanceLists();
  /// @brief Starts or restarts the instance's process, with a higher
  /// incarnation and without state.
  void Start(std::size_t aInstance);
  /// @brief Ends the instance's process without a planned stop.
  void Kill(std::size_t aInstance);
  /// @brief Delays all events of the instance, as if its process were paused.
  void Pause(std::size_t aInstance, state::Duration aDuration);
  /// @brief Begins a planned stop of the instance.
  void RequestStop(std::size_t aInstance);
  /// @brief Runs all events of the given time and advances the clock by it.
  void Run(state::Duration aDuration);
  /// @brief Runs until a condition holds, which is checked every 10 ms.
  /// @return the virtual time that passed, or nothing if aLimit passed first
  std::optional<state::Duration> RunUntil(
    state::Duration aLimit,
    const std::function<bool()>& aCondition);

  /// @brief Returns whether messages from the first instance to the second are
  /// dropped; if empty, none are, except by Options::mLoss.
  std::function<bool(std::size_t, std::size_t)> mDropsMessages;
  std::vector<FleetInstance> mInstances;
  FakePlatform mPlatform;

  /// @brief Returns the virtual time.
  state::TimePoint Now() const;
  /// @brief Returns the last snapshot of a running instance.
  const state::Snapshot& SnapshotOf(std::size_t aInstance) const;
  /// @brief Returns the state of an instance in the snapshot of another one, or
  /// nothing if that does not list it.
  std::optional<state::InstanceState> StateOf(std::size_t aViewer,
                                              std::size_t aSeen) const;

private:
  /// A call of an instance's core at a virtual time.
  struct Event
  {
    state::TimePoint mTime;
    std::uint64_t mOrder = 0;
    std::size_t mInstance = 0;
    /// Process of the instance; events of earlier processes are dropped.
    std::uint64_t mGeneration = 0;
    std::function<coordination::ControlActions(coordination::ControlCore&,
                                               state::TimePoint)>
      mCall;
  };
  /// Orders events by time, then by order of scheduling. Reversed, so that the
  /// priority queue returns the earliest event first.
  struct IsLater
  {
    bool operator()(const Event& aLeft, const Event& aRight) const;
  };
  /// A watch of the platform that has not ended.
  struct Watch
  {
    std::size_t mInstance = 0;
    std::uint64_t mGeneration = 0;
    state::Revision mAfterRevision = 0;
    state::TimePoint mEnd;
  };

  /// Schedules a call of an instance's core, which is dropped if the process
  /// has ended or was restarted by then.
  void Schedule(state::TimePoint aTime,
                std::size_t aInstance,
                decltype(Event::mCall) aCall);
  /// Schedules a tick of an instance's core and regular ticks after it.
  void ScheduleTick(std::size_t aInstance, state::TimePoint aTime);
  /// Carries out the actions of an instance's core.
  void CarryOut(std::size_t aInstance, coordination::ControlActions aActions);
  /// Counts a message and schedules its arrival, unless it is lost.
  void SendToInstance(std::size_t aFrom,
                      const coordination::SendMessage& aSend);
  /// Starts a read of the platform, or a watch for later changes; fails it
  /// after 1 s if the platform cannot be reached.
  void StartCall(std::size_t aInstance,
                 const coordination::ReadPlatform& aRead);
  /// Schedules the response to a read (aFull) or to a watch for changes after a
  /// revision.
  void ScheduleResponse(std::size_t aInstance,
                        bool aFull,
                        state::Revision aAfterRevision);
  /// Ends the watches that have changes or whose time is over.
  void EndWatchesIfDue();
  /// Runs one event, or delays it while the instance is paused.
  void RunEvent(Event aEvent);
  /// Returns a random network latency of 0.5 to 1 ms.
  state::Duration Latency();

  Options mOptions;
  std::mt19937_64 mRandom;
  state::TimePoint mNow{ std::chrono::hours(1) };
  std::uint64_t mNextOrder = 0;
  std::priority_queue<Event, std::vector<Event>, IsLater> mEvents;
  /// Number of starts and ends of each instance's process.
  std::vector<std::uint64_t> mGenerations;
  std::vector<Watch> mWatches;
  std::map<state::Endpoint, std::size_t> mInstanceByEndpoint;
};

} // namespace sassafrasknot::testing

#endif
