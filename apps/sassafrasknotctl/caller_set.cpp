#include "caller_set.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sassafrasknotctl {

namespace {

// Callers use the ports 10000 to 59999 of each address.
constexpr std::uint64_t kPortsPerAddress = 50000;
constexpr std::uint64_t kFirstPort = 10000;

// Time for which a closed flow is kept, to acknowledge a retransmitted FIN.
constexpr std::chrono::seconds kEndedRetention{ 3 };

// Returns the name of a target in the report, such as
// "feed kandyan/scheduling".
std::string
NameOf(const LoadTarget& aTarget)
{
  return std::string(ToString(aTarget.mKind)) + ' ' + aTarget.mOrganisation +
         '/' + aTarget.mService;
}

// To be called after each change of a flow: moves its packets to the output of
// the run, adds the flow to the report once it has ended, and sets its timer.
void
CollectResults(CallerSet& aSet, RunningCaller& aRunning, state::TimePoint aNow)
{
  auto& connection = aRunning.mCaller.mConnection;
  std::ranges::move(connection.mOutput, std::back_inserter(aSet.mOutput));
  connection.mOutput.clear();
  if (connection.mState == TcpState::Ended && !aRunning.mRemoveAt) {
    AddFlow(aSet.mReport.mTargets[aRunning.mTarget], aRunning.mCaller);
    RecordFaultyFlow(
      aSet.mReport, aRunning.mTarget, aRunning.mCaller, aSet.mBegin, aNow);
    aRunning.mRemoveAt = connection.mEndReason == TcpEndReason::Finished
                           ? aNow + kEndedRetention
                           : aNow;
  }
  ScheduleEarlier(aSet.mTimers,
                  connection.mLocal,
                  aRunning,
                  aRunning.mRemoveAt ? aRunning.mRemoveAt
                                     : NextDeadline(aRunning.mCaller));
}

// Makes the parameters of the next flow of a target. Without a given duration
// of feeds, a feed lasts as long as arrivals continue after its scheduled
// arrival.
CallerPlan
MakeCallerPlan(CallerSet& aSet,
               const LoadTarget& aTarget,
               state::TimePoint aDue)
{
  const auto& options = aSet.mOptions;
  const auto number = aSet.mOpenedCallers++;
  std::uniform_real_distribution<> uniform;
  CallerPlan caller;
  caller.mRequest.mId = (options.mSeed << 32) + number;
  caller.mRequest.mKind = aTarget.mKind;
  caller.mRequest.mOrganisation = aTarget.mOrganisation;
  caller.mRequest.mService = aTarget.mService;
  caller.mRequest.mPeriod = options.mPeriod;
  if (aTarget.mKind == FlowKind::Upload) {
    caller.mRequest.mUploadBytes = options.mUploadBytes;
  }
  if (aTarget.mKind != FlowKind::Feed &&
      uniform(aSet.mRandom) < options.mStragglerShare) {
    caller.mRequest.mServiceTimeFactor = options.mStragglerFactor;
  }
  caller.mCaller = { { options.mFirstCaller.mValue +
                       static_cast<std::uint32_t>(number / kPortsPerAddress) },
                     static_cast<std::uint16_t>(kFirstPort +
                                                number % kPortsPerAddress) };
  caller.mService = aTarget.mListener;
  caller.mDue = aDue;
  caller.mFeedDuration = options.mFeedDuration;
  if (options.mFeedDuration.count() == 0) {
    caller.mFeedDuration =
      std::max(std::chrono::milliseconds{},
               std::chrono::duration_cast<std::chrono::milliseconds>(
                 aSet.mBegin + options.mDuration - aDue));
  }
  caller.mProgressTimeout = options.mProgressTimeout;
  caller.mInitialSequence = static_cast<std::uint32_t>(aSet.mRandom());
  return caller;
}

// Opens the flows whose arrival time has come, up to the end of the arrivals.
void
OpenDueFlows(CallerSet& aSet, state::TimePoint aNow)
{
  for (std::size_t i = 0; i < aSet.mArrivals.size(); ++i) {
    auto& arrivals = aSet.mArrivals[i];
    while (arrivals.mNext <= aNow - aSet.mBegin &&
           arrivals.mNext < aSet.mOptions.mDuration) {
      const auto& target = aSet.mOptions.mTargets[i];
      const auto plan =
        MakeCallerPlan(aSet, target, aSet.mBegin + arrivals.mNext);
      const auto [entry, added] = aSet.mCallers.emplace(
        plan.mCaller,
        RunningCaller{ OpenCaller(plan, aNow), NameOf(target), {}, {} });
      CollectResults(aSet, entry->second, aNow);
      Advance(arrivals);
    }
  }
}

} // namespace

CallerSet
MakeCallerSet(const LoadOptions& aOptions, state::TimePoint aNow)
{
  CallerSet set;
  set.mOptions = aOptions;
  set.mBegin = aNow;
  set.mRandom.seed(aOptions.mSeed);
  set.mReport.mSeed = aOptions.mSeed;
  for (const auto& target : aOptions.mTargets) {
    set.mArrivals.push_back(
      MakeArrivals(target.mRate, aOptions.mBurst, set.mRandom()));
  }
  return set;
}

void
OnDatagram(CallerSet& aSet,
           std::span<const std::uint8_t> aBytes,
           state::TimePoint aNow)
{
  const auto packet = protocol::ParsePacket(aBytes);
  if (!packet) {
    return;
  }
  const auto& header = packet.value().mHeader;
  const auto found = aSet.mCallers.find(header.mDestination);
  if (found == aSet.mCallers.end() ||
      found->second.mCaller.mPlan.mService != header.mSource) {
    if (auto reset = BuildReset(header, packet.value().mPayload.size())) {
      aSet.mOutput.push_back(std::move(*reset));
    }
    return;
  }
  OnPacket(found->second.mCaller, packet.value(), aNow);
  CollectResults(aSet, found->second, aNow);
}

void
OnTick(CallerSet& aSet, state::TimePoint aNow)
{
  OpenDueFlows(aSet, aNow);
  RunDue(aSet.mTimers,
         aSet.mCallers,
         aNow,
         [&](const state::Endpoint&, RunningCaller& aRunning) {
           OnTick(aRunning.mCaller, aNow);
           CollectResults(aSet, aRunning, aNow);
         });
}

void
StopArrivals(CallerSet& aSet, state::TimePoint aNow)
{
  aSet.mOptions.mDuration = std::min(
    aSet.mOptions.mDuration,
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aSet.mBegin));
  for (auto& [endpoint, running] : aSet.mCallers) {
    running.mCaller.mPlan.mFeedDuration = {};
    CollectResults(aSet, running, aNow);
  }
}

bool
Finished(const CallerSet& aSet, state::TimePoint aNow)
{
  const auto end = aSet.mBegin + aSet.mOptions.mDuration;
  if (aNow < end) {
    return false;
  }
  return aNow >= end + aSet.mOptions.mFinishTimeout ||
         std::ranges::all_of(aSet.mCallers, [](const auto& aEntry) {
           return aEntry.second.mRemoveAt.has_value();
         });
}

LoadReport
FinishReport(const CallerSet& aSet)
{
  auto report = aSet.mReport;
  for (const auto& [endpoint, running] : aSet.mCallers) {
    if (!running.mRemoveAt) {
      AddFlow(report.mTargets[running.mTarget], running.mCaller);
    }
  }
  return report;
}

} // namespace sassafrasknotctl
