#ifndef SASSAFRASKNOT_EDGE_METRICS_HPP
#define SASSAFRASKNOT_EDGE_METRICS_HPP

#include "sassafrasknot/edge/platform_formats.hpp"
#include "sassafrasknot/flows/flow_router.hpp"
#include "sassafrasknot/state/time.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sassafrasknot::edge {

/// Inclusive upper bounds of the buckets of latency histograms. They cover the
/// platform's latency objectives, which lie between 100 ms and 800 ms.
constexpr std::array<std::chrono::milliseconds, 11> kLatencyBounds{
  std::chrono::milliseconds(1),    std::chrono::milliseconds(2),
  std::chrono::milliseconds(5),    std::chrono::milliseconds(10),
  std::chrono::milliseconds(25),   std::chrono::milliseconds(50),
  std::chrono::milliseconds(100),  std::chrono::milliseconds(250),
  std::chrono::milliseconds(500),  std::chrono::milliseconds(1000),
  std::chrono::milliseconds(2500),
};

/// @brief Histogram of durations, written by one thread and read by others.
struct LatencyHistogram
{
  /// Durations per bucket, not cumulated; the last bucket has no upper bound.
  std::array<std::atomic<std::uint64_t>, kLatencyBounds.size() + 1> mBuckets{};
  /// Sum of all durations, in microseconds.
  std::atomic<std::uint64_t> mSumMicros{ 0 };
};

/// @brief Adds a duration to a histogram.
/// @param aHistogram changed by the calling thread only
/// @param aLatency the duration, not negative
void
Observe(LatencyHistogram& aHistogram, state::Duration aLatency);

/// @brief Counters and histograms of an instance since its start. Each is
/// written either by the traffic thread or by the control thread.
struct Metrics
{
  /// Callers' packets per flows::Reason, and flows that were reset because
  /// their upstream became unresponsive.
  std::array<std::atomic<std::uint64_t>, flows::kReasonCount>
    mPacketsByReason{};
  /// Datagrams on the traffic endpoint that the packet format rejected.
  std::atomic<std::uint64_t> mMalformedPackets{ 0 };
  /// Forwarded packets and resets that the kernel rejected.
  std::atomic<std::uint64_t> mSendFailures{ 0 };
  /// Packets dropped before the traffic thread had its first directory, because
  /// the buffer for them was full.
  std::atomic<std::uint64_t> mHoldBufferOverflows{ 0 };
  /// Changes of an upstream to a state other than Responsive. An upstream that
  /// becomes suspected and then unresponsive counts twice.
  std::atomic<std::uint64_t> mDetectedFailures{ 0 };
  /// Changes of an upstream to Responsive.
  std::atomic<std::uint64_t> mDetectedRecoveries{ 0 };
  /// Answers from which the work of a route was learned, and answers that were
  /// much earlier than usual and therefore were not used.
  std::atomic<std::uint64_t> mWorkSamples{ 0 };
  std::atomic<std::uint64_t> mEarlyAnswers{ 0 };
  /// Speeds of upstreams reported by other instances that were ignored, since
  /// they were out of range.
  std::atomic<std::uint64_t> mIgnoredSpeeds{ 0 };
  std::atomic<std::uint64_t> mRejections{ 0 };
  /// Current number of flows in the router's table.
  std::atomic<std::uint64_t> mOpenFlows{ 0 };
  /// Current number of uploads that are sending, and the delay that their
  /// packets are expected to cause on this instance's own link, in
  /// microseconds.
  std::atomic<std::uint64_t> mOpenUploads{ 0 };
  std::atomic<std::uint64_t> mUploadQueueMicros{ 0 };
  /// New flows that were placed on cold upstreams with a limit; for which such
  /// an upstream of this instance had no budget left; and which were refused
  /// while such upstreams did not admit them.
  std::atomic<std::uint64_t> mColdAdmissions{ 0 };
  std::atomic<std::uint64_t> mColdBudgetUsedUp{ 0 };
  std::atomic<std::uint64_t> mColdRefusals{ 0 };
  /// HTTP requests to the store; a read of several pages sends several.
  std::atomic<std::uint64_t> mStoreCalls{ 0 };
  std::atomic<std::uint64_t> mStoreFailures{ 0 };
  /// Records of the store that could not be decoded.
  std::atomic<std::uint64_t> mMalformedRecords{ 0 };
  /// Routes with a defect per RouteDefect, over all received configurations.
  std::array<std::atomic<std::uint64_t>, kRouteDefectCount> mDefectiveRoutes{};
  /// Evacuations of a data centre that had no upstreams, at their start or
  /// later.
  std::atomic<std::uint64_t> mEvacuationsWithoutUpstreams{ 0 };
  /// Malformed limits of cold upstreams, over all received configurations.
  std::atomic<std::uint64_t> mDefectiveLimits{ 0 };
  /// Datagrams received on the fleet endpoint, malformed ones included.
  std::atomic<std::uint64_t> mFleetMessages{ 0 };
  std::atomic<std::uint64_t> mMalformedMessages{ 0 };
  std::atomic<std::uint64_t> mProbes{ 0 };
  std::atomic<std::uint64_t> mProbeFailures{ 0 };
  /// Requests to other instances for changes of the catalogue.
  std::atomic<std::uint64_t> mPulls{ 0 };
  std::atomic<std::uint64_t> mPullFailures{ 0 };
  /// Duration of store calls with status 200 that could wait at most 1 ms for
  /// changes.
  LatencyHistogram mStoreCallTime;
  /// Time from a request's last byte to the caller's acknowledgement of the
  /// first bytes of its answer.
  LatencyHistogram mResponseTime;
  /// Time since the store last confirmed the known revision, observed once per
  /// second.
  LatencyHistogram mConfirmedAge;
  /// Upper bound of the time for which a message of another instance waited in
  /// the receive queue.
  LatencyHistogram mMessageWait;
};

/// @brief Adds one to a counter, in relaxed memory order.
/// @param aCounter a counter that no other thread writes
void
Increment(std::atomic<std::uint64_t>& aCounter);

/// @brief A metric whose value can also decrease.
struct Gauge
{
  /// Name without the common prefix "sassafrasknot_".
  std::string_view mName;
  std::string_view mHelp;
  double mValue = 0;
};

/// Numbers of upstreams with a limit of active requests, by service.
using LimitedUpstreams = std::vector<std::pair<std::string, std::size_t>>;

/// @brief Returns a text as the value of a label, where a backslash stands
/// before quotes and backslashes, and a line feed is written as \\n.
/// @param aText any text
/// @return the value without the enclosing quotes
std::string
EscapeLabel(std::string_view aText);

/// @brief Formats the gauge of limited upstreams in the Prometheus text format,
/// with a label for the service.
/// @param aLimited numbers by service
/// @return the metric's lines
std::string
FormatLimitedUpstreams(const LimitedUpstreams& aLimited);

/// @brief Formats metrics in the Prometheus text format (version 0.0.4).
/// @param aMetrics counters and histograms since the start
/// @param aGauges current values, appended in this order
/// @return the body of a response to a scrape
std::string
FormatMetrics(const Metrics& aMetrics, const std::vector<Gauge>& aGauges);

} // namespace sassafrasknot::edge

#endif
