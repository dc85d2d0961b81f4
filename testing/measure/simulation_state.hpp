#ifndef SASSAFRASKNOT_TESTING_MEASURE_SIMULATION_STATE_HPP
#define SASSAFRASKNOT_TESTING_MEASURE_SIMULATION_STATE_HPP

#include "sassafrasknot/coordination/shard.hpp"

#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <tuple>

#include "simulation.hpp"

namespace sassafrasknot::measure {

/// @brief Interval at which a traffic core ticks.
inline constexpr std::chrono::milliseconds kTick{ 10 };
/// @brief Index that means no upstream or no dispatcher.
inline constexpr std::uint32_t kNone = UINT32_MAX;

/// @brief State of a flow.
enum class FlowState : std::uint8_t
{
  Deciding,            ///< Not placed, queued or refused yet.
  WaitingAtDispatcher, ///< In a dispatcher's queue or the central one.
  WaitingAtUpstream,   ///< Sent to an upstream that has no free slot.
  Running,             ///< Started at its upstream.
  Done,                ///< Ended, refused or abandoned.
};

/// @brief A flow of a run.
struct Flow
{
  FlowArrival mArrival;
  FlowState mState = FlowState::Deciding;
  /// Index of the dispatcher that placed or queued it.
  std::uint32_t mDispatcher = kNone;
  std::uint32_t mUpstream = kNone;
  /// When it was sent to its upstream.
  state::TimePoint mPlaced;
};

/// @brief Kind of an event.
enum class EventKind : std::uint8_t
{
  Arrival, ///< A new flow arrives.
  End,     ///< A running flow ends.
  Abandon, ///< The deadline of a waiting flow has come.
  Tick,    ///< The dispatchers tick.
  Offer,   ///< Shards with free slots take queued flows.
  Sample,  ///< The load of the upstreams is sampled.
};

/// @brief An event; events at the same time run in the order of scheduling.
struct Event
{
  state::TimePoint mTime;
  std::uint64_t mOrder = 0;
  EventKind mKind = EventKind::Tick;
  /// Index of the flow; only for Arrival, End and Abandon.
  std::uint64_t mFlow = 0;

  bool operator>(const Event& aOther) const
  {
    return std::tie(mTime, mOrder) > std::tie(aOther.mTime, aOther.mOrder);
  }
};

/// @brief An upstream: runs as many flows as it has slots and queues the
/// others.
struct UpstreamModel
{
  /// Flows that run or wait here.
  std::uint32_t mOpen = 0;
  /// Flows that hold a slot.
  std::uint32_t mRunning = 0;
  /// Flows that wait for a slot, oldest first; some may have ended.
  std::deque<std::uint64_t> mWaiting;
};

/// @brief Places flows: the owner of a shard, or an instance that uses all
/// upstreams and counts only its own flows.
struct Dispatcher
{
  coordination::ShardPointer mShard;
  /// Index of its first upstream, and the number of its upstreams.
  std::uint32_t mFirst = 0;
  std::uint32_t mCount = 0;
  /// Its load as last reported to the other dispatchers, with the flows that
  /// these have sent to it since.
  coordination::ShardLoad mReportedLoad;
};

/// @brief All state of one run.
struct Simulation
{
  RunOptions mOptions;
  const ArrivalSource* mSource = nullptr;
  std::vector<Dispatcher> mDispatchers;
  std::vector<UpstreamModel> mUpstreams;
  std::vector<Flow> mFlows;
  std::deque<std::uint64_t> mCentralQueue;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  /// Number of scheduled events.
  std::uint64_t mOrder = 0;
  state::TimePoint mNow;
  state::TimePoint mLastLoadReport;
  std::mt19937_64 mRandom;
  RunResult mResult;
  /// Slot time that started work used in the window, for RunResult::mGoodput.
  double mGoodSlotSeconds = 0;
};

/// @brief Schedules an event at a time.
void
Schedule(Simulation& aRun,
         state::TimePoint aTime,
         EventKind aKind,
         std::uint64_t aFlow);

/// @brief Returns whether a flow arrived in the measured window.
bool
InWindow(const Simulation& aRun, const Flow& aFlow);

/// @brief Starts a flow at its upstream, which has a free slot if it is work.
void
StartFlow(Simulation& aRun, std::uint64_t aId);

/// @brief Ends a flow that was refused or abandoned.
/// @param aEarly whether that was on arrival instead of after waiting
void
RefuseFlow(Simulation& aRun, std::uint64_t aId, bool aEarly);

/// @brief Sends a flow to an upstream, which starts it or lets it wait for a
/// slot.
void
SendFlow(Simulation& aRun, std::uint64_t aId, std::uint32_t aUpstream);

/// @brief Makes the dispatchers of the policy and their shards.
void
MakeDispatchers(Simulation& aRun);

/// @brief Places, queues or refuses a flow that arrived.
void
PlaceFlow(Simulation& aRun, std::uint64_t aId);

/// @brief Reports to a flow's dispatcher, if it has one, that it ended or was
/// abandoned at its upstream, and serves the dispatcher's queue.
void
EndAtDispatcher(Simulation& aRun, const Flow& aFlow);

/// @brief Places flows of the central queue while upstreams have free slots.
void
ServeCentralQueue(Simulation& aRun);

/// @brief Serves all dispatchers' queues, and updates the reported loads when
/// the interval has passed.
void
TickDispatchers(Simulation& aRun);

/// @brief Moves the flows that have waited longest to shards that have free
/// slots and no queue.
void
MoveQueuedFlows(Simulation& aRun);

} // namespace sassafrasknot::measure

#endif
