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

/// Share of the 5 KB/s of a node that reports may take.
constexpr double kReportBytesPerSecond = 1000;
/// An encoded report: flow, upstream and flags.
constexpr double kBytesPerReport = 26;

struct PendingReport
{
  std::uint64_t mShard = 0;
  AnswerReport mReport;
  /// Its bit in AnswerReporter::mReportedFlows.
  std::size_t mBit = 0;
  state::TimePoint mQueued;
};

/// Reports of the answers that this instance has rewritten, for the owners of
/// their flows: at most one per flow and period, within the control budget.
struct AnswerReporter
{
  /// Flows reported in this period, one bit each.
  std::vector<bool> mReportedFlows;
  /// Changes per shard so that its flows are reported again.
  std::unordered_map<std::uint64_t, std::uint64_t> mSalts;
  std::deque<PendingReport> mPending;
  TokenBucket mBudget;
  state::TimePoint mPeriodStarted;
  state::Duration mPeriod{};
  std::size_t mReportedInPeriod = 0;
};

AnswerReporter
MakeAnswerReporter(state::TimePoint aNow);

/// Queues a report unless the flow was reported in this period.
void
ReportAnswer(AnswerReporter& aReporter,
             std::uint64_t aShard,
             const AnswerReport& aReport,
             state::TimePoint aNow,
             state::Counters& aCounters);

/// Makes the flows of a shard be reported again.
void
ResetReported(AnswerReporter& aReporter, std::uint64_t aShard);

/// Takes the reports that the budget allows now, by shard, and drops those that
/// have become too old to adopt a flow by them. Starts a new period
/// when it is time; a period in which many flows were reported makes the next
/// one longer.
std::unordered_map<std::uint64_t, AnswerReports>
PopReports(AnswerReporter& aReporter,
           state::TimePoint aNow,
           state::Counters& aCounters);

} // namespace sassafrasknot::coordination

#endif
