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

/// @brief Queues of work are kept apart by class, so that flows that wait for
/// the share of long work do not block the others.
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
  state::TimePoint mDeadline;
};

/// @brief Position of a flow: its lane and its number of arrival.
struct QueuePosition
{
  QueueLane mLane = QueueLane::Work;
  std::uint64_t mArrival = 0;
};

/// @brief First-in-first-out queues of a shard with a deadline per flow. All
/// operations take logarithmic time.
struct ShardQueue
{
  std::array<std::map<std::uint64_t, QueuedFlow>, 2> mLanes;
  std::unordered_map<std::uint64_t, QueuePosition> mPositions;
  std::set<std::pair<state::TimePoint, std::uint64_t>> mDeadlines;
  std::uint64_t mArrivals = 0;
};

/// @brief Returns the lane of a class that takes a slot.
/// @param aFlowClass the class
/// @return Long for long work, else Work
QueueLane
LaneOf(state::FlowClass aFlowClass);

/// @brief Returns the class of a lane's flows.
/// @param aLane the lane
/// @return its class
state::FlowClass
ClassOf(QueueLane aLane);

/// @brief Returns the flows of one lane by arrival.
/// @param aQueue the queue
/// @param aLane the lane
/// @return its flows, oldest first
const std::map<std::uint64_t, QueuedFlow>&
Lane(const ShardQueue& aQueue, QueueLane aLane);

/// @brief Adds a flow at the end of its lane.
/// @param aQueue the queue
/// @param aLane the lane
/// @param aFlow the flow
/// @return false if a flow of that name is queued already
bool
Enqueue(ShardQueue& aQueue, QueueLane aLane, const QueuedFlow& aFlow);

/// @brief Removes a flow.
/// @param aQueue the queue
/// @param aFlow name of the flow
/// @return false if it is not queued
bool
RemoveQueued(ShardQueue& aQueue, std::uint64_t aFlow);

/// @brief Removes the flows whose deadline has come.
/// @param aQueue the queue
/// @param aNow the time
/// @return their names, earliest deadline first
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
/// @param aHolding the mean
/// @param aTime how long it held its slot
void
AddHoldingTime(MeanHoldingTime& aHolding, state::Duration aTime);

/// @brief Running mean of the time between two flows that a lane's queue gives
/// to slots, since it last was empty.
struct MeanServiceInterval
{
  /// Mean, in seconds.
  double mMean = 0;
  std::uint64_t mSamples = 0;
  std::optional<state::TimePoint> mLast;
};

/// @brief Notes that a flow left the queue for a slot.
/// @param aGap the mean
/// @param aEmpty whether the lane is empty now
/// @param aNow the time
void
RecordService(MeanServiceInterval& aGap, bool aEmpty, state::TimePoint aNow);

/// @brief Returns the expected wait of a flow. The mean gap is used once it
/// has enough samples, as it follows slots that stragglers hold; the mean
/// holding time counts them only when they end.
/// @param aHolding mean holding time of the class
/// @param aGap mean service gap of the lane
/// @param aAhead flows that are served before it
/// @param aSlots slots that serve the class
/// @return the wait; zero while no flow has ended yet
state::Duration
ExpectedWait(const MeanHoldingTime& aHolding,
             const MeanServiceInterval& aGap,
             std::size_t aAhead,
             std::uint32_t aSlots);

} // namespace sassafrasknot::coordination

#endif
