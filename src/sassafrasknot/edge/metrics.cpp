#include "sassafrasknot/edge/metrics.hpp"

#include <algorithm>
#include <sstream>
#include <tuple>

namespace sassafrasknot::edge {
namespace {

constexpr std::string_view kPrefix = "sassafrasknot_";

using Counter = std::atomic<std::uint64_t>;

void
WriteHeader(std::ostream& aOut,
            std::string_view aName,
            std::string_view aHelp,
            std::string_view aType)
{
  aOut << "# HELP " << kPrefix << aName << ' ' << aHelp << "\n# TYPE "
       << kPrefix << aName << ' ' << aType << '\n';
}

void
WriteCounter(std::ostream& aOut,
             std::string_view aName,
             std::string_view aHelp,
             const Counter& aCounter)
{
  WriteHeader(aOut, aName, aHelp, "counter");
  aOut << kPrefix << aName << ' ' << aCounter.load() << '\n';
}

/// Writes counters that are indexed by the values of an enumeration.
template<typename Reason, std::size_t kCount>
void
WriteCountersByReason(std::ostream& aOut,
                      std::string_view aName,
                      std::string_view aHelp,
                      const std::array<Counter, kCount>& aCounters)
{
  WriteHeader(aOut, aName, aHelp, "counter");
  for (std::size_t index = 0; index < kCount; ++index) {
    aOut << kPrefix << aName << "{reason=\""
         << ToString(static_cast<Reason>(index)) << "\"} "
         << aCounters[index].load() << '\n';
  }
}

void
WriteHistogram(std::ostream& aOut,
               std::string_view aName,
               std::string_view aHelp,
               const LatencyHistogram& aHistogram)
{
  WriteHeader(aOut, aName, aHelp, "histogram");
  std::uint64_t count = 0;
  for (std::size_t index = 0; index < aHistogram.mBuckets.size(); ++index) {
    count += aHistogram.mBuckets[index].load();
    aOut << kPrefix << aName << "_bucket{le=\"";
    if (index < kLatencyBounds.size()) {
      aOut << std::chrono::duration<double>(kLatencyBounds[index]).count();
    } else {
      aOut << "+Inf";
    }
    aOut << "\"} " << count << '\n';
  }
  constexpr double kMicrosPerSecond = 1e6;
  aOut << kPrefix << aName << "_sum "
       << static_cast<double>(aHistogram.mSumMicros.load()) / kMicrosPerSecond
       << '\n'
       << kPrefix << aName << "_count " << count << '\n';
}

/// Writes the counters that have no labels.
void
WriteCounters(std::ostream& aOut, const Metrics& aMetrics)
{
  const std::tuple<std::string_view, std::string_view, const Counter&>
    counters[] = {
      { "malformed_packets_total",
        "Packets of callers that could not be decoded.",
        aMetrics.mMalformedPackets },
      { "unsent_packets_total",
        "Packets that the kernel refused to send.",
        aMetrics.mSendFailures },
      { "unheld_packets_total",
        "Packets dropped before the first directory: buffer full.",
        aMetrics.mHoldBufferOverflows },
      { "silences_begun_total",
        "Changes of an upstream to suspected or unresponsive.",
        aMetrics.mDetectedFailures },
      { "silences_ended_total",
        "Changes of an upstream back to responsive.",
        aMetrics.mDetectedRecoveries },
      { "cold_flows_admitted_total",
        "New flows placed on cold upstreams whose service has a limit.",
        aMetrics.mColdAdmissions },
      { "cold_budget_used_up_total",
        "New flows for which a cold upstream that this instance places flows "
        "on had no budget left.",
        aMetrics.mColdBudgetUsedUp },
      { "cold_flows_refused_total",
        "New flows refused while cold upstreams did not admit them.",
        aMetrics.mColdRefusals },
      { "work_samples_total",
        "Answers from which the work of requests was learned.",
        aMetrics.mWorkSamples },
      { "early_answers_total",
        "Answers that were much earlier than usual.",
        aMetrics.mEarlyAnswers },
      { "ignored_speeds_total",
        "Speeds reported by other instances that were out of range.",
        aMetrics.mIgnoredSpeeds },
      { "rejections_total",
        "Rejections by busy upstreams, which limit new flows there.",
        aMetrics.mRejections },
      { "store_calls_total",
        "Calls to the platform's store.",
        aMetrics.mStoreCalls },
      { "store_failures_total",
        "Calls to the platform's store that failed.",
        aMetrics.mStoreFailures },
      { "unreadable_records_total",
        "Records of the store that could not be decoded.",
        aMetrics.mMalformedRecords },
      { "unreadable_warmup_limits_total",
        "Limits of cold upstreams that could not be decoded.",
        aMetrics.mDefectiveLimits },
      { "evacuations_without_upstreams_total",
        "Evacuations of a data centre that had no upstreams.",
        aMetrics.mEvacuationsWithoutUpstreams },
      { "fleet_messages_total",
        "Datagrams received on the endpoint for other instances.",
        aMetrics.mFleetMessages },
      { "unreadable_messages_total",
        "Datagrams of other instances that could not be decoded.",
        aMetrics.mMalformedMessages },
      { "probes_total", "Active checks of upstreams.", aMetrics.mProbes },
      { "probe_failures_total",
        "Active checks of upstreams without a response.",
        aMetrics.mProbeFailures },
      { "pulls_total",
        "Requests to other instances for changes.",
        aMetrics.mPulls },
      { "pull_failures_total",
        "Requests to other instances for changes that failed.",
        aMetrics.mPullFailures },
    };
  for (const auto& [name, help, counter] : counters) {
    WriteCounter(aOut, name, help, counter);
  }
}

} // namespace

void
Observe(LatencyHistogram& aHistogram, state::Duration aLatency)
{
  const auto bound = std::ranges::lower_bound(kLatencyBounds, aLatency);
  Increment(
    aHistogram
      .mBuckets[static_cast<std::size_t>(bound - kLatencyBounds.begin())]);
  const auto micros =
    std::chrono::duration_cast<std::chrono::microseconds>(aLatency).count();
  aHistogram.mSumMicros.fetch_add(static_cast<std::uint64_t>(micros),
                                  std::memory_order_relaxed);
}

void
Increment(Counter& aCounter)
{
  aCounter.fetch_add(1, std::memory_order_relaxed);
}

std::string
EscapeLabel(std::string_view aText)
{
  std::string escaped;
  for (const char character : aText) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

std::string
FormatLimitedUpstreams(const LimitedUpstreams& aLimited)
{
  std::ostringstream out;
  WriteHeader(out,
              "limited_upstreams",
              "Upstreams of the service at which this instance limits its "
              "active requests.",
              "gauge");
  for (const auto& [service, count] : aLimited) {
    out << kPrefix << "limited_upstreams{service=\"" << EscapeLabel(service)
        << "\"} " << count << '\n';
  }
  return out.str();
}

std::string
FormatMetrics(const Metrics& aMetrics, const std::vector<Gauge>& aGauges)
{
  std::ostringstream out;
  WriteCountersByReason<flows::Reason>(
    out,
    "packets_total",
    "Callers' packets by reason of the decision.",
    aMetrics.mPacketsByReason);
  WriteCountersByReason<RouteDefect>(
    out,
    "defective_routes_total",
    "Routes that were left out or replaced, or have an unknown kind.",
    aMetrics.mDefectiveRoutes);
  WriteCounters(out, aMetrics);
  WriteHistogram(out,
                 "store_call_seconds",
                 "Time of successful store calls that do not wait for changes.",
                 aMetrics.mStoreCallTime);
  WriteHistogram(out,
                 "answer_seconds",
                 "Time from a request to the acknowledgement of its answer.",
                 aMetrics.mResponseTime);
  WriteHistogram(out,
                 "known_age_seconds",
                 "Time since the store last confirmed the known revision, "
                 "observed each second.",
                 aMetrics.mConfirmedAge);
  WriteHistogram(out,
                 "message_wait_seconds",
                 "Upper bound of the time for which messages of other "
                 "instances waited to be processed.",
                 aMetrics.mMessageWait);
  for (const auto& gauge : aGauges) {
    WriteHeader(out, gauge.mName, gauge.mHelp, "gauge");
    out << kPrefix << gauge.mName << ' ' << gauge.mValue << '\n';
  }
  return out.str();
}

} // namespace sassafrasknot::edge
