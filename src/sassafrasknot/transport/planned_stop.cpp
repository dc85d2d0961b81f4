#include "planned_stop.hpp"

#include "sassafrasknot/transport/log.hpp"

#include <csignal>
#include <numeric>
#include <utility>

#include "control_thread.hpp"
#include "traffic_worker.hpp"
#include <boost/asio/post.hpp>

namespace sassafrasknot::transport {
namespace {

using coordination::LogLevel;

/// Time between reports of the progress of a planned stop.
constexpr std::chrono::seconds kProgressInterval{ 1 };

/// Formats a duration in whole seconds, rounded down.
std::string
FormatSeconds(state::Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::seconds>(aDuration).count());
}

std::size_t
CountFlows(const TrafficReport& aReport)
{
  return std::accumulate(aReport.mThreads.begin(),
                         aReport.mThreads.end(),
                         std::size_t{ 0 },
                         [](std::size_t aSum, const auto& aThread) {
                           return aSum + aThread.mFlows;
                         });
}

} // namespace

void
ControlThread::WaitForSignal()
{
  mSignals.async_wait([this](auto aError, int /*aSignal*/) {
    if (aError) {
      return;
    }
    if (mStop.mBegun) {
      WriteLog(LogLevel::Warning,
               "stop_aborted",
               { { "reason", "second signal received" },
                 { "flows_abandoned",
                   mStop.mHandedOver ? "0" : std::to_string(mStop.mFlows) } });
      mContext.stop();
      return;
    }
    BeginStop();
    WaitForSignal();
  });
}

void
ControlThread::BeginStop()
{
  if (mStop.mBegun) {
    return;
  }
  const auto now = CoreNow();
  mStop.mBegun = true;
  mStop.mStart = mStop.mLastPacket = now;
  Execute(mCore.OnStopRequested(now));
}

void
ControlThread::CheckStop(state::TimePoint aNow)
{
  mStop.mHandedOver = mTraffic->HandedOver();
  switch (EvaluateStop(mStop, aNow, mSettings.mMaxStopTime)) {
    case StopDecision::Completed:
      WriteLog(LogLevel::Info,
               "stopped",
               { { "after_s", FormatSeconds(aNow - mStop.mStart) } });
      mContext.stop();
      return;
    case StopDecision::TimedOut:
      WriteLog(mStop.mHandedOver ? LogLevel::Info : LogLevel::Warning,
               "stopped",
               { { "reason", "maximum stop time reached" },
                 { "flows_abandoned",
                   mStop.mHandedOver ? "0" : std::to_string(mStop.mFlows) } });
      mContext.stop();
      return;
    case StopDecision::Wait:
      break;
  }
  if (aNow - mStop.mLastReport < kProgressInterval) {
    return;
  }
  mStop.mLastReport = aNow;
  mTraffic->RequestReport([this](const TrafficReport& aReport) {
    const auto flows = CountFlows(aReport);
    const auto receivedPackets =
      state::ValueOf(aReport.mCounters, "packets_received_total");
    boost::asio::post(mContext, [this, flows, receivedPackets] {
      if (receivedPackets != std::exchange(mStop.mPackets, receivedPackets)) {
        mStop.mLastPacket = CoreNow();
      }
      mStop.mFlows = flows;
      WriteLog(LogLevel::Info,
               "stop_progress",
               { { "flows", std::to_string(flows) },
                 { "handed_over", mStop.mHandedOver ? "yes" : "no" } });
    });
  });
}

} // namespace sassafrasknot::transport
