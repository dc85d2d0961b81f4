#ifndef SASSAFRASKNOT_SRC_COORDINATION_ANSWER_REPORTS_HPP
#define SASSAFRASKNOT_SRC_COORDINATION_ANSWER_REPORTS_HPP

#include "sassafrasknot/coordination/token_bucket.hpp"
#include "sassafrasknot/coordination/traffic_message.hpp"
#include "sassafrasknot/state/counters.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sassafrasknot::coordination {

/// Part of the control budget (the bandwidth for messages to other instances,
/// 5 KB/s per instance) that reports may use.
constexpr double kReportBytesPerSecond = 1000;
/// Size of an encoded report, in bytes: flow, upstream and flags.
constexpr double kBytesPerReport = 26;

/// A report that waits to be sent to the owner of a shard.
struct PendingReport
{
  /// Hash of the upstream's shard.
  std::uint64_t mShard = 0;
  AnswerReport mReport;
  /// Its bit in AnswerReporter::mReportedFlows.
  std::size_t mBit = 0;
  state::TimePoint mQueued;
};

/// Collects reports of the data segments of upstreams that this instance has
/// rewritten, for the owners of the upstreams' shards. Per flow and period, at
/// most one report without payload and one with payload is sent, within the
/// control budget.
struct AnswerReporter
{
  /// Bloom filter with one hash function: one bit per flow and presence of
  /// payload, set once it is reported in this period.
  std::vector<bool> mReportedFlows;
  /// Per shard, part of the hash that gives a flow's bit; a new value makes the
  /// shard's flows be reported again.
  std::unordered_map<std::uint64_t, std::uint64_t> mSalts;
  std::deque<PendingReport> mPending;
  TokenBucket mBudget;
  state::TimePoint mPeriodStarted;
  state::Duration mPeriod{};
  /// Reports queued in this period; gives the length of the next one.
  std::size_t mReportedInPeriod = 0;
};

/// Makes a reporter without reports.
AnswerReporter
MakeAnswerReporter(state::TimePoint aNow);

/// Queues a report unless the same flow was reported in this period, with equal
/// presence of payload. Drops and counts it if the queue is full.
/// @param aShard hash of the upstream's shard
void
ReportAnswer(AnswerReporter& aReporter,
             std::uint64_t aShard,
             const AnswerReport& aReport,
             state::TimePoint aNow,
             state::Counters& aCounters);

/// Makes the flows of a shard be reported again in this period.
/// @param aShard hash of the shard
void
ResetReported(AnswerReporter& aReporter, std::uint64_t aShard);

/// Removes and returns the reports that the budget allows now, newest first, by
/// shard. Drops those that are too old to adopt a flow from them. Starts a new
/// period if the current one has ended; a new period is long enough to send as
/// many reports as the previous one queued.
std::unordered_map<std::uint64_t, AnswerReports>
PopReports(AnswerReporter& aReporter,
           state::TimePoint aNow,
           state::Counters& aCounters);

} // namespace sassafrasknot::coordination

#endif
