#ifndef SASSAFRASKNOT_TESTING_MEASURE_SIMULATION_HPP
#define SASSAFRASKNOT_TESTING_MEASURE_SIMULATION_HPP

#include "sassafrasknot/state/configuration.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sassafrasknot::measure {

/// @brief Equal upstreams of one service.
struct Deployment
{
  std::string mName;
  std::uint32_t mUpstreams = 0;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 2000;
};

/// @brief How flows find their upstream.
enum class Policy : std::uint8_t
{
  Owners,       ///< Disjoint shards with one owner each.
  Overflow,     ///< Owners, and a new flow may go to its next shard.
  Offers,       ///< Overflow, and shards with free slots take queued flows.
  Hashing,      ///< The default upstream, whatever its load.
  OwnCounts,    ///< Each instance counts its own placements over all upstreams.
  CentralQueue, ///< One queue that knows everything at once.
};

/// @brief A policy and its number of shards or instances.
struct Layout
{
  std::string mName;
  Policy mPolicy = Policy::Owners;
  std::uint32_t mFronts = 1;
  /// Interval at which shards tell each other their load.
  state::Duration mLag{};
  /// Whether stragglers arrive at a listener of long work.
  bool mMarked = false;
};

/// @brief A flow that arrives.
struct Demand
{
  state::TimePoint mArrival;
  state::Duration mHolding{};
  state::FlowClass mFlowClass = state::FlowClass::Work;
  bool mStraggler = false;
};

/// @brief Returns the next flow, in order of arrival; its arrival lies beyond
/// the end of the run when there are no more.
using DemandSource = std::function<Demand()>;

/// @brief One run.
struct RunOptions
{
  Deployment mDeployment;
  Layout mLayout;
  state::ServiceLimits mLimits;
  state::Duration mDeadline{};
  /// Results count flows that arrive in this window.
  state::TimePoint mWindowStart;
  state::TimePoint mWindowEnd;
  state::Duration mSampleInterval{ std::chrono::seconds{ 1 } };
  std::uint64_t mSeed = 1;
};

/// @brief Load of the upstreams at one instant.
struct LoadSample
{
  double mMaximumOverMean = 0;
  /// Standard deviation over the mean.
  double mDeviation = 0;
};

/// @brief What a run measured.
struct RunResult
{
  std::uint64_t mArrived = 0;
  std::uint64_t mAnswered = 0;
  /// Refused on arrival.
  std::uint64_t mRefusedEarly = 0;
  /// Refused or given up after waiting.
  std::uint64_t mRefusedLate = 0;
  /// Flows that were placed in the whole run, window or not.
  std::uint64_t mPlaced = 0;
  /// Of these, flows that were placed in another shard than their first.
  std::uint64_t mMoved = 0;
  /// Of these, flows that were placed at once on another upstream than their
  /// default.
  std::uint64_t mExceptions = 0;
  /// Slot time of flows that started within their deadline, over the slot time
  /// of the window.
  double mGoodput = 0;
  /// Waits of flows that are not stragglers, in seconds, ascending.
  std::vector<double> mShortWaits;
  /// Open flows per upstream, waiting ones included.
  std::vector<LoadSample> mLoads;
};

/// @brief Runs one policy on virtual time with the shards of the project.
/// @param aOptions the run
/// @param aDemand the flows
/// @return what was measured
RunResult
Run(const RunOptions& aOptions, const DemandSource& aDemand);

} // namespace sassafrasknot::measure

#endif
