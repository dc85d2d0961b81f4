#ifndef SASSAFRASKNOT_EDGE_METRICS_HPP
#define SASSAFRASKNOT_EDGE_METRICS_HPP

#include "sassafrasknot/flows/flow_router.hpp"
#include "sassafrasknot/state/time.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasknot::edge {

/// Upper bounds of the buckets of latency histograms; the platform's latency
/// objectives lie between 100 ms and 800 ms.
constexpr std::array<std::chrono::milliseconds, 11> kLatencyBounds{
  std::chrono::milliseconds(1),    std::chrono::milliseconds(2),
  std::chrono::milliseconds(5),    std::chrono::milliseconds(10),
  std::chrono::milliseconds(25),   std::chrono::milliseconds(50),
  std::chrono::milliseconds(100),  std::chrono::milliseconds(250),
  std::chrono::milliseconds(500),  std::chrono::milliseconds(1000),
  std::chrono::milliseconds(2500),
};

/// @brief Histogram of times, written by one thread and read by others.
struct LatencyHistogram
{
  std::array<std::atomic<std::uint64_t>, kLatencyBounds.size() + 1> mBuckets{};
  std::atomic<std::uint64_t> mSumMicros{ 0 };
};

/// @brief Adds a time.
/// @param aHistogram the histogram
/// @param aLatency the time
void
Observe(LatencyHistogram& aHistogram, state::Duration aLatency);

/// @brief Counters and histograms of an instance; each is written by one
/// thread.
struct Metrics
{
  std::array<std::atomic<std::uint64_t>, flows::kReasonCount>
    mPacketsByReason{};
  std::atomic<std::uint64_t> mMalformedPackets{ 0 };
  std::atomic<std::uint64_t> mSendFailures{ 0 };
  std::atomic<std::uint64_t> mHoldBufferOverflows{ 0 };
  std::atomic<std::uint64_t> mDetectedFailures{ 0 };
  std::atomic<std::uint64_t> mDetectedRecoveries{ 0 };
  std::atomic<std::uint64_t> mOpenFlows{ 0 };
  std::atomic<std::uint64_t> mStoreCalls{ 0 };
  std::atomic<std::uint64_t> mStoreFailures{ 0 };
  std::atomic<std::uint64_t> mMalformedRecords{ 0 };
  std::atomic<std::uint64_t> mFleetMessages{ 0 };
  std::atomic<std::uint64_t> mMalformedMessages{ 0 };
  std::atomic<std::uint64_t> mProbes{ 0 };
  std::atomic<std::uint64_t> mProbeFailures{ 0 };
  std::atomic<std::uint64_t> mPulls{ 0 };
  std::atomic<std::uint64_t> mPullFailures{ 0 };
  LatencyHistogram mStoreCallTime;
  LatencyHistogram mResponseTime;
  LatencyHistogram mConfirmedAge;
};

/// @brief Adds one to a counter that only this thread writes.
/// @param aCounter the counter
void
Increment(std::atomic<std::uint64_t>& aCounter);

/// @brief A value that is not a counter.
struct Gauge
{
  std::string_view mName;
  std::string_view mHelp;
  double mValue = 0;
};

/// @brief Writes metrics in the Prometheus text format (version 0.0.4).
/// @param aMetrics counters and histograms
/// @param aGauges current values
/// @return the text
std::string
FormatMetrics(const Metrics& aMetrics, const std::vector<Gauge>& aGauges);

} // namespace sassafrasknot::edge

#endif
