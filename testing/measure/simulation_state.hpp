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
inline constexpr std::uint32_t kNone = UINT32_MAX;

/// @brief Where a flow is.
enum class FlowState : std::uint8_t
{
  Deciding,
  WaitingAtFront,
  WaitingAtUpstream,
  Running,
  Done,
};

/// @brief A flow of a run.
struct Flow
{
  Demand mDemand;
  FlowState mState = FlowState::Deciding;
  std::uint32_t mFront = kNone;
  std::uint32_t mUpstream = kNone;
  state::TimePoint mPlaced;
};

/// @brief What happens at a time.
enum class EventKind : std::uint8_t
{
  Arrival,
  End,
  GiveUp,
  Tick,
  Offer,
  Sample,
};

/// @brief An event; the order of equal times is that of their addition.
struct Event
{
  state::TimePoint mTime;
  std::uint64_t mOrder = 0;
  EventKind mKind = EventKind::Tick;
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
  std::uint32_t mOpen = 0;
  std::uint32_t mRunning = 0;
  std::deque<std::uint64_t> mWaiting;
};

/// @brief A shard and its owner, or an instance that counts by itself.
struct Front
{
  coordination::ShardPointer mShard;
  /// Index of its first upstream, and their number.
  std::uint32_t mFirst = 0;
  std::uint32_t mCount = 0;
  /// What the other fronts know of its load.
  coordination::ShardLoad mKnown;
};

/// @brief All state of one run.
struct Simulation
{
  RunOptions mOptions;
  const DemandSource* mSource = nullptr;
  std::vector<Front> mFronts;
  std::vector<UpstreamModel> mUpstreams;
  std::vector<Flow> mFlows;
  std::deque<std::uint64_t> mCentralQueue;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::uint64_t mOrder = 0;
  state::TimePoint mNow;
  state::TimePoint mKnowledge;
  std::mt19937_64 mRandom;
  RunResult mResult;
  double mGoodSlotSeconds = 0;
};

/// @brief Adds an event.
void
Schedule(Simulation& aRun,
         state::TimePoint aTime,
         EventKind aKind,
         std::uint64_t aFlow);

/// @brief Returns whether results count a flow.
bool
InWindow(const Simulation& aRun, const Flow& aFlow);

/// @brief Starts a flow at its upstream, which has a slot for it.
void
StartFlow(Simulation& aRun, std::uint64_t aId);

/// @brief Ends a flow that was not placed, on arrival or after waiting.
void
RefuseFlow(Simulation& aRun, std::uint64_t aId, bool aEarly);

/// @brief Sends a flow to an upstream, which runs it or makes it wait.
void
SendFlow(Simulation& aRun, std::uint64_t aId, std::uint32_t aUpstream);

/// @brief Makes the shards of the policy.
void
MakeFronts(Simulation& aRun);

/// @brief Places, queues or refuses a flow that arrived.
void
PlaceFlow(Simulation& aRun, std::uint64_t aId);

/// @brief Tells the flow's front that it ended or was given up at its upstream.
void
EndAtFront(Simulation& aRun, const Flow& aFlow);

/// @brief Serves the central queue.
void
ServeCentralQueue(Simulation& aRun);

/// @brief Ticks all fronts and renews what they know of each other.
void
TickFronts(Simulation& aRun);

/// @brief Lets shards with free slots take the flows that have waited longest.
void
MoveQueuedFlows(Simulation& aRun);

} // namespace sassafrasknot::measure

#endif
