#ifndef SASSAFRASKNOTCTL_CALLER_SET_HPP
#define SASSAFRASKNOTCTL_CALLER_SET_HPP

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "caller.hpp"
#include "load_options.hpp"
#include "load_report.hpp"
#include "timer_queue.hpp"

namespace sassafrasknotctl {

/// @brief A flow with the name of its target and its timers.
struct RunningCaller
{
  Caller mCaller;
  /// Name of the target, such as "feed kandyan/scheduling".
  std::string mTarget;
  /// Expiry of the timer in CallerSet::mTimers, if one is set.
  std::optional<state::TimePoint> mWakeAt;
  /// When the entry is removed; set once the connection has ended.
  std::optional<state::TimePoint> mRemoveAt;
};

/// @brief All flows of a run. It uses neither sockets nor clocks: packets and
/// the current time are passed in, and packets to be sent are collected.
struct CallerSet
{
  LoadOptions mOptions;
  /// Start of the run.
  state::TimePoint mBegin;
  std::mt19937_64 mRandom;
  /// One sequence per target, in the order of mOptions.mTargets.
  std::vector<Arrivals> mArrivals;
  /// Flows by the caller's endpoint.
  std::map<state::Endpoint, RunningCaller> mCallers;
  /// Timers of the flows.
  TimerQueue<state::Endpoint> mTimers;
  /// Number of flows opened so far; also numbers their requests and endpoints.
  std::uint64_t mOpenedCallers = 0;
  /// Totals of the flows that have ended.
  LoadReport mReport;
  /// IPv4 packets to be sent to the fabric.
  std::vector<protocol::Bytes> mOutput;
};

/// @brief Prepares a run.
/// @param aOptions options of the run
/// @param aNow start of the run on the steady clock
/// @return the run without flows
CallerSet
MakeCallerSet(const LoadOptions& aOptions, state::TimePoint aNow);

/// @brief Handles a packet from the fabric. A malformed packet is dropped; a
/// packet of an unknown flow is answered with a reset unless it is one itself.
/// @param aSet run that receives the packet
/// @param aBytes IPv4 packet
/// @param aNow current time on the steady clock
void
OnDatagram(CallerSet& aSet,
           std::span<const std::uint8_t> aBytes,
           state::TimePoint aNow);

/// @brief Opens flows whose arrival time has come and runs expired timers.
/// @param aSet run to update
/// @param aNow current time on the steady clock
void
OnTick(CallerSet& aSet, state::TimePoint aNow);

/// @brief Ends the arrivals: no further flow is opened, and feeds close at
/// the next OnTick, or after their first message if it has not arrived yet.
/// @param aSet run to stop
/// @param aNow current time on the steady clock
void
StopArrivals(CallerSet& aSet, state::TimePoint aNow);

/// @brief Returns whether the run is over: arrivals have ended, and either all
/// flows have ended too or the timeout for open flows has elapsed.
/// @param aSet run to inspect
/// @param aNow current time on the steady clock
bool
Finished(const CallerSet& aSet, state::TimePoint aNow);

/// @brief Returns the report of a run, with flows that are still open counted
/// as unfinished.
/// @param aSet run to inspect
/// @return totals by target
LoadReport
FinishReport(const CallerSet& aSet);

} // namespace sassafrasknotctl

#endif
