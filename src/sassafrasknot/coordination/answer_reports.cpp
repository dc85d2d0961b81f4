#include "sassafrasknot/coordination/answer_reports.hpp"

#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

constexpr double kReportBurstBytes = 4000;
/// UDP, IP and message headers of one datagram, in bytes.
constexpr double kMessageHeaderBytes = 40;
/// At 32,200 set bits, the bit of a further flow is set already with a
/// probability of 3%; that flow is then not reported until a later period.
constexpr std::size_t kFilterBits = std::size_t{ 1 } << 20;
/// Shorter than the default keepalive interval (30 s), so that the answer to
/// each keepalive probe is reported.
constexpr auto kMinPeriod = std::chrono::seconds{ 20 };
constexpr std::size_t kMaxPendingReports = 8192;
/// The flow of an older report may have ended and must not be adopted.
constexpr auto kMaxReportAge = std::chrono::seconds{ 2 };
/// With its headers, such a message fits into one datagram of 1,400 bytes.
constexpr std::size_t kMaxReportsPerMessage = 48;

/// Returns the shard's value in AnswerReporter::mSalts, or 0.
std::uint64_t
SaltOf(const AnswerReporter& aReporter, std::uint64_t aShard)
{
  const auto found = aReporter.mSalts.find(aShard);
  return found == aReporter.mSalts.end() ? 0 : found->second;
}

/// Starts a reporting period and clears the bits of reported flows. The period
/// is long enough to send as many reports as the previous one queued.
void
StartPeriod(AnswerReporter& aReporter, state::TimePoint aNow)
{
  const double seconds = static_cast<double>(aReporter.mReportedInPeriod) *
                         kBytesPerReport / kReportBytesPerSecond;
  const auto needed = std::chrono::duration_cast<state::Duration>(
    std::chrono::duration<double>(seconds));
  aReporter.mPeriod = std::max<state::Duration>(kMinPeriod, needed);
  aReporter.mPeriodStarted = aNow;
  aReporter.mReportedInPeriod = 0;
  aReporter.mReportedFlows.assign(kFilterBits, false);
}

} // namespace

AnswerReporter
MakeAnswerReporter(state::TimePoint aNow)
{
  AnswerReporter reporter;
  reporter.mReportedFlows.assign(kFilterBits, false);
  reporter.mBudget =
    MakeTokenBucket(kReportBytesPerSecond, kReportBurstBytes, aNow);
  reporter.mPeriodStarted = aNow;
  reporter.mPeriod = kMinPeriod;
  return reporter;
}

void
ReportAnswer(AnswerReporter& aReporter,
             std::uint64_t aShard,
             const AnswerReport& aReport,
             state::TimePoint aNow,
             state::Counters& aCounters)
{
  const auto salted =
    state::CombineHashes(state::Hash(aReport.mKey), SaltOf(aReporter, aShard));
  const auto bit =
    state::CombineHashes(salted, aReport.mHasPayload ? 1 : 0) % kFilterBits;
  if (aReporter.mReportedFlows[bit]) {
    return;
  }
  if (aReporter.mPending.size() >= kMaxPendingReports) {
    state::Increment(aCounters, "answer_reports_dropped_total");
    return;
  }
  aReporter.mReportedFlows[bit] = true;
  ++aReporter.mReportedInPeriod;
  aReporter.mPending.push_back({ aShard, aReport, bit, aNow });
}

void
ResetReported(AnswerReporter& aReporter, std::uint64_t aShard)
{
  ++aReporter.mSalts[aShard];
}

std::unordered_map<std::uint64_t, AnswerReports>
PopReports(AnswerReporter& aReporter,
           state::TimePoint aNow,
           state::Counters& aCounters)
{
  if (aNow - aReporter.mPeriodStarted >= aReporter.mPeriod) {
    StartPeriod(aReporter, aNow);
  }
  std::unordered_map<std::uint64_t, AnswerReports> popped;
  while (!aReporter.mPending.empty() &&
         aNow - aReporter.mPending.front().mQueued > kMaxReportAge) {
    // Clears the bit, so that a later packet of the flow is reported.
    aReporter.mReportedFlows[aReporter.mPending.front().mBit] = false;
    state::Increment(aCounters, "answer_reports_dropped_total");
    aReporter.mPending.pop_front();
  }
  // Newest first: when the budget does not suffice, the oldest reports would
  // exceed kMaxReportAge anyway.
  while (!aReporter.mPending.empty()) {
    const auto& next = aReporter.mPending.back();
    const auto found = popped.find(next.mShard);
    if (found != popped.end() &&
        found->second.mReports.size() >= kMaxReportsPerMessage) {
      break;
    }
    const double cost =
      kBytesPerReport + (found == popped.end() ? kMessageHeaderBytes : 0);
    if (!TryConsume(aReporter.mBudget, cost, aNow)) {
      break;
    }
    popped[next.mShard].mReports.push_back(next.mReport);
    aReporter.mPending.pop_back();
  }
  return popped;
}

} // namespace sassafrasknot::coordination
