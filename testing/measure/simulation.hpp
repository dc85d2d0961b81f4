#ifndef SASSAFRASKNOT_TESTING_MEASURE_SIMULATION_HPP
#define SASSAFRASKNOT_TESTING_MEASURE_SIMULATION_HPP

#include "sassafrasknot/state/configuration.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sassafrasknot::measure {

/// @brief Size of a service whose upstreams are all equal.
struct Deployment
{
  std::string mName;
  std::uint32_t mUpstreams = 0;
  /// Slots of each upstream.
  std::uint32_t mSlots = 0;
  /// Connections of each upstream.
  std::uint32_t mMaxConnections = 2000;
};

/// @brief How a new flow is placed on an upstream.
enum class Policy : std::uint8_t
{
  Owners,       ///< Disjoint shards with one owner each.
  Overflow,     ///< As Owners, but a new flow may go to another shard.
  Offers,       ///< As Overflow, and shards with free slots take queued flows.
  Hashing,      ///< On the default upstream, whatever its load.
  OwnCounts,    ///< Instances share all upstreams, each with its own counts.
  CentralQueue, ///< The ideal: one queue with the current state of all.
};

/// @brief A policy, the number of dispatchers and their options. A dispatcher
/// places flows: the owner of a shard, or an instance with its own counts.
struct Layout
{
  std::string mName;
  Policy mPolicy = Policy::Owners;
  std::uint32_t mDispatchers = 1;
  /// Interval at which dispatchers report their load to each other.
  state::Duration mLoadReportInterval{};
  /// Whether stragglers arrive at a listener of FlowClass::Long.
  bool mSeparatesStragglers = false;
};

/// @brief A new flow that arrives.
struct FlowArrival
{
  state::TimePoint mTime;
  /// Time from its start at the upstream to its end.
  state::Duration mHoldingTime{};
  state::FlowClass mFlowClass = state::FlowClass::Work;
  /// Whether it is work that holds its slot much longer than other work.
  bool mStraggler = false;
};

/// @brief Returns the next new flow, in order of time. A flow that arrives at
/// or after the end of the window is the last one requested.
using ArrivalSource = std::function<FlowArrival()>;

/// @brief Options of one run.
struct RunOptions
{
  Deployment mDeployment;
  Layout mLayout;
  state::ServiceLimits mLimits;
  /// How long a flow may wait for a slot.
  state::Duration mDeadline{};
  /// Results count flows that arrive in this window; the run ends with it.
  state::TimePoint mWindowStart;
  state::TimePoint mWindowEnd;
  /// Interval between samples of the upstreams' load.
  state::Duration mSampleInterval{ std::chrono::seconds{ 1 } };
  std::uint64_t mSeed = 1;
};

/// @brief Distribution of open flows over the upstreams at one time.
struct LoadSample
{
  /// Maximum divided by the mean.
  double mMaximumOverMean = 0;
  /// Standard deviation divided by the mean.
  double mDeviation = 0;
};

/// @brief Results of one run.
struct RunResult
{
  std::uint64_t mArrived = 0;
  /// Work that started at an upstream.
  std::uint64_t mAnswered = 0;
  /// Refused on arrival.
  std::uint64_t mRefusedEarly = 0;
  /// Refused or abandoned after waiting.
  std::uint64_t mRefusedLate = 0;
  /// Flows that were sent to an upstream, over the whole run.
  std::uint64_t mPlaced = 0;
  /// Moves of flows to another shard than their first or previous one, over the
  /// whole run.
  std::uint64_t mMoved = 0;
  /// Flows that a dispatcher placed at once on another upstream than their
  /// default, over the whole run.
  std::uint64_t mPlacedOffDefault = 0;
  /// Slot time that started work used in the window, divided by all slot time
  /// of the window. Work starts before its deadline or not at all.
  double mGoodput = 0;
  /// Waits of work that is not a straggler, in seconds, ascending.
  std::vector<double> mShortWaits;
  /// Samples of open flows, those that wait at an upstream included.
  std::vector<LoadSample> mLoads;
};

/// @brief Runs one policy on virtual time; dispatchers use the project's own
/// shards.
/// @param aOptions size, policy and window of the run
/// @param aSource source of the new flows
/// @return measured results
RunResult
Run(const RunOptions& aOptions, const ArrivalSource& aSource);

} // namespace sassafrasknot::measure

#endif
