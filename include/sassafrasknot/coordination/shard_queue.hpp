#ifndef SASSAFRASKNOT_COORDINATION_SHARD_QUEUE_HPP
#define SASSAFRASKNOT_COORDINATION_SHARD_QUEUE_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/flow.hpp"
#include "sassafrasknot/state/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sassafrasknot::coordination {

/// @brief Lane of the queue. Work and long work wait in lanes of their own, so
/// that long work that waits because its share of the slots is used up does not
/// block other work.
enum class QueueLane : std::uint8_t
{
  Work,
  Long,
};

/// @brief A flow that waits for a slot.
struct QueuedFlow
{
  std::uint64_t mFlowId = 0;
  state::Ipv4Address mDefaultUpstream;
  std::optional<state::Ipv4Address> mExcludedUpstream;
  /// Time at which the flow is refused if it is still queued.
  state::TimePoint mDeadline;
};

/// @brief Position of a flow in the queue.
struct QueuePosition
{
  QueueLane mLane = QueueLane::Work;
  /// Number of flows that arrived at the queue before, over both lanes.
  std::uint64_t mArrival = 0;
};

/// @brief Queue of a shard: a first-in-first-out lane per class and a deadline
/// per flow. Each operation on one flow takes logarithmic time.
struct ShardQueue
{
  /// Flows by arrival number; index is QueueLane.
  std::array<std::map<std::uint64_t, QueuedFlow>, 2> mLanes;
  /// Positions by flow id.
  std::unordered_map<std::uint64_t, QueuePosition> mPositions;
  /// Deadlines and flow ids, earliest deadline first.
  std::set<std::pair<state::TimePoint, std::uint64_t>> mDeadlines;
  /// Arrival number of the next flow.
  std::uint64_t mArrivals = 0;
};

/// @brief Returns the lane of a class that takes a slot.
/// @param aFlowClass class of the flow, Work or Long
/// @return Long for long work, else Work
QueueLane
LaneOf(state::FlowClass aFlowClass);

/// @brief Returns the class of a lane's flows.
/// @param aLane lane that the flows wait in
/// @return Long for the long lane, else Work
state::FlowClass
ClassOf(QueueLane aLane);

/// @brief Returns the flows of one lane.
/// @param aQueue queue of the shard
/// @param aLane lane to return
/// @return flows by arrival number, oldest first
const std::map<std::uint64_t, QueuedFlow>&
Lane(const ShardQueue& aQueue, QueueLane aLane);

/// @brief Adds a flow at the end of its lane.
/// @param aQueue queue of the shard
/// @param aLane lane of the flow's class
/// @param aFlow flow that waits for a slot
/// @return false if a flow with that id is queued already; it is unchanged then
bool
Enqueue(ShardQueue& aQueue, QueueLane aLane, const QueuedFlow& aFlow);

/// @brief Removes a flow from its lane.
/// @param aQueue queue of the shard
/// @param aFlowId id of the flow
/// @return false if the flow is not queued
bool
RemoveQueued(ShardQueue& aQueue, std::uint64_t aFlowId);

/// @brief Removes the flows of both lanes whose deadline has been reached.
/// @param aQueue queue of the shard
/// @param aNow time up to which deadlines count as reached
/// @return ids of the removed flows, earliest deadline first
std::vector<std::uint64_t>
RemoveExpired(ShardQueue& aQueue, state::TimePoint aNow);

/// @brief Running mean of the time for which flows of one class hold a slot.
struct MeanHoldingTime
{
  /// Mean, in seconds.
  double mMean = 0;
  std::uint64_t mSamples = 0;
};

/// @brief Adds the holding time of a flow that ended.
/// @param aHolding running mean to update
/// @param aTime time for which the flow held its slot; below zero counts as
/// zero
void
AddHoldingTime(MeanHoldingTime& aHolding, state::Duration aTime);

/// @brief Running mean of the time between two flows that leave a lane for a
/// slot, since the lane was last empty.
struct MeanServiceInterval
{
  /// Mean, in seconds.
  double mMean = 0;
  std::uint64_t mSamples = 0;
  /// When the last flow left the lane for a slot; empty after the lane was
  /// empty.
  std::optional<state::TimePoint> mLast;
};

/// @brief Records that a flow left its lane for a slot. An empty lane resets
/// the mean, which would otherwise keep the rate of a queue served long ago.
/// @param aInterval running mean of the lane
/// @param aLaneEmpty whether the lane is empty now
/// @param aNow current time on the steady clock
void
RecordService(MeanServiceInterval& aInterval,
              bool aLaneEmpty,
              state::TimePoint aNow);

/// @brief Returns the expected wait of a flow that enters a lane: the number of
/// flows up to and including it, times the time between two of them. That time
/// is the mean service interval once it has enough samples, because it reflects
/// slots held by stragglers (flows that run much longer than usual). Before, it
/// is the mean holding time divided by the number of slots, which includes
/// stragglers only after they ended.
/// @param aHolding mean holding time of the class
/// @param aInterval mean service interval of the lane
/// @param aAhead number of flows that are served before it
/// @param aSlots number of slots that serve the class
/// @return expected wait; zero while the mean service interval has too few
/// samples and no flow of the class has ended
state::Duration
ExpectedWait(const MeanHoldingTime& aHolding,
             const MeanServiceInterval& aInterval,
             std::size_t aAhead,
             std::uint32_t aSlots);

} // namespace sassafrasknot::coordination

#endif
