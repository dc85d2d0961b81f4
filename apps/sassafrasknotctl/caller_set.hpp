#ifndef SASSAFRASKNOTCTL_CALLER_SET_HPP
#define SASSAFRASKNOTCTL_CALLER_SET_HPP

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "caller.hpp"
#include "load_plan.hpp"
#include "load_report.hpp"
#include "timer_queue.hpp"

namespace sassafrasknotctl {

/// @brief A flow with its target and its next wake.
struct RunningCaller
{
  Caller mCaller;
  std::string mTarget;
  std::optional<state::TimePoint> mWake;
  /// When a flow that has ended is forgotten.
  std::optional<state::TimePoint> mForget;
};

/// @brief All flows of a run; knows neither sockets nor clocks.
struct CallerSet
{
  LoadPlan mPlan;
  state::TimePoint mBegin;
  std::mt19937_64 mRandom;
  std::vector<Arrivals> mArrivals;
  std::map<state::Endpoint, RunningCaller> mCallers;
  TimerQueue<state::Endpoint> mWakes;
  std::uint64_t mOpenedCallers = 0;
  LoadReport mReport;
  /// Packets to be sent.
  std::vector<protocol::Bytes> mOutput;
};

/// @brief Prepares a run.
/// @param aPlan its plan
/// @param aNow its begin
/// @return the run without flows
CallerSet
MakeCallerSet(const LoadPlan& aPlan, state::TimePoint aNow);

/// @brief Takes a packet from the fabric. Malformed packets and those of
/// unknown flows are dropped; the latter are answered with a reset.
/// @param aSet the run
/// @param aBytes the packet
/// @param aNow the time
void
OnDatagram(CallerSet& aSet,
           std::span<const std::uint8_t> aBytes,
           state::TimePoint aNow);

/// @brief Opens flows that are due and runs the timers.
/// @param aSet the run
/// @param aNow the time
void
OnTick(CallerSet& aSet, state::TimePoint aNow);

/// @brief Opens no further flow and lets feeds end at once.
/// @param aSet the run
/// @param aNow the time
void
StopArrivals(CallerSet& aSet, state::TimePoint aNow);

/// @brief Returns whether all flows have ended, or the time to wait for them.
/// @param aSet the run
/// @param aNow the time
bool
Finished(const CallerSet& aSet, state::TimePoint aNow);

/// @brief Counts flows that are still open and gives the report.
/// @param aSet the run
/// @return the report
LoadReport
FinishReport(const CallerSet& aSet);

} // namespace sassafrasknotctl

#endif
