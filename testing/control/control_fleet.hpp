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

/// @brief Stand-ins for tests and measurements.
namespace sassafrasknot::testing {

/// @brief Configuration service with one replica per data centre.
struct FakePlatform
{
  std::map<std::string, state::ConfigurationRecord> mRecords;
  state::Revision mRevision = 0;
  bool mDown = false;
  /// Data centres that do not reach the platform.
  std::set<std::string> mCutOff;
  /// Data centres whose replica shows an old state.
  std::map<std::string,
           std::pair<std::map<std::string, state::ConfigurationRecord>,
                     state::Revision>>
    mStale;
  std::uint64_t mReads = 0;
};

/// @brief Bytes that one instance sent, headers included.
struct SentBytes
{
  std::uint64_t mMembership = 0;
  std::uint64_t mConfiguration = 0;
};

/// @brief An instance of the fleet.
struct FleetInstance
{
  coordination::ControlSettings mSettings;
  std::optional<coordination::ControlCore> mCore;
  /// Events wait until this time, as if the process were paused.
  state::TimePoint mPausedUntil;
  SentBytes mSent;
  /// Processor time of all calls of the core.
  state::Duration mProcessorTime{};
  std::uint64_t mSnapshots = 0;
  std::vector<std::string> mLog;
};

/// @brief Control cores on virtual time with a lossy network.
class ControlFleet
{
public:
  struct Options
  {
    std::size_t mInstances = 3;
    std::size_t mDataCentres = 1;
    std::uint64_t mSeed = 1;
    /// Part of the messages that is lost, 0 to 1; gRPC calls included.
    double mLoss = 0.0;
    /// Whether the platform publishes the list of instances.
    bool mPublishLists = true;
  };

  explicit ControlFleet(const Options& aOptions);

  /// @brief Publishes a change with the next revision and wakes watches.
  state::Revision Publish(state::ConfigurationRecord aRecord);
  /// @brief Publishes the lists of all instances that have a core.
  void PublishLists();
  /// @brief Starts the instance's process, again if it was stopped.
  void Start(std::size_t aInstance);
  /// @brief Ends the instance's process without notice.
  void Kill(std::size_t aInstance);
  void Pause(std::size_t aInstance, state::Duration aDuration);
  void RequestStop(std::size_t aInstance);
  /// @brief Runs all events until a time from now.
  void Run(state::Duration aDuration);
  /// @brief Runs until a condition holds, checked every 10 ms.
  /// @return the time that it took, or nothing after aLimit
  std::optional<state::Duration> RunUntil(
    state::Duration aLimit,
    const std::function<bool()>& aCondition);

  /// @brief Whether messages from one instance to another are dropped.
  std::function<bool(std::size_t, std::size_t)> mCut;
  std::vector<FleetInstance> mInstances;
  FakePlatform mPlatform;

  state::TimePoint Now() const;
  const state::Snapshot& SnapshotOf(std::size_t aInstance) const;
  /// @brief Returns the state in which one instance sees another.
  std::optional<state::InstanceState> StateOf(std::size_t aViewer,
                                              std::size_t aSeen) const;

private:
  struct Event
  {
    state::TimePoint mAt;
    std::uint64_t mOrder = 0;
    std::size_t mInstance = 0;
    std::uint64_t mGeneration = 0;
    std::function<coordination::ControlActions(coordination::ControlCore&,
                                               state::TimePoint)>
      mCall;
  };
  struct Later
  {
    bool operator()(const Event& aLeft, const Event& aRight) const;
  };
  struct Watch
  {
    std::size_t mInstance = 0;
    std::uint64_t mGeneration = 0;
    state::Revision mAbove = 0;
    state::TimePoint mEnd;
  };

  void Schedule(state::TimePoint aAt,
                std::size_t aInstance,
                decltype(Event::mCall) aCall);
  void ScheduleTick(std::size_t aInstance, state::TimePoint aAt);
  void Handle(std::size_t aInstance, coordination::ControlActions aActions);
  void Deliver(std::size_t aFrom, const coordination::SendMessage& aSend);
  void Read(std::size_t aInstance, const coordination::ReadPlatform& aRead);
  void AnswerRead(std::size_t aInstance, bool aFull, state::Revision aAbove);
  void CheckWatches();
  void Step(Event aEvent);
  state::Duration Latency();

  Options mOptions;
  std::mt19937_64 mRandom;
  state::TimePoint mNow{ std::chrono::hours(1) };
  std::uint64_t mNextOrder = 0;
  std::priority_queue<Event, std::vector<Event>, Later> mEvents;
  std::vector<std::uint64_t> mGenerations;
  std::vector<Watch> mWatches;
  std::map<state::Endpoint, std::size_t> mByEndpoint;
};

} // namespace sassafrasknot::testing

#endif
